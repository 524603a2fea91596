//! The origins of streams: which software version of a service's endpoints began which stream.
//!
//! What two software versions of an endpoint write does not fit together, so a stream goes on only at the
//! version that began it, at this gateway or at another one. While a service has several versions, gateways
//! tell all control members which version began which stream, and ask them about a stream that they do not
//! know. A stream of unknown origin is refused unless its service has had only one version for longer than
//! a stream lasts.

mod proof;
mod record;
mod search;
mod unproven;
pub mod versions;

pub(in crate::gateway) use search::{OriginAnswer, OriginRequest};
pub(in crate::gateway) use unproven::Unproven;
