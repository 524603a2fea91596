//! Placement of calls to models on prefill and decode endpoints.
//!
//! In a burst on engines that are nearly full, prompts queue at a few prefill endpoints while
//! decode endpoints run out of KV cache. A call gets a decode endpoint with capacity for its prompt
//! and answer before its prefill runs, since exported KV cache that is not fetched is lost within a
//! second. Endpoints of the same failure domain are preferred as a pair, since KV cache is
//! transferred between them. Of those with capacity, the one with the least expected time by its
//! learned speed is chosen; where no speeds are learned, the least loaded one.

pub mod pace;
pub mod speed;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use speed::{USUAL_PERCENT, WorkRate, expected_time, percents};

/// The percentage of an engine's memory that placements fill; the rest covers answers that grow
/// longer than estimated and the allocation of memory in blocks.
const FILL_PERCENT: u64 = 97;
/// How many endpoints with capacity are drawn and compared.
const PICKS: u32 = 2;
/// How many calls a plain endpoint in another failure domain must have less for it to be preferred.
const REMOTE_CALLS: u64 = 1;
/// By how many tokens the backlog of a prefill endpoint in another failure domain must be smaller
/// for it to be preferred.
const REMOTE_PENALTY_TOKENS: u64 = 4_000;
/// By how many thousandths the load of a decode endpoint in another failure domain must be smaller
/// for it to be preferred.
const REMOTE_PENALTY_LOAD: u64 = 60;
/// The step time of an idle decode endpoint in thousandths; each thousandth of load adds one. So a
/// full endpoint counts as twice as slow as an idle one.
pub const IDLE_STEP: u64 = 1_000;

/// The estimated load of a decode endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeLoad<K> {
    /// The endpoint.
    pub key: K,
    /// Whether it is in the gateway's failure domain.
    pub local: bool,
    /// Running and waiting requests.
    pub slots_used: u32,
    /// The maximum of running requests.
    pub slots: u32,
    /// Tokens of KV cache in use.
    pub tokens_used: u32,
    /// Tokens that fit into its KV cache.
    pub tokens: u32,
    /// Its learned rate of decode steps, as on an idle endpoint.
    pub rate: Option<WorkRate>,
}

/// The load of a prefill endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillLoad<K> {
    /// The endpoint.
    pub key: K,
    /// Whether it is in the failure domain of the decode endpoint.
    pub local: bool,
    /// Prefills of this gateway that run or wait there.
    pub slots_used: u32,
    /// The maximum of running requests.
    pub slots: u32,
    /// Prompt tokens whose prefill runs or waits there.
    pub backlog: u32,
    /// Its learned rate of prompt tokens.
    pub rate: Option<WorkRate>,
}

/// Returns the time of a step at a decode endpoint with so many of its slots and tokens in use, in
/// thousandths of that of an idle one.
pub fn step_under_load(slots_used: u32, slots: u32, tokens_used: u32, tokens: u32) -> u64 {
    let part = |used: u32, all: u32| u64::from(used) * 1_000 / u64::from(all.max(1));
    IDLE_STEP + part(tokens_used, tokens).max(part(slots_used, slots))
}

impl<K> DecodeLoad<K> {
    /// Returns whether a request that needs so many tokens fits.
    pub fn fits(&self, need: u32) -> bool {
        let limit = u64::from(self.tokens) * FILL_PERCENT / 100;
        let used = u64::from(self.tokens_used) + u64::from(need);
        // A request that exceeds the filled percentage fits on an endpoint without other requests.
        let alone = self.slots_used == 0 && need <= self.tokens;
        self.slots_used < self.slots && (used <= limit || alone)
    }

    /// Returns the time of a decode step under the present load, in thousandths of that of an idle
    /// endpoint of the same speed.
    pub fn step(&self) -> u64 {
        step_under_load(self.slots_used, self.slots, self.tokens_used, self.tokens)
    }

