//! Executes the replica's actions: commits, snapshots and the rollout steps that a leader plans.

use super::replica::{Action, LogIndex, ReplicaInput, Snapshot};
use super::state::{Applied, Command, State};
use super::{Control, DiskEffect, DiskInput, Outputs, PLAN_INTERVAL, Proposal, orders};
use crate::link::message::{ControlReply, Reply, Request};
use crate::model::Timestamp;
use crate::role::Output;

impl Control {
    /// Executes the actions that the replica returned, and compacts the log if that is due.
    pub(super) fn execute(&mut self, actions: Vec<Action>) -> Outputs {
        let mut outputs = Vec::new();
        for action in actions {
            match action {
                Action::Request { to, message } => {
                    let envelope = self.envelope(Request::Replica(message));
                    outputs.push(self.peers.send(to, envelope));
                }
                Action::Reply { via, message } => {
                    let envelope = self.envelope(Reply::Replica(message));
                    outputs.push(Output::Reply { inbound: via, envelope, last: false });
                }
                Action::Redial { peer } => outputs.extend(self.peers.redial(peer)),
                Action::Write { id, entries } => {
                    outputs.push(Output::Effect(DiskEffect::Append { id, entries }));
                }
                Action::Replace { id, snapshot, entries } => {
                    outputs.push(Output::Effect(DiskEffect::Replace { id, snapshot, entries }));
                }
                Action::Apply(record) => {
                    let applied = self.state.apply(record.index, &record.command);
                    if self.state.config.revision != self.revised.revision {
                        self.revised = self.state.config.revised();
                    }
                    log_change(&record.command, &applied);
                    if let Command::Clear { cause } = &record.command {
                        self.detector.cleared(*cause);
                    }
                    outputs.extend(self.applied(record.index, record.term, applied));
                }
                Action::Restore(snapshot) => outputs.extend(self.restore(&snapshot)),
                Action::SteppedDown => outputs.extend(self.interrupt()),
            }
        }
        if self.replica.wants_snapshot() {
            match self.state.encode() {
                Ok(state) => {
                    let actions = self.replica.compact(state);
                    outputs.extend(self.execute(actions));
                }
                Err(error) => log::error!("step=snapshot error={error:#}"),
            }
        }
        outputs
    }

    pub(super) fn applied(&mut self, index: LogIndex, term: u64, applied: Applied) -> Outputs {
        let Some(proposal) = self.proposals.remove(&index) else { return Vec::new() };
        self.log_end(index, "applied");
        let reply = if proposal.term == term {
            ControlReply::Applied(applied)
        } else {
            ControlReply::Interrupted { leader: self.replica.leader() }
        };
        vec![self.reply(proposal.inbound, reply)]
    }

    pub(super) fn restore(&mut self, snapshot: &Snapshot) -> Outputs {
        match State::decode(&snapshot.state) {
            Ok(state) => {
                self.revised = state.config.revised();
                self.state = state;
                Vec::new()
            }
            Err(error) => {
                log::error!("step=restore error={error:#}");
                vec![Output::Stopped]
            }
        }
    }

    /// Replies to all pending proposals that their outcome is unknown; proposers retry, which is
    /// idempotent.
    pub(super) fn interrupt(&mut self) -> Outputs {
        let leader = self.replica.leader();
        let proposals = std::mem::take(&mut self.proposals);
        proposals.keys().for_each(|index| self.log_end(*index, "interrupted"));
        let reply = |p: Proposal| self.reply(p.inbound, ControlReply::Interrupted { leader });
        proposals.into_values().map(reply).collect()
    }

    pub(super) fn replica_step(&mut self, now: Timestamp, input: ReplicaInput) -> Outputs {
        if self.failed {
            return Vec::new();
        }
        let actions = self.replica.step(now, input);
        let changes_versions = actions.iter().any(changes_versions);
        let outputs = self.execute(actions);
        if changes_versions {
            self.review_recorded(now);
        }
        outputs
    }

    pub(super) fn disk(&mut self, now: Timestamp, input: DiskInput) -> Outputs {
        match input {
            DiskInput::Synced(write) => self.replica_step(now, ReplicaInput::Synced(write)),
            DiskInput::Stalled(error) => {
                log::error!(
                    "step=append error={error}; this member acknowledges nothing until a \
                     write succeeds"
                );
                self.replica_step(now, ReplicaInput::Stalled)
            }
            DiskInput::Failed(error) => {
                log::error!(
                    "step=append error={error}; this member no longer takes part in the group"
                );
                let outputs = self.replica_step(now, ReplicaInput::Stalled);
                self.failed = true;
                outputs
            }
        }
    }

    /// Proposes the next steps of the rollouts, once all earlier steps are applied.
    pub(super) fn plan(&mut self, now: Timestamp) -> Outputs {
        let idle = self.failed || !self.replica.is_leader() || now < self.next_plan;
        if idle || self.shutdown.is_requested() {
            return Vec::new();
        }
        self.next_plan = now + PLAN_INTERVAL;
        if self.replica.unapplied().any(|r| matches!(r.command, Command::Step(_))) {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        for step in orders::plan::plan(&self.state.orders, self.registry.reports(), now) {
            log::info!("step=rollout endpoint={} next={:?}", step.endpoint, step.step);
            if let Ok((_, actions)) = self.replica.propose(now, Command::Step(step)) {
                outputs.extend(self.execute(actions));
            }
        }
        outputs
    }
}

/// Returns whether an action may change the recorded versions of a service.
fn changes_versions(action: &Action) -> bool {
    match action {
        Action::Apply(record) => matches!(record.command, Command::RecordVersions { .. }),
        Action::Restore(_) => true,
        _ => false,
    }
}

fn log_change(command: &Command, applied: &Applied) {
    match command {
        Command::Publish(document) => {
            log::info!("step=publish version={} result={applied:?}", document.version);
        }
        Command::Deregister(deregistration) => {
            log::info!(
                "step=deregister endpoint={} boot={}",
                deregistration.endpoint,
                deregistration.boot
            );
        }
        Command::Block { verdict, .. } => {
            let crashes = verdict.crashes.len();
            log::warn!("step=block cause={} crashes={crashes}", verdict.cause);
        }
        Command::Suspect { verdict, .. } => {
            let crashes = verdict.crashes.len();
            log::warn!("step=suspect cause={} crashes={crashes}", verdict.cause);
        }
        Command::AllowProbes { cause } => log::info!("step=allow-probes cause={cause}"),
        Command::Clear { cause } => log::info!("step=clear cause={cause}"),
        _ => {}
    }
    if let (Command::Change(change), Applied::Changed(reply)) = (command, applied) {
        log::info!("step=change id={} author={} result={reply:?}", change.id, change.author);
    }
}
