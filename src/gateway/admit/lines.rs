//! Log lines about quotas: at most one for each account, outcome and second.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::Timestamp;

/// The time between two lines of one account with one outcome.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long the number of dropped lines is kept for the next line.
const RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of accounts and outcomes that are followed; the lines of further ones are
/// dropped.
const MAX_ENTRIES: usize = 4_096;

/// What was logged lately, by account and outcome.
#[derive(Debug, Default)]
pub struct QuotaLines {
    /// When the last line was logged, and how many were dropped since.
    last: BTreeMap<(Box<str>, &'static str), (Timestamp, u64)>,
    next_expiry: Timestamp,
}

impl QuotaLines {
    /// Returns whether a line may be logged now, with the number of those that were dropped since
    /// the last one.
    pub fn admit(&mut self, now: Timestamp, account: &str, outcome: &'static str) -> Option<u64> {
        if now >= self.next_expiry {
            self.next_expiry = now + INTERVAL;
            self.last.retain(|_, (at, dropped)| {
                now - *at < if *dropped > 0 { RETENTION } else { INTERVAL }
            });
        }
        let key = (account.into(), outcome);
        if let Some((at, dropped)) = self.last.get_mut(&key) {
            if now - *at < INTERVAL {
                *dropped += 1;
                return None;
            }
            *at = now;
            return Some(std::mem::take(dropped));
        }
        if self.last.len() >= MAX_ENTRIES {
            return None;
        }
        self.last.insert(key, (now, 0));
        Some(0)
    }
}
