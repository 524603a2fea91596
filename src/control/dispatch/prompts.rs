//! Assigns prompts to prefill endpoints, for all gateways.
//!
//! This matters while prefill endpoints are busy most of the time. Each gateway knows only its own
//! prompts; if each chose on its own, prompts would share some endpoints while others were idle,
//! and the capacity reserved for them at decode endpoints would be unused meanwhile. So the leader
//! counts the tokens of all running prefills and assigns each prompt to the endpoint that is
//! expected to finish it first, by its tokens and its learned speed. The count is soft state: a new leader starts with an empty one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Candidate, rates};
use crate::gateway::place::locality::{DomainTerms, Times, Work};
use crate::gateway::place::speed::USUAL_PERCENT;
use crate::model::Timestamp;

/// How long a prompt counts if its end is not reported.
const PROMPT_TTL: Duration = Duration::from_millis(2_000);
/// The backlog of an endpoint, in tokens, from which it is assigned no further prompt: more would
/// take as long as a call's target there, or be refused by the endpoint.
const MAX_BACKLOG_TOKENS: u64 = 16_000;

/// A request to assign a prompt to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptRequest {
    /// The length of the prompt in tokens.
    pub tokens: u32,
    /// The endpoints to choose from.
    pub candidates: Vec<Candidate>,
}

/// A prompt that an endpoint is prefilling.
#[derive(Debug, Clone, Copy)]
struct Prefill {
    tokens: u32,
    since: Timestamp,
}

/// The prompts that are being prefilled, by endpoint.
///
/// ```
/// use dotterelpin::control::dispatch::Candidate;
/// use dotterelpin::control::dispatch::prompts::{PromptRequest, Prompts};
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1);
/// let candidate = |name: &str| Candidate::new(name, true);
/// let request = PromptRequest { tokens: 3_000, candidates: vec![candidate("a"), candidate("b")] };
/// let mut prompts = Prompts::default();
/// assert_eq!(prompts.assign(now, &request).as_deref(), Some("a"));
/// assert_eq!(prompts.assign(now, &request).as_deref(), Some("b"));
/// prompts.ended("b", 3_000);
/// assert_eq!(prompts.assign(now, &request).as_deref(), Some("b"));
/// ```
#[derive(Debug, Default)]
pub struct Prompts {
    running: BTreeMap<Box<str>, Vec<Prefill>>,
    /// When each endpoint was last assigned a prompt; ties go to the endpoint that has waited
    /// longest.
    last: BTreeMap<Box<str>, Timestamp>,
}

impl Prompts {
    /// Returns the endpoint that is to prefill a prompt, and counts the prompt there; `None` if all
    /// candidates have as many prompts as they can prefill in time.
    pub fn assign(&mut self, now: Timestamp, request: &PromptRequest) -> Option<Box<str>> {
        self.expire(now);
        let times =
            Times::new(Work::CountedPrompt, DomainTerms::default(), &rates(&request.candidates));
        let cost = |(at, c): &(usize, &Candidate)| {
            let last = self.last.get(&c.endpoint).copied().unwrap_or_default();
            let work = self.backlog(&c.endpoint) + u64::from(request.tokens);
            (c.cost(*at, &times, work), last)
        };
        let open = |(at, c): &(usize, &Candidate)| {
            let backlog = self.backlog(&c.endpoint);
            // The bound is a time at a slow endpoint and a number of tokens at a fast one.
            backlog * 100 < MAX_BACKLOG_TOKENS * u64::from(times.percent(*at).min(USUAL_PERCENT))
        };
        let candidates = request.candidates.iter().enumerate();
        let (_, chosen) = candidates.filter(open).min_by_key(cost)?;
        let chosen = chosen.endpoint.clone();
        let prefill = Prefill { tokens: request.tokens, since: now };
        self.running.entry(chosen.clone()).or_default().push(prefill);
        self.last.insert(chosen.clone(), now);
        Some(chosen)
    }

    /// Removes one prompt of this length from the count of an endpoint.
    pub fn ended(&mut self, endpoint: &str, tokens: u32) {
        let Some(prefills) = self.running.get_mut(endpoint) else { return };
        if let Some(at) = prefills.iter().position(|r| r.tokens == tokens) {
            prefills.remove(at);
        }
    }

    /// Returns the tokens of other prompts that count at an endpoint to which a prompt of so many
    /// tokens was assigned.
    pub fn ahead(&self, endpoint: &str, tokens: u32) -> u32 {
        let ahead = self.backlog(endpoint).saturating_sub(tokens.into());
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Returns the tokens of the prompts that count at an endpoint.
    pub fn backlog(&self, endpoint: &str) -> u64 {
        let prefills = self.running.get(endpoint).map_or(&[][..], Vec::as_slice);
        prefills.iter().map(|r| u64::from(r.tokens)).sum()
    }

    fn expire(&mut self, now: Timestamp) {
        for prefills in self.running.values_mut() {
            prefills.retain(|r| now - r.since < PROMPT_TTL);
        }
        self.running.retain(|_, prefills| !prefills.is_empty());
        self.last.retain(|_, at| now - *at < PROMPT_TTL);
    }
}
