//! Claims: each idempotency key belongs to one attempt at a time.

mod outcome;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use outcome::{MAX_KEPT_BYTES, Outcome};

use crate::model::{BootId, RequestId, Timestamp};

/// How many old claims one command may drop.
const MAX_EXPIRED: usize = 16;

/// Names a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The tenant.
    pub tenant: Box<str>,
    /// The caller's idempotency key.
    pub key: Box<str>,
}

/// The attempt that a claim stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt.
    pub request: RequestId,
    /// The hash of the call's content.
    pub hash: u64,
    /// Where the attempt goes; `None` for a call to a model, which may be repeated.
    pub target: Option<Target>,
    /// When the owner gives the call up.
    pub until: Timestamp,
    /// When the leader took the claim, by its clock.
    pub made: Timestamp,
}

/// The agent that alone may start an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The endpoint.
    pub endpoint: Box<str>,
    /// The start of the endpoint's agent.
    pub boot: BootId,
}

/// A claim with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The attempt.
    pub claim: Claim,
    /// The outcome, once it is known.
    pub outcome: Option<Outcome>,
}

/// What became of a command about a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim belongs to the proposed attempt.
    Granted,
    /// The key is held by this record.
    Held(ClaimRecord),
    /// The outcome is recorded, or the claim is released.
    Closed,
    /// The claim belongs to another attempt by now, or there is none.
    Lost,
}

/// All claims.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Claims {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    /// The keys in the order in which they expire.
    ages: BTreeSet<(Timestamp, ClaimKey)>,
}

impl Claims {
    /// Grants a claim if its key is free.
    pub fn claim(&mut self, key: &ClaimKey, claim: &Claim) -> ClaimReply {
        match self.records.get(key) {
            Some(record) if record.claim.request == claim.request && record.outcome.is_none() => {
                ClaimReply::Granted
            }
            Some(record) => ClaimReply::Held(record.clone()),
            None => {
                self.insert(key, claim);
                ClaimReply::Granted
            }
        }
    }

    /// Moves an open claim from an attempt that never starts to a new one.
    pub fn take_over(&mut self, key: &ClaimKey, from: RequestId, claim: &Claim) -> ClaimReply {
        let Some(record) = self.records.get(key) else { return ClaimReply::Lost };
        if record.outcome.is_some() {
            return ClaimReply::Held(record.clone());
        }
        if record.claim.request == claim.request {
            return ClaimReply::Granted;
        }
        if record.claim.request != from {
            return ClaimReply::Held(record.clone());
        }
        self.insert(key, claim);
        ClaimReply::Granted
    }

    /// Records the outcome of an attempt; the first outcome stands.
    pub fn finish(&mut self, key: &ClaimKey, request: RequestId, outcome: &Outcome) -> ClaimReply {
        let Some(record) = self.records.get_mut(key) else { return ClaimReply::Lost };
        if record.claim.request != request {
            return ClaimReply::Lost;
        }
        record.outcome.get_or_insert_with(|| outcome.clone());
        ClaimReply::Closed
    }

    /// Frees the key of an attempt that did not run.
    pub fn release(&mut self, key: &ClaimKey, request: RequestId) -> ClaimReply {
        match self.records.get(key) {
            Some(r) if r.claim.request == request && r.outcome.is_none() => {
                self.remove(key);
                ClaimReply::Closed
            }
            _ => ClaimReply::Lost,
        }
    }

    /// Drops some of the claims that are older than the retention.
    pub fn expire(&mut self, now: Timestamp, retention: Duration) {
        for _ in 0..MAX_EXPIRED {
            let Some((made, key)) = self.ages.first().cloned() else { return };
            if now - made <= retention {
                return;
            }
            self.remove(&key);
        }
    }

    /// Returns how many keys are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, key: &ClaimKey, claim: &Claim) {
        self.remove(key);
        self.ages.insert((claim.made, key.clone()));
        let record = ClaimRecord { claim: claim.clone(), outcome: None };
        self.records.insert(key.clone(), record);
    }

    fn remove(&mut self, key: &ClaimKey) {
        if let Some(record) = self.records.remove(key) {
            self.ages.remove(&(record.claim.made, key.clone()));
        }
    }
}
