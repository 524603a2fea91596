//! The filter `place`: which endpoint takes an attempt.

mod round_robin;

use std::collections::BTreeMap;

pub use round_robin::RoundRobin;

use crate::model::{EndpointKind, EndpointState};

/// What an attempt needs.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// What the endpoint must do.
    pub kind: EndpointKind,
    /// The model or the service.
    pub pool: &'a str,
    /// Endpoints that this call has tried.
    pub tried: &'a [Box<str>],
}

/// Chooses endpoints.
pub trait Placement {
    /// Returns the endpoint for an attempt, if there is one.
    fn choose<'a>(
        &mut self,
        need: Need<'_>,
        endpoints: &'a BTreeMap<Box<str>, EndpointState>,
    ) -> Option<&'a EndpointState>;
}

/// Returns whether an endpoint can take what is needed.
pub fn fits(need: &Need<'_>, endpoint: &EndpointState) -> bool {
    endpoint.kind == need.kind
        && *endpoint.pool == *need.pool
        && !endpoint.draining
        && !need.tried.contains(&endpoint.name)
}
