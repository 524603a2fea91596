//! The leader's part in the quarantine: it judges by the evidence and grants probes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Blame, Cause, Crash, Entry, Evidence, Stage, Start, Verdict};
use crate::control::state::Command;
use crate::control::{Control, Outputs};
use crate::link::message::ControlReply;
use crate::model::{EndpointState, InboundId, Timestamp};

/// How long after new evidence, or its election, the leader goes on judging: a part is blocked at the
/// earliest some time after its first crash.
const JUDGE_TIME: Duration = Duration::from_millis(4_000);
/// How often the leader judges at most; many gateways report one crash.
const JUDGE_INTERVAL: Duration = Duration::from_millis(50);
/// How many crashes a cause must have been in for it to be logged that it is not blocked.
const LOGGED_CRASHES: usize = 3;
/// How long a probe may take; then another one of the same cause may be granted.
const PROBE_TTL: Duration = Duration::from_millis(20_000);
/// How long a probe of one cause excludes those of all others, unless its outcome is known before: if
/// two ran at the same endpoint, a crash would speak against both.
const PROBE_ALONE: Duration = Duration::from_millis(5_000);
/// How long after a crash it is reported at the earliest, as gateways collect the runs that break.
const REPORT_TIME: Duration = Duration::from_millis(150);
/// How long no probe is granted after one has crashed its endpoint, which comes back meanwhile.
const FAILED_PROBE_PAUSE: Duration = Duration::from_millis(5_000);

/// The evidence of one member, and the probes that it has granted as the leader.
#[derive(Debug, Default)]
pub struct Detector {
    blame: Blame,
    judge_until: Timestamp,
    next_judgement: Timestamp,
    /// When the last probe of each cause was granted.
    probes: BTreeMap<Cause, Timestamp>,
    /// Until when no probe is granted.
    paused_until: Timestamp,
    /// How many crashes each cause was in when it was last logged that it is not blocked.
    logged: BTreeMap<Cause, usize>,
}

impl Detector {
    fn record(&mut self, now: Timestamp, evidence: &Evidence) {
        match evidence {
            Evidence::Crashed(crash) => {
                self.blame.crashed(now, crash);
                self.judge_until = now + JUDGE_TIME;
            }
            Evidence::Survived(causes) => self.blame.survived(now, causes),
        }
    }

    /// Returns the causes of a crash whose probe may have caused it: one that was granted before, so
    /// that the report of an earlier crash does not speak against it.
    fn failed_probes(&self, now: Timestamp, crash: &Crash) -> Vec<Cause> {
        let Some(reported) = self.blame.reported_at(&crash.start) else { return Vec::new() };
        let runs = crash.runs.iter().filter(|r| !r.has_survived());
        let causes: BTreeSet<Cause> = runs.flat_map(|r| r.causes.iter().copied()).collect();
        let is_probe =
            |granted: &Timestamp| now - *granted < PROBE_TTL && reported >= *granted + REPORT_TIME;
        causes.into_iter().filter(|c| self.probes.get(c).is_some_and(is_probe)).collect()
    }

    /// Drops the evidence against a cause that is out of quarantine; it would be blocked again.
    pub(in crate::control) fn cleared(&mut self, cause: Cause) {
        self.blame.forget(&[cause]);
        self.probes.remove(&cause);
    }

    /// Logs which causes were in several crashes and are not blocked, once for each crash.
    fn log_unblocked(&mut self, now: Timestamp, blocked: &BTreeSet<Cause>) {
        let standings = self.blame.standings(now, blocked, LOGGED_CRASHES);
        let new = standings.iter().filter(|s| self.logged.get(&s.cause) != Some(&s.crashes));
        for standing in new {
            log::info!(
                "step=unblocked cause={} crashes={} unexplained={} needed={}",
                standing.cause,
                standing.crashes,
                standing.unexplained,
                standing.needed,
            );
        }
        self.logged = standings.iter().map(|s| (s.cause, s.crashes)).collect();
    }

