//! Types that all roles share: time, identifiers, calls, endpoints and outcomes.

pub mod call;
pub mod endpoint;
pub mod id;
pub mod outcome;
pub mod rank;
pub mod time;
pub mod turns;

pub use call::{Body, Call, CallKind, Class};
pub use endpoint::{Announcement, Capacity, EndpointKind, EndpointState, Load};
pub use id::{BootId, CallId, ExchangeId, Fence, InboundId, RequestId, Revision};
pub use outcome::{Ran, Refusal, RefusalReason};
pub use rank::Rank;
pub use time::Timestamp;
pub use turns::Turns;
