//! The control role: the replicated log, the state derived from it, and the registry.

mod answers;
pub mod claims;
mod commit;
pub mod config;
pub mod disk;
pub mod dispatch;
pub mod orders;
pub mod origins;
mod peers;
pub mod processes;
pub mod quarantine;
pub mod replica;
pub mod reports;
pub mod routing;
mod shutting_down;
pub mod state;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;

use config::{Change, Revised, schema_of};
use dispatch::credits::Credits;
use dispatch::pairs::Pairs;
use dispatch::prompts::Prompts;
use dispatch::rooms::Rooms;
use dispatch::speeds::Speeds;
use dispatch::waiting::NoRoom;
use origins::{OriginLog, Origins};
use peers::Peers;
use processes::Processes;
use quarantine::Detector;
use replica::{Entry, LogIndex, Replica, ReplicaInput, ReplicaSettings, Snapshot, Stored, WriteId};
use reports::Reports;
use state::{Applied, ChangeReply, Command, State};

use crate::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
use crate::model::{BootId, InboundId, Timestamp};
use crate::registry::Registry;
use crate::report::observation::Observation;
use crate::role::{Input, Output, Role};
use crate::shutdown::{Shutdown, ShutdownTerms};

/// The maximum encoded size of a command; larger ones are refused so that each record fits into
/// one message.
const MAX_COMMAND_BYTES: usize = 1 << 20;

/// How often a leader plans the next steps of the rollouts.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// A result that the disk reports to the control role.
#[derive(Debug)]
pub enum DiskInput {
    /// All writes up to and including this one are synced.
    Synced(WriteId),
    /// The disk is full or over quota, with the error message; the writes are retried.
    Stalled(Box<str>),
    /// The disk failed permanently, with the error message.
    Failed(Box<str>),
}

/// A write that the control role requests from its disk.
#[derive(Debug)]
pub enum DiskEffect {
    /// Append entries to the journal and sync.
    Append {
        /// The number to report once the write is synced.
        id: WriteId,
        /// The entries to append.
        entries: Vec<Entry>,
    },
    /// Write a snapshot, then begin a new journal with these entries.
    Replace {
        /// The number to report once the write is synced.
        id: WriteId,
        /// The snapshot to write.
        snapshot: Arc<Snapshot>,
        /// The complete content of the new journal.
        entries: Vec<Entry>,
    },
}

/// The identity and settings of a control member.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The member's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Identifies this start of the process.
    pub boot: BootId,
    /// The settings of its replica of the log.
    pub replica: ReplicaSettings,
    /// How long after the signal the process is killed.
    pub grace: Duration,
}

/// A proposal whose caller waits until its record is committed.
#[derive(Debug, Clone, Copy)]
struct Proposal {
    inbound: InboundId,
    term: u64,
    since: Timestamp,
}

/// The state of the control role.
pub struct Control {
    settings: ControlSettings,
    replica: Replica,
    state: State,
    revised: Revised,
    registry: Registry,
    peers: Peers,
    prompts: Prompts,
    rooms: Rooms,
    credits: Credits,
    pairs: Pairs,
    /// The speeds of prefill endpoints.
    prompt_speeds: Speeds,
    /// The speeds of decode endpoints.
    step_speeds: Speeds,
    reports: Reports,
    origins: Origins,
    /// Where origins are kept beyond the process, if anywhere.
    origin_log: Option<Box<dyn OriginLog>>,
    /// When the recorded versions are compared next with what was heard.
    next_review: Timestamp,
    processes: Processes,
    detector: Detector,
    proposals: BTreeMap<LogIndex, Proposal>,
    failed: bool,
    shutdown: Shutdown,
    next_plan: Timestamp,
}

type Outputs = Vec<Output<DiskEffect>>;

impl Control {
    /// Creates the role from the content of its disk.
    pub fn new(settings: ControlSettings, stored: Stored) -> eyre::Result<Control> {
        let state = match &stored.snapshot {
            Some(snapshot) => {
                State::decode(&snapshot.state).wrap_err("the state in the snapshot is damaged")?
            }
            None => State::default(),
        };
        Ok(Control {
            replica: Replica::new(settings.replica.clone(), stored),
            registry: Registry::new(settings.boot),
            shutdown: Shutdown::new(ShutdownTerms {
                notice: Duration::ZERO,
                grace: settings.grace,
            }),
            settings,
            revised: state.config.revised(),
            state,
            peers: Peers::default(),
            prompts: Prompts::default(),
            rooms: Rooms::default(),
            credits: Credits::default(),
            pairs: Pairs::default(),
            prompt_speeds: Speeds::default(),
            step_speeds: Speeds::default(),
            reports: Reports::default(),
            origins: Origins::default(),
            origin_log: None,
            next_review: Timestamp::default(),
            processes: Processes::default(),
            detector: Detector::default(),
            proposals: BTreeMap::new(),
            failed: false,
            next_plan: Timestamp::default(),
        })
    }

