//! The variants of placement and their names.

use std::fmt;
use std::str::FromStr;

use eyre::eyre;

use super::{InFlight, LeastReported, Placement, Policy, RoundRobin};

/// A variant of placement; each one after [`Variant::InFlight`] adds a feature to the previous
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Variant {
    /// Chooses the endpoints in turn.
    RoundRobin,
    /// Chooses the least load that control reports.
    LeastReported,
    /// Like `InFlight`, but reserves decode capacity after the prefill.
    PrefillFirst,
    /// Chooses the least load by own counts and agents' reports.
    InFlight,
    /// Adds a queue in the entry that refuses calls that can't meet their target.
    Admission,
    /// Adds a second decode endpoint while the export is available.
    Fallback,
    /// Adds ejection of failing endpoints and a retry budget.
    #[default]
    Health,
    /// Adds the load and speed of links to the choice of decode endpoints.
    Link,
    /// Adds prefixes that are likely cached to the choice of prefill endpoints.
    Prefix,
}

impl Variant {
    /// Every variant, the simplest first.
    pub const ALL: [Variant; 9] = [
        Variant::RoundRobin,
        Variant::LeastReported,
        Variant::PrefillFirst,
        Variant::InFlight,
        Variant::Admission,
        Variant::Fallback,
        Variant::Health,
        Variant::Link,
        Variant::Prefix,
    ];

    /// Returns the name used in flags and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Variant::RoundRobin => "round-robin",
            Variant::LeastReported => "least-reported",
            Variant::PrefillFirst => "prefill-first",
            Variant::InFlight => "in-flight",
            Variant::Admission => "admission",
            Variant::Fallback => "fallback",
            Variant::Health => "health",
            Variant::Link => "link",
            Variant::Prefix => "prefix",
        }
    }

    /// Creates the placement; the seed determines how large pools are sampled.
    pub fn placement(self, seed: u64) -> Box<dyn Placement + Send> {
        match self {
            Variant::RoundRobin => Box::new(RoundRobin::default()),
            Variant::LeastReported => Box::new(LeastReported::default()),
            _ => Box::new(InFlight::new(self, seed)),
        }
    }

    /// Returns the policy of a variant from [`Variant::PrefillFirst`] on.
    pub(super) fn policy(self) -> Policy {
        Policy {
            reserve_first: self != Variant::PrefillFirst,
            admission: self >= Variant::Admission,
            fallback: self >= Variant::Fallback,
            health: self >= Variant::Health,
            budget: self >= Variant::Health,
        }
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Variant {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Variant> {
        let found = Variant::ALL.into_iter().find(|v| v.as_str() == text);
        let known = Variant::ALL.map(Variant::as_str).join(", ");
        found.ok_or_else(|| eyre!("placement {text:?} is unknown; expected one of: {known}"))
    }
}
