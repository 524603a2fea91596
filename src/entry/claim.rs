//! The filter `claim`: keyed calls that may not be repeated claim their key before they run.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::control::claims::{Claim, ClaimKey};
use crate::model::{Body, Call, EndpointState, RequestId, Timestamp};

/// Knows which control member to propose to.
#[derive(Debug)]
pub struct Proposer {
    members: Vec<SocketAddr>,
    turn: usize,
    leader: Option<SocketAddr>,
}

impl Proposer {
    /// Makes a proposer that knows no leader yet.
    pub fn new(members: Vec<SocketAddr>) -> Proposer {
        Proposer { members, turn: 0, leader: None }
    }

    /// Returns the member to propose to.
    pub fn target(&self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.members.get(self.turn).copied())
    }

    /// Takes what a member that doesn't lead, or doesn't answer, says of the leader.
    pub fn miss(&mut self, leader: Option<SocketAddr>) {
        self.leader = leader;
        if leader.is_none() && !self.members.is_empty() {
            self.turn = (self.turn + 1) % self.members.len();
        }
    }
}

/// Returns the claim that a call needs before it runs.
pub fn claim_for(
    now: Timestamp,
    call: &Call,
    body: &Body,
    request: RequestId,
    endpoint: &EndpointState,
) -> Option<(ClaimKey, Claim)> {
    let key = call.key.clone().filter(|_| !call.repeatable)?;
    let claim = Claim {
        request,
        hash: body_hash(&call.pool, body),
        endpoint: endpoint.name.clone(),
        boot: endpoint.boot,
        made: now,
    };
    Some((ClaimKey { tenant: call.tenant.clone(), key }, claim))
}

fn body_hash(pool: &str, body: &Body) -> u64 {
    let mut hasher = Sha256::new();
    for part in [pool.as_bytes(), body.method.as_bytes(), body.path.as_bytes(), &body.content] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    u64::from_le_bytes(digest.first_chunk::<8>().copied().unwrap_or_default())
}
