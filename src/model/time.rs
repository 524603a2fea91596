//! Points in time, which roles receive as an argument.

use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A point in time in microseconds since the Unix epoch.
///
/// Roles get the present time as an argument and never read a clock.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(5);
/// assert_eq!(now + Duration::from_micros(2), Timestamp::from_micros(7));
/// assert_eq!(now - Timestamp::from_micros(9), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest point in time that can be represented.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates a point in time from microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the point in time a span before this one, or the epoch if that is later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelpin::model::Timestamp;
    ///
    /// let now = Timestamp::from_micros(5);
    /// assert_eq!(now.saturating_sub(Duration::from_micros(2)), Timestamp::from_micros(3));
    /// assert_eq!(now.saturating_sub(Duration::from_micros(9)), Timestamp::default());
    /// ```
    pub fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }

    /// Reads the system clock; roles must not call this.
    pub fn from_system() -> Timestamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp(since.as_micros() as u64)
    }

    /// Returns the system time at the process's first call plus the monotonic time since then, so
    /// that jumps of the system clock don't affect leases and timeouts. Roles must not call this.
    pub fn from_steady() -> Timestamp {
        static FIRST: OnceLock<(Instant, Timestamp)> = OnceLock::new();
        let (first, at) = FIRST.get_or_init(|| (Instant::now(), Timestamp::from_system()));
        *at + first.elapsed()
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Duration) -> Timestamp {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
