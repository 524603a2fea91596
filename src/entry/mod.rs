//! The entry role: the pipeline from a caller's request to its single terminal outcome.
//!
//! The filters are `accept`, `check`, `admit`, `claim`, `place`, `run` and `answer`.

pub mod accept;
pub mod admit;
pub mod answer;
mod caller;
pub mod check;
pub mod claim;
pub mod health;
mod meter;
pub mod place;
pub mod retry;
mod run;
mod shared;
mod shutting_down;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use caller::{CallerEffect, CallerInput, Terminal};

use admit::{Decision, Limits};
use check::{RawCall, Tenants};
use meter::Meter;
use place::Placement;
use run::Run;
use shared::Shared;

use crate::control::config::Setting;
use crate::link::message::{AgentReply, Reply, Request};
use crate::model::{
    Call, CallId, CallKind, ExchangeId, InboundId, Refusal, RefusalReason, Timestamp,
};
use crate::registry::FollowerSettings;
use crate::role::{Input, Output, Role};
use crate::shutdown::{Phase, Shutdown, ShutdownTerms};

/// The retry delay of calls that are refused during shutdown or without a confirmed
/// configuration.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// How long an entry that shuts down keeps refusing new calls, so that the load balancer sees
/// that it is not ready before it stops.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(1_000);
/// How long an entry that shuts down waits for the end of exchanges that no call needs any more.
const CLEANUP_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The identity of the process and the control members that it follows.
    pub follower: FollowerSettings,
    /// How long after the signal the process is killed.
    pub grace: Duration,
}

type Outputs = Vec<Output<CallerEffect>>;

/// A run, its timer and its tenant.
struct Scheduled {
    run: Run,
    timer: Timestamp,
    tenant: Box<str>,
    /// When the call arrived.
    arrived: Timestamp,
}

/// The entry role.
pub struct Entry {
    shared: Shared,
    tenants: Tenants,
    runs: BTreeMap<CallId, Scheduled>,
    /// The next deadline of each run.
    timers: BTreeSet<(Timestamp, CallId)>,
    limits: Limits,
    meter: Meter,
    shutdown: Shutdown,
    /// Since when an entry that shuts down has had no calls.
    idle_since: Option<Timestamp>,
}

impl Entry {
    /// Creates the role, which refuses calls until its configuration is confirmed.
    pub fn new(
        settings: EntrySettings,
        tenants: Tenants,
        placement: Box<dyn Placement + Send>,
    ) -> Entry {
        let terms = ShutdownTerms { notice: SHUTDOWN_NOTICE, grace: settings.grace };
        let shared = Shared::new(settings, placement);
        Entry {
            shared,
            tenants,
            runs: BTreeMap::new(),
            timers: BTreeSet::new(),
            limits: Limits::default(),
            meter: Meter::default(),
            shutdown: Shutdown::new(terms),
            idle_since: None,
        }
    }

    fn arrived(&mut self, now: Timestamp, call: CallId, raw: RawCall) -> Outputs {
        let key_open = raw.may_have_run_before();
        let admitted = self.admit(now, raw);
        if let Ok(checked) = &admitted {
            self.meter.arrived(now, call, checked, self.shared.follower.config());
        }
        match admitted {
            Ok(checked) if self.queues(&checked) => {
                let shared = &mut self.shared;
                let config = shared.follower.config();
                let decision = shared.admission.offer(now, call, checked, config, &shared.fleet);
                decision.map(|d| self.apply_decision(now, d)).unwrap_or_default()
            }
            Ok(checked) => self.start(now, call, checked),
            Err(refusal) => refused(call, refusal, key_open),
        }
    }

    /// Returns whether a call has to wait for capacity in this entry's queue.
    fn queues(&self, call: &Call) -> bool {
        self.shared.policy.admission && matches!(call.kind, CallKind::Model { .. })
    }

