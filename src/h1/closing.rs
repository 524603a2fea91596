//! Decides when a caller's connection can be closed without a loss for the caller.

use std::time::Duration;

use super::caller::CallerState;
use crate::model::Timestamp;

/// How long a connection is kept after its last answer, since its next request may be on its way.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// What is open on a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct Open {
    pub state: CallerState,
    /// Whether bytes of the caller are received but not parsed.
    pub unread: bool,
    /// The number of bytes of answers that are not written.
    pub unwritten: usize,
}

/// What has to happen before a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A request is read or answered, or an answer is written.
    Wait,
    /// A request is received in part.
    Partial,
    /// Nothing, once this time has come.
    CloseAt(Timestamp),
}

impl Open {
    /// Returns what has to happen before the connection is closed.
    pub fn verdict(&self) -> Verdict {
        match self.state {
            _ if self.unread => Verdict::Wait,
            CallerState::Idle(_) if self.unwritten > 0 => Verdict::Wait,
            CallerState::Idle(since) => Verdict::CloseAt(since + QUIET_TIME),
            CallerState::Reading(_) => Verdict::Partial,
            CallerState::Answering | CallerState::Lingering { .. } => Verdict::Wait,
        }
    }

    /// Returns whether the caller loses something if the connection is dropped now.
    pub fn is_cut(&self) -> bool {
        let busy = matches!(self.state, CallerState::Reading(_) | CallerState::Answering);
        busy || self.unread || self.unwritten > 0
    }
}