    fn is_probed(&self, now: Timestamp, cause: Cause) -> bool {
        self.probes.get(&cause).is_some_and(|at| now - *at < PROBE_TTL)
    }

    /// Returns whether a probe of a cause may be granted beside those that were granted before.
    fn may_probe(&self, now: Timestamp, cause: Cause) -> bool {
        let alone = self.probes.values().all(|at| now - *at >= PROBE_ALONE);
        alone && now >= self.paused_until && !self.is_probed(now, cause)
    }

    /// Records that a probe has crashed its endpoint.
    fn probe_failed(&mut self, now: Timestamp, cause: Cause) {
        self.probes.remove(&cause);
        self.paused_until = now + FAILED_PROBE_PAUSE;
    }
}

impl Control {
    /// Records what a process has seen, and judges by it if this member leads.
    pub(in crate::control) fn record_evidence(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        list: Vec<Evidence>,
    ) -> Outputs {
        let mut outputs = vec![self.reply(inbound, ControlReply::EvidenceRecorded)];
        for evidence in list {
            log_evidence(&evidence, self.detector.blame.count());
            self.detector.record(now, &evidence);
            self.note_announced(&evidence);
            outputs.extend(self.conclude_probes(now, &evidence));
        }
        outputs.extend(self.judge(now));
        outputs
    }

    /// Records with a new crash what its endpoint has announced so far.
    fn note_announced(&mut self, evidence: &Evidence) {
        let Evidence::Crashed(crash) = evidence else { return };
        if let Some(sequence) = self.registry.sequence(&crash.start) {
            self.detector.blame.announced_before(&crash.start, sequence);
        }
    }

    /// Records that a start of an endpoint announces itself.
    pub(in crate::control) fn endpoint_alive(&mut self, now: Timestamp, endpoint: &EndpointState) {
        if self.detector.blame.count() > 0 {
            let start = Start { endpoint: endpoint.name.clone(), boot: endpoint.boot };
            self.detector.blame.heard(now, &start, endpoint.sequence);
        }
    }

    /// Proposes what the evidence says about causes that are in quarantine already.
    fn conclude_probes(&mut self, now: Timestamp, evidence: &Evidence) -> Outputs {
        let commands: Vec<Command> = match evidence {
            Evidence::Survived(causes) => {
                let held =
                    causes.iter().filter(|c| self.state.quarantine.entries().contains_key(c));
                held.map(|cause| Command::Clear { cause: *cause }).collect()
            }
            Evidence::Crashed(crash) => {
                let failed = self.detector.failed_probes(now, crash);
                failed.iter().for_each(|cause| self.detector.probe_failed(now, *cause));
                let verdict = |cause| Verdict { cause, crashes: vec![crash.start.clone()] };
                failed
                    .into_iter()
                    .map(|c| Command::Block { verdict: verdict(c), at: now })
                    .collect()
            }
        };
        commands.into_iter().flat_map(|command| self.propose_own(now, command)).collect()
    }

