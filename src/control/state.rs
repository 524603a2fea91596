//! The replicated state, which results from applying the commands of the log in order.

use std::time::Duration;

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use super::claims::{Claim, ClaimKey, ClaimReply, Claims, Outcome};
use super::config::{Change, Changes, Config, Setting};
use super::orders::rollout::{RolloutCommand, StepCommand};
use super::orders::{OrderCommand, OrderReply, Orders};
use super::origins::{RecordedVersions, VersionSet};
use super::processes::{AddressChanges, RecordedProcesses};
use super::quarantine::{Cause, Quarantine, Verdict};
use super::replica::{LogIndex, Members};
use super::routing::{Deregistration, Document, Routing};
use crate::model::{Fence, RequestId, Revision, Timestamp};

/// A command in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// No operation; a new leader appends it first, to commit the records of older terms.
    Noop,
    /// Set the members of the group that replicates the log.
    Members(Members),
    /// Change the configuration.
    Change(Change),
    /// Claim an idempotency key for an attempt.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claim: Claim,
    },
    /// Move a claim from an attempt that will never start to a new one.
    TakeOver {
        /// The key.
        key: ClaimKey,
        /// The old attempt.
        from: RequestId,
        /// The new attempt.
        claim: Claim,
    },
    /// Record the outcome of an attempt.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        request: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Free the key of an attempt that did not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        request: RequestId,
    },
    /// Give an order to one or more endpoints; [`Applied::Ordered`] is the result.
    Order(OrderCommand),
    /// Declare the artifact that a pool is to load; [`Applied::Ordered`] is the result.
    Rollout(RolloutCommand),
    /// Execute one step of a rollout; only the leader proposes it.
    Step(StepCommand),
    /// Put a routing document in force; [`Applied::Published`] is the result.
    Publish(Document),
    /// Read the routing document in force; [`Applied::Document`] is the result.
    ReadDocument,
    /// Deregister an endpoint that shuts down.
    Deregister(Deregistration),
    /// Put a cause into quarantine; only the leader proposes it.
    Block {
        /// The cause and what it has crashed.
        verdict: Verdict,
        /// The time by the leader's clock.
        at: Timestamp,
    },
    /// Allow probes of a cause in quarantine; only the leader proposes it.
    AllowProbes {
        /// The cause.
        cause: Cause,
    },
    /// End the quarantine of a cause, because a run with it went on or an operator clears it.
    Clear {
        /// The cause.
        cause: Cause,
    },
    /// Record the software versions that streams of a service may have begun at; only the leader
    /// proposes it.
    RecordVersions {
        /// The name of the service.
        service: Box<str>,
        /// All its versions.
        versions: VersionSet,
    },
    /// Allow only probes of a cause that may crash endpoints; only the leader proposes it.
    Suspect {
        /// The cause and the crashes that it was in.
        verdict: Verdict,
        /// The time by the leader's clock.
        at: Timestamp,
    },
    /// Record at which addresses processes can be called; only the leader proposes it.
    RecordProcesses {
        /// The processes that have changed.
        changes: AddressChanges,
    },
}

impl Command {
    /// Returns the command with the time at which the leader received it, if the command records
    /// one.
    pub fn stamped(mut self, now: Timestamp) -> Command {
        if let Command::Claim { claim, .. } | Command::TakeOver { claim, .. } = &mut self {
            claim.made = now;
        }
        self
    }
}

/// The result of an applied command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// The command has no result.
    Done,
    /// The result of a change.
    Changed(ChangeReply),
    /// The result of a command about a claim.
    Claim(ClaimReply),
    /// The result of an order or a rollout.
    Ordered(OrderReply),
    /// The version of the routing document that is now in force.
    Published(u64),
    /// The routing document in force, if there is one.
    Document(Option<Document>),
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// The change is in force as this revision.
    Accepted(Revision),
    /// Another change to the same base revision was applied first.
    Conflict {
        /// The revision in force.
        current: Revision,
        /// The change that was applied to the base revision, if it is still kept.
        winner: Option<Change>,
    },
    /// The change is invalid, with the reason.
    Refused(Box<str>),
}

/// The state that every replica derives from the log.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub config: Config,
    /// The last changes and their results.
    pub changes: Changes,
    /// The claims of idempotency keys.
    pub claims: Claims,
    /// The orders to endpoints, and the rollouts.
    pub orders: Orders,
    /// What has crashed endpoints.
    pub quarantine: Quarantine,
    /// The routing document and the deregistered endpoints.
    pub routing: Routing,
    /// The software versions of the services.
    pub versions: RecordedVersions,
    /// The addresses of the processes that follow control.
    pub processes: RecordedProcesses,
}

impl State {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        postcard::to_stdvec(self).wrap_err("encode state")
    }

    /// Decodes the state of a snapshot.
    pub fn decode(bytes: &[u8]) -> eyre::Result<State> {
        let decoded = postcard::from_bytes(bytes);
        // Snapshots of earlier releases end before the processes, or before the versions and the
        // processes; an empty map is one zero byte.
        let without_processes = || postcard::from_bytes(&[bytes, &[0]].concat());
        let without_versions = || postcard::from_bytes(&[bytes, &[0, 0]].concat());
        let decoded = decoded.or_else(|_| without_processes()).or_else(|_| without_versions());
        decoded.wrap_err("decode state")
    }

    /// Applies the command at an index of the log. The result depends only on the state, the index
    /// and the command, so that all replicas agree.
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
            Command::Block { verdict, at } => {
                self.quarantine.block(*at, verdict, self.quarantine_duration());
                Applied::Done
            }
            Command::Suspect { verdict, at } => {
                self.quarantine.suspect(*at, verdict);
                Applied::Done
            }
            Command::AllowProbes { cause } => {
                self.quarantine.allow_probes(*cause);
                Applied::Done
            }
            Command::Clear { cause } => {
                self.quarantine.clear(*cause);
                Applied::Done
            }
            Command::RecordVersions { service, versions } => {
                self.versions.set(service, versions.clone());
                Applied::Done
            }
            Command::RecordProcesses { changes } => {
                self.processes.apply(changes);
                Applied::Done
            }
        }
    }

    /// Returns how long a cause is refused after its first verdict.
    pub(super) fn quarantine_duration(&self) -> Duration {
        Duration::from_secs(self.config.default_value(Setting::QuarantineDuration))
    }

    fn retention(&self) -> Duration {
        Duration::from_millis(self.config.default_value(Setting::ClaimRetention))
    }

    fn change(&mut self, change: &Change) -> ChangeReply {
        self.changes.apply(&mut self.config, change)
    }
}
