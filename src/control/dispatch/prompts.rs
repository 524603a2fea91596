//! Which prefill endpoint reads the next prompt, for all gateways together.
//!
//! Answers a load under which prefill endpoints are busy for most of the time. Each gateway knows
//! its own prompts only; if each chooses by itself, prompts share some endpoints while others
//! stand idle, and the room that is held for them at decode endpoints waits with them. The member
//! that leads counts the tokens that are being read anywhere and gives each prompt to the endpoint
//! that has the fewest. The count is soft state: a new leader begins without one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Candidate;
use crate::model::Timestamp;

/// How long a prompt counts whose end is not told.
const PROMPT_TTL: Duration = Duration::from_millis(2_000);
/// Tokens that an endpoint in another failure domain must have less.
const REMOTE_PENALTY_TOKENS: u64 = 2_000;

/// A question which endpoint shall read a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTicket {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// The endpoints that may.
    pub candidates: Vec<Candidate>,
}

/// A prompt that an endpoint reads.
#[derive(Debug, Clone, Copy)]
struct Prefill {
    tokens: u32,
    since: Timestamp,
}

/// The prompts that are being read.
///
/// ```
/// use dotterelpin::control::dispatch::Candidate;
/// use dotterelpin::control::dispatch::prompts::{PromptTicket, Prompts};
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1);
/// let candidate = |name: &str| Candidate { endpoint: name.into(), local: true };
/// let ticket = PromptTicket { tokens: 3_000, candidates: vec![candidate("a"), candidate("b")] };
/// let mut prompts = Prompts::default();
/// assert_eq!(prompts.assign(now, &ticket).as_deref(), Some("a"));
/// assert_eq!(prompts.assign(now, &ticket).as_deref(), Some("b"));
/// prompts.ended("b", 3_000);
/// assert_eq!(prompts.assign(now, &ticket).as_deref(), Some("b"));
/// ```
#[derive(Debug, Default)]
pub struct Prompts {
    running: BTreeMap<Box<str>, Vec<Prefill>>,
    /// When each endpoint last got a prompt; among endpoints alike the one that rested longest
    /// gets the next.
    last: BTreeMap<Box<str>, Timestamp>,
}

impl Prompts {
    /// Returns the endpoint that shall read a prompt, and counts it there.
    pub fn assign(&mut self, now: Timestamp, ticket: &PromptTicket) -> Option<Box<str>> {
        self.expire(now);
        let cost = |c: &&Candidate| {
            let penalty = if c.local { 0 } else { REMOTE_PENALTY_TOKENS };
            let last = self.last.get(&c.endpoint).copied().unwrap_or_default();
            (self.backlog(&c.endpoint) + penalty, last)
        };
        let chosen = ticket.candidates.iter().min_by_key(cost)?.endpoint.clone();
        let prefill = Prefill { tokens: ticket.tokens, since: now };
        self.running.entry(chosen.clone()).or_default().push(prefill);
        self.last.insert(chosen.clone(), now);
        Some(chosen)
    }

    /// Takes note that an endpoint reads a prompt no more.
    pub fn ended(&mut self, endpoint: &str, tokens: u32) {
        let Some(prefills) = self.running.get_mut(endpoint) else { return };
        if let Some(at) = prefills.iter().position(|r| r.tokens == tokens) {
            prefills.remove(at);
        }
    }

    fn backlog(&self, endpoint: &str) -> u64 {
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