    /// As the leader, blocks causes by the evidence, and allows probes of those whose time is over.
    pub(in crate::control) fn judge(&mut self, now: Timestamp) -> Outputs {
        if self.failed || !self.replica.is_leader() || self.shutdown.is_requested() {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        let elected = self.replica.leads_since().is_some_and(|(_, led)| now < led + JUDGE_TIME);
        let wanted = elected || now < self.detector.judge_until;
        if wanted && now >= self.detector.next_judgement {
            self.detector.next_judgement = now + JUDGE_INTERVAL;
            outputs.extend(self.block_guilty(now));
            outputs.extend(self.list_suspects(now));
            let held = self.held(|_| true);
            self.detector.log_unblocked(now, &held);
        }
        for command in self.due_changes(now) {
            outputs.extend(self.propose_own(now, command));
        }
        outputs
    }

    /// Returns the changes of the quarantine whose time has come: probes of refused causes, and the end
    /// of suspects of which no more was seen.
    fn due_changes(&self, now: Timestamp) -> Vec<Command> {
        let suspect_ttl = self.state.quarantine_duration();
        let change = |(cause, entry): (&Cause, &Entry)| match entry.stage {
            Stage::Refused { until } if until <= now => {
                Some(Command::AllowProbes { cause: *cause })
            }
            Stage::Suspected if entry.since + suspect_ttl <= now => {
                Some(Command::Clear { cause: *cause })
            }
            _ => None,
        };
        self.state.quarantine.entries().iter().filter_map(change).collect()
    }

    /// Blocks the causes that the evidence convicts.
    fn block_guilty(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = Vec::new();
        // A suspect explains nothing yet.
        let mut blocked = self.held(|stage| stage != Stage::Suspected);
        while let Some(verdict) = self.detector.blame.verdict(now, &blocked) {
            blocked.insert(verdict.cause);
            outputs.extend(self.propose_own(now, Command::Block { verdict, at: now }));
        }
        outputs
    }

    /// Allows only probes of the causes that the evidence incriminates beside others.
    fn list_suspects(&mut self, now: Timestamp) -> Outputs {
        let held = self.held(|_| true);
        let suspects = self.detector.blame.suspects(now, &held);
        let commands = suspects.into_iter().map(|verdict| Command::Suspect { verdict, at: now });
        let commands: Vec<Command> = commands.collect();
        commands.into_iter().flat_map(|command| self.propose_own(now, command)).collect()
    }

    /// Returns all causes in quarantine in a stage that `counts`, and those whose verdict is not
    /// committed yet.
    fn held(&self, counts: impl Fn(Stage) -> bool) -> BTreeSet<Cause> {
        let pending = self.replica.unapplied().filter_map(|r| match &r.command {
            Command::Block { verdict, .. } => Some(verdict.cause),
            Command::Suspect { verdict, .. } => counts(Stage::Suspected).then_some(verdict.cause),
            _ => None,
        });
        let entries = self.state.quarantine.entries().iter().filter(|(_, e)| counts(e.stage));
        entries.map(|(cause, _)| *cause).chain(pending).collect()
    }

    /// Proposes a command of this member's own as the leader, unless the same is pending.
    pub(in crate::control) fn propose_own(&mut self, now: Timestamp, command: Command) -> Outputs {
        if !self.replica.is_leader() || self.replica.unapplied().any(|r| r.command == command) {
            return Vec::new();
        }
        match self.replica.propose(now, command) {
            Ok((_, actions)) => self.execute(actions),
            Err(_) => Vec::new(),
        }
    }

    /// Returns whether a process may send one call with a cause that is being probed, as a probe.
    pub(in crate::control) fn grant_probe(&mut self, now: Timestamp, cause: Cause) -> bool {
        let entry = self.state.quarantine.entries().get(&cause);
        let is_open = entry.is_some_and(|e| e.stage.allows_probes());
        let granted =
            is_open && self.knows_probes(now, cause) && self.detector.may_probe(now, cause);
        if granted {
            self.detector.probes.insert(cause, now);
        }
        log::info!("step=probe cause={cause} granted={granted}");
        granted
    }

    /// Returns whether no earlier leader can have granted a probe of a cause that is still open.
    fn knows_probes(&self, now: Timestamp, cause: Cause) -> bool {
        let Some((_, led)) = self.replica.leads_since() else { return false };
        let entry = self.state.quarantine.entries().get(&cause);
        now >= led + PROBE_TTL || entry.is_some_and(|e| e.since >= led)
    }
}

fn log_evidence(evidence: &Evidence, crashes: usize) {
    match evidence {
        Evidence::Crashed(crash) => log::info!(
            "step=evidence endpoint={} runs={} young={} known={} crashes={crashes}",
            crash.start,
            crash.runs.len(),
            crash.runs.iter().filter(|r| !r.has_survived()).count(),
            crash.known.len(),
        ),
        Evidence::Survived(causes) => log::debug!("step=evidence survived={causes:?}"),
    }
}
