//! The limit of a client account, and the token bucket that measures it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::Timestamp;
use crate::routes::accounts::{Quota, QuotaUnit};

/// The part of a second of its rate that a bucket holds at least: with a smaller one, pauses between
/// two grants would cost an account a part of its rate.
const MIN_BUCKET_DIVISOR: u64 = 4;
/// Microseconds per second, the unit of rates being one second.
const SECOND: u128 = 1_000_000;

/// The limit of a client account, in thousandths of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AccountLimit {
    /// The version of the routing table that states it.
    pub version: u64,
    /// The credit that is added each second.
    pub rate: u64,
    /// The credit that is kept at most.
    pub size: u64,
}

impl AccountLimit {
    /// Returns the limit that a quota states. A bucket holds at least what its rate gives in a
    /// quarter of a second, and one request of the least cost.
    ///
    /// ```
    /// use dotterelpin::control::dispatch::bucket::AccountLimit;
    /// use dotterelpin::routes::accounts::{Quota, QuotaUnit};
    ///
    /// let quota = Quota { rate: 8_000, burst: 0, unit: QuotaUnit::Requests };
    /// assert_eq!(AccountLimit::new(1, &quota).size, 2_000);
    /// ```
    pub fn new(version: u64, quota: &Quota) -> AccountLimit {
        let request = cost(quota.unit, None);
        let size = quota.burst.max(quota.rate / MIN_BUCKET_DIVISOR).max(request);
        AccountLimit { version, rate: quota.rate.max(1), size }
    }

    /// Returns what is left of credit that was granted by this limit after a newer one.
    ///
    /// ```
    /// use dotterelpin::control::dispatch::bucket::AccountLimit;
    ///
    /// let before = AccountLimit { version: 1, rate: 1_000, size: 1_000 };
    /// let after = AccountLimit { version: 2, rate: 250, size: 250 };
    /// assert_eq!(before.cut(&after, 400), 100);
    /// assert_eq!(after.cut(&before, 100), 100);
    /// ```
    pub fn cut(&self, newer: &AccountLimit, amount: u64) -> u64 {
        if newer.size >= self.size {
            return amount;
        }
        let part = u128::from(amount) * u128::from(newer.size) / u128::from(self.size);
        u64::try_from(part).unwrap_or(amount)
    }

    /// Returns the part of the limit that one of so many gateways uses by itself.
    pub fn part(&self, gateways: u32) -> AccountLimit {
        let gateways = u64::from(gateways.max(1));
        AccountLimit { rate: (self.rate / gateways).max(1), size: self.size / gateways, ..*self }
    }
}

/// Returns what a request costs, in thousandths of a unit; `tokens` are those of its prompt and the
/// most of its answer, if it states them.
///
/// ```
/// use dotterelpin::control::dispatch::bucket::cost;
/// use dotterelpin::routes::accounts::QuotaUnit;
///
/// let unit = QuotaUnit::Tokens { default: 200 };
/// assert_eq!(cost(unit, None), 200_000);
/// assert_eq!(cost(unit, Some((3_000, 100))), 3_100_000);
/// assert_eq!(cost(QuotaUnit::Requests, Some((3_000, 100))), 1_000);
/// ```
pub fn cost(unit: QuotaUnit, tokens: Option<(u32, u32)>) -> u64 {
    let units = match (unit, tokens) {
        (QuotaUnit::Requests, _) => 1,
        (QuotaUnit::Tokens { .. }, Some((prompt, output))) => u64::from(prompt) + u64::from(output),
        (QuotaUnit::Tokens { default }, None) => u64::from(default),
    };
    units * 1_000
}

/// A token bucket; its level may be negative.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::control::dispatch::bucket::TokenBucket;
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1);
/// let mut bucket = TokenBucket::new(now, -500);
/// bucket.refill(now + Duration::from_secs(2), 1_000, 1_200);
/// assert_eq!(bucket.level, 1_200);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenBucket {
    /// The credit in it.
    pub level: i64,
    /// Up to when it was refilled.
    at: Timestamp,
}

impl TokenBucket {
    /// Returns a bucket with a level.
    pub fn new(at: Timestamp, level: i64) -> TokenBucket {
        TokenBucket { level, at }
    }

    /// Adds what a rate gives since the last call, up to `cap`.
    pub fn refill(&mut self, now: Timestamp, rate: u64, cap: i64) {
        let micros = (now - self.at).as_micros();
        let gain = micros * u128::from(rate) / SECOND;
        let level = i128::from(self.level) + i128::try_from(gain).unwrap_or(i128::MAX / 2);
        if level >= i128::from(cap) {
            (self.level, self.at) = (cap, self.at.max(now));
            return;
        }
        // The time of a fraction of a thousandth counts at the next call.
        let used = (gain * SECOND).div_ceil(u128::from(rate.max(1)));
        self.level = i64::try_from(level).unwrap_or(i64::MAX);
        self.at = self.at + Duration::from_micros(u64::try_from(used).unwrap_or(u64::MAX));
    }

    /// Takes so much credit.
    pub fn take(&mut self, amount: u64) {
        self.level = self.level.saturating_sub(signed(amount));
    }
}

/// Returns how long a bucket with a level takes until it covers a cost.
pub fn time_to_room(level: i64, cost: u64, rate: u64) -> Duration {
    let missing = i128::from(cost) - i128::from(level);
    let micros = u128::try_from(missing).unwrap_or(0) * SECOND / u128::from(rate.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Returns an amount of credit as a number that may be negative.
pub fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}

/// Returns a level as an amount; a negative one is none.
pub fn unsigned(level: i64) -> u64 {
    u64::try_from(level).unwrap_or(0)
}
