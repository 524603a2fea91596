//! The last changes of the configuration, kept to answer resends and to show to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Change, Config, Edit};
use crate::control::state::{ChangeReply, Command};
use crate::model::Revision;

/// The maximum number of changes whose results are kept, so that a resend gets the first result.
const MAX_RESULTS: usize = 6_600;
/// The maximum number of accepted changes that are kept in full, to show which change was applied
/// to a base revision.
const MAX_CHANGES: usize = 256;

/// The kept result of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Verdict {
    Accepted(Revision),
    Conflict { base: Revision },
    Refused(Box<str>),
}

/// The last changes and their results.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Changes {
    verdicts: BTreeMap<Box<str>, Verdict>,
    /// The ids of the changes with a verdict, oldest first.
    order: BTreeMap<u64, Box<str>>,
    recent: BTreeMap<Revision, Change>,
}

impl Changes {
    /// Returns the revision that an accepted change created, if its result is still kept.
    pub fn accepted(&self, id: &str) -> Option<Revision> {
        match self.verdicts.get(id) {
            Some(Verdict::Accepted(revision)) => Some(*revision),
            _ => None,
        }
    }

    /// Returns the last accepted changes, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Change> {
        self.recent.values()
    }

    /// Returns the changes after a revision, if all of them are still kept.
    pub fn since(&self, revision: Revision) -> Option<Vec<Change>> {
        let next = Revision(revision.0 + 1);
        let known = self.recent.contains_key(&next);
        known.then(|| self.recent.range(next..).map(|(_, c)| c.clone()).collect())
    }

    /// Applies a change to the configuration. The first change on a base revision wins; a resend of
    /// a change returns its first result.
    pub fn apply(&mut self, config: &mut Config, change: &Change) -> ChangeReply {
        if !self.verdicts.contains_key(&change.id) {
            let verdict = self.decide(config, change);
            self.record(&change.id, verdict);
        }
        match self.verdicts.get(&change.id) {
            Some(Verdict::Accepted(revision)) => ChangeReply::Accepted(*revision),
            Some(Verdict::Refused(why)) => ChangeReply::Refused(why.clone()),
            Some(Verdict::Conflict { base }) => self.conflict(config, *base),
            None => self.conflict(config, change.base),
        }
    }

    fn decide(&mut self, config: &mut Config, change: &Change) -> Verdict {
        if change.base != config.revision {
            return Verdict::Conflict { base: change.base };
        }
        match config.edited(&change.edit) {
            Ok(next) => {
                *config = next;
                self.recent.insert(config.revision, change.clone());
                if self.recent.len() > MAX_CHANGES {
                    self.recent.pop_first();
                }
                Verdict::Accepted(config.revision)
            }
            Err(error) => Verdict::Refused(format!("{error:#}").into()),
        }
    }

    fn conflict(&self, config: &Config, base: Revision) -> ChangeReply {
        let winner = self.recent.get(&Revision(base.0 + 1)).cloned();
        ChangeReply::Conflict { current: config.revision, winner }
    }

    fn record(&mut self, id: &str, verdict: Verdict) {
        let next = self.order.last_key_value().map_or(0, |(last, _)| last + 1);
        self.order.insert(next, id.into());
        self.verdicts.insert(id.into(), verdict);
        let oldest = (self.order.len() > MAX_RESULTS).then(|| self.order.pop_first());
        if let Some((_, id)) = oldest.flatten() {
            self.verdicts.remove(&id);
        }
    }
}

/// Returns an upper bound for the revision of the configuration after these commands of the log,
/// committed or not.
///
/// A refused change counts like an accepted one, so the result may be too high. It is never too
/// low, because a change can only be accepted on the revision that it is based on.
pub fn highest<'a>(from: Revision, commands: impl Iterator<Item = &'a Command>) -> Revision {
    commands.fold(from, |revision, command| match command {
        Command::Change(change) if change.base == revision => Revision(revision.0 + 1),
        _ => revision,
    })
}

impl Edit {
    /// Returns the name of the edited setting.
    pub fn setting(&self) -> &str {
        match self {
            Edit::Set { name, .. } | Edit::Except { name, .. } | Edit::Drop { name, .. } => name,
        }
    }
}
