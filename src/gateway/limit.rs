//! The requests per second that an endpoint takes from all gateways together, as it says in its
//! answers.

use super::protocol::{LimitNotice, RequestRate};

/// What a start of an endpoint has said last about how many requests it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Limit {
    rate: Option<RequestRate>,
}

impl Limit {
    /// Records what an answer says; returns whether that is a change. Only the answer to a call can
    /// end a limit.
    pub fn noticed(&mut self, notice: LimitNotice, to_call: bool) -> bool {
        let rate = match notice {
            LimitNotice::Rate(rate) => Some(rate),
            LimitNotice::Absent if to_call => None,
            LimitNotice::Absent | LimitNotice::Unreadable => return false,
        };
        let before = std::mem::replace(&mut self.rate, rate);
        before != rate
    }

    /// Returns the limit, if there is one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }
}
