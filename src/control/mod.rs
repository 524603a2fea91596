//! The control role: the replicated log, what it adds up to, and the registry.

pub mod claims;
pub mod config;
pub mod disk;
pub mod orders;
mod peers;
pub mod quarantine;
pub mod replica;
pub mod state;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use config::{Change, Revised, highest, schema_of};
use orders::{Marked, OrderReport};
use peers::Peers;
use replica::{
    Action, Entry, LogIndex, Replica, ReplicaInput, ReplicaSettings, Snapshot, Stored, WriteId,
};
use state::{Applied, ChangeReply, Command, State};

use crate::link::message::{
    Beat, ControlReply, ControlRequest, Envelope, Heartbeat, OrderStatus, ProcessState, Proof,
    Reply, Request, Status, Suspects, Update,
};
use crate::model::{BootId, EndpointState, Fence, InboundId, Revision, Timestamp};
use crate::registry::Registry;
use crate::report::observation::Observation;
use crate::role::{Input, Output, Role};

/// The most bytes of a command, so that each record fits into one message.
const MAX_COMMAND_BYTES: usize = 1 << 20;

/// How long a member that leaves waits for the commands that it has taken.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The time between two looks of a leader at the rollouts.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// What the disk tells the control role.
#[derive(Debug)]
pub enum DiskInput {
    /// All writes up to this one are synced.
    Synced(WriteId),
    /// The disk takes no writes for now, and why; the writes are tried again.
    Stalled(Box<str>),
    /// The disk failed for good.
    Failed(Box<str>),
}

/// What the control role asks of its disk.
#[derive(Debug)]
pub enum DiskEffect {
    /// Append entries to the journal and sync.
    Append {
        /// The write.
        id: WriteId,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Write a snapshot, then begin a new journal with these entries.
    Replace {
        /// The write.
        id: WriteId,
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The entries.
        entries: Vec<Entry>,
    },
}

/// Who a control member is.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The member's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its start.
    pub boot: BootId,
    /// Its part in the group.
    pub replica: ReplicaSettings,
}

/// A proposal whose record is not committed yet.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    inbound: InboundId,
    term: u64,
}

/// The control role.
pub struct Control {
    settings: ControlSettings,
    replica: Replica,
    state: State,
    revised: Revised,
    registry: Registry,
    peers: Peers,
    waiting: BTreeMap<LogIndex, Waiting>,
    failed: bool,
    stopping: Option<Timestamp>,
    next_plan: Timestamp,
}

type Outputs = Vec<Output<DiskEffect>>;

impl Control {
    /// Makes the role from what its disk kept.
    pub fn new(settings: ControlSettings, stored: Stored) -> eyre::Result<Control> {
        let state = match &stored.snapshot {
            Some(snapshot) => State::decode(&snapshot.state)?,
            None => State::default(),
        };
        Ok(Control {
            replica: Replica::new(settings.replica.clone(), stored),
            registry: Registry::new(settings.boot),
            settings,
            revised: state.config.revised(),
            state,
            peers: Peers::default(),
            waiting: BTreeMap::new(),
            failed: false,
            stopping: None,
            next_plan: Timestamp::default(),
        })
    }

    /// Returns the replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns what the committed commands add up to.
    pub fn state(&self) -> &State {
        &self.state
    }

    fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope { revised: self.revised, body }
    }

    fn reply(&self, inbound: InboundId, reply: ControlReply) -> Output<DiskEffect> {
        let envelope = self.envelope(Reply::Control(reply));
        Output::Reply { inbound, envelope, last: true }
    }

    fn request(&mut self, now: Timestamp, inbound: InboundId, request: ControlRequest) -> Outputs {
        match request {
            ControlRequest::Heartbeat(heartbeat) => {
                let beat = self.heartbeat(now, *heartbeat);
                vec![self.reply(inbound, ControlReply::Beat(beat))]
            }
            ControlRequest::Propose(command) => self.propose(now, inbound, command.stamped(now)),
            ControlRequest::Owner(boot) => {
                let alive = self.registry.is_alive(now, boot);
                vec![self.reply(inbound, ControlReply::Owner { alive })]
            }
            ControlRequest::Status => {
                let status = Box::new(self.status(now));
                vec![self.reply(inbound, ControlReply::Status(status))]
            }
        }
    }

    fn heartbeat(&mut self, now: Timestamp, mut heartbeat: Heartbeat) -> Beat {
        let config = self.update(heartbeat.process.revised.revision, heartbeat.whole);
        let (seen, wants) = (heartbeat.seen, std::mem::take(&mut heartbeat.wants));
        let follows = heartbeat.endpoints;
        let orders = match &heartbeat.endpoint {
            Some(endpoint) => self.marked(endpoint, heartbeat.report.as_ref()),
            None => None,
        };
        let suspects = self.suspects(heartbeat.suspects);
        self.registry.heartbeat(now, heartbeat);
        let news = if follows { self.registry.news(now, seen, &wants) } else { None };
        Beat {
            member: self.settings.name.clone(),
            proof: self.proof(),
            config,
            seen: self.registry.seen(),
            endpoints: news,
            orders,
            suspects,
        }
    }

    /// Returns what a process with this revision needs; changes are a fraction of the whole.
    fn update(&self, known: Revision, whole: bool) -> Option<Update> {
        if known >= self.revised.revision {
            return None;
        }
        let changes = if whole { None } else { self.state.changes.since(known) };
        let whole = || Update::Whole(self.state.config.clone());
        let revised = self.revised;
        Some(changes.map_or_else(whole, |changes| Update::Changes { changes, revised }))
    }

    /// Returns what an agent is told about the orders of its endpoint; a member that may lack
    /// committed records tells nothing.
    fn marked(&self, endpoint: &EndpointState, report: Option<&OrderReport>) -> Option<Marked> {
        if self.failed || !self.replica.counts() {
            return None;
        }
        let desired = self.state.orders.desired(&endpoint.name, &endpoint.pool);
        let tail = self.replica.unapplied().filter(|r| orders::concerns(&r.command, endpoint));
        let mark = tail.map(|r| Fence(r.index.0)).max().unwrap_or_default();
        let known = report.is_some_and(|r| r.fence >= desired.fence);
        Some(Marked { mark: mark.max(desired.fence), desired: (!known).then_some(desired) })
    }

    fn suspects(&self, seen: u64) -> Option<Suspects> {
        let quarantine = &self.state.quarantine;
        let list = || quarantine.suspects().iter().map(|(f, s)| (*f, s.clone())).collect();
        (seen != quarantine.version())
            .then(|| Suspects { version: quarantine.version(), list: list() })
    }

    /// Returns what the own log proves; a member that may lack committed records proves nothing.
    fn proof(&self) -> Option<Proof> {
        if self.failed || !self.replica.counts() {
            return None;
        }
        let unapplied = self.replica.unapplied().map(|r| &r.command);
        let members = self.replica.members();
        Some(Proof {
            member: self.settings.replica.address,
            highest: highest(self.state.config.revision, unapplied),
            epoch: members.epoch,
            voters: members.voters().map(|(_, address)| address).collect(),
        })
    }

    fn propose(&mut self, now: Timestamp, inbound: InboundId, command: Command) -> Outputs {
        if self.stopping.is_some() {
            return vec![self.reply(inbound, ControlReply::NotLeader { leader: None })];
        }
        if let Some(why) = self.refusal(&command) {
            let applied = Applied::Changed(ChangeReply::Refused(why));
            return vec![self.reply(inbound, ControlReply::Applied(applied))];
        }
        match self.replica.propose(now, command) {
            Ok((position, actions)) => {
                let waiting = Waiting { inbound, term: position.term };
                self.waiting.insert(position.index, waiting);
                self.carry(actions)
            }
            Err(leader) => vec![self.reply(inbound, ControlReply::NotLeader { leader })],
        }
    }

    /// Returns why a command doesn't go into the log.
    fn refusal(&self, command: &Command) -> Option<Box<str>> {
        let size = postcard::experimental::serialized_size(command).unwrap_or(usize::MAX);
        if size > MAX_COMMAND_BYTES {
            return Some(format!("the command has {size} bytes, over {MAX_COMMAND_BYTES}").into());
        }
        match command {
            Command::Change(change) => self.not_understood(change),
            Command::Members(_) => Some("members join by themselves".into()),
            _ => None,
        }
    }

    /// Returns which live processes don't know the setting of a new change.
    fn not_understood(&self, change: &Change) -> Option<Box<str>> {
        let schema = schema_of(change.edit.setting());
        if schema == u32::MAX || self.state.changes.accepted(&change.id).is_some() {
            return None;
        }
        let old = self.registry.older_than(schema);
        if old.is_empty() {
            return None;
        }
        let name = change.edit.setting();
        Some(format!("setting {name} is not understood by {}", old.join(", ")).into())
    }

    /// Carries out what the replica wants.
    fn carry(&mut self, actions: Vec<Action>) -> Outputs {
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
                    outputs.extend(self.carry(actions));
                }
                Err(error) => log::error!("step=snapshot error={error:#}"),
            }
        }
        outputs
    }

    fn applied(&mut self, index: LogIndex, term: u64, applied: Applied) -> Outputs {
        let Some(waiting) = self.waiting.remove(&index) else { return Vec::new() };
        let reply = if waiting.term == term {
            ControlReply::Applied(applied)
        } else {
            ControlReply::Interrupted { leader: self.replica.leader() }
        };
        vec![self.reply(waiting.inbound, reply)]
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Outputs {
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

    /// Tells all proposers that the outcome isn't known; they send again, which is idempotent.
    fn interrupt(&mut self) -> Outputs {
        let leader = self.replica.leader();
        let waiting = std::mem::take(&mut self.waiting);
        let reply = |w: Waiting| self.reply(w.inbound, ControlReply::Interrupted { leader });
        waiting.into_values().map(reply).collect()
    }

    fn replica_step(&mut self, now: Timestamp, input: ReplicaInput) -> Outputs {
        if self.failed {
            return Vec::new();
        }
        let actions = self.replica.step(now, input);
        self.carry(actions)
    }

    fn disk(&mut self, now: Timestamp, input: DiskInput) -> Outputs {
        match input {
            DiskInput::Synced(write) => self.replica_step(now, ReplicaInput::Synced(write)),
            DiskInput::Stalled(error) => {
                log::error!("step=append error={error}; this member acknowledges nothing");
                self.replica_step(now, ReplicaInput::Stalled)
            }
            DiskInput::Failed(error) => {
                log::error!("step=append error={error}; this member takes no more part");
                let outputs = self.replica_step(now, ReplicaInput::Stalled);
                self.failed = true;
                outputs
            }
        }
    }

    /// Proposes the next steps of the rollouts, once those before are in the state.
    fn plan(&mut self, now: Timestamp) -> Outputs {
        let idle = self.failed || !self.replica.is_leader() || now < self.next_plan;
        if idle || self.stopping.is_some() {
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
                outputs.extend(self.carry(actions));
            }
        }
        outputs
    }

    /// Returns whether everybody who waited has an answer.
    fn has_stopped(&self, now: Timestamp) -> bool {
        let Some(since) = self.stopping else { return false };
        self.waiting.is_empty() || now >= since + LEAVE_TIMEOUT
    }

    fn status(&self, now: Timestamp) -> Status {
        let own = ProcessState {
            name: self.settings.name.clone(),
            role: "control".into(),
            domain: self.settings.domain.clone(),
            boot: self.settings.boot,
            revised: self.revised,
        };
        let mut processes = self.registry.processes(now);
        processes.push((own, Duration::ZERO));
        Status {
            member: self.settings.name.clone(),
            leader: self.replica.leader().map(|a| a.to_string().into()),
            config: self.state.config.clone(),
            history: self.state.changes.recent().cloned().collect(),
            processes,
            endpoints: self.registry.endpoints(),
            orders: self.registry.reports().map(|(e, r)| self.order_status(e, r)).collect(),
            rollouts: self.state.orders.rollouts().flat_map(|(_, r)| r.to_vec()).collect(),
            suspects: self.suspects(0).map_or_else(Vec::new, |s| s.list),
        }
    }

    fn order_status(&self, endpoint: &EndpointState, report: &OrderReport) -> OrderStatus {
        OrderStatus {
            endpoint: endpoint.name.clone(),
            desired: self.state.orders.desired(&endpoint.name, &endpoint.pool),
            report: report.clone(),
        }
    }
}

