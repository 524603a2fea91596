//! Budgets of retries: a share of the traffic of each class, so that retries never add up to a
//! storm.

use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::model::Class;

/// Hundredths of a retry in one retry.
const HUNDREDTHS: u64 = 100;
/// The most retries that are saved up.
pub const MAX_SAVED: u64 = 100;
/// Retries that a budget starts with.
pub const INITIAL_SAVED: u64 = 10;
/// The mean wait before a second attempt; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// The longest mean wait.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The budgets of all classes.
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
    /// Makes the budgets; the seed decides the jitter of waits.
    pub fn new(seed: u64) -> RetryBudgets {
        let random = Pcg64Mcg::seed_from_u64(seed);
        RetryBudgets { saved: [INITIAL_SAVED * HUNDREDTHS; 2], random }
    }

    /// Adds the share of a new call.
    pub fn earn(&mut self, class: Class, percent: u64) {
        let saved = &mut self.saved[class as usize];
        *saved = (*saved + percent).min(MAX_SAVED * HUNDREDTHS);
    }

    /// Takes one retry if the budget allows it.
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

    /// Returns how long to wait before the attempt after `attempt`, from half to one and a half
    /// of the mean.
    pub fn backoff(&mut self, attempt: u32) -> Duration {
        let mean = (INITIAL_BACKOFF * 2u32.pow(attempt.saturating_sub(1).min(16))).min(MAX_BACKOFF);
        let jitter = (self.random.next_u32() >> 16) as f64 / 65_536.0;
        mean.mul_f64(0.5 + jitter)
    }
}
