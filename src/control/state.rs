//! The replicated state: what the commands of the log add up to.

use std::time::Duration;

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use super::claims::{Claim, ClaimKey, ClaimReply, Claims, Outcome};
use super::config::{Change, Changes, Config, Setting};
use super::orders::rollout::{RolloutCommand, StepCommand};
use super::orders::{OrderCommand, OrderReply, Orders};
use super::quarantine::{Crash, Fingerprint, Quarantine};
use super::replica::{LogIndex, Members};
use super::routing::{Deregistration, Document, Routing};
use crate::model::{Fence, RequestId, Revision, Timestamp};

/// A command in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing; a new leader commits it first.
    Noop,
    /// The members of the log's own group.
    Members(Members),
    /// Change the configuration.
    Change(Change),
    /// Claim a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claim: Claim,
    },
    /// Move a claim from an attempt that never starts.
    TakeOver {
        /// The key.
        key: ClaimKey,
        /// The old attempt.
        from: RequestId,
        /// The new attempt.
        claim: Claim,
    },
    /// Record an outcome.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        request: RequestId,
        /// What it came to.
        outcome: Outcome,
    },
    /// Free the key of an attempt that did not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        request: RequestId,
    },
    /// Order something of endpoints; [`Applied::Ordered`] answers an operator.
    Order(OrderCommand),
    /// Declare what a pool shall have loaded; [`Applied::Ordered`] answers an operator.
    Rollout(RolloutCommand),
    /// Take one step of a rollout; only the leader proposes it.
    Step(StepCommand),
    /// Put a routing document in force; [`Applied::Published`] answers.
    Publish(Document),
    /// Read the routing document in force; [`Applied::Document`] answers.
    ReadDocument,
    /// An endpoint leaves.
    Deregister(Deregistration),
    /// An endpoint crashed; its agent proposes it.
    Crash(Crash),
    /// A content under suspicion has finished, or an operator clears it.
    Clear {
        /// The content.
        fingerprint: Fingerprint,
    },
}

impl Command {
    /// Returns the command with the time at which the leader takes it, for those that keep one.
    pub fn stamped(mut self, now: Timestamp) -> Command {
        if let Command::Claim { claim, .. } | Command::TakeOver { claim, .. } = &mut self {
            claim.made = now;
        }
        self
    }
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// Nothing to say.
    Done,
    /// To a change.
    Changed(ChangeReply),
    /// To a command about a claim.
    Claim(ClaimReply),
    /// To an order or a rollout of an operator.
    Ordered(OrderReply),
    /// To a routing document: the version that is in force now.
    Published(u64),
    /// To a read of the routing document.
    Document(Option<Document>),
}

/// What a change came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// It is this revision.
    Accepted(Revision),
    /// Another change was first.
    Conflict {
        /// The revision that stands.
        current: Revision,
        /// The change that won the base revision.
        winner: Option<Change>,
    },
    /// It is wrong.
    Refused(Box<str>),
}

/// The state that every replica derives from the log.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub config: Config,
    /// Accepted changes.
    pub changes: Changes,
    /// Claims.
    pub claims: Claims,
    /// Orders to endpoints.
    pub orders: Orders,
    /// Contents under suspicion.
    pub quarantine: Quarantine,
    /// The routing document, and endpoints that leave.
    pub routing: Routing,
}

impl State {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        postcard::to_stdvec(self).wrap_err("encode state")
    }

    /// Decodes the state of a snapshot.
    pub fn decode(bytes: &[u8]) -> eyre::Result<State> {
        postcard::from_bytes(bytes).wrap_err("decode state")
    }

    /// Applies the command at a place of the log; the result depends on nothing else than the
    /// state, the place and the command.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Applied {
        let fence = Fence(index.0);
        match command {
            Command::Noop | Command::Members(_) => Applied::Done,
            Command::Change(change) => Applied::Changed(self.change(change)),
            Command::Claim { key, claim } => {
                self.claims.expire(claim.made, self.retention());
                Applied::Claim(self.claims.claim(key, claim))
            }
            Command::TakeOver { key, from, claim } => {
                self.claims.expire(claim.made, self.retention());
                Applied::Claim(self.claims.take_over(key, *from, claim))
            }
            Command::Finish { key, request, outcome } => {
                Applied::Claim(self.claims.finish(key, *request, outcome))
            }
            Command::Release { key, request } => Applied::Claim(self.claims.release(key, *request)),
            Command::Order(order) => Applied::Ordered(self.orders.order(fence, order)),
            Command::Rollout(rollout) => Applied::Ordered(self.orders.rollout(fence, rollout)),
            Command::Step(step) => {
                self.orders.step(fence, step);
                Applied::Done
            }
            Command::Publish(document) => {
                self.routing.publish(document);
                Applied::Published(self.routing.version())
            }
            Command::ReadDocument => Applied::Document(self.routing.document().cloned()),
            Command::Deregister(deregistration) => {
                self.routing.deregister(index, deregistration);
                Applied::Done
            }
            Command::Crash(crash) => {
                self.quarantine.crash(crash);
                Applied::Done
            }
            Command::Clear { fingerprint } => {
                self.quarantine.clear(*fingerprint);
                Applied::Done
            }
        }
    }

    fn retention(&self) -> Duration {
        Duration::from_millis(self.config.default_value(Setting::ClaimRetention))
    }

    fn change(&mut self, change: &Change) -> ChangeReply {
        self.changes.apply(&mut self.config, change)
    }
}
