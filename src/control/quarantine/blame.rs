//! Finds the cause that crashes of endpoints have in common.
//!
//! A crash takes a whole batch of runs with it, of which one is faulty, and each process sees only
//! its own part of the batch. So all processes report their broken runs, and those of one start of
//! an endpoint are put together. A cause is suspected of a crash if it was in a run that had just
//! begun; one whose run goes on for [`SURVIVAL_TIME`](super::SURVIVAL_TIME), anywhere, is cleared of
//! all crashes so far. Endpoints crash for other reasons, too: each cause must explain more crashes
//! the more crashes there are that it does not explain.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cause::Cause;
use super::crash::{Crash, Start};
use super::known::Known;
use super::tally::Tally;
use crate::model::Timestamp;

/// How many crashes a part must explain if another part explains all of them as well.
const TIED_CRASHES: usize = 5;
/// How long a crash is kept as evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// The maximum number of crashes that are kept; the oldest ones are dropped first.
const MAX_CRASHES: usize = 256;
/// The maximum number of runs that are kept of one crash.
const MAX_RUNS: usize = 128;
/// How many announcements after a crash show that the start goes on; a few may have been delayed.
const ALIVE_ANNOUNCEMENTS: u32 = 3;
/// What an endpoint says of itself so soon after a crash may have been delayed on its way.
const STALE_TIME: Duration = Duration::from_millis(500);

/// The end of one start of an endpoint, as far as known.
#[derive(Debug)]
struct Recorded {
    start: Start,
    at: Timestamp,
    /// The causes of each run that had just begun.
    runs: Vec<Vec<Cause>>,
    /// Causes that were taken out of quarantine since.
    cleared: BTreeSet<Cause>,
    /// How often the start has announced itself after the crash, and the last sequence number.
    heard: (u32, u64),
}

impl Recorded {
    /// Returns the blocked causes among its runs.
    fn faulty(&self, blocked: &BTreeSet<Cause>) -> impl Iterator<Item = &Cause> {
        self.runs.iter().flatten().filter(|cause| blocked.contains(cause))
    }

    fn is_explained(&self, blocked: &BTreeSet<Cause>) -> bool {
        self.faulty(blocked).next().is_some()
    }
}

/// A cause that has crashed endpoints, with the starts that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The cause.
    pub cause: Cause,
    /// The starts of endpoints that it crashed.
    pub crashes: Vec<Start>,
}

/// How much speaks against a cause that has been in several crashes and is not blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// The cause.
    pub cause: Cause,
    /// The number of crashes that it was in since a run with it went on.
    pub crashes: usize,
    /// The number of these that no blocked cause explains.
    pub unexplained: usize,
    /// How many of them it must explain to be blocked.
    pub needed: usize,
}

/// The crashes of endpoints, and the causes that are suspected of each.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::time::Duration;
/// use dotterelpin::control::quarantine::{Blame, BrokenRun, Cause, Crash, Fingerprint, Start};
/// use dotterelpin::model::{BootId, Timestamp};
///
/// let part = Cause::Part(Fingerprint::of("cs-summary", b"5c1e07a2"));
/// let second = |n: u64| Timestamp::from_micros(n * 1_000_000);
/// let mut blame = Blame::default();
/// for boot in 0..4 {
///     assert_eq!(blame.verdict(second(boot), &BTreeSet::new()), None);
///     let start = Start { endpoint: "decode-1".into(), boot: BootId(boot) };
///     let run = BrokenRun { causes: vec![part], wrote: Duration::ZERO };
///     blame.crashed(second(boot), &Crash { start, runs: vec![run], known: vec![] });
/// }
/// assert_eq!(blame.verdict(second(3), &BTreeSet::new()).unwrap().cause, part);
/// ```
#[derive(Debug, Default)]
pub struct Blame {
    crashes: VecDeque<Recorded>,
    /// The causes whose runs have gone on lately.
    known: Known,
}

