//! The rank in which waiting calls start.

use serde::{Deserialize, Serialize};

/// The rank of a waiting call; lower ranks start first.
///
/// ```
/// use dotterelpin::model::Rank;
///
/// let urgent = Rank { account: 0, priority: 0, late: true };
/// let cheap = Rank { account: 2, priority: 2, late: false };
/// assert!(urgent < cheap && urgent.kind() < cheap.kind());
/// assert!(cheap < Rank { late: true, ..cheap });
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// The priority of its client account; 0 is the most urgent. That of its route if the account
    /// has none.
    pub account: u8,
    /// The priority of its route; 0 is the most urgent.
    pub priority: u8,
    /// Whether it has missed its latency target.
    pub late: bool,
}

impl Rank {
    /// Returns the two priorities, without whether the call is late.
    pub fn kind(self) -> (u8, u8) {
        (self.account, self.priority)
    }

    /// Returns whether a call is of the most urgent priority that there is, and not late.
    pub fn is_urgent(self) -> bool {
        self.account == 0 && !self.late
    }
}
