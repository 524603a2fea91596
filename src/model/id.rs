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
    /// One call of a caller inside one entry process.
    CallId
);
number!(
    /// One exchange that this role opened towards a peer.
    ExchangeId
);
number!(
    /// One exchange that a peer opened towards this role.
    InboundId
);
number!(
    /// One start of one process; a restarted process has another.
    BootId
);
number!(
    /// The number of an accepted configuration; it only grows.
    Revision
);
number!(
    /// The fencing number of an order; it only grows.
    Fence
);

/// Bits of a start's number that come from the name of the process.
const NAME_BITS: u32 = 12;

impl BootId {
    /// Numbers a start by its time, and by the name for processes that start at the same time.
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

/// One attempt of one call, unique over all entries and restarts.
///
/// ```
/// use dotterelpin::model::{BootId, CallId, RequestId};
///
/// let id = RequestId { owner: BootId(10), call: CallId(2), attempt: 1 };
/// assert_eq!(id.to_string(), "a-2-1");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// The start of the entry that owns the call.
    pub owner: BootId,
    /// The call inside that entry.
    pub call: CallId,
    /// The attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{}-{}", self.owner.0, self.call, self.attempt)
    }
}