impl Blame {
    /// Records the part of a crash that one process has seen.
    pub fn crashed(&mut self, now: Timestamp, crash: &Crash) {
        self.expire(now);
        let at = self.position(now, &crash.start);
        let survivors = crash.runs.iter().filter(|r| r.has_survived());
        let survivors: Vec<Cause> = survivors.flat_map(|r| r.causes.iter().copied()).collect();
        let Some(recorded) = self.crashes.get_mut(at) else { return };
        self.known.learn(recorded.at, &crash.known);
        for run in crash.runs.iter().filter(|r| !r.has_survived()) {
            // The report may be late: what has gone on since the crash has not caused it.
            let cleared =
                |c: &Cause| recorded.cleared.contains(c) || self.known.has_gone_on(*c, recorded.at);
            let causes: Vec<Cause> = run.causes.iter().filter(|c| !cleared(c)).copied().collect();
            let is_new = !causes.is_empty() && !recorded.runs.contains(&causes);
            if is_new && recorded.runs.len() < MAX_RUNS {
                recorded.runs.push(causes);
            }
        }
        self.survived(now, &survivors);
    }

    /// Clears causes whose runs have gone on of all crashes so far.
    pub fn survived(&mut self, now: Timestamp, causes: &[Cause]) {
        self.known.learn(now, causes);
        self.clear(causes);
    }

    /// Clears causes of all crashes so far, because they are out of quarantine.
    pub fn forget(&mut self, causes: &[Cause]) {
        self.clear(causes);
        self.crashes.iter_mut().for_each(|crash| crash.cleared.extend(causes));
    }

    fn clear(&mut self, causes: &[Cause]) {
        for crash in &mut self.crashes {
            for run in &mut crash.runs {
                run.retain(|cause| !causes.contains(cause));
            }
            crash.runs.retain(|run| !run.is_empty());
        }
    }

    /// Records the last sequence number that a start of an endpoint had announced itself with when its
    /// crash was reported. What comes with a lower number was sent before.
    pub fn announced_before(&mut self, start: &Start, sequence: u64) {
        if let Some(crash) = self.crashes.iter_mut().find(|c| c.start == *start) {
            crash.heard.1 = crash.heard.1.max(sequence);
        }
    }

    /// Records that a start of an endpoint has announced itself, with a sequence number that increases.
    /// Once it has done so often enough after a crash, it has not crashed.
    pub fn heard(&mut self, now: Timestamp, start: &Start, sequence: u64) {
        let Some(at) = self.crashes.iter().position(|c| c.start == *start) else { return };
        let Some(crash) = self.crashes.get_mut(at) else { return };
        if now < crash.at + STALE_TIME {
            return;
        }
        let (count, last) = crash.heard;
        if sequence > last {
            crash.heard = (count + 1, sequence);
        }
        if crash.heard.0 >= ALIVE_ANNOUNCEMENTS {
            log::info!("step=withdraw-crash endpoint={start} sequence={sequence}");
            self.crashes.remove(at);
        }
    }

    /// Returns when the crash of a start was first reported.
    pub(super) fn reported_at(&self, start: &Start) -> Option<Timestamp> {
        self.crashes.iter().find(|c| c.start == *start).map(|c| c.at)
    }

    /// Returns the number of crashes that are kept.
    pub fn count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the cause to be blocked next, if the crashes that none of the blocked causes
    /// explains suffice for one.
    pub fn verdict(&self, now: Timestamp, blocked: &BTreeSet<Cause>) -> Option<Verdict> {
        let tallies = self.tallies(now, blocked);
        let unexplained = self.unexplained(blocked);
        let suffices = |cause: &Cause, tally: &Tally| {
            !blocked.contains(cause) && tally.suffices(now, *cause, &unexplained)
        };
        let mut suspects: Vec<(&Cause, &Tally)> =
            tallies.iter().filter(|(cause, tally)| suffices(cause, tally)).collect();
        suspects.sort_by_key(|(cause, tally)| tally.rank(**cause));
        let decided = |(cause, tally): &&(&Cause, &Tally)| {
            matches!(cause, Cause::Content(_))
                || tally.unexplained.len() >= TIED_CRASHES
                || !has_rival(&tallies, **cause, tally)
        };
        let (cause, _) = suspects.iter().find(decided)?;
        Some(self.verdict_on(**cause))
    }