    fn cost(&self, percent: u32) -> u64 {
        let remote = if self.local { 0 } else { REMOTE_PENALTY_LOAD };
        expected_time(self.step(), percent) + expected_time(remote, USUAL_PERCENT)
    }
}

/// Returns the expected time of another call at an endpoint of a plain service that runs so many
/// calls of this gateway: these and the new one, at its speed in percent of the usual one.
///
/// ```
/// use dotterelpin::gateway::place::plain_cost;
///
/// assert_eq!(plain_cost(2, false, 100), plain_cost(3, true, 100));
/// assert!(plain_cost(0, true, 51) > plain_cost(0, true, 100));
/// ```
pub fn plain_cost(calls: u32, local: bool, percent: u32) -> u64 {
    let remote = if local { 0 } else { REMOTE_CALLS };
    expected_time(u64::from(calls) + 1, percent) + expected_time(remote, USUAL_PERCENT)
}

/// Returns a decode endpoint with capacity: the one with the shortest expected step of a few that
/// `draw` picks, so that gateways with the same reports don't all choose the same endpoint.
///
/// ```
/// use dotterelpin::gateway::place::{DecodeLoad, place_decode};
///
/// let load = |key, tokens_used| DecodeLoad {
///     key, local: true, slots_used: 1, slots: 12, tokens_used, tokens: 30_000, rate: None,
/// };
/// let loads = [load(1, 20_000), load(2, 9_000), load(3, 29_000)];
/// // Number 3 has no capacity; of the others, two are drawn and compared.
/// assert!(matches!(place_decode(loads.iter().copied(), 3_000, 7), Some(1 | 2)));
/// assert_eq!(place_decode(loads.iter().copied(), 25_000, 7), None);
/// ```
pub fn place_decode<K: Copy + Ord>(
    loads: impl Iterator<Item = DecodeLoad<K>>,
    need: u32,
    draw: u64,
) -> Option<K> {
    let fitting: Vec<DecodeLoad<K>> = loads.filter(|l| l.fits(need)).collect();
    let percents = percents(&fitting.iter().map(|l| l.rate).collect::<Vec<_>>());
    let count = fitting.len() as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(draw);
    let picks = (0..PICKS).filter_map(|_| {
        let number = rng.next_u64().checked_rem(count)? as usize;
        Some((fitting.get(number)?, percents.get(number)?))
    });
    picks.min_by_key(|(l, percent)| (l.cost(**percent), l.key)).map(|(l, _)| l.key)
}

/// Returns the prefill endpoint that is expected to finish a prompt of so many tokens first, of
/// those whose backlog is at most `max_backlog` tokens.
///
/// A gateway knows only its own prompts, so most endpoints look idle: `draw` breaks ties, or else
/// all gateways would send their prompts to the same endpoint.
pub fn place_prefill<K: Copy + Ord>(
    loads: impl Iterator<Item = PrefillLoad<K>>,
    tokens: u32,
    max_backlog: u32,
    draw: u64,
) -> Option<K> {
    let fits = |l: &PrefillLoad<K>| l.slots_used < l.slots && l.backlog <= max_backlog;
    let fitting: Vec<PrefillLoad<K>> = loads.filter(fits).collect();
    let percents = percents(&fitting.iter().map(|l| l.rate).collect::<Vec<_>>());
    let cost = |(l, percent): (&PrefillLoad<K>, &u32)| {
        let remote = if l.local { 0 } else { REMOTE_PENALTY_TOKENS };
        let work = u64::from(l.backlog) + u64::from(tokens);
        expected_time(work, *percent) + expected_time(remote, USUAL_PERCENT)
    };
    let costs: Vec<u64> = fitting.iter().zip(&percents).map(cost).collect();
    let least = *costs.iter().min()?;
    let tied = fitting.iter().zip(&costs).filter(|(_, cost)| **cost == least);
    let tied: Vec<K> = tied.map(|(l, _)| l.key).collect();
    tied.get(draw.checked_rem(tied.len() as u64)? as usize).copied()
}
