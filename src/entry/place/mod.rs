//! The filter `place`: chooses the endpoint of an attempt.

mod estimate;
mod fleet;
mod flight;
mod in_flight;
mod least_reported;
mod prefix;
mod round_robin;
mod variant;

pub use estimate::Estimate;
pub use fleet::{EndpointKey, Fleet, Tracked};
pub use in_flight::InFlight;
pub use least_reported::LeastReported;
pub use round_robin::RoundRobin;
pub use variant::Variant;

use crate::model::{EndpointKind, Timestamp};

/// The software versions among which an attempt chooses its endpoint.
///
/// What two versions write, and their KV cache, does not fit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Software<'a> {
    /// All versions.
    Any,
    /// Versions of which an endpoint of this kind takes work too, to exchange KV cache with; all
    /// versions if there is no such endpoint at all.
    With(EndpointKind),
    /// One version: the one that began the answer or made the KV cache.
    Only(&'a str),
}

/// The requirements of an attempt on its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// The kind of endpoint.
    pub kind: EndpointKind,
    /// The name of the model or service.
    pub pool: &'a str,
    /// Names of the endpoints at which an attempt of this call failed or was refused.
    pub tried: &'a [Box<str>],
    /// Tokens of the prompt, plus the maximum answer length at a decode endpoint; 1 for a service.
    pub tokens: u32,
    /// The failure domain of the call's latest failed attempt, to be avoided.
    pub avoid: Option<&'a str>,
    /// The hash of the start of the prompt; `None` unless a prefill endpoint is chosen.
    pub prefix: Option<u64>,
    /// The software versions that the endpoint may have.
    pub software: Software<'a>,
}

/// How an entry handles calls, apart from the choice of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether decode capacity is reserved before the prefill.
    pub reserve_first: bool,
    /// Whether calls to models queue in the entry and are refused once they can't meet their
    /// target.
    pub admission: bool,
    /// Whether another decode endpoint is tried while the export is available.
    pub fallback: bool,
    /// Whether failing endpoints are ejected.
    pub health: bool,
    /// Whether retries are limited by a budget.
    pub budget: bool,
}

impl Policy {
    /// Reserves decode capacity before the prefill; everything else is off.
    pub const PLAIN: Policy = Policy {
        reserve_first: true,
        admission: false,
        fallback: false,
        health: false,
        budget: false,
    };
}

/// A strategy for choosing endpoints.
pub trait Placement {
    /// Returns the endpoint for an attempt; `None` if no endpoint is suitable.
    fn choose(&mut self, now: Timestamp, need: &Need<'_>, fleet: &Fleet) -> Option<EndpointKey>;

    /// Returns the policy that goes with this strategy.
    fn policy(&self) -> Policy {
        Policy::PLAIN
    }

    /// Records that a prompt with this prefix hash was sent to a prefill endpoint.
    fn prefill_sent(&mut self, _now: Timestamp, _prefix: u64, _endpoint: EndpointKey) {}
}