    /// Returns the causes that were in enough crashes to be faulty, whatever else explains these, and
    /// that are not blocked. A crash may have several causes at once.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use std::time::Duration;
    /// use dotterelpin::control::quarantine::{Blame, BrokenRun, Cause, Crash, Fingerprint, Start};
    /// use dotterelpin::model::{BootId, Timestamp};
    ///
    /// let content = |text: &str| Cause::Content(Fingerprint::of("portal", text.as_bytes()));
    /// let run = |text| BrokenRun { causes: vec![content(text)], wrote: Duration::ZERO };
    /// let now = Timestamp::from_micros(1);
    /// let mut blame = Blame::default();
    /// for boot in 0..3 {
    ///     let start = Start { endpoint: "portal-1".into(), boot: BootId(boot) };
    ///     let runs = vec![run("one"), run("other")];
    ///     blame.crashed(now, &Crash { start, runs, known: vec![] });
    /// }
    /// let blocked = BTreeSet::from([blame.verdict(now, &BTreeSet::new()).unwrap().cause]);
    /// assert_eq!(blame.verdict(now, &blocked), None, "the blocked one explains all crashes");
    /// assert_eq!(blame.suspects(now, &blocked).len(), 1);
    /// ```
    pub fn suspects(&self, now: Timestamp, blocked: &BTreeSet<Cause>) -> Vec<Verdict> {
        let tallies = self.tallies(now, blocked);
        let suspected = |(cause, tally): &(&Cause, &Tally)| {
            !blocked.contains(cause) && tally.is_suspect(now, **cause)
        };
        tallies.iter().filter(suspected).map(|(cause, _)| self.verdict_on(*cause)).collect()
    }

    fn verdict_on(&self, cause: Cause) -> Verdict {
        let held = |c: &&Recorded| c.runs.iter().any(|run| run.contains(&cause));
        let crashes = self.crashes.iter().filter(held).map(|c| c.start.clone());
        Verdict { cause, crashes: crashes.collect() }
    }

    /// Returns the causes that were in `least` crashes or more since a run with them went on, and that
    /// are not blocked.
    pub fn standings(
        &self,
        now: Timestamp,
        blocked: &BTreeSet<Cause>,
        least: usize,
    ) -> Vec<Standing> {
        let tallies = self.tallies(now, blocked);
        let unexplained = self.unexplained(blocked);
        let open = tallies.iter().filter(|(c, t)| t.all >= least && !blocked.contains(c));
        let standing = |(cause, tally): (&Cause, &Tally)| Standing {
            cause: *cause,
            crashes: tally.all,
            unexplained: tally.unexplained.len(),
            needed: tally.needed(*cause, &unexplained),
        };
        open.map(standing).collect()
    }

    /// Returns the positions and times of the crashes that no blocked cause explains.
    fn unexplained(&self, blocked: &BTreeSet<Cause>) -> BTreeMap<usize, Timestamp> {
        let crashes = self.crashes.iter().enumerate().filter(|(_, c)| !c.is_explained(blocked));
        crashes.map(|(at, c)| (at, c.at)).collect()
    }

    /// Returns the position of a crash, which is added if it is new.
    fn position(&mut self, now: Timestamp, start: &Start) -> usize {
        if let Some(at) = self.crashes.iter().position(|c| c.start == *start) {
            return at;
        }
        let (runs, cleared) = (Vec::new(), BTreeSet::new());
        let start = start.clone();
        self.crashes.push_back(Recorded { start, at: now, runs, cleared, heard: (0, 0) });
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.len() - 1
    }

