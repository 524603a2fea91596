//! Small `Copy` identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

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
