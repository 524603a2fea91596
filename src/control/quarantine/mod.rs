//! Quarantine: refuses calls that hold what has crashed endpoints.
//!
//! Processes report the runs that ended with their endpoints, and runs that went on, to all control
//! members. Each member keeps that evidence as soft state in a [`Blame`]; the leader commits a verdict
//! to the log, so that it outlasts restarts and new leaders, and heartbeats bring it to all processes.
//! A crash may have several causes at once, so what is not convicted is not innocent: a cause that was
//! in as many crashes is a suspect, and gets single probes until one of them shows what it is.
//! After [`Setting::QuarantineDuration`](super::config::Setting::QuarantineDuration) a blocked
//! cause gets single probes until one of them clears it or blocks it again.

mod blame;
mod cause;
mod crash;
mod known;
mod tally;
mod verdicts;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use blame::{Blame, Standing, Verdict};
pub use cause::{Cause, Fingerprint};
pub use crash::{BrokenRun, Crash, SURVIVAL_TIME, Start};
pub use known::Known;
pub(super) use verdicts::Detector;

use crate::model::Timestamp;

/// The maximum number of causes in quarantine; the oldest suspect, or the oldest one, makes room for a
/// new one.
const MAX_ENTRIES: usize = 1_024;
/// The maximum number of crashes that are kept of one cause, for operators.
const MAX_CRASHES: usize = 16;
/// The maximum of the factor by which each further verdict extends the duration.
const MAX_FACTOR: u32 = 16;

/// What a process has seen that speaks for or against a cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// An endpoint has crashed under runs of the process.
    Crashed(Crash),
    /// Runs with these causes went on.
    Survived(Vec<Cause>),
}

/// How calls with a blocked cause are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// All are refused, until this time by the leader's clock.
    Refused {
        /// The end of the stage.
        until: Timestamp,
    },
    /// The leader allows one at a time, as a probe.
    Probing,
    /// The same, for a cause that was never blocked: it was in enough crashes to be faulty, which other
    /// causes may explain as well.
    Suspected,
}

impl Stage {
    /// Returns whether the leader may allow a probe.
    pub fn allows_probes(self) -> bool {
        matches!(self, Stage::Probing | Stage::Suspected)
    }
}

/// A cause in quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When it was blocked last, by the leader's clock.
    pub since: Timestamp,
    /// How often it was blocked; 0 for a suspect.
    pub verdicts: u32,
    /// The last starts of endpoints that it has crashed.
    pub crashes: Vec<Start>,
    /// How calls with it are treated.
    pub stage: Stage,
}

/// All causes in quarantine, which every replica derives from the log.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::control::quarantine::{Cause, Fingerprint, Quarantine, Stage, Verdict};
/// use dotterelpin::model::Timestamp;
///
/// let cause = Cause::Part(Fingerprint::of("cs-summary", b"5c1e07a2"));
/// let mut quarantine = Quarantine::default();
/// let verdict = Verdict { cause, crashes: vec![] };
/// quarantine.block(Timestamp::from_micros(1), &verdict, Duration::from_secs(60));
/// quarantine.allow_probes(cause);
/// assert_eq!(quarantine.entries()[&cause].stage, Stage::Probing);
/// quarantine.clear(cause);
/// assert!(quarantine.entries().is_empty());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Quarantine {
    entries: BTreeMap<Cause, Entry>,
    version: u64,
}

impl Quarantine {
    /// Returns the causes in quarantine.
    pub fn entries(&self) -> &BTreeMap<Cause, Entry> {
        &self.entries
    }

    /// Returns a number that increases with each change, equally at all members.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Blocks a cause for a duration, which doubles with each further verdict on it.
    pub fn block(&mut self, now: Timestamp, verdict: &Verdict, duration: Duration) {
        let earlier = self.entries.get(&verdict.cause);
        let verdicts = earlier.map_or(1, |e| e.verdicts.saturating_add(1));
        let factor = 2u32.saturating_pow(verdicts - 1).min(MAX_FACTOR);
        let stage = Stage::Refused { until: now + duration * factor };
        let known = earlier.map_or(&[][..], |e| &e.crashes);
        let mut crashes: Vec<Start> = known.iter().chain(&verdict.crashes).cloned().collect();
        crashes.drain(..crashes.len().saturating_sub(MAX_CRASHES));
        self.insert(verdict.cause, Entry { since: now, verdicts, crashes, stage });
    }

    /// Allows only probes of a cause that may crash endpoints, unless it is in quarantine already.
    ///
    /// ```
    /// use dotterelpin::control::quarantine::{Cause, Fingerprint, Quarantine, Stage, Verdict};
    /// use dotterelpin::model::Timestamp;
    ///
    /// let cause = Cause::Content(Fingerprint::of("portal", b"apples"));
    /// let mut quarantine = Quarantine::default();
    /// quarantine.suspect(Timestamp::from_micros(1), &Verdict { cause, crashes: vec![] });
    /// assert_eq!(quarantine.entries()[&cause].stage, Stage::Suspected);
    /// assert!(Stage::Suspected.allows_probes());
    /// ```
    pub fn suspect(&mut self, now: Timestamp, verdict: &Verdict) {
        if self.entries.contains_key(&verdict.cause) {
            return;
        }
        let mut crashes = verdict.crashes.clone();
        crashes.drain(..crashes.len().saturating_sub(MAX_CRASHES));
        let entry = Entry { since: now, verdicts: 0, crashes, stage: Stage::Suspected };
        self.insert(verdict.cause, entry);
    }

    fn insert(&mut self, cause: Cause, entry: Entry) {
        self.entries.insert(cause, entry);
        if self.entries.len() > MAX_ENTRIES {
            let rank = |e: &Entry| (e.stage != Stage::Suspected, e.since);
            let first = self.entries.iter().min_by_key(|(_, e)| rank(e)).map(|(cause, _)| *cause);
            first.and_then(|cause| self.entries.remove(&cause));
        }
        self.version += 1;
    }

    /// Allows probes of a cause.
    pub fn allow_probes(&mut self, cause: Cause) {
        if let Some(entry) = self.entries.get_mut(&cause) {
            entry.stage = Stage::Probing;
            self.version += 1;
        }
    }

    /// Ends the quarantine of a cause, because a run with it went on or an operator clears it.
    pub fn clear(&mut self, cause: Cause) {
        if self.entries.remove(&cause).is_some() {
            self.version += 1;
        }
    }
}

/// The causes in quarantine, as a member sends them to a process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// The version of the list.
    pub version: u64,
    /// The causes, and how calls with them are treated.
    pub stages: Vec<(Cause, Stage)>,
}