    /// Returns this member's replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the state after all committed commands.
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

    /// Replies that this member does not lead, with the leader if it is known.
    fn not_leader(&self, inbound: InboundId) -> Output<DiskEffect> {
        self.reply(inbound, ControlReply::NotLeader { leader: self.replica.leader() })
    }

    fn request(&mut self, now: Timestamp, inbound: InboundId, request: ControlRequest) -> Outputs {
        match request {
            ControlRequest::Heartbeat(mut heartbeat) => {
                let origins = heartbeat.origins.take().map(|o| self.note_origins(now, o));
                self.correct_origins(now, &heartbeat.corrections.take().unwrap_or_default());
                let service = heartbeat.endpoint.as_ref().map(|e| e.pool.clone());
                let beat = self.heartbeat(now, *heartbeat);
                let mut outputs = vec![self.reply(inbound, ControlReply::Beat(beat))];
                outputs.extend(origins);
                outputs.extend(service.into_iter().flat_map(|s| self.record_versions(now, &s)));
                outputs
            }
            ControlRequest::Propose(command) => self.propose(now, inbound, command.stamped(now)),
            ControlRequest::Announce(endpoint) => {
                self.list_version(now, &endpoint);
                self.endpoint_alive(now, &endpoint);
                let service = endpoint.pool.clone();
                self.registry.announce(now, *endpoint, self.revised);
                let mut outputs = vec![self.reply(inbound, ControlReply::Announced)];
                outputs.extend(self.record_versions(now, &service));
                outputs
            }
            ControlRequest::Lead => {
                let leader = self.replica.leader();
                let leadership = self.leadership(now).map(Box::new);
                vec![self.reply(inbound, ControlReply::Lead { leader, leadership })]
            }
            ControlRequest::AssignRoom(mut request) => {
                if !self.replica.is_leader() {
                    return vec![self.not_leader(inbound)];
                }
                let registry = &self.registry;
                self.rooms.retain_owners(now, |boot| registry.may_be_alive(now, boot));
                self.step_speeds.merge(now, &mut request.candidates);
                self.pairs.refresh(now, || self.registry.endpoints());
                let (prompts, speeds) = (&self.prompts, &self.prompt_speeds);
                self.pairs.set_waits(now, &mut request.candidates, prompts, speeds);
                let (endpoint, ahead) = match self.rooms.decide(now, &request) {
                    Ok(endpoint) => (Some(endpoint), 0),
                    Err(NoRoom::Behind(ahead)) => (None, ahead),
                    Err(NoRoom::Full | NoRoom::Ended) => (None, 0),
                };
                vec![self.reply(inbound, ControlReply::RoomAssigned { endpoint, ahead })]
            }
            ControlRequest::RunEnded { run, end } => {
                self.rooms.ended(now, run, end);
                vec![self.reply(inbound, ControlReply::Announced)]
            }
            ControlRequest::CountRuns { owner, runs } => {
                if !self.replica.is_leader() {
                    return vec![self.not_leader(inbound)];
                }
                self.rooms.count(now, owner, &runs);
                vec![self.reply(inbound, ControlReply::Announced)]
            }
            ControlRequest::Credits(request) => match self.grant_credits(now, &request) {
                Some(reply) => vec![self.reply(inbound, ControlReply::CreditsGranted(reply))],
                None => vec![self.not_leader(inbound)],
            },
            ControlRequest::AssignPrompt(mut request) => {
                if !self.replica.is_leader() {
                    return vec![self.not_leader(inbound)];
                }
                self.prompt_speeds.merge(now, &mut request.candidates);
                let endpoint = self.prompts.assign(now, &request);
                let ahead = endpoint.as_ref().map_or(0, |e| self.prompts.ahead(e, request.tokens));
                vec![self.reply(inbound, ControlReply::PromptAssigned { endpoint, ahead })]
            }
            ControlRequest::PromptEnded { endpoint, tokens } => {
                self.prompts.ended(&endpoint, tokens);
                vec![self.reply(inbound, ControlReply::Announced)]
            }
            ControlRequest::Owner(boot) => {
                let alive = self.registry.may_be_alive(now, boot);
                vec![self.reply(inbound, ControlReply::Owner { alive })]
            }
            ControlRequest::Status => {
                let status = Box::new(self.status(now));
                vec![self.reply(inbound, ControlReply::Status(status))]
            }
            ControlRequest::ReportEvidence(list) => self.record_evidence(now, inbound, list),
            ControlRequest::RequestProbe(cause) => {
                let granted = self.grant_probe(now, cause);
                vec![self.reply(inbound, ControlReply::ProbeGranted { cause, granted })]
            }
            ControlRequest::RecordOrigins(origins) => self.record_origins(now, inbound, origins),
            ControlRequest::FindOrigin { call, service } => {
                let found = self.find_origin(now, call.as_deref(), &service);
                vec![self.reply(inbound, found)]
            }
        }
    }

