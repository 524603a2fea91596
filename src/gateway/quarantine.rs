//! Calls that hold what has crashed endpoints: they are refused at once, before they cost anything.
//!
//! Control decides what is condemned. While control is out of reach, a gateway decides for itself by
//! what it has seen.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::answer;
use super::call::{Call, Stage};
use super::crashes::{causes, part_causes};
use super::reason::EndReason;
use super::{CallerId, Gateway};
use crate::control::quarantine::{
    Blame, Cause, Crash, Evidence, QuarantineUpdate, SURVIVAL_TIME, Stage as Treatment,
};
use crate::link::message::ControlRequest;
use crate::model::{ExchangeId, Timestamp};
use crate::report::observation::Observation;
use crate::role::Output;

/// How long a gateway refuses by its own verdict, while control is out of reach.
const OWN_VERDICT_TTL: Duration = Duration::from_secs(120);
/// How long after a crash a gateway reports runs that go on with the causes that it has reported.
const WATCH_TIME: Duration = Duration::from_secs(60);
/// The minimum time between two reports that runs with a cause go on.
const SURVIVAL_INTERVAL: Duration = Duration::from_millis(250);
/// How long after a refused request for a probe the next one is sent.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a granted probe may wait for a call that uses it.
const PERMIT_TTL: Duration = Duration::from_secs(5);
/// The maximum number of causes that are watched or known to have gone on.
const MAX_CAUSES: usize = 4_096;

/// A cause that was in a run when an endpoint crashed.
#[derive(Debug, Clone, Copy)]
struct Watch {
    until: Timestamp,
    /// When it is reported next that a run with it goes on.
    next_report: Timestamp,
}

/// The causes that this gateway refuses, and what it has seen itself.
#[derive(Debug, Default)]
pub struct Condemned {
    listed: BTreeMap<Cause, Treatment>,
    /// Its own verdicts, and until when they hold.
    own: BTreeMap<Cause, Timestamp>,
    /// Causes of which the leader has allowed a probe, and until when.
    permits: BTreeMap<Cause, Timestamp>,
    /// When the leader is asked next for a probe of a cause.
    next_probe: BTreeMap<Cause, Timestamp>,
    /// Open requests for probes.
    requests: BTreeMap<ExchangeId, Cause>,
    watched: BTreeMap<Cause, Watch>,
    /// Parts with which a run has gone on lately.
    known: BTreeMap<Cause, Timestamp>,
    blame: Blame,
}

impl Condemned {
    /// Applies control's list.
    fn list(&mut self, update: &QuarantineUpdate) {
        self.listed = update.entries.iter().map(|(cause, e)| (*cause, e.stage)).collect();
        self.permits.retain(|cause, _| self.listed.contains_key(cause));
        self.next_probe.retain(|cause, _| self.listed.contains_key(cause));
    }

    /// Returns whether any cause is condemned, or was in a run when an endpoint crashed.
    fn has_suspects(&self) -> bool {
        !self.is_empty() || !self.watched.is_empty()
    }

