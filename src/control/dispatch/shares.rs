//! The shares that kinds of calls have of the capacity that was assigned lately.
//!
//! Made for ranks that would starve others: a flood of urgent calls, or a burst that outlasts the
//! retry times of the callers that it had refused.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::model::{Rank, Timestamp};

/// The window over which shares are measured.
const SHARE_WINDOW: Duration = Duration::from_millis(2_000);
/// The percentage of the assigned tokens that a kind and all worse ones get together while they wait.
const FLOOR_PERCENT: u64 = 5;
/// The percentage of the tokens assigned to a kind that its late calls get while they wait. They were
/// refused once and have no further retry; a larger share would refuse more calls that are in time
/// than it serves late ones.
pub const LATE_PERCENT: u64 = 10;

/// What was assigned lately.
#[derive(Debug, Default)]
pub struct Assigned {
    /// When, to which rank, and how many tokens.
    runs: VecDeque<(Timestamp, Rank, u32)>,
}

impl Assigned {
    /// Records that tokens were assigned to a call.
    pub fn record(&mut self, now: Timestamp, rank: Rank, tokens: u32) {
        self.runs.push_back((now, rank, tokens));
    }

    /// Forgets what was assigned before the window.
    pub fn expire(&mut self, now: Timestamp) {
        while self.runs.front().is_some_and(|(at, ..)| now - *at >= SHARE_WINDOW) {
            self.runs.pop_front();
        }
    }

    /// Returns whether nothing was assigned within the window.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the tokens that were assigned within the last `span` of the window.
    pub fn since(&self, now: Timestamp, span: Duration) -> u64 {
        let recent = self.runs.iter().rev().take_while(|(at, ..)| now - *at < span);
        recent.map(|(.., tokens)| u64::from(*tokens)).sum()
    }

    /// Returns what each kind has of the tokens.
    pub fn shares(&self) -> Shares {
        let mut shares = Shares::default();
        for (_, rank, tokens) in &self.runs {
            let tokens = u64::from(*tokens);
            *shares.kinds.entry(rank.kind()).or_default() += tokens;
            if rank.late {
                *shares.late.entry(rank.kind()).or_default() += tokens;
            }
            shares.total += tokens;
        }
        shares
    }
}

/// What each kind of call has of the tokens that were assigned lately.
///
/// ```
/// use dotterelpin::control::dispatch::shares::Assigned;
/// use dotterelpin::model::{Rank, Timestamp};
///
/// let urgent = Rank { account: 0, priority: 0, late: false };
/// let mut assigned = Assigned::default();
/// assigned.record(Timestamp::from_micros(1), urgent, 4_000);
/// let shares = assigned.shares();
/// assert!(shares.has_floor((0, 0)) && !shares.has_floor((2, 2)));
/// assert!(!shares.has_late_share((0, 0)) && shares.has_late_share((2, 2)));
/// ```
#[derive(Debug, Default)]
pub struct Shares {
    kinds: BTreeMap<(u8, u8), u64>,
    /// What the late calls of each kind have of that.
    late: BTreeMap<(u8, u8), u64>,
    total: u64,
}

impl Shares {
    /// Returns whether a kind has its floor, together with all worse ones; one that has less goes
    /// before all others. If each kind had a floor of its own, many kinds of few calls would take
    /// most of the capacity before the best one.
    pub fn has_floor(&self, kind: (u8, u8)) -> bool {
        let tokens: u64 = self.kinds.range(kind..).map(|(_, tokens)| tokens).sum();
        tokens * 100 >= self.total * FLOOR_PERCENT
    }

    /// Returns whether the late calls of a kind have their share of it; if they have less, they go
    /// before the calls in time.
    pub fn has_late_share(&self, kind: (u8, u8)) -> bool {
        let late = self.late.get(&kind).copied().unwrap_or_default();
        late * 100 >= self.kinds.get(&kind).copied().unwrap_or_default() * LATE_PERCENT
    }
}
