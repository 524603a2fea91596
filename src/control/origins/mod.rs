//! The origins of streams: which software version of a service's endpoints began which stream.
//!
//! A stream may go on only at an endpoint of the version that began it, but its caller may resume
//! it at any gateway. So gateways send the origins of their streams to all control members, and ask
//! them for an origin that they don't know. While a service has several versions, each member keeps
//! the origins of its streams on its own disk too, apart from the replicated log, so that they outlast
//! a kill of all processes. Which versions a service has is in the replicated log.

mod recorded;
mod requests;
mod saved;
mod versions;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::Timestamp;
pub use recorded::{RecordedVersions, VersionSet};
use saved::Saving;
pub use saved::{OriginLog, OriginRecord};
use versions::Versions;

/// How long an origin is kept after it was recorded, and a software version after it was listed.
pub const ORIGIN_TTL: Duration = Duration::from_millis(30_000);
/// The maximum number of origins that a member keeps; the oldest ones are removed first.
pub const MAX_ORIGINS: usize = 100_000;

/// The software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The id of the call that brought the stream's first event, as its caller sent it.
    pub call: Box<str>,
    /// The name of the service.
    pub service: Box<str>,
    /// The software version of the endpoint that began the stream, empty if it reports none.
    pub software: Box<str>,
}

impl Origin {
    /// Returns the size in bytes of its names.
    ///
    /// ```
    /// use dotterelpin::control::origins::Origin;
    ///
    /// let (call, service, software) = ("c-1".into(), "portal".into(), "v1".into());
    /// assert_eq!(Origin { call, service, software }.bytes(), 11);
    /// ```
    pub fn bytes(&self) -> usize {
        self.call.len() + self.service.len() + self.software.len()
    }
}

/// What is known by now of the origin of a stream, in place of what was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Correction {
    /// The id of the call that brought the stream's first event.
    pub call: Box<str>,
    /// The software version that began the stream; `None` if nobody can know it any more.
    pub software: Option<Box<str>>,
}

/// What the version in a member's record of an origin rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The member read it from its disk; a gateway may have corrected it since.
    Restored,
    /// A gateway has sent it to this start of the member.
    Sent,
    /// A gateway has corrected it.
    Corrected,
    /// A gateway has found that nobody can know it, or corrections contradict each other.
    Unknowable,
}

/// An origin and when it was recorded.
#[derive(Debug)]
struct Entry {
    /// The service is empty as long as only a correction of the origin is known.
    origin: Origin,
    at: Timestamp,
    /// An entry of an unknowable version keeps an earlier record from coming back.
    evidence: Evidence,
    is_saved: bool,
}

impl Entry {
    /// Applies a record of the origin that was made before any correction; returns whether it
    /// changes what has to be saved.
    fn record(&mut self, origin: Origin) -> bool {
        let is_restored = self.evidence == Evidence::Restored;
        let is_other = self.origin.software != origin.software;
        if self.origin.service.is_empty() {
            self.origin.service = origin.service;
            return true;
        }
        if is_restored {
            self.origin = origin;
            self.evidence = Evidence::Sent;
        }
        is_restored && is_other
    }

    /// Applies a correction; returns whether it changes anything.
    fn correct(&mut self, software: Option<&str>) -> bool {
        let is_same = software == Some(&*self.origin.software);
        let corrected = match self.evidence {
            Evidence::Unknowable => Evidence::Unknowable,
            Evidence::Corrected if !is_same => Evidence::Unknowable,
            _ if software.is_none() => Evidence::Unknowable,
            _ => Evidence::Corrected,
        };
        let changes = corrected != self.evidence;
        self.evidence = corrected;
        if let Some(software) = software.filter(|_| changes) {
            self.origin.software = software.into();
        }
        changes
    }
}

