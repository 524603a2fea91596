//! The filter `place`: which endpoint takes an attempt.

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

/// What an attempt needs.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// What the endpoint must do.
    pub kind: EndpointKind,
    /// The model or the service.
    pub pool: &'a str,
    /// Endpoints that this call has tried.
    pub tried: &'a [Box<str>],
    /// Tokens of the prompt, and of the longest answer at a decode endpoint.
    pub tokens: u32,
    /// The failure domain in which an attempt of the call failed.
    pub avoid: Option<&'a str>,
    /// The hash of the start of the prompt.
    pub prefix: Option<u64>,
}

/// Which decisions an entry takes beside the choice of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether decode room is reserved before the prefill.
    pub reserve_first: bool,
    /// Whether calls to models queue in the entry, and are refused once they can't be in time.
    pub admission: bool,
    /// Whether another decode endpoint is tried while the export lives.
    pub fallback: bool,
    /// Whether failing endpoints are ejected.
    pub health: bool,
    /// Whether retries have a budget.
    pub budget: bool,
}

impl Policy {
    /// Reserves decode room first and decides nothing else.
    pub const PLAIN: Policy = Policy {
        reserve_first: true,
        admission: false,
        fallback: false,
        health: false,
        budget: false,
    };
}

/// Chooses endpoints.
pub trait Placement {
    /// Returns the endpoint for an attempt, if there is one.
    fn choose(&mut self, now: Timestamp, need: &Need<'_>, fleet: &Fleet) -> Option<EndpointKey>;

    /// Returns the decisions that go with this choice.
    fn policy(&self) -> Policy {
        Policy::PLAIN
    }

    /// Takes note that a prompt went to a prefill endpoint.
    fn prefilled(&mut self, _now: Timestamp, _prefix: u64, _endpoint: EndpointKey) {}
}
