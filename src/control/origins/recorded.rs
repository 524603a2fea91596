//! The software versions of each service that the replicated log keeps.
//!
//! When all processes lose their memory at once, callers resume streams of which no process knows
//! the origin. If the service had one version all the time, every stream began at it; but members
//! that have just started have heard of no endpoint for long. So the leader records the versions
//! that streams of a service may have begun at, and removes one only after no endpoint has reported
//! it for as long as an origin is kept.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ORIGIN_TTL;
use crate::control::state::Command;
use crate::control::{Control, Outputs};
use crate::model::Timestamp;

/// The maximum number of services whose versions are kept.
const MAX_SERVICES: usize = 4_096;
/// How long a leader listens to endpoints before it names the only version by the record: a version
/// may have been listed while no leader could record it.
const LISTEN_TIME: Duration = Duration::from_millis(1_500);
/// How often the leader compares the record with what it has heard.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// The names of software versions.
pub type VersionSet = BTreeSet<Box<str>>;

/// The software versions that the streams of each service may have begun at.
///
/// ```
/// use dotterelpin::control::origins::RecordedVersions;
///
/// let mut recorded = RecordedVersions::default();
/// recorded.set("cs-summary", ["v1".into(), "v2".into()].into());
/// assert_eq!(recorded.of("cs-summary").len(), 2);
/// recorded.set("cs-summary", [].into());
/// assert!(recorded.of("cs-summary").is_empty());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RecordedVersions {
    services: BTreeMap<Box<str>, VersionSet>,
}

impl RecordedVersions {
    /// Returns the versions of a service; empty if none is recorded.
    pub fn of(&self, service: &str) -> VersionSet {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Returns the number of versions of a service.
    ///
    /// ```
    /// use dotterelpin::control::origins::RecordedVersions;
    ///
    /// assert_eq!(RecordedVersions::default().count("cs-summary"), 0);
    /// ```
    pub fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, VersionSet::len)
    }

    /// Replaces the versions of a service; without versions it is forgotten.
    pub fn set(&mut self, service: &str, versions: VersionSet) {
        if versions.is_empty() {
            self.services.remove(service);
        } else if self.services.len() < MAX_SERVICES || self.services.contains_key(service) {
            self.services.insert(service.into(), versions);
        }
    }

    /// Returns whether no version of any service is recorded.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    pub(super) fn services(&self) -> impl Iterator<Item = &Box<str>> {
        self.services.keys()
    }
}

impl Control {
    /// Proposes the versions of all services whose record is out of date, as the leader.
    pub(in crate::control) fn review_versions(&mut self, now: Timestamp) -> Outputs {
        if !self.replica.is_leader() || now < self.next_review {
            return Vec::new();
        }
        self.next_review = now + REVIEW_INTERVAL;
        let heard = self.origins.services();
        let services: VersionSet = self.state.versions.services().cloned().chain(heard).collect();
        services.into_iter().flat_map(|service| self.record_versions(now, &service)).collect()
    }

    /// Proposes the versions of a service if the record is out of date, as the leader.
    pub(in crate::control) fn record_versions(&mut self, now: Timestamp, service: &str) -> Outputs {
        let stopping = self.failed || self.shutdown.is_requested();
        let Some((_, since)) = self.replica.leads_since().filter(|_| !stopping) else {
            return Vec::new();
        };
        let recorded = self.recorded_versions(service);
        let mut versions = self.origins.heard(now, service);
        let is_complete = now - since >= ORIGIN_TTL && self.origins.is_complete(now);
        // A group whose log began with an earlier release may have served versions unrecorded.
        let has_begun = !self.state.versions.is_empty() || self.replica.is_first_leader();
        if !is_complete && !has_begun {
            return Vec::new();
        }
        if !is_complete {
            versions.extend(recorded.iter().cloned());
        }
        if versions == recorded {
            return Vec::new();
        }
        log::info!("step=versions service={service} recorded={recorded:?} new={versions:?}");
        let service = service.into();
        self.propose_own(now, Command::RecordVersions { service, versions })
    }

    /// Returns the recorded versions of a service, and those whose record is not applied yet.
    pub(super) fn recorded_versions(&self, service: &str) -> VersionSet {
        let pending = self.replica.unapplied().filter_map(|r| match &r.command {
            Command::RecordVersions { service: of, versions } if **of == *service => Some(versions),
            _ => None,
        });
        pending.last().cloned().unwrap_or_else(|| self.state.versions.of(service))
    }

    /// Returns the only version at which streams of a service can have begun, by the record and by
    /// what this member has heard as the leader.
    pub(super) fn only_recorded(&self, now: Timestamp, service: &str) -> Option<Box<str>> {
        let (_, since) = self.replica.leads_since()?;
        if now - since < LISTEN_TIME {
            return None;
        }
        let mut all = self.recorded_versions(service);
        let first = all.first().cloned()?;
        all.extend(self.origins.heard(now, service));
        (all.len() == 1).then_some(first)
    }
}
