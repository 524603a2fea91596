//! Turns of client accounts whose calls wait for the same capacity: deficit round robin.
//!
//! Made for one account that sends many times its usual load: it must not take the capacity that
//! the other accounts use. The deficit is kept as a count of what an account has used, in proportion
//! to its weight. An account whose count is in an earlier round goes first; accounts in the same
//! round are equal, and their calls are ordered by other means. A count that needs no round to be
//! walked costs the same with thousands of accounts.

use std::borrow::Borrow;
use std::collections::BTreeMap;

/// The unit in which use is counted, as a part of what a weight of 1 entitles to in one round.
const ROUND: u64 = 1 << 20;
/// The rounds in a second of an account's rate: a usual call of 3,200 tokens is one round of an
/// account with a rate of 100,000 tokens a second.
const ROUNDS_PER_SECOND: u64 = 32;

/// What accounts have used of the capacity that they share.
///
/// ```
/// use dotterelpin::model::Turns;
///
/// // In each round an account of weight 2 may use 200 tokens, and one of weight 1 may use 100.
/// let mut turns = Turns::new(100);
/// turns.join("large");
/// turns.join("small");
/// turns.charge("large", 2, 100);
/// turns.charge("small", 1, 100);
/// assert!(turns.round("large") < turns.round("small"));
/// turns.charge("large", 2, 100);
/// assert_eq!(turns.round("large"), turns.round("small"));
/// ```
#[derive(Debug, Clone)]
pub struct Turns<K> {
    /// The units that a weight of `scale` entitles to in one round.
    quantum: u64,
    scale: u64,
    /// The use of each account, in parts of `ROUND`.
    used: BTreeMap<K, u64>,
    /// The largest use of an account at the time one of its calls was started.
    reached: u64,
}

impl<K: Ord> Turns<K> {
    /// Creates turns in which a weight of 1 entitles to so many units in each round.
    pub fn new(quantum: u64) -> Turns<K> {
        Turns { quantum: quantum.max(1), scale: 1, used: BTreeMap::new(), reached: 0 }
    }

    /// Creates turns for client accounts, whose weight is the rate of their quota in tokens a
    /// second: in one round an account may use what its rate allows in a 32nd of a second.
    pub fn of_rates() -> Turns<K> {
        Turns { scale: ROUNDS_PER_SECOND, ..Turns::new(1) }
    }

    /// Returns the round in which an account has its next turn.
    pub fn round<Q: Ord + ?Sized>(&self, account: &Q) -> u64
    where
        K: Borrow<Q>,
    {
        self.used.get(account).copied().unwrap_or(self.reached) / ROUND
    }

    /// Records that an account without waiting calls has one again. Time without calls gains it
    /// no advantage over those that have waited.
    pub fn join(&mut self, account: K) {
        let used = self.used.entry(account).or_default();
        *used = (*used).max(self.reached);
    }

    /// Records that a call of an account was started.
    pub fn charge(&mut self, account: K, weight: u64, units: u64) {
        let used = self.used.entry(account).or_insert(self.reached);
        self.reached = self.reached.max(*used);
        *used = used.saturating_add(part(self.quantum, self.scale, weight, units));
    }

    /// Takes back the charge for a call that was not started after all.
    pub fn refund<Q: Ord + ?Sized>(&mut self, account: &Q, weight: u64, units: u64)
    where
        K: Borrow<Q>,
    {
        let part = part(self.quantum, self.scale, weight, units);
        if let Some(used) = self.used.get_mut(account) {
            *used = used.saturating_sub(part);
        }
    }

    /// Returns a copy for some of the accounts, to plan their next turns.
    ///
    /// ```
    /// use dotterelpin::model::Turns;
    ///
    /// let mut turns: Turns<Box<str>> = Turns::new(100);
    /// turns.charge("a".into(), 1, 250);
    /// let mut plan = turns.among(["a", "b"]);
    /// assert_eq!((plan.round("a"), plan.round("b")), (2, 0));
    /// plan.charge("b", 1, 100);
    /// assert_eq!((plan.round("b"), turns.round("b")), (1, 0));
    /// ```
    pub fn among<'a, Q: Ord + ?Sized>(
        &self,
        accounts: impl IntoIterator<Item = &'a Q>,
    ) -> Turns<&'a Q>
    where
        K: Borrow<Q>,
    {
        let known = |name: &'a Q| Some((name, *self.used.get(name)?));
        let used = accounts.into_iter().filter_map(known).collect();
        Turns { used, quantum: self.quantum, scale: self.scale, reached: self.reached }
    }

    /// Forgets an account without waiting calls, if it is not ahead of the others: it is equal to a
    /// new one then. Returns whether it is forgotten.
    pub fn leave<Q: Ord + ?Sized>(&mut self, account: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        let is_equal = self.used.get(account).is_none_or(|used| *used <= self.reached);
        if is_equal {
            self.used.remove(account);
        }
        is_equal
    }

    /// Forgets the accounts that are not ahead of the others and of which none waits.
    pub fn retain(&mut self, mut waits: impl FnMut(&K) -> bool) {
        let reached = self.reached;
        self.used.retain(|account, used| *used > reached || waits(account));
    }
}

/// Returns what units count for an account, in parts of `ROUND`.
fn part(quantum: u64, scale: u64, weight: u64, units: u64) -> u64 {
    let entitled = u128::from(quantum) * u128::from(weight.max(1));
    let part = u128::from(units) * u128::from(scale) * u128::from(ROUND) / entitled;
    u64::try_from(part).unwrap_or(u64::MAX)
}
