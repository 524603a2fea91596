//! What a gateway refuses because it crashes endpoints: control's list, and its own verdicts for the
//! time in which control is out of reach.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::control::quarantine::{Blame, Cause, Crash, Known, QuarantineUpdate, Stage, Verdict};
use crate::h1::CallerId;
use crate::model::{ExchangeId, Timestamp};

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
/// The maximum number of causes that are watched.
const MAX_CAUSES: usize = 4_096;

/// A cause that was in a run when an endpoint crashed.
#[derive(Debug, Clone, Copy)]
struct Watch {
    until: Timestamp,
    /// When it is reported next that a run with it goes on.
    next_report: Timestamp,
}

/// A request to the leader for a probe.
#[derive(Debug, Clone, Copy)]
pub struct ProbeRequest {
    /// The cause that is probed.
    pub cause: Cause,
    /// The caller whose call waits for the answer.
    pub caller: CallerId,
}

/// A verdict of this gateway, for the time in which control is out of reach.
#[derive(Debug, Clone, Copy)]
struct OwnVerdict {
    until: Timestamp,
    /// Whether the cause is only suspected; then it explains no crash.
    suspected: bool,
}

/// The causes that this gateway refuses, and what it has seen itself.
#[derive(Debug, Default)]
pub struct Blocked {
    listed: BTreeMap<Cause, Stage>,
    /// Its own verdicts.
    own: BTreeMap<Cause, OwnVerdict>,
    /// Causes of which the leader has allowed a probe, and until when.
    permits: BTreeMap<Cause, Timestamp>,
    /// When the leader is asked next for a probe of a cause.
    next_probe: BTreeMap<Cause, Timestamp>,
    /// Open requests for probes.
    requests: BTreeMap<ExchangeId, ProbeRequest>,
    watched: BTreeMap<Cause, Watch>,
    /// Causes with which a run has gone on lately.
    known: Known,
    blame: Blame,
}

impl Blocked {
    /// Applies control's list.
    pub fn list(&mut self, update: &QuarantineUpdate) {
        let listed = update.stages.iter().copied().collect();
        let before = std::mem::replace(&mut self.listed, listed);
        let cleared = before.into_keys().filter(|cause| !self.listed.contains_key(cause));
        let cleared: Vec<Cause> = cleared.collect();
        self.blame.forget(&cleared);
        self.own.retain(|cause, _| !cleared.contains(cause));
        self.permits.retain(|cause, _| self.listed.contains_key(cause));
        self.next_probe.retain(|cause, _| self.listed.contains_key(cause));
    }

    /// Returns whether any cause is blocked, or was in a run when an endpoint crashed.
    pub fn has_suspects(&self) -> bool {
        !self.is_empty() || !self.watched.is_empty()
    }

