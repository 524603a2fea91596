//! When a routing document that couldn't be read is asked for again.

use std::time::Duration;

use crate::model::Timestamp;

/// The time between two requests for a document that couldn't be read, which may have megabytes.
const REREAD_INTERVAL: Duration = Duration::from_millis(10_000);

/// The further requests for a document that couldn't be read: one member at a time, in turn.
#[derive(Debug)]
pub struct Reread {
    /// The version of the document.
    version: u64,
    due: Timestamp,
    /// The number of requests so far.
    sent: usize,
}

impl Reread {
    /// Begins with a document that couldn't be read at a time.
    pub fn new(now: Timestamp, version: u64) -> Reread {
        Reread { version, due: now + REREAD_INTERVAL, sent: 0 }
    }

    /// Returns the version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the heartbeat to a member, by its index among all of them, is to ask for the
    /// document; if so, that counts as done.
    pub fn asks(&mut self, now: Timestamp, member: usize, members: usize) -> bool {
        let turn = self.sent.checked_rem(members) == Some(member);
        let asks = turn && now >= self.due;
        if asks {
            self.due = now + REREAD_INTERVAL;
            self.sent += 1;
        }
        asks
    }
}
