//! Crashes of endpoints: runs at the same start of an endpoint that break together.
//!
//! A crash breaks all runs at an endpoint at once, of which this gateway sees its own. A run that
//! breaks alone, while others at the same start go on, was not broken by a crash.

use std::collections::BTreeMap;
use std::time::Duration;

use super::call::{Call, Stage};
use super::{CallerId, Gateway, PeerId};
use crate::control::quarantine::{BrokenRun, Cause, Crash, Fingerprint, Start};
use crate::model::Timestamp;
use crate::report::observation::Observation;
use crate::role::Output;

/// How long broken runs at one start of an endpoint are collected as one crash.
const COLLECT_TIME: Duration = Duration::from_millis(150);
/// What an endpoint sends so soon after a run broke may have been sent before it crashed.
const DELIVERY_TIME: Duration = Duration::from_millis(50);
/// The maximum number of broken runs that are kept of one crash.
const MAX_RUNS: usize = 256;

/// The broken runs at one start of an endpoint.
#[derive(Debug)]
struct Broken {
    since: Timestamp,
    service: Box<str>,
    runs: Vec<BrokenRun>,
    /// Whether the start has sent something since its last run broke.
    heard: bool,
}

/// The starts of endpoints that may have crashed a moment ago.
#[derive(Debug, Default)]
pub struct Crashes {
    open: BTreeMap<Start, Broken>,
}

impl Crashes {
    /// Records a run that broke because its connection ended.
    pub fn broke(&mut self, now: Timestamp, start: Start, service: &str, run: BrokenRun) {
        let (runs, heard) = (Vec::new(), false);
        let new = || Broken { since: now, service: service.into(), runs, heard };
        let broken = self.open.entry(start).or_insert_with(new);
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
        log::info!("step=crash endpoint={start} runs={} outcome=heard-again", broken.runs.len());
    }
    broken.heard
}

/// Returns the possible causes of a crash that a call brings with it, the most specific one last.
pub(super) fn causes(call: &Call) -> Vec<Cause> {
    let mut causes = part_causes(call);
    causes.push(Cause::Content(content_print(call)));
    causes
}

/// Returns the parts of its prompt among the possible causes that a call brings with it.
pub(super) fn part_causes(call: &Call) -> Vec<Cause> {
    let part = |id: &str| Cause::Part(Fingerprint::of(&call.service, id.as_bytes()));
    call.info.parts.iter().map(|id| part(id)).collect()
}

/// Returns the fingerprint of what a call asks for, which is the same when its caller sends it again.
fn content_print(call: &Call) -> Fingerprint {
    let head = &call.request.head;
    let host = head.fields.text("host").unwrap_or_default();
    let work = call.info.work.as_ref().map_or("", |w| &w.model);
    let parts = call.info.parts.join(",");
    let pieces: [&[u8]; 6] = [
        host.as_bytes(),
        head.method.as_bytes(),
        head.target.as_bytes(),
        work.as_bytes(),
        parts.as_bytes(),
        &call.request.body,
    ];
    Fingerprint::of_pieces(&call.service, &pieces)
}

impl Gateway {
    /// Records that the connection to a start of an endpoint has ended in the middle of a call, if
    /// the call was running there.
    pub(super) fn run_broke(&mut self, now: Timestamp, caller: CallerId, start: Start) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Stage::Run { attempt, .. } = &call.stage else { return };
        let wrote = attempt.first_event.map_or(Duration::ZERO, |at| now - at);
        let causes = causes(call);
        log::info!(
            "step=broken-run id={} endpoint={start} wrote_ms={} ms={} causes={}",
            call.info.id,
            wrote.as_millis(),
            (now - attempt.since).as_millis(),
            names(&causes),
        );
        self.crashes.broke(now, start, &call.service, BrokenRun { causes, wrote });
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

fn names(causes: &[Cause]) -> String {
    let names: Vec<String> = causes.iter().map(Cause::to_string).collect();
    names.join(",")
}
