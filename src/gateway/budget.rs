//! The retry budget that all gateways share.
//!
//! Answers the load of a failing service: each failed call wants a second endpoint, and a fleet of
//! gateways that all retry would multiply the load of a service that is down already. A service
//! may get a share of its calls as retries, plus a fixed number for the whole fleet, in any span
//! of the window. Each gateway spends the share of its own calls and its part of the fixed number.

use std::collections::VecDeque;
use std::time::Duration;

use crate::model::Timestamp;

/// The spans that a window is counted in.
const BUCKETS: u32 = 20;
/// The part of the allowance that is spent, in percent; the rest covers retries that are under
/// way at the edge of a window and gateways that started a moment ago.
const SPENT_PERCENT: f64 = 80.0;

/// How many retries the fleet may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries for each call.
    pub ratio: f64,
    /// Retries beside those, in a window, of all gateways together.
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

/// What one gateway may spend on one service.
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
/// // Four gateways: each has a quarter of the fixed part, less a margin.
/// let spent = (0..20).filter(|_| budget.spend(now, &terms, 4)).count();
/// assert_eq!(spent, 2);
/// ```
#[derive(Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a call.
    pub fn called(&mut self, now: Timestamp, terms: &BudgetTerms) {
        self.bucket(now, terms).calls += 1;
    }

    /// Spends one retry if it is within the budget; `gateways` is how many share it.
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

    /// Returns the span of the present time and forgets those outside the window.
    fn bucket(&mut self, now: Timestamp, terms: &BudgetTerms) -> &mut Bucket {
        let length = terms.window / BUCKETS;
        while self.buckets.front().is_some_and(|s| s.from + terms.window <= now) {
            self.buckets.pop_front();
        }
        let current = self.buckets.back().is_some_and(|s| now < s.from + length);
        if !current {
            self.buckets.push_back(Bucket { from: now, calls: 0, retries: 0 });
        }
        // The span was pushed just now where there was none.
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
