//! Quarantine: requests whose content was in flight when endpoints crashed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::model::Timestamp;

/// Crashes after which a content is refused.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Names a pool and a request's content, whoever sends it and under whatever id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a content that a pool is to run.
    ///
    /// ```
    /// use dotterelpin::control::quarantine::Fingerprint;
    ///
    /// let one = Fingerprint::of("cs-summary", b"apples");
    /// assert_eq!(one, Fingerprint::of("cs-summary", b"apples"));
    /// assert_ne!(one, Fingerprint::of("cs-summary", b"pears"));
    /// ```
    pub fn of(pool: &str, content: &[u8]) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update((pool.len() as u64).to_le_bytes());
        hasher.update(pool);
        hasher.update(content);
        let digest = hasher.finalize();
        Fingerprint(digest.first_chunk().copied().unwrap_or_default())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// A crash of an endpoint, as its agent saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Box<str>,
    /// When, by the agent's clock; with the endpoint it names the crash.
    pub at: Timestamp,
    /// What was in flight.
    pub in_flight: Vec<Fingerprint>,
    /// How long a request with two crashes is refused.
    pub duration: Duration,
}

/// A content under suspicion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The endpoints that crashed with it, and when.
    pub crashes: Vec<(Box<str>, Timestamp)>,
    /// When it may run again, once it is quarantined.
    pub until: Option<Timestamp>,
}

/// All contents under suspicion.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    version: u64,
}

impl Quarantine {
    /// Returns all contents under suspicion.
    pub fn suspects(&self) -> &BTreeMap<Fingerprint, Suspect> {
        &self.suspects
    }

    /// Returns a number that changes with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a crash: what was in flight is under suspicion, and a content that crashed another
    /// endpoint before is quarantined.
    pub fn crash(&mut self, crash: &Crash) {
        let mark = (crash.endpoint.clone(), crash.at);
        for fingerprint in &crash.in_flight {
            let fresh = || Suspect { crashes: Vec::new(), until: None };
            let suspect = self.suspects.entry(*fingerprint).or_insert_with(fresh);
            if suspect.crashes.contains(&mark) {
                continue;
            }
            suspect.crashes.push(mark.clone());
            if suspect.crashes.len() >= CRASHES_TO_QUARANTINE {
                suspect.until = Some(crash.at + crash.duration);
            }
            self.version += 1;
        }
    }

    /// Takes a content out of suspicion, because it has finished or an operator says so.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.version += 1;
        }
    }
}
