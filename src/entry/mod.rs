//! The entry role: the pipeline from a caller's request to its one terminal outcome.
//!
//! The filters are `accept`, `check`, `admit`, `claim`, `place`, `run` and `answer`.

pub mod accept;
pub mod admit;
pub mod answer;
pub mod check;
pub mod claim;
pub mod place;
mod run;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use check::{RawCall, Tenants};
use claim::Proposer;
use place::Placement;
use run::Run;

use crate::control::config::Setting;
use crate::link::message::{Answer, Request};
use crate::model::{BootId, CallId, EndpointState, ExchangeId, Refusal, RefusalReason, Timestamp};
use crate::registry::{Follower, FollowerSettings};
use crate::role::{Input, Output, Role};

/// When a caller that was refused for want of room may come back.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// How long an entry that leaves refuses new calls, so that the balancer sees that it is not
/// ready before it is gone.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_000);
/// How long an entry that leaves waits for answers that no call needs.
const TIDY_TIMEOUT: Duration = Duration::from_millis(5_000);

/// What callers do.
#[derive(Debug)]
pub enum CallerInput {
    /// A request has arrived.
    Arrived {
        /// The number that the shell gave it.
        call: CallId,
        /// What it says.
        raw: RawCall,
    },
    /// The caller is gone.
    Gone {
        /// The call.
        call: CallId,
    },
}

/// What callers are told.
#[derive(Debug)]
pub enum CallerEffect {
    /// Engine memory is held, so heartbeats are needed to notice a lost caller.
    Begin {
        /// The call.
        call: CallId,
    },
    /// The next tokens.
    Tokens {
        /// The call.
        call: CallId,
        /// The tokens, which follow those before without a gap.
        tokens: Vec<Box<str>>,
    },
    /// The terminal outcome.
    Finish {
        /// The call.
        call: CallId,
        /// The outcome.
        outcome: Terminal,
    },
}

/// The one terminal outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Terminal {
    /// All tokens were told.
    Generated {
        /// Tokens generated.
        tokens: u32,
        /// Why generation ended.
        finish: Box<str>,
    },
    /// A plain service's answer.
    Answered(Answer),
    /// A refusal or failure.
    Refused(Refusal),
}

/// Who an entry is.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// How it follows control.
    pub follower: FollowerSettings,
}

/// What runs share: membership, placement, claims and the numbers of exchanges.
pub(crate) struct Shared {
    pub(crate) follower: Follower,
    pub(crate) endpoints: BTreeMap<Box<str>, EndpointState>,
    pub(crate) placement: Box<dyn Placement + Send>,
    pub(crate) proposer: Proposer,
    boot: BootId,
    last_exchange: u64,
    /// Which call an exchange serves.
    owners: BTreeMap<ExchangeId, CallId>,
}

type Outputs = Vec<Output<CallerEffect>>;

impl Shared {
    fn next_exchange(&mut self) -> ExchangeId {
        self.last_exchange += 1;
        ExchangeId(self.last_exchange)
    }

    /// Opens an exchange that serves a call.
    pub(crate) fn open(
        &mut self,
        call: CallId,
        peer: std::net::SocketAddr,
        request: Request,
    ) -> (ExchangeId, Output<CallerEffect>) {
        let exchange = self.next_exchange();
        self.owners.insert(exchange, call);
        let envelope = self.follower.envelope(request);
        (exchange, Output::Open { exchange, peer, envelope })
    }

    /// Cancels an exchange.
    pub(crate) fn reset(&mut self, exchange: ExchangeId) -> Output<CallerEffect> {
        self.owners.remove(&exchange);
        Output::Reset { exchange }
    }

    /// Drops an exchange that its peer has ended.
    pub(crate) fn forget(&mut self, exchange: ExchangeId) {
        self.owners.remove(&exchange);
    }

    pub(crate) fn boot(&self) -> BootId {
        self.boot
    }
}

/// A run and when it wants to wake.
struct Scheduled {
    run: Run,
    timer: Timestamp,
}

/// The entry role.
pub struct Entry {
    shared: Shared,
    tenants: Tenants,
    runs: BTreeMap<CallId, Scheduled>,
    /// When each run wants to wake.
    timers: BTreeSet<(Timestamp, CallId)>,
    stopping: Option<Timestamp>,
    /// Since when an entry that leaves has no calls.
    quiet: Option<Timestamp>,
}

