//! How the configuration, and replies that others have overtaken, are applied.

use super::Follower;
use crate::control::config::{Change, Config, Revised};
use crate::link::message::{Beat, Update};
use crate::model::Timestamp;

impl Follower {
    /// Compares the own configuration with the one that a peer has in force; if the peer's is
    /// newer, the next heartbeats become due at once.
    pub fn observe(&mut self, now: Timestamp, revised: Revised) {
        let differs = revised.revision == self.revised.revision && revised != self.revised;
        if differs && self.conflicting != Some(revised) {
            log::error!("step=observe own={} other={revised} error=hashes differ", self.revised);
            self.conflicting = Some(revised);
        }
        if revised.revision > self.revised.revision {
            self.expedite(now);
        }
    }

    /// Makes the next heartbeats due at once, so that a change is sent or received without delay.
    pub fn expedite(&mut self, now: Timestamp) {
        for member in &mut self.members {
            member.due = member.due.min(now);
        }
    }

    /// Applies what can't be out of date in a reply to a heartbeat that a later one has overtaken.
    pub(super) fn apply_overtaken(&mut self, beat: &Beat) {
        if let Some(document) = beat.routing.as_ref().and_then(|update| update.document.as_ref()) {
            self.routing.receive(document);
        }
    }

    pub(super) fn apply_config(&mut self, now: Timestamp, beat: &Beat) {
        let Some(config) = beat.config.as_ref().and_then(|u| self.updated(u)) else { return };
        self.needs_full = false;
        self.revised = config.revised();
        self.config = config;
        log::info!("step=config revised={} member={}", self.revised, beat.member);
        self.changed = true;
        self.expedite(now);
    }

    /// Returns the configuration that results from an update if it is newer than the present one.
    pub(super) fn updated(&mut self, update: &Update) -> Option<Config> {
        match update {
            Update::Whole(config) => {
                (config.revision > self.revised.revision).then(|| config.clone())
            }
            Update::Changes { changes, revised } => {
                if revised.revision <= self.revised.revision {
                    return None;
                }
                let new = changes.iter().filter(|c| c.base >= self.revised.revision);
                let edit = |config: Config, change: &Change| config.edited(&change.edit);
                let config = new.into_iter().try_fold(self.config.clone(), edit);
                let fits = |config: &Config| config.revised() == *revised;
                let config = config.ok().filter(fits);
                if config.is_none() {
                    log::error!(
                        "step=config own={} error=changes do not lead to {revised}",
                        self.revised
                    );
                    self.needs_full = true;
                }
                config
            }
        }
    }
}
