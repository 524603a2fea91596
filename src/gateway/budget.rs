//! The retry budget that all gateways share.
//!
//! If all gateways retried every failed call, they would multiply the load of a service that is
//! already failing. So in any window, a service gets at most a share of its calls as retries, plus
//! a fixed number from all gateways together. Each gateway spends the share of its own calls and
//! its part of the fixed number.
//!
//! A retry may wait for capacity for seconds before it is sent, and what counts is when it arrives.
//! So it is reserved when it is decided, and counts in the window in which it is sent.

use std::collections::VecDeque;
use std::time::Duration;

use crate::model::Timestamp;

/// The number of buckets in which the calls and retries of a window are counted.
const BUCKETS: u32 = 20;
/// The percentage of the budget that is spent; the rest covers retries in progress at the edge of a
/// window and gateways that have just started.
const SPENT_PERCENT: f64 = 80.0;

/// How many retries all gateways together may send to a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries per call.
    pub ratio: f64,
    /// Additional retries of all gateways together in a window.
    pub extra: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    from: Timestamp,
    calls: u32,
    retries: u32,
}

/// The numbers by which a charge of a [`Budget`] is decided.
///
/// ```
/// use dotterelpin::gateway::budget::Balance;
///
/// let balance = Balance { calls: 10, retries: 2, allowed: 3.2, gateways: 4 };
/// assert!(balance.covers(1));
/// assert!(!balance.covers(2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Calls of this gateway in the window.
    pub calls: u32,
    /// Retries that this gateway has sent in the window, and those that are reserved.
    pub retries: u32,
    /// How many retries this gateway may have in the window.
    pub allowed: f64,
    /// How many gateways share the fixed part of the budget.
    pub gateways: u32,
}

impl Balance {
    /// Returns whether a charge of `cost` retries is within the budget.
    pub fn covers(&self, cost: u32) -> bool {
        f64::from(self.retries) + f64::from(cost) <= self.allowed
    }
}

/// The calls and retries of one gateway to one service, within the window.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::budget::{Budget, BudgetTerms};
/// use dotterelpin::model::Timestamp;
///
/// let window = Duration::from_secs(10);
/// let terms = BudgetTerms { ratio: 0.2, extra: 10.0, window };
/// let started = Timestamp::from_micros(1);
/// let mut budget = Budget::new(started);
/// // An earlier start of the gateway may have spent the fixed part in this window.
/// assert!(!budget.spend(started, &terms, 4, 1));
/// let now = started + window;
/// // Each of four gateways may spend a quarter of the fixed part, less a margin.
/// let spent = (0..20).filter(|_| budget.spend(now, &terms, 4, 1)).count();
/// assert_eq!(spent, 2);
/// assert_eq!(budget.balance(now, &terms, 4).retries, 2);
/// ```
#[derive(Debug)]
pub struct Budget {
    started: Timestamp,
    buckets: VecDeque<Bucket>,
    /// Retries that were charged and not sent yet.
    reserved: u32,
}

impl Budget {
    /// Creates the budget of a gateway that was started at a time.
    pub fn new(started: Timestamp) -> Budget {
        Budget { started, buckets: VecDeque::new(), reserved: 0 }
    }

    /// Counts a call, which increases the budget.
    pub fn called(&mut self, now: Timestamp, terms: &BudgetTerms) {
        self.bucket(now, terms).calls += 1;
    }

    /// Charges `cost` retries that are sent now and returns `true` if that is within the budget,
    /// which `gateways` gateways share; otherwise it charges nothing.
    pub fn spend(&mut self, now: Timestamp, terms: &BudgetTerms, gateways: u32, cost: u32) -> bool {
        let covered = self.reserve(now, terms, gateways, cost);
        if covered {
            (0..cost).for_each(|_| self.sent(now, terms));
        }
        covered
    }

    /// Like [`Budget::spend`], for retries that are sent later: each counts until it is sent or
    /// released.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        terms: &BudgetTerms,
        gateways: u32,
        cost: u32,
    ) -> bool {
        let covered = self.balance(now, terms, gateways).covers(cost);
        if covered {
            self.reserved += cost;
        }
        covered
    }

    /// Counts a reserved retry in the present window, as it is sent now.
    pub fn sent(&mut self, now: Timestamp, terms: &BudgetTerms) {
        self.reserved = self.reserved.saturating_sub(1);
        self.bucket(now, terms).retries += 1;
    }

    /// Returns reserved retries that will not be sent.
    pub fn release(&mut self, retries: u32) {
        self.reserved = self.reserved.saturating_sub(retries);
    }

    /// Returns the numbers by which the next charge is decided.
    pub fn balance(&self, now: Timestamp, terms: &BudgetTerms, gateways: u32) -> Balance {
        let within = |span: Duration| self.buckets.iter().filter(move |s| now < s.from + span);
        let calls: u32 = within(terms.window).map(|s| s.calls).sum();
        // The last retry of a bucket leaves the window a bucket's length after the first.
        let sent: u32 = within(terms.window + terms.window / BUCKETS).map(|s| s.retries).sum();
        let retries = sent + self.reserved;
        let fixed = self.fixed_part(now, terms, gateways);
        let allowed = (f64::from(calls) * terms.ratio + fixed) * SPENT_PERCENT / 100.0;
        Balance { calls, retries, allowed, gateways }
    }

    /// Returns this gateway's part of the fixed number. It is zero within a window from the start
    /// of the process, whose earlier start may have spent the part already.
    fn fixed_part(&self, now: Timestamp, terms: &BudgetTerms, gateways: u32) -> f64 {
        if now < self.started + terms.window {
            return 0.0;
        }
        terms.extra / f64::from(gateways.max(1))
    }

    /// Returns the bucket of the present time and removes the buckets outside the window.
    fn bucket(&mut self, now: Timestamp, terms: &BudgetTerms) -> &mut Bucket {
        let length = terms.window / BUCKETS;
        while self.buckets.front().is_some_and(|s| s.from + terms.window + length <= now) {
            self.buckets.pop_front();
        }
        let current = self.buckets.back().is_some_and(|s| now < s.from + length);
        if !current {
            self.buckets.push_back(Bucket { from: now, calls: 0, retries: 0 });
        }
        // There is a bucket: one was pushed above if the last one was not current.
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