fn log_change(command: &Command, applied: &Applied) {
    if let (Command::Change(change), Applied::Changed(reply)) = (command, applied) {
        log::info!("step=change id={} author={} result={reply:?}", change.id, change.author);
    }
}

impl Role for Control {
    type Local = DiskInput;
    type Effect = DiskEffect;

    fn step(&mut self, now: Timestamp, input: Input<DiskInput>) -> Outputs {
        let mut outputs = match input {
            Input::Request { inbound, envelope } => match envelope.body {
                Request::Control(request) => self.request(now, inbound, request),
                Request::Replica(message) => {
                    self.replica_step(now, ReplicaInput::Request { via: inbound, message })
                }
                Request::Agent(_) => Vec::new(),
            },
            Input::Abandoned { inbound } => {
                self.waiting.retain(|_, w| w.inbound != inbound);
                Vec::new()
            }
            Input::Reply { exchange, envelope } => {
                let Some(peer) = self.peers.peer(exchange) else { return Vec::new() };
                let Reply::Replica(message) = envelope.body else { return Vec::new() };
                self.replica_step(now, ReplicaInput::Reply { peer, message })
            }
            Input::Closed { exchange, .. } => match self.peers.closed(exchange) {
                Some(peer) => self.replica_step(now, ReplicaInput::Lost { peer }),
                None => Vec::new(),
            },
            Input::Local(input) => self.disk(now, input),
            Input::Wake => {
                self.registry.expire(now);
                let (processes, endpoints) = self.registry.counts();
                let mut outputs = self.replica_step(now, ReplicaInput::Wake);
                outputs.extend(self.plan(now));
                outputs.push(Output::Observe(Observation::Registry { processes, endpoints }));
                outputs
            }
            Input::Shutdown => {
                self.stopping.get_or_insert(now);
                Vec::new()
            }
        };
        if self.has_stopped(now) {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let replica = (!self.failed).then(|| self.replica.next_wake());
        let leave = self.stopping.map(|since| since + LEAVE_TIMEOUT);
        let plans = self.replica.is_leader() && self.state.orders.rollouts().next().is_some();
        let plan = plans.then_some(self.next_plan);
        [leave, plan, replica, self.registry.next_expiry()].into_iter().flatten().min()
    }
}
