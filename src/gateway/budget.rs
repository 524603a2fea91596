//! The retry budget that all gateways share.
//!
//! If all gateways retried every failed call, they would multiply the load of a service that is
//! already failing. So in any window, a service gets at most a share of its calls as retries, plus
//! a fixed number from all gateways together. Each gateway spends the share of its own calls and
//! its part of the fixed number.

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

/// The calls and retries of one gateway to one service, within the window.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::budget::{Budget, BudgetTerms};
/// use dotterelpin::model::Timestamp;
///
/// let window = Duration::from_secs(10);
/// let terms = BudgetTerms { ratio: 0.2, extra: 10.0, window };
/// let now = Timestamp::from_micros(1);
/// let mut budget = Budget::default();
/// // Each of four gateways may spend a quarter of the fixed part, less a margin.
/// let spent = (0..20).filter(|_| budget.spend(now, &terms, 4)).count();
/// assert_eq!(spent, 2);
/// ```
#[derive(Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a call, which increases the budget.
    pub fn called(&mut self, now: Timestamp, terms: &BudgetTerms) {
        self.bucket(now, terms).calls += 1;
    }

    /// Counts a retry and returns `true` if it is within the budget, which `gateways` gateways
    /// share.
    pub fn spend(&mut self, now: Timestamp, terms: &BudgetTerms, gateways: u32) -> bool {
        self.bucket(now, terms);
        let calls: u32 = self.buckets.iter().map(|s| s.calls).sum();
        let retries: u32 = self.buckets.iter().map(|s| s.retries).sum();
        let fixed = terms.extra / f64::from(gateways.max(1));
        let allowed = (f64::from(calls) * terms.ratio + fixed) * SPENT_PERCENT / 100.0;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, terms).retries += 1;
        true
    }

    /// Returns the bucket of the present time and removes the buckets outside the window.
    fn bucket(&mut self, now: Timestamp, terms: &BudgetTerms) -> &mut Bucket {
        let length = terms.window / BUCKETS;
        while self.buckets.front().is_some_and(|s| s.from + terms.window <= now) {
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