    /// Returns whether any cause is condemned.
    fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.own.is_empty()
    }

    /// Returns the first of some causes that is condemned; own verdicts count while control is out of
    /// reach.
    fn find(&self, now: Timestamp, causes: &[Cause], alone: bool) -> Option<Cause> {
        let own = |c: &Cause| alone && self.own.get(c).is_some_and(|until| now < *until);
        causes.iter().copied().find(|c| self.listed.contains_key(c) || own(c))
    }

    /// Uses a granted probe for a call with this cause; returns whether there was one.
    fn use_permit(&mut self, now: Timestamp, cause: Cause) -> bool {
        self.permits.remove(&cause).is_some_and(|until| now < until)
    }

    /// Returns whether the leader is to be asked for a probe of a cause now.
    fn wants_probe(&mut self, now: Timestamp, cause: Cause) -> bool {
        let next = self.next_probe.get(&cause).copied().unwrap_or_default();
        let wanted = self.listed.get(&cause) == Some(&Treatment::Probation) && now >= next;
        if wanted {
            self.next_probe.insert(cause, now + PROBE_INTERVAL);
        }
        wanted
    }

    /// Records a crash that this gateway has seen; returns it with the parts that are known to go on.
    fn crashed(&mut self, now: Timestamp, mut crash: Crash) -> Crash {
        let causes: BTreeSet<Cause> = crash.runs.iter().flat_map(|r| &r.causes).copied().collect();
        let known = |c: &&Cause| self.known.get(c).is_some_and(|at| now - *at < WATCH_TIME);
        crash.known = causes.iter().filter(known).copied().collect();
        for cause in causes {
            let watch = Watch { until: now + WATCH_TIME, next_report: now };
            self.watched.entry(cause).or_insert(watch).until = watch.until;
        }
        bound(&mut self.watched, |w| now < w.until);
        self.blame.crashed(now, &crash);
        crash
    }

    /// Records that a run with these causes goes on; returns those of which that is to be reported.
    fn survived(&mut self, now: Timestamp, causes: &[Cause]) -> Vec<Cause> {
        let parts = causes.iter().filter(|c| matches!(c, Cause::Part(_)));
        self.known.extend(parts.map(|part| (*part, now)));
        bound(&mut self.known, |at| now - *at < WATCH_TIME);
        self.blame.survived(now, causes);
        self.own.retain(|cause, _| !causes.contains(cause));
        let mut reported = Vec::new();
        for cause in causes {
            let listed = self.listed.contains_key(cause);
            let watch = self.watched.get_mut(cause).filter(|w| now < w.until);
            let due = watch.is_some_and(|w| {
                let due = now >= w.next_report;
                w.next_report = if due { now + SURVIVAL_INTERVAL } else { w.next_report };
                due
            });
            if due || listed {
                reported.push(*cause);
            }
        }
        reported
    }

    /// Removes causes that are watched no longer.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.watched.retain(|_, w| now < w.until);
    }

    /// Judges by what this gateway has seen itself; returns whether there is a new verdict.
    fn judge(&mut self, now: Timestamp) -> bool {
        self.own.retain(|_, until| now < *until);
        let mut condemned: BTreeSet<Cause> =
            self.listed.keys().chain(self.own.keys()).copied().collect();
        let before = self.own.len();
        while let Some(verdict) = self.blame.verdict(now, &condemned) {
            log::warn!(
                "step=own-verdict cause={} crashes={}",
                verdict.cause,
                verdict.crashes.len()
            );
            condemned.insert(verdict.cause);
            self.own.insert(verdict.cause, now + OWN_VERDICT_TTL);
        }
        self.own.len() > before
    }
}

/// Removes what is out of date from a map that has grown to its bound, or the lowest keys.
fn bound<V>(map: &mut BTreeMap<Cause, V>, is_current: impl Fn(&V) -> bool) {
    if map.len() > MAX_CAUSES {
        map.retain(|_, value| is_current(value));
    }
    while map.len() > MAX_CAUSES {
        map.pop_first();
    }
}

impl Gateway {
    /// Applies control's list of causes in quarantine, and ends the calls that it concerns.
    pub(super) fn apply_quarantine(&mut self, now: Timestamp) {
        let Some(update) = self.follower.new_quarantine() else { return };
        let (version, causes) = (update.version, update.entries.len());
        log::info!("step=quarantine version={version} causes={causes}");
        self.condemned.list(update);
        self.end_condemned(now);
    }

    /// Ends the calls that hold what is condemned: those that have not begun to run, and those whose
    /// run has sent nothing yet.
    fn end_condemned(&mut self, now: Timestamp) {
        let begun = |call: &Call| match &call.stage {
            Stage::Run { attempt, .. } => attempt.first_event.is_some(),
            _ => false,
        };
        let waiting = self.calls.iter().filter(|(_, call)| !begun(call) && !call.probe);
        let callers: Vec<CallerId> = waiting.map(|(caller, _)| *caller).collect();
        for caller in callers {
            let Some(cause) = self.condemned_cause(now, caller) else { continue };
            let Some(call) = self.calls.get_mut(&caller) else { continue };
            call.may_have_run |= matches!(call.stage, Stage::Run { .. });
            self.stop_work(now, caller);
            self.end_as_condemned(now, caller, cause);
        }
    }