/// The origins that one control member knows, and the software versions listed by each service.
///
/// ```
/// use dotterelpin::control::origins::{ORIGIN_TTL, Origin, Origins};
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1);
/// let origin = |software: &str| Origin {
///     call: "c-1".into(), service: "cs-summary".into(), software: software.into(),
/// };
/// let mut origins = Origins::default();
/// assert_eq!(origins.record(now, vec![origin("v1"), origin("v2")]), 1);
/// assert_eq!(origins.find(now, "c-1"), Some(&origin("v1")));
/// assert_eq!(origins.find(now + ORIGIN_TTL, "c-1"), None);
/// ```
#[derive(Debug, Default)]
pub struct Origins {
    entries: BTreeMap<Box<str>, Entry>,
    /// The calls of all entries, in the order in which they were recorded.
    order: VecDeque<Box<str>>,
    versions: Versions,
    saving: Saving,
    /// When the first message of a gateway or an endpoint was recorded.
    since: Option<Timestamp>,
}

impl Origins {
    /// Records origins and returns how many of them are new; the first record of a call is kept.
    pub fn record(&mut self, now: Timestamp, origins: Vec<Origin>) -> usize {
        self.since.get_or_insert(now);
        self.expire(now);
        let mut recorded = 0;
        for origin in origins {
            if let Some(entry) = self.entries.get_mut(&origin.call) {
                entry.is_saved &= !entry.record(origin);
                continue;
            }
            self.insert(now, origin, Evidence::Sent);
            recorded += 1;
        }
        recorded
    }

    /// Takes what a member had saved before its process started; the order of the records does not
    /// matter.
    ///
    /// ```
    /// use dotterelpin::control::origins::{Correction, Origin, OriginRecord, Origins};
    /// use dotterelpin::model::Timestamp;
    ///
    /// let now = Timestamp::from_micros(1);
    /// let (call, service, software) = ("c-1".into(), "cs-summary".into(), "v1".into());
    /// let origin = Origin { call, service, software };
    /// let correction = Correction { call: "c-1".into(), software: Some("v2".into()) };
    /// let records = [OriginRecord::Correction(correction), OriginRecord::Origin(origin)];
    /// let mut origins = Origins::default();
    /// origins.restore(now, records.to_vec());
    /// assert_eq!(origins.find(now, "c-1").map(|o| &*o.software), Some("v2"));
    /// ```
    pub fn restore(&mut self, now: Timestamp, records: Vec<OriginRecord>) {
        for record in records {
            match record {
                OriginRecord::Origin(origin) => match self.entries.get_mut(&origin.call) {
                    Some(entry) if entry.origin.service.is_empty() => {
                        entry.origin.service = origin.service;
                    }
                    // A member writes another version only in place of a restored one.
                    Some(entry) if entry.evidence == Evidence::Restored => entry.origin = origin,
                    Some(_) => {}
                    None => self.insert(now, origin, Evidence::Restored),
                },
                OriginRecord::Correction(correction) => _ = self.correct(now, &correction),
            }
        }
        self.entries.values_mut().for_each(|entry| entry.is_saved = true);
    }

    fn insert(&mut self, now: Timestamp, origin: Origin, evidence: Evidence) {
        if self.order.len() >= MAX_ORIGINS {
            self.remove_oldest();
        }
        self.order.push_back(origin.call.clone());
        let entry = Entry { at: now, evidence, is_saved: false, origin };
        self.entries.insert(entry.origin.call.clone(), entry);
    }

    /// Replaces the version of an origin, or forgets it; returns whether that changes anything. A
    /// correction that comes before its record is kept for it, and one that contradicts another
    /// leaves the version unknown.
    ///
    /// ```
    /// use dotterelpin::control::origins::{Correction, Origin, Origins};
    /// use dotterelpin::model::Timestamp;
    ///
    /// let now = Timestamp::from_micros(1);
    /// let (call, service, software) = ("c-1".into(), "cs-summary".into(), "v1".into());
    /// let mut origins = Origins::default();
    /// origins.record(now, vec![Origin { call, service, software }]);
    /// let correction = |v: Option<&str>| Correction { call: "c-1".into(), software: v.map(Into::into) };
    /// origins.correct(now, &correction(Some("v2")));
    /// assert_eq!(origins.find(now, "c-1").map(|o| &*o.software), Some("v2"));
    /// origins.correct(now, &correction(None));
    /// assert_eq!(origins.find(now, "c-1"), None);
    /// ```
    pub fn correct(&mut self, now: Timestamp, correction: &Correction) -> bool {
        self.expire(now);
        let software = correction.software.as_deref();
        if let Some(entry) = self.entries.get_mut(&correction.call) {
            return entry.correct(software);
        }
        let evidence = software.map_or(Evidence::Unknowable, |_| Evidence::Corrected);
        let (call, service) = (correction.call.clone(), Box::default());
        let software = software.unwrap_or_default().into();
        self.insert(now, Origin { call, service, software }, evidence);
        true
    }