    fn start(&mut self, now: Timestamp, call: CallId, checked: Call) -> Outputs {
        let setting = Setting::RetryPercent;
        let config = self.shared.follower.config();
        let percent = config.value(setting, &checked.tenant, &checked.pool, checked.class);
        self.shared.retries.earn(checked.class, percent);
        let tenant = checked.tenant.clone();
        self.meter.started(now, call);
        let (run, outputs) = Run::start(&mut self.shared, now, call, checked);
        if run.is_done() {
            self.ended(call, &tenant);
        } else {
            let timer = run.next_wake();
            let arrived = self.meter.arrival(call).unwrap_or(now);
            self.timers.insert((timer, call));
            self.runs.insert(call, Scheduled { run, timer, tenant, arrived });
        }
        outputs
    }

    fn ended(&mut self, call: CallId, tenant: &str) {
        self.limits.release(tenant);
        self.shared.admission.finished(call);
        self.shared.fleet.finished(call);
    }

    fn apply_decision(&mut self, now: Timestamp, decision: Decision) -> Outputs {
        match decision {
            Decision::Start(ticket) => self.start(now, ticket.id, ticket.call),
            Decision::Refuse(ticket, refusal) => {
                self.limits.release(&ticket.call.tenant);
                refused(ticket.id, refusal, claim::claim_key(&ticket.call).is_some())
            }
        }
    }

    /// Starts the queued calls for which there is capacity and refuses those that are too late.
    fn start_queued(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = Vec::new();
        while let Some(decision) = self.shared.admission.next(now, &self.shared.fleet) {
            let decided = self.apply_decision(now, decision);
            self.record_outputs(now, &decided);
            outputs.extend(decided);
        }
        outputs
    }

    fn record_outputs(&mut self, now: Timestamp, outputs: &Outputs) {
        for output in outputs {
            self.shared.fleet.record_output(now, output);
        }
    }

    fn admit(&mut self, now: Timestamp, raw: RawCall) -> Result<crate::model::Call, Refusal> {
        if self.shutdown.is_requested() {
            let detail = "this entry is shutting down";
            return Err(Refusal::not_run(RefusalReason::Draining, RETRY_AFTER, detail));
        }
        let config = self.shared.follower.config();
        if !self.shared.follower.may_serve(now) {
            let detail = "no majority of control confirms the configuration";
            return Err(Refusal::not_run(RefusalReason::NoConfig, RETRY_AFTER, detail));
        }
        let call = check::check(now, raw, config, &self.tenants)?;
        self.limits.acquire(&call, config)?;
        Ok(call)
    }

    /// Passes an event to the run of a call and updates the run's timer.
    fn with_run(
        &mut self,
        call: CallId,
        event: impl FnOnce(&mut Run, &mut Shared) -> Outputs,
    ) -> Outputs {
        let Some(scheduled) = self.runs.get_mut(&call) else { return Vec::new() };
        let outputs = event(&mut scheduled.run, &mut self.shared);
        let timer = scheduled.run.next_wake();
        let done = scheduled.run.is_done();
        if done || timer != scheduled.timer {
            self.timers.remove(&(scheduled.timer, call));
            scheduled.timer = timer;
            self.timers.insert((timer, call));
        }
        if done {
            self.timers.remove(&(timer, call));
            if let Some(scheduled) = self.runs.remove(&call) {
                self.ended(call, &scheduled.tenant);
            }
        }
        outputs
    }

    fn caller_disconnected(&mut self, now: Timestamp, call: CallId) -> Outputs {
        if let Some(ticket) = self.shared.admission.remove(call) {
            self.limits.release(&ticket.call.tenant);
        }
        let mut outputs = self.with_run(call, |run, shared| run.caller_disconnected(shared, now));
        outputs.extend(self.meter.caller_disconnected(now, call));
        outputs
    }

    /// Applies the list of endpoints if it has changed.
    fn update_endpoints(&mut self, now: Timestamp) {
        if let Some(endpoints) = self.shared.follower.changed_endpoints(now) {
            self.shared.endpoints = endpoints;
            self.shared.fleet.update(&self.shared.endpoints);
        }
    }

