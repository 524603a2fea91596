//! Prompt tokens that engines have processed without use for a complete answer, and prefills that
//! can't be of use.
//!
//! A prompt counts once for each engine that processed it and whose work was given up: a prefill
//! whose export no run has used, or a run that the call didn't end with.

use std::time::Duration;

use super::answer;
use super::call::{Call, Handoff, Reservation, Stage};
use super::fleet::EndpointKey;
use super::outcome::Failure;
use super::reason::EndReason;
use super::{CallerId, Gateway};
use crate::control::dispatch::rooms::RunEnd;
use crate::model::Timestamp;
use crate::report::observation::{Observation, WasteCause};
use crate::role::Output;

/// The minimum prompt from which the pace of prefills is learned; shorter ones take a fixed time
/// mostly.
const MIN_PROMPT_TOKENS: u32 = 500;

/// How many times longer a decode endpoint takes to process a prompt than a prefill endpoint.
const DECODE_SLOWDOWN: u32 = 2;

/// The fastest prefill that a gateway has seen: no other one is expected to be faster.
#[derive(Debug, Default)]
pub(super) struct PrefillPace {
    /// In tokens a second; 0 if none was seen.
    fastest: u64,
}

impl PrefillPace {
    /// Records that a prefill was answered.
    pub fn answered(&mut self, prompt: u32, took: Duration) {
        if prompt >= MIN_PROMPT_TOKENS {
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
            self.fastest = self.fastest.max(u64::from(prompt) * 1_000_000 / micros);
        }
    }

    /// Returns the time that the prefill of a prompt takes at least.
    pub fn least(&self, prompt: u32) -> Duration {
        let micros = (u64::from(prompt) * 1_000_000).checked_div(self.fastest);
        Duration::from_micros(micros.unwrap_or(0))
    }
}

/// An attempt at a call that has failed, after it was decided how the call goes on.
#[derive(Debug)]
pub(super) struct Spent<'a> {
    /// Where it ran.
    pub endpoint: EndpointKey,
    /// Whether it was a prefill.
    pub in_prefill: bool,
    /// Whether the call is retried.
    pub retried: bool,
    /// The export that it was to run from.
    pub handoff: Option<&'a Handoff>,
}

impl Gateway {
    /// Counts the prompt of a call as processed without use.
    pub(super) fn waste_prompt(&mut self, caller: CallerId, cause: WasteCause) {
        let work = self.calls.get(&caller).and_then(|c| c.info.work.as_ref());
        let Some(tokens) = work.map(|w| w.prompt) else { return };
        self.outputs.push(Output::Observe(Observation::PromptWasted { cause, tokens }));
    }

    /// Counts the prompt of a call whose work is stopped in a stage, unless its engine can't have
    /// processed it yet.
    pub(super) fn waste_stopped(&mut self, caller: CallerId, kept: bool, cause: WasteCause) {
        let Some(call) = self.calls.get(&caller) else { return };
        let processed = match &call.stage {
            Stage::Run { attempt, .. } => attempt.connected,
            _ => kept,
        };
        if processed {
            self.waste_prompt(caller, cause);
        }
    }

    /// Returns whether a prefill endpoint can process the prompt of a call before the call's deadline.
    pub(super) fn has_prefill_time(&self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        self.least_prefill(call) < call.remaining(now)
    }

    /// Returns whether a decode endpoint can process the prompt of a call, beside the runs that it
    /// slows down by that, before the call's deadline.
    pub(super) fn has_whole_time(&self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        self.least_prefill(call) * DECODE_SLOWDOWN < call.remaining(now)
    }

    fn least_prefill(&self, call: &Call) -> Duration {
        self.late_answers.pace.least(call.info.work.as_ref().map_or(0, |w| w.prompt))
    }

    /// Gives back the reservation of a call whose prompt can't be processed in time, and ends the call.
    pub(super) fn end_without_prefill(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        decode: &Reservation,
    ) {
        self.report_run_end(caller, RunEnd::Refused);
        self.release(now, decode.endpoint, decode.usage);
        self.conclude(now, caller, answer::out_of_time(), EndReason::Deadline);
    }

    /// Counts the prompt of a call after a failed attempt.
    pub(super) fn waste_attempt(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        failure: &Failure,
        spent: &Spent<'_>,
    ) {
        let unused = spent.handoff.filter(|_| !self.runs_from_export(caller));
        let cause = match failure {
            Failure::NotStarted | Failure::Refused { .. } => unused.map(|handoff| {
                let expired = self.is_expired(now, caller, handoff);
                if expired { WasteCause::ExpiredHandle } else { WasteCause::NoDecodeCapacity }
            }),
            Failure::Silent => Some(WasteCause::Silent),
            Failure::Answered(_) => Some(WasteCause::Failed),
            Failure::Broken if self.goes_elsewhere(caller, spent) => {
                Some(WasteCause::ResumedElsewhere)
            }
            Failure::Broken => Some(WasteCause::Crash),
        };
        if let Some(cause) = cause {
            self.waste_prompt(caller, cause);
        }
    }

    /// Returns whether a call runs from an export again.
    fn runs_from_export(&self, caller: CallerId) -> bool {
        let stage = self.calls.get(&caller).map(|c| &c.stage);
        matches!(stage, Some(Stage::Run { handoff: Some(_), .. }))
    }

    /// Returns whether an engine may have dropped an export.
    fn is_expired(&self, now: Timestamp, caller: CallerId, handoff: &Handoff) -> bool {
        self.shape(caller).is_some_and(|shape| now - handoff.made >= shape.retention)
    }

    /// Returns whether a stream that has begun goes on, and not at the engine where it broke off.
    fn goes_elsewhere(&self, caller: CallerId, spent: &Spent<'_>) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        let same = match &call.stage {
            Stage::Run { attempt, .. } => attempt.endpoint == spent.endpoint,
            _ => false,
        };
        spent.retried && !spent.in_prefill && call.delivered.head && !same
    }
}
