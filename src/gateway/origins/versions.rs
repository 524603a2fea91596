//! The software versions that the endpoints of each service have had lately, as far as this gateway
//! was told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::model::Timestamp;

/// How long a version that is no longer listed is remembered.
const HISTORY: Duration = Duration::from_secs(600);

/// A service and a software version of its endpoints.
type Version = (Box<str>, Box<str>);

/// The versions that are listed now, and those that have left.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::origins::versions::Versions;
/// use dotterelpin::model::Timestamp;
///
/// let second = |n: u64| Timestamp::from_micros(n * 1_000_000);
/// let lasting = Duration::from_secs(14);
/// let mut versions = Versions::default();
/// versions.listed(second(1), [("cs-summary", "v1")].into_iter());
/// assert_eq!(versions.only(second(2), "cs-summary", lasting), Some("v1"));
/// assert!(!versions.covers(second(2), lasting));
/// versions.listed(second(20), [("cs-summary", "v2")].into_iter());
/// assert_eq!(versions.only(second(21), "cs-summary", lasting), None);
/// assert_eq!(versions.only(second(35), "cs-summary", lasting), Some("v2"));
/// ```
#[derive(Debug, Default)]
pub struct Versions {
    /// When each version that is listed now was listed first.
    current: BTreeMap<Version, Timestamp>,
    /// When each version that is no longer listed was found missing.
    left: BTreeMap<Version, Timestamp>,
    /// When versions were listed first.
    since: Option<Timestamp>,
}

impl Versions {
    /// Applies a new list of the services and versions of all endpoints.
    pub fn listed<'a>(&mut self, now: Timestamp, all: impl Iterator<Item = (&'a str, &'a str)>) {
        let mut listed: BTreeMap<Version, Timestamp> =
            all.map(|(s, v)| ((s.into(), v.into()), now)).collect();
        for (version, first) in &mut listed {
            *first = self.current.get(version).copied().unwrap_or(now);
        }
        if !listed.is_empty() {
            self.since.get_or_insert(now);
        }
        let before = std::mem::replace(&mut self.current, listed);
        let gone = before.into_keys().filter(|version| !self.current.contains_key(version));
        self.left.extend(gone.map(|version| (version, now)));
        self.left.retain(|_, at| now - *at < HISTORY);
    }

    /// Returns the only version that a service has had within `span`, or `None` if there were
    /// several or none.
    pub fn only(&self, now: Timestamp, service: &str, span: Duration) -> Option<&str> {
        let left = self.left.iter().filter(|(_, at)| now - **at < span).map(|(version, _)| version);
        let all: BTreeSet<&str> = self
            .current
            .keys()
            .chain(left)
            .filter(|(s, _)| **s == *service)
            .map(|(_, v)| &**v)
            .collect();
        let first = all.first().copied();
        first.filter(|_| all.len() == 1)
    }

    /// Returns the versions that streams of a service may have begun at within `span`, for logs: since
    /// when each is listed, or for how long it is not, in milliseconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelpin::gateway::origins::versions::Versions;
    /// use dotterelpin::model::Timestamp;
    ///
    /// let second = |n: u64| Timestamp::from_micros(n * 1_000_000);
    /// let mut versions = Versions::default();
    /// versions.listed(second(1), [("cs-summary", "v1")].into_iter());
    /// versions.listed(second(4), [("cs-summary", "v2")].into_iter());
    /// let text = versions.describe(second(6), "cs-summary", Duration::from_secs(14));
    /// assert_eq!(text, "v2:listed=2000,v1:left=2000");
    /// ```
    pub fn describe(&self, now: Timestamp, service: &str, span: Duration) -> String {
        let listed = self.current.iter().map(|(version, at)| (version, "listed", *at));
        let left = self.left.iter().filter(|(_, at)| now - **at < span);
        let left = left.map(|(version, at)| (version, "left", *at));
        let all = listed.chain(left).filter(|((of, _), _, _)| **of == *service);
        let texts: Vec<String> = all
            .map(|((_, version), what, at)| format!("{version}:{what}={}", (now - at).as_millis()))
            .collect();
        texts.join(",")
    }

    /// Returns the services that have had several versions within `span`.
    pub fn mixed(&self, now: Timestamp, span: Duration) -> BTreeSet<Box<str>> {
        let left = self.left.iter().filter(|(_, at)| now - **at < span).map(|(version, _)| version);
        let all: BTreeSet<&Version> = self.current.keys().chain(left).collect();
        let mut services: BTreeMap<&str, usize> = BTreeMap::new();
        all.iter().for_each(|(service, _)| *services.entry(service).or_default() += 1);
        let several = services.into_iter().filter(|(_, count)| *count > 1);
        several.map(|(service, _)| service.into()).collect()
    }

    /// Returns whether versions have been listed for at least `span`.
    pub fn covers(&self, now: Timestamp, span: Duration) -> bool {
        self.since.is_some_and(|since| now - since >= span)
    }
}
