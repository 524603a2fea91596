//! The requests per second that an endpoint takes from all gateways together, as it says in its
//! answers.
//!
//! Each gateway uses its own part of the limit by itself, so that nothing has to be agreed on for a
//! request. Parts add up: if each gateway could save a request, many gateways could send all saved ones
//! at once. So where the gateways are many for the limit, a request that is not sent in its time is
//! forfeited.

use std::time::Duration;

use super::protocol::{LimitNotice, RequestRate};
use crate::model::Timestamp;

/// The share of a limit that the gateways use, in percent; the rest covers chance and gateways that
/// are not counted yet.
const USED_PERCENT: u64 = 80;
/// The lowest rate that is used, in thousandths of a request per second: without any request, no
/// answer could end the limit.
const MIN_RATE: u32 = 250;
/// The lowest rate that is no limit in practice, in thousandths.
const NO_LIMIT: u32 = 1_000_000_000;
/// How long a request may be sent after its time if it can't be saved.
const FORFEIT_TIME: Duration = Duration::from_millis(500);
/// Up to how many gateways for each request per second may save a request: one from each of them at
/// once is still within what an endpoint bears in a few seconds.
const SAVING_GATEWAYS: u64 = 2;

/// What a start of an endpoint has said last about how many requests it takes, and when this gateway
/// may send it the next one.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::limit::Limit;
/// use dotterelpin::gateway::protocol::{LimitNotice, RequestRate};
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1);
/// let mut limit = Limit::default();
/// assert!(limit.is_open(now));
/// // Two requests a second for two gateways, of which 80 % are used: one each 1.25 s.
/// assert!(limit.noticed(now, LimitNotice::Rate(RequestRate(2_000)), true, 2, 0));
/// limit.spend(now, 1);
/// assert!(!limit.is_open(now + Duration::from_millis(1_200)));
/// assert!(limit.is_open(now + Duration::from_millis(1_300)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Limit {
    rate: Option<RequestRate>,
    /// The time between two requests of this gateway.
    interval: Duration,
    /// Whether a request that is not sent in its time is forfeited.
    forfeits: bool,
    /// The time of the next request.
    next: Timestamp,
}

impl Limit {
    /// Records what an answer says to one of so many gateways; returns whether that is a change. Only
    /// the answer to a call can end a limit. The `draw` spreads the first requests of the gateways.
    pub fn noticed(
        &mut self,
        now: Timestamp,
        notice: LimitNotice,
        to_call: bool,
        gateways: u32,
        draw: u64,
    ) -> bool {
        let rate = match notice {
            LimitNotice::Rate(rate) => Some(rate).filter(|r| r.0 < NO_LIMIT),
            LimitNotice::Absent if to_call => None,
            LimitNotice::Absent | LimitNotice::Unreadable => return false,
        };
        let before = std::mem::replace(&mut self.rate, rate);
        if let Some(rate) = rate {
            self.share(rate, gateways);
            if before.is_none() {
                let spread = self.interval.as_micros() as u64 + 1;
                self.next = now + Duration::from_micros(draw % spread);
            }
        }
        before != rate
    }

    /// Sets the part of one of so many gateways.
    fn share(&mut self, rate: RequestRate, gateways: u32) {
        let used = u64::from(rate.0.max(MIN_RATE)) * USED_PERCENT / 100;
        let gateways = u64::from(gateways.max(1));
        self.interval = Duration::from_micros(gateways * 1_000_000_000 / used);
        self.forfeits = gateways * 1_000 > SAVING_GATEWAYS * u64::from(rate.0);
    }

    /// Returns the limit, if there is one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns whether this gateway may send a request now.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.rate.is_none() || self.next_open(now) <= now
    }

    /// Returns when this gateway may send the next request; a time in the past means now.
    pub fn next_open(&self, now: Timestamp) -> Timestamp {
        if self.rate.is_none() || !self.forfeits {
            return self.next;
        }
        let last = self.turn(now);
        if now - last <= FORFEIT_TIME { last } else { last + self.interval }
    }

    /// Returns the last time of a request that has come, or the first one if none has.
    fn turn(&self, now: Timestamp) -> Timestamp {
        let passed = (now - self.next).as_micros() / self.interval.as_micros().max(1);
        self.next + self.interval * u32::try_from(passed).unwrap_or(u32::MAX)
    }

    /// Records that so many requests are sent now, or soon.
    pub fn spend(&mut self, now: Timestamp, requests: u32) {
        if self.rate.is_none() {
            return;
        }
        let from = if self.forfeits { self.turn(now) } else { self.next.max(now) };
        self.next = from + self.interval * requests;
    }
}
