//! Retry budgets: retries are limited to a share of the calls of each class, which prevents
//! retry storms.

use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::model::Class;

/// Budgets are counted in hundredths of a retry.
const HUNDREDTHS: u64 = 100;
/// The maximum number of retries that a budget accumulates.
pub const MAX_SAVED: u64 = 100;
/// The number of retries that a budget starts with.
pub const INITIAL_SAVED: u64 = 10;
/// The mean backoff before a second attempt; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// The maximum mean backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The retry budgets of all classes.
///
/// ```
/// use dotterelpin::entry::retry::{INITIAL_SAVED, RetryBudgets};
/// use dotterelpin::model::Class;
///
/// let mut budgets = RetryBudgets::new(1);
/// for _ in 0..INITIAL_SAVED {
///     assert!(budgets.spend(Class::Batch));
/// }
/// assert!(!budgets.spend(Class::Batch));
/// budgets.earn(Class::Batch, 50);
/// budgets.earn(Class::Batch, 50);
/// assert!(budgets.spend(Class::Batch));
/// ```
#[derive(Debug)]
pub struct RetryBudgets {
    saved: [u64; 2],
    random: Pcg64Mcg,
}

impl RetryBudgets {
    /// Creates the budgets; the seed determines the jitter of backoffs.
    pub fn new(seed: u64) -> RetryBudgets {
        let random = Pcg64Mcg::seed_from_u64(seed);
        RetryBudgets { saved: [INITIAL_SAVED * HUNDREDTHS; 2], random }
    }

    /// Adds the share of a new call, `percent` hundredths of a retry.
    pub fn earn(&mut self, class: Class, percent: u64) {
        let saved = &mut self.saved[class as usize];
        *saved = (*saved + percent).min(MAX_SAVED * HUNDREDTHS);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn spend(&mut self, class: Class) -> bool {
        let saved = &mut self.saved[class as usize];
        match saved.checked_sub(HUNDREDTHS) {
            Some(left) => {
                *saved = left;
                true
            }
            None => false,
        }
    }

    /// Returns the backoff after `attempt`, from half to one and a half times the mean.
    pub fn backoff(&mut self, attempt: u32) -> Duration {
        let mean = (INITIAL_BACKOFF * 2u32.pow(attempt.saturating_sub(1).min(16))).min(MAX_BACKOFF);
        let jitter = (self.random.next_u32() >> 16) as f64 / 65_536.0;
        mean.mul_f64(0.5 + jitter)
    }
}