    fn propose(&mut self, now: Timestamp, inbound: InboundId, command: Command) -> Outputs {
        if self.shutdown.is_requested() {
            return vec![self.reply(inbound, ControlReply::NotLeader { leader: None })];
        }
        if let Some(why) = self.refusal(&command) {
            let applied = Applied::Changed(ChangeReply::Refused(why));
            return vec![self.reply(inbound, ControlReply::Applied(applied))];
        }
        match self.replica.propose(now, command) {
            Ok((position, actions)) => {
                let proposal = Proposal { inbound, term: position.term, since: now };
                self.proposals.insert(position.index, proposal);
                self.execute(actions)
            }
            Err(leader) => vec![self.reply(inbound, ControlReply::NotLeader { leader })],
        }
    }

    /// Returns why a command must not be appended to the log, or `None` if it may be.
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

    /// Returns a refusal that lists the live processes which don't support the setting of a new
    /// change, or `None` if all of them do.
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
                // The process of this member was another one, or has no such role any more.
                Request::Notice(_) => {
                    let envelope = self.envelope(Reply::Noticed);
                    vec![Output::Reply { inbound, envelope, last: true }]
                }
                Request::Agent(_) => Vec::new(),
            },
            Input::Abandoned { inbound } => {
                self.proposals.retain(|_, p| p.inbound != inbound);
                Vec::new()
            }
            Input::Reply { exchange, envelope } => {
                let Some(peer) = self.peers.peer(exchange) else {
                    self.notice_closed(exchange);
                    return Vec::new();
                };
                let Reply::Replica(message) = envelope.body else { return Vec::new() };
                self.replica_step(now, ReplicaInput::Reply { peer, message })
            }
            Input::Closed { exchange, .. } => match self.peers.closed(exchange) {
                Some(peer) => self.replica_step(now, ReplicaInput::Lost { peer }),
                None => {
                    self.notice_closed(exchange);
                    Vec::new()
                }
            },
            Input::Members { addresses } => {
                self.replica_step(now, ReplicaInput::Members(addresses))
            }
            Input::Local(input) => self.disk(now, input),
            Input::Wake => {
                self.registry.expire(now);
                let (processes, endpoints) = self.registry.counts();
                let mut outputs = self.replica_step(now, ReplicaInput::Wake);
                outputs.extend(self.plan(now));
                outputs.extend(self.judge(now));
                outputs.extend(self.review_versions(now));
                outputs.extend(self.review_processes(now));
                outputs.push(Output::Observe(Observation::Registry { processes, endpoints }));
                let causes = self.state.quarantine.entries().len();
                outputs.push(Output::Observe(Observation::Quarantine { causes }));
                outputs
            }
            Input::Shutdown { since } => {
                self.request_shutdown(now, since);
                Vec::new()
            }
        };
        outputs.extend(self.advance_shutdown(now));
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let replica = (!self.failed).then(|| self.replica.next_wake());
        let shutdown = self.shutdown.next_wake();
        let plans = self.replica.is_leader() && self.state.orders.rollouts().next().is_some();
        let plan = plans.then_some(self.next_plan);
        let review = (!self.failed).then(|| self.next_process_review()).flatten();
        let expiry = self.registry.next_expiry();
        [shutdown, plan, replica, expiry, review].into_iter().flatten().min()
    }
}
