//! The variants of placement by their names.

use std::fmt;
use std::str::FromStr;

use eyre::eyre;

use super::{InFlight, LeastReported, Placement, Policy, RoundRobin};

/// A variant of placement; each one from [`Variant::InFlight`] adds a step to those before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Variant {
    /// Each endpoint in its turn.
    RoundRobin,
    /// The least load that control reports.
    LeastReported,
    /// As in-flight, with decode room looked for after the prefill.
    PrefillFirst,
    /// The least load by own counts and by what agents say.
    InFlight,
    /// With a queue in the entry that refuses what can't be in time.
    Admission,
    /// With a second decode endpoint while the export lives.
    Fallback,
    /// With ejection of failing endpoints and a retry budget.
    #[default]
    Health,
    /// With the load and the speed of links.
    Link,
    /// With prefixes that are likely to be cached.
    Prefix,
}

impl Variant {
    /// Every variant, the plainest first.
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

    /// Returns the name that flags and tables use.
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

    /// Makes the placement; the seed decides how large pools are sampled.
    pub fn placement(self, seed: u64) -> Box<dyn Placement + Send> {
        match self {
            Variant::RoundRobin => Box::new(RoundRobin::default()),
            Variant::LeastReported => Box::new(LeastReported::default()),
            _ => Box::new(InFlight::new(self, seed)),
        }
    }

    /// Returns the decisions of the variants from [`Variant::PrefillFirst`].
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
        found.ok_or_else(|| eyre!("placement {text:?} is unknown: {known}"))
    }
}
