//! The filter `claim`: calls with an idempotency key claim the key before they run.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::control::claims::{Claim, ClaimKey, Target};
use crate::model::{Call, CallKind, EndpointState, RequestId, Timestamp};

/// Chooses the control member that proposals are sent to.
#[derive(Debug)]
pub struct Proposer {
    members: Vec<SocketAddr>,
    turn: usize,
    leader: Option<SocketAddr>,
}

impl Proposer {
    /// Creates a proposer that knows no leader yet.
    pub fn new(members: Vec<SocketAddr>) -> Proposer {
        Proposer { members, turn: 0, leader: None }
    }

    /// Returns the leader, or the next member in turn while the leader is unknown.
    pub fn target(&self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.members.get(self.turn).copied())
    }

    /// Records the leader reported by a member that is not the leader.
    pub fn redirect(&mut self, from: SocketAddr, leader: Option<SocketAddr>) {
        self.advance_past(from);
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// Moves on to the next member after `from` failed to answer, unless the target has changed
    /// meanwhile.
    pub fn advance_past(&mut self, from: SocketAddr) {
        if self.target() != Some(from) {
            return;
        }
        self.leader = None;
        self.turn = (self.turn + 1) % self.members.len().max(1);
    }
}

/// Returns the key that a call must claim before it runs; `None` if it needs no claim.
///
/// Calls to models claim their key although they are repeatable, so that none is answered twice.
/// A repeatable call to a plain service needs no claim.
pub fn claim_key(call: &Call) -> Option<ClaimKey> {
    let needed = !call.repeatable || matches!(call.kind, CallKind::Model { .. });
    let key = call.key.clone().filter(|_| needed)?;
    Some(ClaimKey { tenant: call.tenant.clone(), key })
}

/// Returns the claim of an attempt.
pub fn claim_for(
    now: Timestamp,
    call: &Call,
    request: RequestId,
    endpoint: Option<&EndpointState>,
) -> Claim {
    let target = endpoint.map(|e| Target { endpoint: e.name.clone(), boot: e.boot });
    Claim { request, hash: content_hash(call), target, until: call.deadline, made: now }
}

fn content_hash(call: &Call) -> u64 {
    let mut hasher = Sha256::new();
    let mut add = |part: &[u8]| {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    };
    add(call.pool.as_bytes());
    match &call.kind {
        CallKind::Model { prompt, max_tokens, .. } => {
            add(prompt.as_bytes());
            add(&max_tokens.to_le_bytes());
        }
        CallKind::Service(body) => {
            add(body.method.as_bytes());
            add(body.path.as_bytes());
            add(&body.content);
        }
    }
    let digest = hasher.finalize();
    u64::from_le_bytes(digest.first_chunk::<8>().copied().unwrap_or_default())
}