    /// Returns whether any cause is blocked.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.own.is_empty()
    }

    /// Returns whether any complete content is blocked.
    pub fn has_contents(&self) -> bool {
        let mut all = self.listed.keys().chain(self.own.keys());
        all.any(|cause| matches!(cause, Cause::Content(_)))
    }

    /// Returns the one of some causes, of which the most specific one is the last, by which their call
    /// is refused: one of which no probe may run, or else the most specific one that is blocked. Own
    /// verdicts count while control is out of reach.
    pub fn find(&self, now: Timestamp, causes: &[Cause], alone: bool) -> Option<Cause> {
        let own = |c: &Cause| alone && self.own.get(c).is_some_and(|own| now < own.until);
        let blocked = |c: &&Cause| self.listed.contains_key(c) || own(c);
        let refused = |c: &&Cause| self.listed.get(c).is_none_or(|stage| !stage.allows_probes());
        let held = || causes.iter().rev().filter(blocked);
        held().find(refused).or_else(|| held().next()).copied()
    }

    /// Uses a granted probe for a call with this cause; returns whether there was one.
    pub fn use_permit(&mut self, now: Timestamp, cause: Cause) -> bool {
        self.permits.remove(&cause).is_some_and(|until| now < until)
    }

    /// Returns whether the leader is to be asked for a probe of a cause now.
    pub fn wants_probe(&mut self, now: Timestamp, cause: Cause) -> bool {
        let next = self.next_probe.get(&cause).copied().unwrap_or_default();
        let allowed = self.listed.get(&cause).is_some_and(|stage| stage.allows_probes());
        let wanted = allowed && now >= next;
        if wanted {
            self.next_probe.insert(cause, now + PROBE_INTERVAL);
        }
        wanted
    }

    /// Records that the leader is asked for a probe.
    pub fn probe_requested(&mut self, exchange: ExchangeId, request: ProbeRequest) {
        self.requests.insert(exchange, request);
    }

    /// Removes the request for a probe on an exchange that was answered or has ended.
    pub fn take_request(&mut self, exchange: ExchangeId) -> Option<ProbeRequest> {
        self.requests.remove(&exchange)
    }

    /// Keeps a granted probe whose call has ended for the next call with its cause.
    pub fn permit(&mut self, now: Timestamp, cause: Cause) {
        self.permits.insert(cause, now + PERMIT_TTL);
    }

    /// Records a crash that this gateway has seen; returns it with the causes that are known to go on.
    pub fn crashed(&mut self, now: Timestamp, mut crash: Crash) -> Crash {
        let causes: BTreeSet<Cause> = crash.runs.iter().flat_map(|r| &r.causes).copied().collect();
        let known = causes.iter().copied().filter(|cause| self.known.contains(now, *cause));
        crash.known = known.collect();
        for cause in causes {
            let watch = Watch { until: now + WATCH_TIME, next_report: now };
            self.watched.entry(cause).or_insert(watch).until = watch.until;
        }
        self.bound_watched(now);
        self.blame.crashed(now, &crash);
        crash
    }

    /// Records that a run with these causes goes on; returns those of which that is to be reported.
    pub fn survived(&mut self, now: Timestamp, causes: &[Cause]) -> Vec<Cause> {
        self.known.learn(now, causes);
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

    /// Removes watches that are out of date once there are too many, and then the lowest causes.
    fn bound_watched(&mut self, now: Timestamp) {
        if self.watched.len() > MAX_CAUSES {
            self.expire(now);
        }
        while self.watched.len() > MAX_CAUSES {
            self.watched.pop_first();
        }
    }

    /// Removes causes that are watched no longer.
    pub fn expire(&mut self, now: Timestamp) {
        self.watched.retain(|_, w| now < w.until);
    }

    /// Returns whether calls with a cause are refused only because it is suspected.
    pub fn is_suspected(&self, cause: Cause) -> bool {
        match self.listed.get(&cause) {
            Some(stage) => *stage == Stage::Suspected,
            None => self.own.get(&cause).is_some_and(|own| own.suspected),
        }
    }

    /// Judges by what this gateway has seen itself; returns whether there is a new verdict.
    pub fn judge(&mut self, now: Timestamp) -> bool {
        self.own.retain(|_, own| now < own.until);
        let before = self.own.len();
        let mut blocked = self.held(false);
        while let Some(verdict) = self.blame.verdict(now, &blocked) {
            blocked.insert(verdict.cause);
            self.decide(now, &verdict, false);
        }
        for verdict in self.blame.suspects(now, &self.held(true)) {
            self.decide(now, &verdict, true);
        }
        self.own.len() > before
    }

    fn decide(&mut self, now: Timestamp, verdict: &Verdict, suspected: bool) {
        let (cause, crashes) = (verdict.cause, verdict.crashes.len());
        log::warn!("step=own-verdict cause={cause} crashes={crashes} suspected={suspected}");
        self.own.insert(cause, OwnVerdict { until: now + OWN_VERDICT_TTL, suspected });
    }

    /// Returns the causes that are refused; suspects only if they are asked for.
    fn held(&self, suspects: bool) -> BTreeSet<Cause> {
        let all = self.listed.keys().chain(self.own.keys()).copied();
        all.filter(|cause| suspects || !self.is_suspected(*cause)).collect()
    }
}
