//! Claims: each idempotency key belongs to one attempt at a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::link::message::Answer;
use crate::model::{BootId, RequestId, Timestamp};

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
    /// The endpoint that the attempt goes to.
    pub endpoint: Box<str>,
    /// The start of that endpoint's agent.
    pub boot: BootId,
    /// When it was made, by its owner's clock.
    pub made: Timestamp,
}

/// What a claim has come to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran to this answer.
    Finished(Answer),
    /// It may have run; it never runs again.
    Unknown,
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
}

impl Claims {
    /// Grants a claim if its key is free.
    pub fn claim(&mut self, key: &ClaimKey, claim: &Claim) -> ClaimReply {
        match self.records.get(key) {
            Some(record) if record.claim.request == claim.request => ClaimReply::Granted,
            Some(record) => ClaimReply::Held(record.clone()),
            None => {
                let record = ClaimRecord { claim: claim.clone(), outcome: None };
                self.records.insert(key.clone(), record);
                ClaimReply::Granted
            }
        }
    }

    /// Moves an open claim from an attempt that never starts to a new one.
    pub fn take_over(&mut self, key: &ClaimKey, from: RequestId, claim: &Claim) -> ClaimReply {
        let Some(record) = self.records.get_mut(key) else { return ClaimReply::Lost };
        if record.claim.request == claim.request {
            return ClaimReply::Granted;
        }
        if record.claim.request != from || record.outcome.is_some() {
            return ClaimReply::Held(record.clone());
        }
        record.claim = claim.clone();
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
                self.records.remove(key);
                ClaimReply::Closed
            }
            _ => ClaimReply::Lost,
        }
    }
}
