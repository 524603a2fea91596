//! The changes that made the configuration, for resends and for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Change, Config, Edit};
use crate::control::state::{ChangeReply, Command};
use crate::model::Revision;

/// Accepted changes whose numbers are kept, so that a resend gets the first result.
const KEPT_IDS: usize = 6_600;
/// Accepted changes that are kept whole, to show who won a base revision.
const KEPT_CHANGES: usize = 256;

/// The last accepted changes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Changes {
    ids: BTreeMap<Box<str>, Revision>,
    by_revision: BTreeMap<Revision, Box<str>>,
    recent: BTreeMap<Revision, Change>,
}

impl Changes {
    /// Returns the revision that a change became, if it is among the last ones.
    pub fn accepted(&self, id: &str) -> Option<Revision> {
        self.ids.get(id).copied()
    }

    /// Returns the last changes, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Change> {
        self.recent.values()
    }

    /// Applies a change to the configuration: the first one on a base revision wins.
    pub fn apply(&mut self, config: &mut Config, change: &Change) -> ChangeReply {
        if let Some(revision) = self.accepted(&change.id) {
            return ChangeReply::Accepted(revision);
        }
        if change.base != config.revision {
            let winner = self.recent.get(&Revision(change.base.0 + 1)).cloned();
            return ChangeReply::Conflict { current: config.revision, winner };
        }
        match config.edited(&change.edit) {
            Ok(next) => {
                *config = next;
                self.keep(config.revision, change);
                ChangeReply::Accepted(config.revision)
            }
            Err(error) => ChangeReply::Refused(format!("{error:#}").into()),
        }
    }

    fn keep(&mut self, revision: Revision, change: &Change) {
        self.ids.insert(change.id.clone(), revision);
        self.by_revision.insert(revision, change.id.clone());
        self.recent.insert(revision, change.clone());
        if self.recent.len() > KEPT_CHANGES {
            self.recent.pop_first();
        }
        let oldest = (self.by_revision.len() > KEPT_IDS).then(|| self.by_revision.pop_first());
        if let Some((_, id)) = oldest.flatten() {
            self.ids.remove(&id);
        }
    }
}

/// Returns a revision that the configuration can't exceed with these commands of the log,
/// committed or not.
///
/// A refused change is counted like an accepted one, so the result may be too high, but a change
/// counts only on the revision that it is based on, so it is never too low.
pub fn highest<'a>(from: Revision, commands: impl Iterator<Item = &'a Command>) -> Revision {
    commands.fold(from, |revision, command| match command {
        Command::Change(change) if change.base == revision => Revision(revision.0 + 1),
        _ => revision,
    })
}

impl Edit {
    /// Returns the name of the setting that it edits.
    pub fn setting(&self) -> &str {
        match self {
            Edit::Set { name, .. } | Edit::Except { name, .. } | Edit::Drop { name, .. } => name,
        }
    }
}
