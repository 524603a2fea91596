//! Small `Copy` identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Timestamp;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number!(
    /// The number of a call, unique within one boot of an entry.
    CallId
);
number!(
    /// The number of an exchange that this role opened to a peer.
    ExchangeId
);
number!(
    /// The number of an exchange that a peer opened to this role.
    InboundId
);
number!(
    /// One start of one process; it changes with each restart.
    BootId
);
number!(
    /// The number of an accepted configuration, which only increases.
    Revision
);
number!(
    /// The fencing number of an order, which only increases.
    Fence
);

/// The number of low bits of a boot that are derived from the process name.
const NAME_BITS: u32 = 12;

impl BootId {
    /// Derives the number from the time of the start, and from a hash of the name to distinguish
    /// processes that start at the same time.
    ///
    /// ```
    /// use dotterelpin::model::{BootId, Timestamp};
    ///
    /// let at = |micros| Timestamp::from_micros(micros);
    /// assert!(BootId::from_start(at(5), "entry-1") < BootId::from_start(at(6), "entry-0"));
    /// assert_ne!(BootId::from_start(at(5), "entry-1"), BootId::from_start(at(5), "entry-2"));
    /// ```
    pub fn from_start(now: Timestamp, name: &str) -> BootId {
        let hash = u64::from(crc32fast::hash(name.as_bytes()));
        let low = hash & ((1 << NAME_BITS) - 1);
        BootId(now.as_micros() << NAME_BITS | low)
    }
}

/// The identifier of one attempt of a call, unique across all entries and restarts.
///
/// ```
/// use dotterelpin::model::{BootId, CallId, RequestId};
///
/// let id = RequestId { owner: BootId(10), call: CallId(2), attempt: 1 };
/// assert_eq!(id.to_string(), "a-2-1");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// The boot of the entry that owns the call.
    pub owner: BootId,
    /// The number of the call at that entry.
    pub call: CallId,
    /// The number of the attempt, starting at 1.
    pub attempt: u32,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{}-{}", self.owner.0, self.call, self.attempt)
    }
}
