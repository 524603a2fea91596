//! The origins that a member keeps on its disk: those of services that have several versions.
//!
//! With one version a stream may go on anywhere, so nothing is written. What was recorded before a
//! second version is known is written as soon as it is.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Correction, Origin, Origins};
use crate::control::Control;
use crate::model::Timestamp;

/// How long the origins of a service are saved after the last sign that it has several versions.
const SAVING_TTL: Duration = Duration::from_millis(5_000);

/// What a member keeps on its disk of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginRecord {
    /// The origin as a gateway has sent it.
    Origin(Origin),
    /// What a gateway has found out about it later.
    Correction(Correction),
}

/// Where a member keeps records of origins that outlast its process.
pub trait OriginLog: Send {
    /// Takes records without waiting for the disk; a disk that is slow or full loses them.
    fn append(&mut self, records: Vec<OriginRecord>);
}

/// The services whose origins are saved, and until when without another sign of several versions.
pub(super) type Saving = BTreeMap<Box<str>, Timestamp>;

impl Origins {
    /// Notes a sign that a service has several versions; returns the records that are not saved yet.
    ///
    /// ```
    /// use dotterelpin::control::origins::{Origin, OriginRecord, Origins};
    /// use dotterelpin::model::Timestamp;
    ///
    /// let now = Timestamp::from_micros(1);
    /// let (call, service, software) = ("c-1".into(), "cs-summary".into(), "v1".into());
    /// let origin = Origin { call, service, software };
    /// let mut origins = Origins::default();
    /// origins.record(now, vec![origin.clone()]);
    /// assert_eq!(origins.save_service(now, "cs-summary"), [OriginRecord::Origin(origin)]);
    /// assert!(origins.save_service(now, "cs-summary").is_empty());
    /// ```
    pub fn save_service(&mut self, now: Timestamp, service: &str) -> Vec<OriginRecord> {
        self.saving.retain(|_, until| now < *until);
        let is_new = self.saving.insert(service.into(), now + SAVING_TTL).is_none();
        if is_new { self.unsaved(now, service) } else { Vec::new() }
    }

    /// Returns the records of some calls that are not saved yet and belong to services whose origins
    /// are saved.
    fn unsaved_of(&mut self, now: Timestamp, calls: &[Box<str>]) -> Vec<OriginRecord> {
        let saving = &self.saving;
        let mut records = Vec::new();
        for call in calls {
            let Some(entry) = self.entries.get_mut(call).filter(|e| !e.is_saved) else { continue };
            if saving.get(&entry.origin.service).is_some_and(|until| now < *until) {
                entry.is_saved = true;
                records.push(OriginRecord::Origin(entry.origin.clone()));
            }
        }
        records
    }

    fn unsaved(&mut self, now: Timestamp, service: &str) -> Vec<OriginRecord> {
        let entries = self.entries.iter();
        let unsaved = entries.filter(|(_, e)| !e.is_saved && *e.origin.service == *service);
        let calls: Vec<Box<str>> = unsaved.map(|(call, _)| call.clone()).collect();
        self.unsaved_of(now, &calls)
    }
}

impl Control {
    /// Keeps origins on the disk, too, and takes what was kept there before this start.
    pub fn with_origin_log(
        mut self,
        now: Timestamp,
        restored: Vec<OriginRecord>,
        log: Box<dyn OriginLog>,
    ) -> Control {
        self.origins.restore(now, restored);
        self.origin_log = Some(log);
        self
    }

    /// Saves the origins of a service from now on if it has several versions, by the record or by
    /// what this member has heard.
    pub(in crate::control) fn review_saving(&mut self, now: Timestamp, service: &str) {
        let recorded = self.state.versions.count(service);
        if recorded > 1 || self.origins.versions.count(now, service) > 1 {
            self.save_service(now, service);
        }
    }

    /// Saves the origins of all services that have several versions by the record.
    pub(in crate::control) fn review_recorded(&mut self, now: Timestamp) {
        let services: Vec<Box<str>> = self.state.versions.services().cloned().collect();
        services.iter().for_each(|service| self.review_saving(now, service));
    }

    /// Saves the origins of a service from now on.
    pub(super) fn save_service(&mut self, now: Timestamp, service: &str) {
        let records = self.origins.save_service(now, service);
        self.save(records);
    }

    /// Saves origins that were recorded just now, if their services have several versions.
    pub(super) fn save_origins(&mut self, now: Timestamp, calls: &[Box<str>]) {
        let records = self.origins.unsaved_of(now, calls);
        self.save(records);
    }

    pub(super) fn save(&mut self, records: Vec<OriginRecord>) {
        if let Some(log) = self.origin_log.as_mut().filter(|_| !records.is_empty()) {
            log.append(records);
        }
    }
}
