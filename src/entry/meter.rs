//! Measures the calls of an entry and summarizes each one when it ends.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CallerEffect, Outputs, Terminal};
use crate::control::config::{Config, Setting};
use crate::link::message::{AgentRequest, Request};
use crate::model::{Call, CallId, CallKind, Class, ExchangeId, Timestamp};
use crate::report::observation::{CallEnd, CallSummary, Observation};
use crate::role::Output;

/// Measurements of a call so far.
#[derive(Debug)]
struct Metered {
    tenant: Box<str>,
    class: Class,
    arrived: Timestamp,
    started: Option<Timestamp>,
    first: Option<Timestamp>,
    last: Timestamp,
    tokens: u64,
    prefills: u32,
    targets: Option<Targets>,
    deadline: Timestamp,
}

/// The latency targets of a call to a model.
#[derive(Debug, Clone, Copy)]
struct Targets {
    first_token: Duration,
    token_time: Duration,
}

/// Measures the calls that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    calls: BTreeMap<CallId, Metered>,
}

impl Meter {
    /// Starts measuring a call that passed the check.
    pub(crate) fn arrived(&mut self, now: Timestamp, id: CallId, call: &Call, config: &Config) {
        let value = |s| config.value(s, &call.tenant, &call.pool, call.class);
        let targets = matches!(call.kind, CallKind::Model { .. }).then(|| Targets {
            first_token: Duration::from_millis(value(Setting::FirstTokenTarget)),
            token_time: Duration::from_millis(value(Setting::TokenTarget)),
        });
        let metered = Metered {
            tenant: call.tenant.clone(),
            class: call.class,
            arrived: now,
            started: None,
            first: None,
            last: now,
            tokens: 0,
            prefills: 0,
            targets,
            deadline: call.deadline,
        };
        self.calls.insert(id, metered);
    }

    /// Returns when a call arrived, unless it has ended.
    pub(crate) fn arrival(&self, id: CallId) -> Option<Timestamp> {
        self.calls.get(&id).map(|call| call.arrived)
    }

    /// Records the start of the first attempt.
    pub(crate) fn started(&mut self, now: Timestamp, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.started.get_or_insert(now);
        }
    }

    /// Summarizes a call whose caller has disconnected.
    pub(crate) fn caller_disconnected(&mut self, now: Timestamp, id: CallId) -> Outputs {
        let call = self.calls.remove(&id);
        call.map(|c| Output::Observe(c.summarize(now, CallEnd::CallerGone))).into_iter().collect()
    }

    /// Records the outputs of a step and appends the summaries of the calls that end.
    pub(crate) fn observe(
        &mut self,
        now: Timestamp,
        outputs: &mut Outputs,
        owners: &BTreeMap<ExchangeId, CallId>,
    ) {
        let mut observed = Vec::new();
        for output in outputs.iter() {
            match output {
                Output::Open { exchange, envelope, .. } => {
                    let call = owners.get(exchange).and_then(|c| self.calls.get_mut(c));
                    if let (Some(call), Request::Agent(AgentRequest::Prefill { .. })) =
                        (call, &envelope.body)
                    {
                        call.prefills += 1;
                    }
                }
                Output::Effect(CallerEffect::Tokens { call, tokens }) => {
                    if let Some(call) = self.calls.get_mut(call) {
                        call.first.get_or_insert(now);
                        call.last = now;
                        call.tokens += tokens.len() as u64;
                    }
                }
                Output::Effect(CallerEffect::Finish { call, outcome }) => {
                    observed.push(Output::Observe(self.finish(now, *call, outcome)));
                }
                _ => {}
            }
        }
        outputs.extend(observed);
    }

    fn finish(&mut self, now: Timestamp, id: CallId, outcome: &Terminal) -> Observation {
        let end = match outcome {
            Terminal::Refused(refusal) => CallEnd::Refused(refusal.reason),
            Terminal::Generated { .. } | Terminal::Answered(_) => CallEnd::Answered,
        };
        match (self.calls.remove(&id), end) {
            (Some(call), end) => call.summarize(now, end),
            (None, CallEnd::Refused(reason)) => Observation::Refused(reason),
            (None, _) => Observation::Refused(crate::model::RefusalReason::BadCall),
        }
    }
}

impl Metered {
    fn summarize(self, now: Timestamp, end: CallEnd) -> Observation {
        let first_token = self.first.map(|f| f - self.arrived);
        let gaps = self.tokens.saturating_sub(1) as u32;
        let token_time = self.first.filter(|_| gaps > 0).map(|f| (self.last - f) / gaps);
        let answered = end == CallEnd::Answered;
        let in_time = match self.targets {
            Some(targets) => {
                first_token.is_some_and(|t| t <= targets.first_token)
                    && token_time.is_none_or(|t| t <= targets.token_time)
            }
            None => now <= self.deadline,
        };
        let used = u32::from(answered && self.prefills > 0);
        Observation::Call(Box::new(CallSummary {
            tenant: self.tenant,
            class: self.class,
            end,
            queued: self.started.map(|s| s - self.arrived),
            first_token,
            token_time,
            total: now - self.arrived,
            in_time: answered && in_time,
            prefills: self.prefills,
            wasted: self.prefills - used,
        }))
    }
}