    /// Returns the origins that were recorded within [`ORIGIN_TTL`], oldest first.
    pub fn all(&self, now: Timestamp) -> Vec<Origin> {
        self.order.iter().filter_map(|call| self.find(now, call).cloned()).collect()
    }

    /// Returns the origin of the stream that a call began, if it was recorded within
    /// [`ORIGIN_TTL`].
    pub fn find(&self, now: Timestamp, call: &str) -> Option<&Origin> {
        let is_known =
            |e: &&Entry| e.evidence != Evidence::Unknowable && !e.origin.service.is_empty();
        self.entry(now, call).filter(is_known).map(|e| &e.origin)
    }

    /// Returns what is known of the version of the stream that a call began, if anything is.
    ///
    /// ```
    /// use dotterelpin::control::origins::{Correction, Evidence, Origins};
    /// use dotterelpin::model::Timestamp;
    ///
    /// let now = Timestamp::from_micros(1);
    /// let mut origins = Origins::default();
    /// assert_eq!(origins.evidence(now, "c-1"), None);
    /// origins.correct(now, &Correction { call: "c-1".into(), software: None });
    /// assert_eq!(origins.evidence(now, "c-1"), Some(Evidence::Unknowable));
    /// ```
    pub fn evidence(&self, now: Timestamp, call: &str) -> Option<Evidence> {
        self.entry(now, call).map(|e| e.evidence)
    }

    /// Returns for how long origins have been recorded since the start of the process.
    pub fn known_for(&self, now: Timestamp) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now - since)
    }

    /// Returns how long ago the origin that [`Origins::find`] returns was recorded.
    pub fn age(&self, now: Timestamp, call: &str) -> Option<Duration> {
        self.entry(now, call).map(|e| now - e.at)
    }

    /// Returns the number of origins in memory; expired ones are removed with the next record.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Records that an endpoint of a service has reported its software version.
    pub fn listed(&mut self, now: Timestamp, service: &str, software: &str) {
        self.since.get_or_insert(now);
        self.versions.listed(now, service, software);
    }

    /// Returns the software version of all endpoints of a service that were listed within
    /// [`ORIGIN_TTL`], or `None` if there are several or none, or if endpoints have not been listed
    /// continuously for as long. Endpoints that report no version count as one version, `""`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelpin::control::origins::Origins;
    /// use dotterelpin::model::Timestamp;
    ///
    /// let second = |n: u64| Timestamp::from_micros(n * 1_000_000);
    /// let mut origins = Origins::default();
    /// (0..=30).for_each(|n| origins.listed(second(n), "cs-summary", "v1"));
    /// assert_eq!(origins.only(second(29), "cs-summary"), None);
    /// assert_eq!(origins.only(second(30), "cs-summary").as_deref(), Some("v1"));
    /// origins.listed(second(30), "cs-summary", "v2");
    /// assert_eq!(origins.only(second(30), "cs-summary"), None);
    /// ```
    pub fn only(&self, now: Timestamp, service: &str) -> Option<Box<str>> {
        self.versions.only(now, service)
    }

    /// Returns the versions that endpoints of a service have reported within [`ORIGIN_TTL`].
    pub(super) fn heard(&self, now: Timestamp, service: &str) -> VersionSet {
        self.versions.heard(now, service)
    }

    /// Returns the services of which any endpoint has reported a version.
    pub(super) fn services(&self) -> Vec<Box<str>> {
        self.versions.services()
    }

    /// Returns whether reports have been received for [`ORIGIN_TTL`] without interruption.
    pub(super) fn is_complete(&self, now: Timestamp) -> bool {
        self.versions.is_complete(now)
    }

    fn entry(&self, now: Timestamp, call: &str) -> Option<&Entry> {
        self.entries.get(call).filter(|e| now - e.at < ORIGIN_TTL)
    }

    fn expire(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|call| self.entry(now, call).is_none()) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(call) = self.order.pop_front() {
            self.entries.remove(&call);
        }
    }
}