    /// Takes a notice of control, the only request that an entry is sent.
    fn requested(&mut self, now: Timestamp, inbound: InboundId, request: &Request) -> Outputs {
        let Request::Notice(notice) = request else { return Vec::new() };
        self.shared.follower.noticed(now, notice);
        let envelope = self.shared.follower.envelope(Reply::Noticed);
        vec![Output::Reply { inbound, envelope, last: true }]
    }

    fn heartbeats(&mut self, now: Timestamp) -> Outputs {
        let last = &mut self.shared.last_exchange;
        self.shared.follower.wake(now, None, None, &mut || {
            *last += 1;
            ExchangeId(*last)
        })
    }

    fn wake(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = self.heartbeats(now);
        let due: Vec<CallId> =
            self.timers.iter().take_while(|(at, _)| *at <= now).map(|(_, call)| *call).collect();
        for call in due {
            outputs.extend(self.with_run(call, |run, shared| run.wake(shared, now)));
        }
        outputs
    }
}

impl Role for Entry {
    type Local = CallerInput;
    type Effect = CallerEffect;

    fn step(&mut self, now: Timestamp, input: Input<CallerInput>) -> Outputs {
        let may_start = may_free_capacity(&input);
        let mut outputs = match input {
            Input::Local(CallerInput::Arrived { call, raw }) => self.arrived(now, call, raw),
            Input::Local(CallerInput::Disconnected { call }) => self.caller_disconnected(now, call),
            Input::Reply { exchange, envelope } => {
                self.shared.follower.observe(now, envelope.revised);
                self.shared.fleet.record_reply(now, exchange, &envelope.body);
                if self.shared.follower.reply(now, exchange, &envelope.body) {
                    self.update_endpoints(now);
                    Vec::new()
                } else if let Some(call) = self.shared.owners.get(&exchange).copied() {
                    let body = envelope.body;
                    self.with_run(call, |run, shared| run.reply(shared, now, exchange, body))
                } else {
                    Vec::new()
                }
            }
            Input::Closed { exchange, failure } => {
                self.shared.fleet.record_close(now, exchange, failure);
                if self.shared.follower.closed(exchange) {
                    Vec::new()
                } else if let Some(call) = self.shared.owners.remove(&exchange) {
                    self.with_run(call, |run, shared| run.closed(shared, now, exchange, failure))
                } else {
                    Vec::new()
                }
            }
            Input::Wake => self.wake(now),
            Input::Shutdown { since } => {
                self.request_shutdown(now, since);
                Vec::new()
            }
            Input::Members { addresses } => {
                self.shared.follower.name_members(addresses);
                self.update_endpoints(now);
                Vec::new()
            }
            Input::Request { inbound, envelope } => self.requested(now, inbound, &envelope.body),
            Input::Abandoned { .. } => Vec::new(),
        };
        self.record_outputs(now, &outputs);
        if may_start {
            outputs.extend(self.start_queued(now));
        }
        let before = self.shutdown.phase();
        outputs.extend(self.advance_shutdown(now));
        self.log_ends(now, &outputs);
        self.meter.observe(now, &mut outputs, &self.shared.owners);
        if before < Phase::End && self.shutdown.phase() == Phase::End {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let runs = self.timers.first().map(|(at, _)| *at);
        let queue = self.shared.admission.next_wake();
        let rest = [self.next_shutdown_wake(), self.shared.follower.next_wake()];
        [runs, queue].into_iter().chain(rest).flatten().min()
    }
}

/// Returns whether an input can free capacity for waiting calls; tokens never do.
fn may_free_capacity(input: &Input<CallerInput>) -> bool {
    let Input::Reply { envelope, .. } = input else { return true };
    !matches!(envelope.body, Reply::Agent(AgentReply::Part { .. } | AgentReply::Alive))
}

/// Refuses a call that was never started; with `key_open`, an earlier call with the same key may
/// have run.
fn refused(call: CallId, refusal: Refusal, key_open: bool) -> Outputs {
    let refusal = refusal.with_open_key(key_open);
    log::info!("step=refuse call={call} {refusal}");
    let outcome = Terminal::Refused(refusal);
    vec![Output::Effect(CallerEffect::Finish { call, outcome })]
}
