//! Crashes of endpoints, as the process that had runs there has seen them.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cause::Cause;
use crate::model::BootId;

/// How long a run has to write its answer to show that its causes don't crash endpoints: those that
/// do crash an endpoint as soon as it begins to write.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(250);

/// One start of an endpoint, which ends once at most.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// The boot that identifies the start.
    pub boot: BootId,
}

impl fmt::Display for Start {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.endpoint, self.boot)
    }
}

/// A run that ended because its endpoint did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// Its possible causes of a crash.
    pub causes: Vec<Cause>,
    /// How long it had been writing; zero if it had written nothing.
    pub wrote: Duration,
}

impl BrokenRun {
    /// Returns whether the run had been writing for so long that it can't have caused the crash.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelpin::control::quarantine::BrokenRun;
    ///
    /// let run = |millis| BrokenRun { causes: vec![], wrote: Duration::from_millis(millis) };
    /// assert!(!run(90).has_survived());
    /// assert!(run(900).has_survived());
    /// ```
    pub fn has_survived(&self) -> bool {
        self.wrote >= SURVIVAL_TIME
    }
}

/// The end of one start of an endpoint, with the runs that one process lost there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// What ended.
    pub start: Start,
    /// The runs that ended with it.
    pub runs: Vec<BrokenRun>,
    /// Those of their causes whose runs have gone on shortly before.
    pub known: Vec<Cause>,
}