    /// Returns what a call holds that is condemned.
    pub(super) fn condemned_cause(&self, now: Timestamp, caller: CallerId) -> Option<Cause> {
        if self.condemned.is_empty() {
            return None;
        }
        let call = self.calls.get(&caller)?;
        let alone = !self.follower.is_document_confirmed(now);
        self.condemned.find(now, &causes(call), alone)
    }

    /// Refuses a new call that holds what is condemned, unless the leader allows it as a probe;
    /// returns whether the call has ended.
    pub(super) fn refuse_condemned(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(cause) = self.condemned_cause(now, caller) else { return false };
        if self.condemned.use_permit(now, cause) {
            log::info!("step=probe cause={cause} outcome=sent");
            if let Some(call) = self.calls.get_mut(&caller) {
                call.probe = true;
            }
            return false;
        }
        if self.condemned.wants_probe(now, cause)
            && let Some(leader) = self.follower.leader()
        {
            let exchange = self.send_to_control(leader, ControlRequest::RequestProbe(cause));
            self.condemned.requests.insert(exchange, cause);
        }
        self.end_as_condemned(now, caller, cause);
        true
    }

    fn end_as_condemned(&mut self, now: Timestamp, caller: CallerId, cause: Cause) {
        let Some(call) = self.calls.get(&caller) else { return };
        let service = call.service.clone();
        log::info!("step=condemned id={} cause={cause}", call.info.id);
        self.outputs.push(Output::Observe(Observation::Quarantined { service }));
        self.conclude(now, caller, answer::quarantined(), EndReason::Quarantined);
    }

    /// Records the leader's answer to a request for a probe; returns whether the exchange was one.
    pub(super) fn probe_answered(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        granted: bool,
    ) -> bool {
        let Some(cause) = self.condemned.requests.remove(&exchange) else { return false };
        if granted {
            self.condemned.permits.insert(cause, now + PERMIT_TTL);
        }
        true
    }

    /// Records a crash of an endpoint, tells control, and judges by it while control is out of reach.
    pub(super) fn crash_seen(&mut self, now: Timestamp, crash: Crash) {
        let crash = self.condemned.crashed(now, crash);
        self.outbox.push(now, Evidence::Crashed(crash));
        self.send_evidence(now);
    }

    /// Judges by what this gateway has seen itself while control is out of reach.
    pub(super) fn judge_alone(&mut self, now: Timestamp) {
        let alone = !self.follower.is_document_confirmed(now);
        if alone && self.condemned.judge(now) {
            self.end_condemned(now);
        }
    }

    /// Records that a call's run goes on, once for each attempt: its causes don't crash endpoints.
    pub(super) fn note_survival(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Some(attempt) = call.attempt() else { return };
        let since = attempt.first_event.filter(|_| !attempt.survived);
        if since.is_none_or(|at| now - at < SURVIVAL_TIME) {
            return;
        }
        attempt.survived = true;
        let Some(call) = self.calls.get(&caller) else { return };
        let causes = self.survivors(call);
        self.report_survival(now, &causes);
    }

    /// Returns the causes of a call whose run has gone on; its content only where that matters, since
    /// to read all of it takes time.
    pub(super) fn survivors(&self, call: &Call) -> Vec<Cause> {
        if self.condemned.has_suspects() { causes(call) } else { part_causes(call) }
    }

    /// Records that calls with these causes don't crash endpoints.
    pub(super) fn report_survival(&mut self, now: Timestamp, causes: &[Cause]) {
        let reported = self.condemned.survived(now, causes);
        if !reported.is_empty() {
            self.outbox.push(now, Evidence::Survived(reported));
            self.send_evidence(now);
        }
    }

    /// Sends evidence to the control members that lack some.
    pub(super) fn send_evidence(&mut self, now: Timestamp) {
        for exchange in self.outbox.take_overdue(now) {
            self.outputs.push(Output::Reset { exchange });
        }
        let exchanges = &mut self.exchanges;
        let mut next = || {
            *exchanges += 1;
            ExchangeId(*exchanges)
        };
        let due = self.outbox.take_due(now, self.follower.members(), &mut next);
        for sending in due {
            let request = ControlRequest::ReportEvidence(sending.evidence);
            self.open_to_control(sending.exchange, sending.member, request);
        }
    }
}
