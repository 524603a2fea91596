//! Claims of idempotency keys: each key belongs to one attempt at a time.

mod outcome;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use outcome::{MAX_KEPT_BYTES, Outcome};

use crate::model::{BootId, RequestId, Timestamp};

/// The maximum number of expired claims that one command removes.
const MAX_EXPIRED: usize = 16;

/// The key that identifies a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The tenant that the caller belongs to.
    pub tenant: Box<str>,
    /// The caller's idempotency key.
    pub key: Box<str>,
}

/// The claim of a key for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies the attempt.
    pub request: RequestId,
    /// The hash of the call's content.
    pub hash: u64,
    /// The agent that the attempt is sent to; `None` for a call to a model, which is repeatable.
    pub target: Option<Target>,
    /// When the call times out at its owner.
    pub until: Timestamp,
    /// When the leader received the claim, by the leader's clock.
    pub made: Timestamp,
}

/// The only agent that may start an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// Identifies the start of the endpoint's agent.
    pub boot: BootId,
}

/// A claim and the outcome of its attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claim.
    pub claim: Claim,
    /// The outcome; `None` until it is recorded.
    pub outcome: Option<Outcome>,
}

/// The result of a command about a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key is claimed for the proposed attempt.
    Granted,
    /// The key is already claimed, by this record.
    Held(ClaimRecord),
    /// The outcome is recorded, or the claim is released.
    Closed,
    /// The claim now belongs to another attempt, or no longer exists.
    Lost,
}

/// All claims that are kept, by their key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Claims {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    /// The keys by the time of their claim, which is the order in which they expire.
    ages: BTreeSet<(Timestamp, ClaimKey)>,
}

impl Claims {
    /// Grants a claim if its key is free, or again to the attempt that holds it.
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

    /// Moves a claim without an outcome from an attempt that will never start to a new one.
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

    /// Records the outcome of an attempt; a later outcome does not replace the first.
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

    /// Removes the oldest claims if they exceed the retention, a limited number at a time.
    pub fn expire(&mut self, now: Timestamp, retention: Duration) {
        for _ in 0..MAX_EXPIRED {
            let Some((made, key)) = self.ages.first().cloned() else { return };
            if now - made <= retention {
                return;
            }
            self.remove(&key);
        }
    }

    /// Returns the number of kept keys.
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
