//! Quarantine: refuses contents that were in flight when endpoints crashed.

mod cause;
mod crash;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use cause::{Cause, Fingerprint};
pub use crash::{BrokenRun, Crash, SURVIVAL_TIME, Start};

use crate::model::Timestamp;

/// The number of crashes after which a content is refused.
const CRASHES_TO_QUARANTINE: usize = 2;

/// A crash of an endpoint, as its agent observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentCrash {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// The time by the agent's clock; together with the endpoint it identifies the crash.
    pub at: Timestamp,
    /// The fingerprints of the contents that were in flight.
    pub in_flight: Vec<Fingerprint>,
    /// How long a content is refused that was in flight at two crashes.
    pub duration: Duration,
}

/// A content that was in flight at one or more crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The endpoints that crashed while it was in flight, and when.
    pub crashes: Vec<(Box<str>, Timestamp)>,
    /// When the quarantine ends; `None` while the content is not quarantined.
    pub until: Option<Timestamp>,
}

/// All suspect contents.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    version: u64,
}

impl Quarantine {
    /// Returns all suspect contents by their fingerprint.
    pub fn suspects(&self) -> &BTreeMap<Fingerprint, Suspect> {
        &self.suspects
    }

    /// Returns a number that increases with every change of the suspects.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a crash. The contents in flight become suspects; those that were in flight at
    /// another crash before are quarantined.
    pub fn crash(&mut self, crash: &ContentCrash) {
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

    /// Removes a content from the suspects, because it has finished or an operator clears it.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.version += 1;
        }
    }
}
