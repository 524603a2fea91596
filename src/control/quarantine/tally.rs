//! What one cause explains of the crashes of endpoints, and whether that suffices to block it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::cause::Cause;
use crate::model::Timestamp;

/// How many crashes a complete content must explain. To be wrong refuses that content alone.
const CONTENT_CRASHES: usize = 3;
/// In how many crashes a content must be to be suspected. To be wrong costs one probe.
const SUSPECT_CRASHES: usize = 2;
/// In how many crashes a content must be to be suspected although runs with it have gone on shortly
/// before the first of them.
const KNOWN_CONTENT_CRASHES: usize = 6;
/// How many crashes a part of a prompt must explain.
const PART_CRASHES: usize = 4;
/// How many more crashes a part must explain that is likely to be sound.
const SOUND_CRASHES: usize = 4;
/// In how many runs of each crash a part is likely to be sound, in tenths.
const SHARED_RUNS: usize = 15;
/// How many different contents must hold a part that does not explain most of the crashes.
const VARIED_CONTENTS: usize = 3;
/// How long after its first crash a part is blocked at the earliest: by then a sound one that many
/// calls share has had runs that went on.
const MIN_SUSPICION: Duration = Duration::from_millis(1_200);
/// The same for a part that is likely to be sound: what is faulty instead is blocked before.
const SOUND_SUSPICION: Duration = Duration::from_millis(2_000);
/// How many crashes that a cause does not explain raise what it must explain by one.
const OTHERS_FOR_ONE: usize = 6;
/// How long before the last crash of a cause others count, at least.
const OTHERS_TIME: Duration = Duration::from_secs(5);
/// The maximum by which crashes for other reasons raise what a cause must explain.
const MAX_RAISE: usize = 4;

/// The order of causes among those that suffice; the lowest is blocked first.
pub(super) type Rank = (bool, usize, bool, Reverse<usize>, Reverse<usize>, Cause);

/// What a cause explains.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// The positions of the crashes that no blocked cause explains.
    pub unexplained: BTreeSet<usize>,
    /// The number of all crashes.
    pub all: usize,
    /// The number of crashes that no blocked part explains; a blocked content may.
    pub by_content: usize,
    /// The number of runs in which it was.
    pub runs: usize,
    /// The contents of these runs.
    pub contents: BTreeSet<Cause>,
    /// Its last position among the causes of a run; later ones are more specific.
    pub place: usize,
    /// When the first of its crashes was recorded.
    pub first: Timestamp,
    /// Whether runs with it have gone on shortly before.
    pub known: bool,
    /// Whether it is likely to be sound: runs with it have gone on shortly before, several runs of
    /// each crash hold it while no run has gone on yet, as those of a part that all calls share, or
    /// later parts of its runs explain most of its crashes, too.
    pub sound: bool,
}

impl Tally {
    /// Returns whether a cause explains enough crashes. A part also does if only some of its crashes
    /// are explained by contents that hold it.
    pub fn suffices(
        &self,
        now: Timestamp,
        cause: Cause,
        crashes: &BTreeMap<usize, Timestamp>,
    ) -> bool {
        let unexplained = self.unexplained.len();
        let needed = self.needed(cause, crashes);
        if matches!(cause, Cause::Content(_)) {
            // A content that many callers send is in each crash of its service, whatever the reason.
            return unexplained >= needed && !self.known;
        }
        let wait = if self.sound { SOUND_SUSPICION } else { MIN_SUSPICION };
        if now < self.first + wait {
            return false;
        }
        let others = self.others(crashes);
        // A few calls that are sent again and again are in many crashes for other reasons.
        let is_varied = self.contents.len() >= VARIED_CONTENTS;
        if !is_varied && others * 3 > unexplained {
            return false;
        }
        unexplained >= needed || unexplained >= 2 && self.by_content > needed
    }

    /// Returns whether a cause was in enough crashes to be faulty, whether or not others explain them.
    pub fn is_suspect(&self, now: Timestamp, cause: Cause) -> bool {
        match cause {
            Cause::Content(_) if self.known => self.all >= KNOWN_CONTENT_CRASHES,
            Cause::Content(_) => self.all >= SUSPECT_CRASHES,
            Cause::Part(_) => {
                let waited = now >= self.first + MIN_SUSPICION;
                self.all >= PART_CRASHES && waited && !self.sound
            }
        }
    }

    /// Returns how many crashes a cause must explain, given the times of those that no blocked cause
    /// explains.
    pub fn needed(&self, cause: Cause, crashes: &BTreeMap<usize, Timestamp>) -> usize {
        let raise = (self.others(crashes) / OTHERS_FOR_ONE).min(MAX_RAISE);
        match cause {
            Cause::Content(_) => CONTENT_CRASHES + raise,
            Cause::Part(_) if self.sound => PART_CRASHES + raise + SOUND_CRASHES,
            Cause::Part(_) => PART_CRASHES + raise,
        }
    }

    /// Returns how many of the crashes during its own ones, or shortly before the last of these,
    /// nothing explains.
    fn others(&self, crashes: &BTreeMap<usize, Timestamp>) -> usize {
        let (Some(first), Some(last)) = (self.unexplained.first(), self.unexplained.last()) else {
            return 0;
        };
        let Some(end) = crashes.get(last) else { return 0 };
        let near = |at: &usize, time: &Timestamp| at >= first || *end - *time < OTHERS_TIME;
        let around = crashes.range(..=last).filter(|(at, time)| near(at, time));
        around.filter(|(at, _)| !self.unexplained.contains(at)).count()
    }

    /// Returns whether several runs of each crash hold it.
    pub fn is_shared(&self) -> bool {
        self.runs_per_crash() >= SHARED_RUNS
    }

    /// Returns in how many runs of each crash it was, in tenths.
    fn runs_per_crash(&self) -> usize {
        self.runs * 10 / self.all.max(1)
    }

    /// Returns the order in which causes are blocked: first those that are not likely to
    /// be sound, then those in the fewest runs of each crash, since one run causes a crash, then the
    /// more specific ones.
    pub fn rank(&self, cause: Cause) -> Rank {
        let is_part = matches!(cause, Cause::Part(_));
        (
            self.sound,
            self.runs_per_crash(),
            is_part,
            Reverse(self.unexplained.len()),
            Reverse(self.place),
            cause,
        )
    }
}
