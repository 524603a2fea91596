//! The software versions that the endpoints of each service have reported lately.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ORIGIN_TTL, VersionSet};
use crate::model::Timestamp;

/// How long a member may receive no report of any endpoint until its history counts as interrupted:
/// versions may have come and gone meanwhile.
const MAX_GAP: Duration = Duration::from_millis(3_000);

/// The time during which a member has received reports without interruption.
#[derive(Debug, Clone, Copy)]
struct Span {
    since: Timestamp,
    last: Timestamp,
}

/// When each software version of each service was last reported.
#[derive(Debug, Default)]
pub(super) struct Versions {
    services: BTreeMap<Box<str>, BTreeMap<Box<str>, Timestamp>>,
    span: Option<Span>,
    /// When expired versions are removed next.
    next_sweep: Timestamp,
}

impl Versions {
    /// Records that an endpoint of a service has reported its version.
    pub(super) fn listed(&mut self, now: Timestamp, service: &str, software: &str) {
        self.extend_span(now);
        self.sweep(now);
        if let Some(at) = self.services.get_mut(service).and_then(|v| v.get_mut(software)) {
            *at = now;
            return;
        }
        self.services.entry(service.into()).or_default().insert(software.into(), now);
    }

    /// Returns the only version that a service's endpoints have reported within [`ORIGIN_TTL`], if
    /// the history is complete for as long.
    pub(super) fn only(&self, now: Timestamp, service: &str) -> Option<Box<str>> {
        if !self.is_complete(now) {
            return None;
        }
        let recent = self.heard(now, service);
        let software = recent.first()?;
        (recent.len() == 1).then(|| software.clone())
    }

    /// Returns the versions that a service's endpoints have reported within [`ORIGIN_TTL`].
    pub(super) fn heard(&self, now: Timestamp, service: &str) -> VersionSet {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, at)| now - **at < ORIGIN_TTL);
        recent.map(|(software, _)| software.clone()).collect()
    }

    /// Returns how many versions a service's endpoints have reported within [`ORIGIN_TTL`].
    pub(super) fn count(&self, now: Timestamp, service: &str) -> usize {
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(|(_, at)| now - **at < ORIGIN_TTL).count()
    }

    /// Returns the services with any version.
    pub(super) fn services(&self) -> Vec<Box<str>> {
        self.services.keys().cloned().collect()
    }

    /// Returns whether reports have been received for [`ORIGIN_TTL`] without interruption.
    pub(super) fn is_complete(&self, now: Timestamp) -> bool {
        self.span.is_some_and(|s| now - s.since >= ORIGIN_TTL && now - s.last <= MAX_GAP)
    }

    fn extend_span(&mut self, now: Timestamp) {
        let unbroken = self.span.filter(|s| now - s.last <= MAX_GAP);
        let since = unbroken.map_or(now, |s| s.since);
        self.span = Some(Span { since, last: now });
    }

    fn sweep(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + ORIGIN_TTL;
        for versions in self.services.values_mut() {
            versions.retain(|_, at| now - *at < ORIGIN_TTL);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