    fn expire(&mut self, now: Timestamp) {
        self.crashes.retain(|c| now - c.at < EVIDENCE_TTL);
    }

    /// Returns whether later parts of its runs explain most of the crashes that a cause explains, each
    /// of them several crashes.
    fn is_covered(&self, tallies: &BTreeMap<Cause, Tally>, cause: Cause, tally: &Tally) -> bool {
        let repeats = |c: &Cause| {
            let suspected = |t: &Tally| t.unexplained.len() > 1 && !t.sound;
            matches!(c, Cause::Part(_)) && tallies.get(c).is_some_and(suspected)
        };
        let covers = |run: &Vec<Cause>| {
            let after = run.iter().skip_while(|c| **c != cause).skip(1);
            after.into_iter().any(repeats)
        };
        let crashes = tally.unexplained.iter().filter_map(|at| self.crashes.get(*at));
        let covered = crashes.filter(|crash| crash.runs.iter().any(covers)).count();
        covered * 2 > tally.unexplained.len()
    }

    /// Returns the causes that were in several crashes. Of the many others nothing is decided.
    fn repeated(&self) -> BTreeSet<Cause> {
        let crashes = self.crashes.iter().enumerate();
        let held =
            crashes.flat_map(|(at, c)| c.runs.iter().flatten().map(move |cause| (*cause, at)));
        let mut held: Vec<(Cause, usize)> = held.collect();
        held.sort_unstable();
        held.dedup();
        let same = |a: &(Cause, usize), b: &(Cause, usize)| a.0 == b.0;
        let several = held.chunk_by(same).filter(|crashes| crashes.len() > 1);
        several.filter_map(|crashes| crashes.first()).map(|(cause, _)| *cause).collect()
    }

    fn tallies(&self, now: Timestamp, blocked: &BTreeSet<Cause>) -> BTreeMap<Cause, Tally> {
        let repeated = self.repeated();
        let mut tallies: BTreeMap<Cause, Tally> = BTreeMap::new();
        for (at, crash) in self.crashes.iter().enumerate() {
            let explained = crash.is_explained(blocked);
            let by_part = crash.faulty(blocked).any(|c| matches!(c, Cause::Part(_)));
            let causes = crash.runs.iter().flatten().filter(|c| repeated.contains(c));
            let causes: BTreeSet<Cause> = causes.copied().collect();
            for cause in causes {
                let known = self.known.contains(now, cause);
                let fresh = || Tally { first: crash.at, known, sound: known, ..Tally::default() };
                let tally = tallies.entry(cause).or_insert_with(fresh);
                tally.all += 1;
                tally.by_content += usize::from(!by_part);
                if !explained {
                    tally.unexplained.insert(at);
                }
            }
            for run in &crash.runs {
                for (place, cause) in run.iter().enumerate() {
                    let Some(tally) = tallies.get_mut(cause) else { continue };
                    tally.runs += 1;
                    // The most specific content is the last one.
                    tally.contents.extend(run.last().filter(|c| matches!(c, Cause::Content(_))));
                    tally.place = tally.place.max(place);
                }
            }
        }
        let likely = |(cause, tally): (&Cause, &Tally)| {
            let shared = !self.known.has_parts() && tally.is_shared();
            let sound = shared || self.is_covered(&tallies, *cause, tally);
            sound.then_some(*cause)
        };
        let sound: Vec<Cause> = tallies.iter().filter_map(likely).collect();
        for cause in sound {
            if let Some(tally) = tallies.get_mut(&cause) {
                tally.sound = true;
            }
        }
        tallies
    }
}

/// Returns whether another part that may be faulty explains all that a cause explains.
fn has_rival(tallies: &BTreeMap<Cause, Tally>, cause: Cause, tally: &Tally) -> bool {
    tallies.iter().any(|(other, t)| {
        *other != cause
            && matches!(other, Cause::Part(_))
            && !t.sound
            && t.unexplained.is_superset(&tally.unexplained)
    })
}
