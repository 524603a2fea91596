//! The heartbeats to one member that it hasn't answered yet.
//!
//! A connection may be silent for good while new ones work, so a heartbeat is not waited for long
//! before the next one is sent on a new connection. Its reply may be large, or its way slow, though;
//! so it stays open beside later ones, and its reply counts.

use std::time::Duration;

use crate::link::MAX_FRAME_BYTES;
use crate::model::{ExchangeId, Timestamp};

/// How long a heartbeat may remain unanswered before the next one is sent on a new connection.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of heartbeats that stay open beside the one that is waited for.
const MAX_EARLIER: usize = 4;
/// The maximum number of heartbeats among all open ones that ask for a routing document: a second one,
/// since the connection of the first may be silent, and no more, since copies slow down each other.
const MAX_ASKING: usize = 2;
/// The assumed minimum rate, in bytes per second, at which the copies of a document arrive together.
const MIN_RATE: usize = 1 << 20;
/// How long a heartbeat stays open beside later ones at first: as long as the largest copies take.
const EARLIER_TIMEOUT: Duration =
    Duration::from_secs((MAX_ASKING * MAX_FRAME_BYTES / MIN_RATE) as u64);
/// How often that time is doubled when a document didn't arrive within it, since the rate is lower.
const MAX_DOUBLINGS: u32 = 3;
/// The number of heartbeats that are overdue in a row when a member counts as silent: more than those
/// that ask for a document, which may take long.
const SILENCE: u32 = MAX_ASKING as u32 + 1;
/// A new connection is requested at least once in so many overdue heartbeats in a row.
const REDIAL_PERIOD: u32 = 8;

/// A heartbeat without a reply.
#[derive(Debug, Clone, Copy)]
struct Sent {
    exchange: ExchangeId,
    at: Timestamp,
    /// Whether it asks for a routing document that may be on its way.
    asks: bool,
}

/// An answered heartbeat.
#[derive(Debug)]
pub struct Answered {
    /// When it was sent.
    pub sent: Timestamp,
    /// Whether the document that others ask for is to be asked for again at once: they were sent while
    /// the member was silent, most likely on connections that stay so.
    pub asks_again: bool,
}

/// The heartbeats to one member that it hasn't answered yet.
#[derive(Debug, Default)]
pub struct OpenHeartbeats {
    /// The one that is waited for before the next one is sent.
    newest: Option<Sent>,
    /// Those before it, oldest first.
    earlier: Vec<Sent>,
    /// How many in a row were overdue.
    overdue: u32,
    /// How often the time for a document was doubled.
    doublings: u32,
}

impl OpenHeartbeats {
    /// Returns whether no heartbeat is waited for, so that the next one may be sent.
    pub fn is_idle(&self) -> bool {
        self.newest.is_none()
    }

    /// Returns whether a further heartbeat may ask for a routing document.
    pub fn may_ask(&self) -> bool {
        self.all().filter(|sent| sent.asks).count() < MAX_ASKING
    }

    /// Returns whether an exchange is that of an open heartbeat.
    pub fn contains(&self, exchange: ExchangeId) -> bool {
        self.all().any(|sent| sent.exchange == exchange)
    }

    /// Records that a heartbeat was sent, which is waited for from now on.
    pub fn sent(&mut self, now: Timestamp, exchange: ExchangeId, asks: bool) {
        self.newest = Some(Sent { exchange, at: now, asks });
    }

    /// Removes an answered heartbeat.
    pub fn answered(&mut self, exchange: ExchangeId) -> Option<Answered> {
        let sent = self.remove(exchange)?;
        if sent.asks {
            self.doublings = 0;
        }
        let was_silent = std::mem::take(&mut self.overdue) >= SILENCE;
        let asks_again = was_silent && self.all().any(|sent| sent.asks);
        if asks_again {
            self.earlier.iter_mut().for_each(|sent| sent.asks = false);
        }
        Some(Answered { sent: sent.at, asks_again })
    }

    /// Removes a heartbeat whose exchange has ended.
    pub fn closed(&mut self, exchange: ExchangeId) {
        self.remove(exchange);
    }

    /// Returns when the reply to the newest heartbeat is overdue; `None` if none is waited for.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.newest.map(|sent| sent.at + REPLY_TIMEOUT)
    }

    /// Stops waiting for the newest heartbeat if its reply is overdue; it stays open. Returns whether
    /// later ones are to use a new connection.
    pub fn take_overdue(&mut self, now: Timestamp) -> bool {
        let Some(late) = self.newest.take_if(|sent| now - sent.at >= REPLY_TIMEOUT) else {
            return false;
        };
        self.earlier.push(late);
        self.overdue = self.overdue.saturating_add(1);
        // Each new connection leaves one behind that still carries heartbeats, of which the link
        // keeps only a few; so they are requested less and less often.
        self.overdue.is_power_of_two() || self.overdue.is_multiple_of(REDIAL_PERIOD)
    }

    /// Removes and returns the heartbeats that were open for too long, and the oldest beyond
    /// [`MAX_EARLIER`], those that ask for a document last.
    pub fn give_up(&mut self, now: Timestamp) -> Vec<ExchangeId> {
        let timeout = EARLIER_TIMEOUT * 2_u32.pow(self.doublings);
        let old = |sent: &mut Sent| now - sent.at >= timeout;
        let mut given_up: Vec<Sent> = self.earlier.extract_if(.., old).collect();
        // A member that answers others in time is in reach: the document is what takes longer.
        if self.overdue == 0 && given_up.iter().any(|sent| sent.asks) {
            self.doublings = MAX_DOUBLINGS.min(self.doublings + 1);
        }
        while self.earlier.len() > MAX_EARLIER {
            let oldest = self.earlier.iter().position(|sent| !sent.asks).unwrap_or_default();
            given_up.push(self.earlier.remove(oldest));
        }
        given_up.into_iter().map(|sent| sent.exchange).collect()
    }

    fn all(&self) -> impl Iterator<Item = &Sent> {
        self.earlier.iter().chain(&self.newest)
    }

    fn remove(&mut self, exchange: ExchangeId) -> Option<Sent> {
        if let Some(sent) = self.newest.take_if(|sent| sent.exchange == exchange) {
            return Some(sent);
        }
        let at = self.earlier.iter().position(|sent| sent.exchange == exchange)?;
        Some(self.earlier.remove(at))
    }
}
