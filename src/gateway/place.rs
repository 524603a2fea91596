//! Where a call to a model runs.
//!
//! Answers a burst on engines that are nearly full: prompts queue at a few prefill endpoints while
//! decode endpoints run out of KV cache. A call gets a decode endpoint with room for its prompt and
//! its answer before its prompt is read, since KV cache that nobody takes is lost within a second.
//! Endpoints of the same failure domain go together, since KV cache moves between them.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The part of an engine's memory that placements fill, in percent; the rest covers answers that
/// grow longer than estimated and the blocks in which memory is handed out.
const FILL_PERCENT: u64 = 97;
/// How many endpoints with room are compared.
const PICKS: u32 = 2;
/// Tokens of backlog that a prefill endpoint in another failure domain must have less.
const REMOTE_PENALTY_TOKENS: u64 = 4_000;
/// Load, in thousandths, that a decode endpoint in another failure domain must have less.
const REMOTE_PENALTY_LOAD: u64 = 60;

/// What a decode endpoint has in use, by the best estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeLoad<K> {
    /// The endpoint.
    pub key: K,
    /// Whether it is in the gateway's failure domain.
    pub local: bool,
    /// Requests in use.
    pub slots_used: u32,
    /// Requests that fit.
    pub slots: u32,
    /// Tokens in use.
    pub tokens_used: u32,
    /// Tokens that fit.
    pub tokens: u32,
}

/// What a prefill endpoint has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillLoad<K> {
    /// The endpoint.
    pub key: K,
    /// Whether it is in the failure domain of the decode endpoint.
    pub local: bool,
    /// Requests in use.
    pub slots_used: u32,
    /// Requests that fit.
    pub slots: u32,
    /// Prompt tokens that wait or are read.
    pub backlog: u32,
}

impl<K> DecodeLoad<K> {
    /// Returns whether a request of so many tokens fits.
    pub fn fits(&self, need: u32) -> bool {
        let room = u64::from(self.tokens) * FILL_PERCENT / 100;
        let used = u64::from(self.tokens_used) + u64::from(need);
        // A request that is larger than the share that is filled runs alone.
        let alone = self.slots_used == 0 && need <= self.tokens;
        self.slots_used < self.slots && (used <= room || alone)
    }

    fn load(&self) -> u64 {
        let part = |used: u32, all: u32| u64::from(used) * 1_000 / u64::from(all.max(1));
        let load = part(self.tokens_used, self.tokens).max(part(self.slots_used, self.slots));
        if self.local { load } else { load + REMOTE_PENALTY_LOAD }
    }
}

/// Returns a decode endpoint with room: the one with less load of a few that `draw` picks, so that
/// gateways with the same reports don't all choose the same endpoint.
///
/// ```
/// use dotterelpin::gateway::place::{DecodeLoad, place_decode};
///
/// let load = |key, tokens_used| DecodeLoad {
///     key, local: true, slots_used: 1, slots: 12, tokens_used, tokens: 30_000,
/// };
/// let loads = [load(1, 20_000), load(2, 9_000), load(3, 29_000)];
/// // Number 3 has no room; of the others the draw compares two.
/// assert!(matches!(place_decode(loads.iter().copied(), 3_000, 7), Some(1 | 2)));
/// assert_eq!(place_decode(loads.iter().copied(), 25_000, 7), None);
/// ```
pub fn place_decode<K: Copy + Ord>(
    loads: impl Iterator<Item = DecodeLoad<K>>,
    need: u32,
    draw: u64,
) -> Option<K> {
    let fitting: Vec<DecodeLoad<K>> = loads.filter(|l| l.fits(need)).collect();
    let count = fitting.len() as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(draw);
    let picks = (0..PICKS).filter_map(|_| {
        let number = rng.next_u64().checked_rem(count)?;
        fitting.get(number as usize)
    });
    picks.min_by_key(|l| (l.load(), l.key)).map(|l| l.key)
}

/// Returns the prefill endpoint with the least backlog, if one can begin before `most` tokens.
///
/// A gateway knows its own prompts only, so most endpoints look idle: `draw` chooses among those
/// alike, or all gateways would send their prompts to the same one.
pub fn place_prefill<K: Copy + Ord>(
    loads: impl Iterator<Item = PrefillLoad<K>>,
    max_backlog: u32,
    draw: u64,
) -> Option<K> {
    let fits = |l: &PrefillLoad<K>| l.slots_used < l.slots && l.backlog <= max_backlog;
    let cost = |l: &PrefillLoad<K>| {
        let remote = if l.local { 0 } else { REMOTE_PENALTY_TOKENS };
        u64::from(l.backlog) + remote
    };
    let fitting: Vec<PrefillLoad<K>> = loads.filter(fits).collect();
    let least = fitting.iter().map(cost).min()?;
    let alike: Vec<K> = fitting.iter().filter(|l| cost(l) == least).map(|l| l.key).collect();
    alike.get(draw.checked_rem(alike.len() as u64)? as usize).copied()
}
