//! Crashes of endpoints: runs at the same start of an endpoint that break together.
//!
//! A crash breaks all runs at an endpoint at once, of which this gateway sees its own. A run that
//! breaks alone, while others at the same start go on, was not broken by a crash. Runs that were given up
//! shortly before count, too: not every endpoint ends a run when its connection closes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::call::{Attempt, Call, Stage};
use super::causes::{causes, names};
use super::{CallerId, Gateway, PeerId};
use crate::control::quarantine::{BrokenRun, Crash, Start};
use crate::model::Timestamp;
use crate::report::observation::Observation;
use crate::role::Output;

/// How long broken runs at one start of an endpoint are collected as one crash.
const COLLECT_TIME: Duration = Duration::from_millis(150);
/// What an endpoint sends so soon after a run broke may have been sent before it crashed.
const DELIVERY_TIME: Duration = Duration::from_millis(50);
/// How long after a run was given up it may still crash its endpoint.
const GIVEN_UP_TIME: Duration = Duration::from_millis(500);
/// The maximum number of broken runs that are kept of one crash.
const MAX_RUNS: usize = 256;
/// The maximum number of runs that were given up and are kept.
const MAX_GIVEN_UP: usize = 256;

/// The broken runs at one start of an endpoint.
#[derive(Debug)]
struct Broken {
    since: Timestamp,
    service: Box<str>,
    runs: Vec<BrokenRun>,
    /// Whether the start has sent something since its last run broke.
    heard: bool,
}

/// A run whose connection this gateway has closed before its end.
#[derive(Debug)]
struct GivenUp {
    at: Timestamp,
    start: Start,
    service: Box<str>,
    run: BrokenRun,
}

/// The starts of endpoints that may have crashed a moment ago.
#[derive(Debug, Default)]
pub struct Crashes {
    open: BTreeMap<Start, Broken>,
    /// The runs that were given up lately, oldest first.
    given_up: Vec<GivenUp>,
}

impl Crashes {
    /// Records a run that was given up, because its caller has left or it was silent for too long.
    pub fn gave_up(&mut self, now: Timestamp, start: Start, service: &str, run: BrokenRun) {
        self.forget_given_up(now);
        if self.given_up.len() < MAX_GIVEN_UP {
            self.given_up.push(GivenUp { at: now, start, service: service.into(), run });
        }
    }

    /// Records that a connection to a start of an endpoint has ended that carried no run. Where a run
    /// was given up shortly before, that may be a crash.
    pub fn lost_other(&mut self, now: Timestamp, start: &Start) {
        if let Some(broken) = self.open.get_mut(start) {
            // What was heard before was still on its way, as in `broke`.
            broken.heard = false;
            return;
        }
        self.forget_given_up(now);
        let first = self.given_up.iter().find(|g| g.start == *start);
        let Some(service) = first.map(|g| g.service.clone()) else { return };
        self.open(now, start.clone(), &service);
    }

    fn forget_given_up(&mut self, now: Timestamp) {
        self.given_up.retain(|g| now - g.at < GIVEN_UP_TIME);
    }

    /// Returns the broken runs at a start, which are those that were given up there if none has broken
    /// yet.
    fn open(&mut self, now: Timestamp, start: Start, service: &str) -> &mut Broken {
        self.forget_given_up(now);
        let given_up = &mut self.given_up;
        self.open.entry(start.clone()).or_insert_with(|| {
            let runs = given_up.extract_if(.., |g| g.start == start).map(|g| g.run).collect();
            Broken { since: now, service: service.into(), runs, heard: false }
        })
    }

    /// Records a run that broke because its connection ended.
    pub fn broke(&mut self, now: Timestamp, start: Start, service: &str, run: BrokenRun) {
        let broken = self.open(now, start, service);
        // What was heard before was still on its way when the endpoint crashed.
        broken.heard = false;
        if broken.runs.len() < MAX_RUNS {
            broken.runs.push(run);
        }
    }

    /// Records that a start of an endpoint has sent something: if that was after its last run broke,
    /// it has not crashed.
    pub fn heard(&mut self, now: Timestamp, start: &Start) {
        if let Some(broken) = self.open.get_mut(start) {
            broken.heard |= now > broken.since + DELIVERY_TIME;
        }
    }

    /// Returns whether no start may have crashed a moment ago.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Removes and returns the crashes that are collected completely, each with the service of its
    /// endpoint.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(Box<str>, Crash)> {
        let due = |_: &Start, b: &mut Broken| b.since + COLLECT_TIME <= now;
        let due = self.open.extract_if(.., due).filter(|(start, b)| !was_heard(start, b));
        due.map(|(start, b)| (b.service, Crash { start, runs: b.runs, known: Vec::new() }))
            .collect()
    }

    /// Returns when the next crash is collected completely.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.open.values().map(|b| b.since + COLLECT_TIME).min()
    }
}

/// Returns whether a start has sent something since its last run broke, which is logged.
fn was_heard(start: &Start, broken: &Broken) -> bool {
    if broken.heard {
        log::info!("step=no-crash endpoint={start} runs={}", broken.runs.len());
    }
    broken.heard
}

impl Gateway {
    /// Records that the connection to a start of an endpoint has ended in the middle of a call, if
    /// the call was running there.
    pub(super) fn run_broke(&mut self, now: Timestamp, caller: CallerId, start: Start) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Stage::Run { attempt, .. } = &call.stage else { return };
        let run = broken_run(now, call, attempt);
        log::info!(
            "step=broken-run id={} endpoint={start} wrote_ms={} ms={} causes={}",
            call.info.id,
            run.wrote.as_millis(),
            (now - attempt.since).as_millis(),
            names(&run.causes),
        );
        self.crashes.broke(now, start, &call.service, run);
    }

    /// Records that the connection of a call's run is closed before the end of the answer.
    pub(super) fn run_given_up(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Stage::Run { attempt, .. } = &call.stage else { return };
        let Some(start) = self.fleet.start_at(attempt.peer) else { return };
        let run = broken_run(now, call, attempt);
        self.crashes.gave_up(now, start, &call.service, run);
    }

    /// Records that an endpoint has sent something on a connection.
    pub(super) fn endpoint_heard(&mut self, now: Timestamp, peer: PeerId) {
        if let Some(conn) = self.fleet.conn(peer) {
            self.late_answers.heard(now, conn.endpoint);
        }
        if self.crashes.is_empty() {
            return;
        }
        if let Some(start) = self.fleet.start_at(peer) {
            self.crashes.heard(now, &start);
        }
    }

    /// Reports the crashes that are collected completely.
    pub(super) fn report_crashes(&mut self, now: Timestamp) {
        for (service, crash) in self.crashes.take_due(now) {
            log::info!(
                "step=crash endpoint={} service={service} runs={}",
                crash.start,
                crash.runs.len()
            );
            let runs = crash.runs.len();
            self.outputs.push(Output::Observe(Observation::Crash { service, runs }));
            self.crash_seen(now, crash);
        }
    }
}

/// Returns the present run of a call as one that ends now.
fn broken_run(now: Timestamp, call: &Call, attempt: &Attempt) -> BrokenRun {
    let wrote = attempt.first_event.map_or(Duration::ZERO, |at| now - at);
    BrokenRun { causes: causes(call), wrote }
}