impl Entry {
    /// Makes the role; it refuses calls until its configuration is confirmed.
    pub fn new(
        settings: EntrySettings,
        tenants: Tenants,
        placement: Box<dyn Placement + Send>,
    ) -> Entry {
        let shared = Shared {
            proposer: Proposer::new(settings.follower.members.clone()),
            boot: settings.follower.boot,
            follower: Follower::new(settings.follower),
            endpoints: BTreeMap::new(),
            placement,
            last_exchange: 0,
            owners: BTreeMap::new(),
        };
        let (runs, timers) = (BTreeMap::new(), BTreeSet::new());
        Entry { shared, tenants, runs, timers, stopping: None, quiet: None }
    }

    fn arrived(&mut self, now: Timestamp, call: CallId, raw: RawCall) -> Outputs {
        match self.admit(now, raw) {
            Ok(checked) => {
                let (run, outputs) = Run::start(&mut self.shared, now, call, checked);
                if !run.is_done() {
                    let timer = run.next_wake();
                    self.timers.insert((timer, call));
                    self.runs.insert(call, Scheduled { run, timer });
                }
                outputs
            }
            Err(refusal) => {
                log::info!("step=refuse call={call} {refusal}");
                let outcome = Terminal::Refused(refusal);
                vec![Output::Effect(CallerEffect::Finish { call, outcome })]
            }
        }
    }

    fn admit(&self, now: Timestamp, raw: RawCall) -> Result<crate::model::Call, Refusal> {
        if self.stopping.is_some() {
            let detail = "this entry is shutting down";
            return Err(Refusal::not_run(RefusalReason::Draining, RETRY_AFTER, detail));
        }
        let config = self.shared.follower.config();
        let confirmed = self.shared.follower.is_confirmed(now);
        if !confirmed && config.default_value(Setting::ServeUnconfirmed) == 0 {
            let detail = "no majority of control confirms the configuration";
            return Err(Refusal::not_run(RefusalReason::NoConfig, RETRY_AFTER, detail));
        }
        let call = check::check(now, raw, config, &self.tenants)?;
        admit::admit(now, &call, config, self.runs.values().filter_map(|s| s.run.waiting_call()))?;
        Ok(call)
    }

    /// Passes an event to the run that it belongs to.
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
            self.runs.remove(&call);
        }
        outputs
    }

    fn heartbeats(&mut self, now: Timestamp) -> Outputs {
        let last = &mut self.shared.last_exchange;
        self.shared.follower.wake(now, None, None, &mut || {
            *last += 1;
            ExchangeId(*last)
        })
    }

    /// Returns whether nothing is left to do for any caller, and the balancer had its notice.
    fn has_stopped(&mut self, now: Timestamp) -> bool {
        if self.stopping.is_some() && self.runs.is_empty() {
            self.quiet.get_or_insert(now);
        }
        self.stop_time().is_some_and(|at| at <= now)
    }

    /// Returns when an entry that leaves and has no calls stops if nothing more comes.
    fn stop_time(&self) -> Option<Timestamp> {
        let noticed = self.stopping? + LEAVE_NOTICE;
        let quiet = self.quiet?;
        let tidy = if self.shared.owners.is_empty() { quiet } else { quiet + TIDY_TIMEOUT };
        Some(noticed.max(tidy))
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
        let mut outputs = match input {
            Input::Local(CallerInput::Arrived { call, raw }) => self.arrived(now, call, raw),
            Input::Local(CallerInput::Gone { call }) => {
                self.with_run(call, |run, shared| run.gone(shared, now))
            }
            Input::Reply { exchange, envelope } => {
                self.shared.follower.observe(now, envelope.revised);
                if self.shared.follower.reply(now, exchange, &envelope.body) {
                    if let Some(endpoints) = self.shared.follower.changed_endpoints(now) {
                        self.shared.endpoints = endpoints;
                    }
                    Vec::new()
                } else if let Some(call) = self.shared.owners.get(&exchange).copied() {
                    let body = envelope.body;
                    self.with_run(call, |run, shared| run.reply(shared, now, exchange, body))
                } else {
                    Vec::new()
                }
            }
            Input::Closed { exchange, failure } => {
                if self.shared.follower.closed(exchange) {
                    Vec::new()
                } else if let Some(call) = self.shared.owners.remove(&exchange) {
                    self.with_run(call, |run, shared| run.closed(shared, now, exchange, failure))
                } else {
                    Vec::new()
                }
            }
            Input::Wake => self.wake(now),
            Input::Shutdown => {
                self.stopping.get_or_insert(now);
                Vec::new()
            }
            Input::Request { .. } | Input::Abandoned { .. } => Vec::new(),
        };
        if self.has_stopped(now) {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let runs = self.timers.first().map(|(at, _)| *at);
        [runs, self.stop_time(), self.shared.follower.next_wake()].into_iter().flatten().min()
    }
}
