//! An estimate of how much credit a client account needs soon at this gateway.

use std::time::Duration;

use crate::control::dispatch::bucket::AccountLimit;
use crate::model::Timestamp;

/// The time over which demand is counted and for which credit is wanted in advance.
const SLOT: Duration = Duration::from_millis(250);
/// How long credit is kept for an account without requests: rare plain calls come some seconds apart
/// at each gateway.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// How many usual requests are covered in advance for an account with few of them.
const USUAL_REQUESTS: u64 = 2;
/// The part of a bucket that the gateways keep for accounts with few requests, all together.
const IDLE_DIVISOR: u64 = 2;
/// The part of a bucket that a gateway wants in advance at most.
const AHEAD_DIVISOR: u64 = 4;
/// The weight of the costs before in the usual cost, of `USUAL_WEIGHT` + 1.
const USUAL_WEIGHT: u64 = 7;

/// The costs of the latest requests of an account.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// The start of the present slot.
    slot: Timestamp,
    current: u64,
    previous: u64,
    /// The usual cost of a request.
    usual: u64,
    last: Timestamp,
}

impl Demand {
    /// Counts a request.
    pub fn add(&mut self, now: Timestamp, cost: u64) {
        self.roll(now);
        self.current = self.current.saturating_add(cost);
        self.last = now;
        self.usual = match self.usual {
            0 => cost,
            usual => usual.saturating_mul(USUAL_WEIGHT).saturating_add(cost) / (USUAL_WEIGHT + 1),
        };
    }

    fn roll(&mut self, now: Timestamp) {
        let passed = now - self.slot;
        if passed >= SLOT {
            self.previous = if passed < SLOT * 2 { self.current } else { 0 };
            self.current = 0;
            self.slot = if passed < SLOT * 2 { self.slot + SLOT } else { now };
        }
    }

    /// Returns how much credit one of so many gateways wants in advance.
    ///
    /// ```
    /// use dotterelpin::control::dispatch::bucket::AccountLimit;
    /// use dotterelpin::gateway::admit::demand::Demand;
    /// use dotterelpin::model::Timestamp;
    ///
    /// let now = Timestamp::from_micros(1_000_000);
    /// let limit = AccountLimit { version: 1, rate: 100_000, size: 100_000 };
    /// let mut demand = Demand::default();
    /// assert_eq!(demand.wanted(now, &limit, 30), 0);
    /// demand.add(now, 200);
    /// assert_eq!(demand.wanted(now, &limit, 30), 400);
    /// (0..20).for_each(|_| demand.add(now, 200));
    /// assert_eq!(demand.wanted(now, &limit, 30), 4_200);
    /// ```
    pub fn wanted(&mut self, now: Timestamp, limit: &AccountLimit, gateways: u32) -> u64 {
        self.roll(now);
        if self.last == Timestamp::default() || now - self.last >= IDLE_TIME {
            return 0;
        }
        let part = limit.size / IDLE_DIVISOR / u64::from(gateways.max(1));
        let few = self.usual.saturating_mul(USUAL_REQUESTS).min(part);
        let few = if few < self.usual { 0 } else { few };
        self.previous.max(self.current).max(few).min(limit.size / AHEAD_DIVISOR)
    }
}
