//! The control role: the replicated log, what it adds up to, and the registry.

pub mod claims;
pub mod config;
pub mod disk;
pub mod orders;
pub mod quarantine;
pub mod replica;
pub mod state;

use std::collections::BTreeMap;
use std::time::Duration;

use config::Revised;
use orders::{Marked, OrderReport};
use replica::{LogIndex, Record, Replica, Step};
use state::{Applied, Command, State};

use crate::link::message::{
    Beat, ControlReply, ControlRequest, Endpoints, Envelope, Heartbeat, OrderStatus, ProcessState,
    Reply, Request, Status, Suspects,
};
use crate::model::{BootId, EndpointState, Fence, InboundId, Timestamp};
use crate::registry::Registry;
use crate::role::{Input, Output, Role};

/// How long a member that leaves waits for the commands that it has taken.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What the disk tells the control role.
#[derive(Debug)]
pub enum DiskInput {
    /// Records up to this one are synced.
    Synced(LogIndex),
    /// The disk failed.
    Failed(Box<str>),
}

/// What the control role asks of its disk.
#[derive(Debug)]
pub enum DiskEffect {
    /// Append records and sync them.
    Append(Vec<Record>),
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
}

/// The control role.
pub struct Control {
    settings: ControlSettings,
    replica: Replica,
    state: State,
    registry: Registry,
    waiting: BTreeMap<LogIndex, InboundId>,
    stopping: Option<Timestamp>,
}

type Outputs = Vec<Output<DiskEffect>>;

impl Control {
    /// Makes the role from the records that its disk kept.
    pub fn new(settings: ControlSettings, records: Vec<Record>) -> Control {
        let mut control = Control {
            settings,
            replica: Replica::new(),
            state: State::default(),
            registry: Registry::default(),
            waiting: BTreeMap::new(),
            stopping: None,
        };
        for record in records {
            control.state.apply(record.index, &record.command);
            control.replica.restore(record);
        }
        control
    }

    fn revised(&self) -> Revised {
        self.state.config.revised()
    }

    fn reply(&self, inbound: InboundId, reply: ControlReply) -> Output<DiskEffect> {
        let envelope = Envelope { revised: self.revised(), body: Reply::Control(reply) };
        Output::Reply { inbound, envelope, last: true }
    }

    fn request(&mut self, now: Timestamp, inbound: InboundId, request: ControlRequest) -> Outputs {
        match request {
            ControlRequest::Heartbeat(heartbeat) => {
                let beat = self.heartbeat(now, heartbeat);
                vec![self.reply(inbound, ControlReply::Beat(beat))]
            }
            ControlRequest::Propose(command) => self.propose(inbound, command.stamped(now)),
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

    fn heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> Beat {
        let newer = heartbeat.process.revised.revision < self.state.config.revision;
        let wants = heartbeat.endpoints;
        let seen = heartbeat.version;
        let orders = heartbeat.endpoint.as_ref().map(|e| self.marked(e, heartbeat.report.as_ref()));
        let suspects = self.suspects(heartbeat.suspects);
        self.registry.heartbeat(now, heartbeat.process, heartbeat.endpoint, heartbeat.report);
        let changed = wants && seen != self.registry.version();
        Beat {
            member: self.settings.name.clone(),
            highest: self.state.config.revision,
            config: newer.then(|| self.state.config.clone()),
            version: self.registry.version(),
            endpoints: changed.then(|| Endpoints::All(self.registry.endpoints())),
            orders,
            suspects,
        }
    }

    /// Returns what an agent is told about the orders of its endpoint.
    fn marked(&self, endpoint: &EndpointState, report: Option<&OrderReport>) -> Marked {
        let desired = self.state.orders.desired(&endpoint.name, &endpoint.pool);
        let tail = self.replica.tail().filter(|(_, c)| orders::concerns(c, endpoint));
        let mark = tail.map(|(index, _)| Fence(index.0)).max().unwrap_or_default();
        let known = report.is_some_and(|r| r.fence >= desired.fence);
        Marked { mark: mark.max(desired.fence), desired: (!known).then_some(desired) }
    }

    fn suspects(&self, seen: u64) -> Option<Suspects> {
        let quarantine = &self.state.quarantine;
        let list = || quarantine.suspects().iter().map(|(f, s)| (*f, s.clone())).collect();
        (seen != quarantine.version())
            .then(|| Suspects { version: quarantine.version(), list: list() })
    }

    fn propose(&mut self, inbound: InboundId, command: Command) -> Outputs {
        if self.stopping.is_some() {
            return vec![self.reply(inbound, ControlReply::NotLeader { leader: None })];
        }
        let (index, record) = self.replica.propose(command);
        self.waiting.insert(index, inbound);
        vec![Output::Effect(DiskEffect::Append(vec![record]))]
    }

    fn synced(&mut self, index: LogIndex) -> Outputs {
        let mut outputs = Vec::new();
        for Step { index, command } in self.replica.synced(index) {
            let applied = self.state.apply(index, &command);
            log_change(&command, &applied);
            if let Some(inbound) = self.waiting.remove(&index) {
                outputs.push(self.reply(inbound, ControlReply::Applied(applied)));
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
            revised: self.revised(),
        };
        let mut processes = self.registry.processes(now);
        processes.push((own, Duration::ZERO));
        Status {
            member: self.settings.name.clone(),
            leader: Some(self.settings.name.clone()),
            config: self.state.config.clone(),
            history: self.state.history.values().cloned().collect(),
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
                Request::Replica(_) | Request::Agent(_) => Vec::new(),
            },
            Input::Abandoned { inbound } => {
                self.waiting.retain(|_, i| *i != inbound);
                Vec::new()
            }
            Input::Local(DiskInput::Synced(index)) => self.synced(index),
            Input::Local(DiskInput::Failed(error)) => {
                log::error!("step=append error={error}");
                vec![Output::Stopped]
            }
            Input::Wake => {
                self.registry.expire(now);
                Vec::new()
            }
            Input::Shutdown => {
                self.stopping.get_or_insert(now);
                Vec::new()
            }
            Input::Reply { .. } | Input::Closed { .. } => Vec::new(),
        };
        if self.has_stopped(now) {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let leave = self.stopping.map(|since| since + LEAVE_TIMEOUT);
        [leave, self.registry.next_expiry()].into_iter().flatten().min()
    }
}
