//! Placement of calls to models on prefill and decode endpoints.
//!
//! In a burst on engines that are nearly full, prompts queue at a few prefill endpoints while
//! decode endpoints run out of KV cache. A call gets a decode endpoint with capacity for its prompt
//! and answer before its prefill runs, since exported KV cache that is not fetched is lost within a
//! second. Endpoints of the same failure domain are preferred as a pair, since KV cache is
//! transferred between them. Of those with capacity, the one with the least expected time by its
//! learned speed is chosen; where no speeds are learned, the least loaded one.

mod learn;
pub mod locality;
pub mod pace;
pub mod speed;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use locality::{DomainTerms, Times, Work};
use speed::WorkRate;

/// The percentage of an engine's memory that placements fill; the rest covers answers that grow
/// longer than estimated and the allocation of memory in blocks.
const FILL_PERCENT: u64 = 97;
/// How many endpoints with capacity are drawn and compared.
const PICKS: u32 = 2;
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

/// The load of an endpoint of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlainLoad<K> {
    /// The endpoint.
    pub key: K,
    /// Whether it is in the gateway's failure domain.
    pub local: bool,
    /// Calls of this gateway that it runs.
    pub calls: u32,
    /// Its learned rate of calls.
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
}

/// Returns the endpoint of a plain service that is expected to answer another call first: by its
/// calls of this gateway and the new one, and its learned speed. `leaves` restricts the choice to
/// endpoints of other domains, or to those of this one, as long as there are any; else the crossing
/// counts. Of equal ones that is chosen which comes first after `draw` among `count`.
///
/// ```
/// use dotterelpin::gateway::place::locality::DomainTerms;
/// use dotterelpin::gateway::place::{PlainLoad, place_plain};
///
/// let load = |key, local, calls| PlainLoad { key, local, calls, rate: None };
/// let loads = [load(1, true, 2), load(2, false, 0)];
/// let place = |leaves| place_plain(&loads, DomainTerms::default(), leaves, 2, 0);
/// assert_eq!([place(None), place(Some(true)), place(Some(false))], [Some(2), Some(2), Some(1)]);
/// ```
pub fn place_plain<K: Copy>(
    loads: &[PlainLoad<K>],
    terms: DomainTerms,
    leaves: Option<bool>,
    count: usize,
    draw: u64,
) -> Option<K> {
    let times = Times::new(Work::Call, terms, &loads.iter().map(|l| l.rate).collect::<Vec<_>>());
    let chosen = leaves.filter(|leaves| loads.iter().any(|l| l.local != *leaves));
    let allowed = |l: &PlainLoad<K>| chosen.is_none_or(|leaves| l.local != leaves);
    let cost = |(at, l): &(usize, &PlainLoad<K>)| {
        let turn = draw.wrapping_add(*at as u64) % count.max(1) as u64;
        (times.cost(*at, u64::from(l.calls) + 1, l.local || chosen.is_some()), turn)
    };
    let usable = loads.iter().enumerate().filter(|(_, l)| allowed(l));
    usable.min_by_key(cost).map(|(_, l)| l.key)
}

/// Returns a decode endpoint with capacity: the one with the shortest expected step of a few that
/// `draw` picks, so that gateways with the same reports don't all choose the same endpoint.
///
/// ```
/// use dotterelpin::gateway::place::locality::DomainTerms;
/// use dotterelpin::gateway::place::{DecodeLoad, place_decode};
///
/// let load = |key, tokens_used| DecodeLoad {
///     key, local: true, slots_used: 1, slots: 12, tokens_used, tokens: 30_000, rate: None,
/// };
/// let loads = [load(1, 20_000), load(2, 9_000), load(3, 29_000)];
/// // Number 3 has no capacity; of the others, two are drawn and compared.
/// let place = |need| place_decode(loads.iter().copied(), DomainTerms::default(), need, 7);
/// assert!(matches!(place(3_000), Some(1 | 2)));
/// assert_eq!(place(25_000), None);
/// ```
pub fn place_decode<K: Copy + Ord>(
    loads: impl Iterator<Item = DecodeLoad<K>>,
    terms: DomainTerms,
    need: u32,
    draw: u64,
) -> Option<K> {
    let fitting: Vec<DecodeLoad<K>> = loads.filter(|l| l.fits(need)).collect();
    let times = Times::new(Work::Run, terms, &fitting.iter().map(|l| l.rate).collect::<Vec<_>>());
    let count = fitting.len() as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(draw);
    let picks = (0..PICKS).filter_map(|_| {
        let number = rng.next_u64().checked_rem(count)? as usize;
        Some((number, fitting.get(number)?))
    });
    let cost = |(at, l): &(usize, &DecodeLoad<K>)| (times.cost(*at, l.step(), l.local), l.key);
    picks.min_by_key(cost).map(|(_, l)| l.key)
}

/// Returns the prefill endpoint that is expected to finish a prompt of so many tokens first, of
/// those whose backlog is at most `max_backlog` tokens.
///
/// A gateway knows only its own prompts, so most endpoints look idle: `draw` breaks ties, or else
/// all gateways would send their prompts to the same endpoint.
pub fn place_prefill<K: Copy + Ord>(
    loads: impl Iterator<Item = PrefillLoad<K>>,
    terms: DomainTerms,
    tokens: u32,
    max_backlog: u32,
    draw: u64,
) -> Option<K> {
    let fits = |l: &PrefillLoad<K>| l.slots_used < l.slots && l.backlog <= max_backlog;
    let fitting: Vec<PrefillLoad<K>> = loads.filter(fits).collect();
    let rates: Vec<Option<WorkRate>> = fitting.iter().map(|l| l.rate).collect();
    let times = Times::new(Work::OwnPrompt, terms, &rates);
    let cost = |(at, l): (usize, &PrefillLoad<K>)| {
        times.cost(at, u64::from(l.backlog) + u64::from(tokens), l.local)
    };
    let costs: Vec<u64> = fitting.iter().enumerate().map(cost).collect();
    let least = *costs.iter().min()?;
    let tied = fitting.iter().zip(&costs).filter(|(_, cost)| **cost == least);
    let tied: Vec<K> = tied.map(|(l, _)| l.key).collect();
    tied.get(draw.checked_rem(tied.len() as u64)? as usize).copied()
}
