//! What roles observe, for the shell to count.

use std::time::Duration;

use crate::model::{Class, RefusalReason};

/// Something that a role has observed; it goes out as [`crate::role::Output::Observe`].
///
/// To add one, add a variant, push it to the outputs of a step, and count it in
/// [`crate::report::metrics::Metrics::observe`].
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// A call has its terminal outcome, or its caller is gone.
    Call(Box<CallSummary>),
    /// A call was refused before it was known whose it is, or whether it is one.
    Refused(RefusalReason),
    /// A call of a gateway has ended.
    Gateway(Box<GatewayEnd>),
    /// A hold lapsed at an agent.
    LeaseLapsed,
    /// What a control member's registry holds.
    Registry {
        /// Live processes.
        processes: usize,
        /// Live endpoints.
        endpoints: usize,
    },
}

/// How a call of a gateway went.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayEnd {
    /// Its route.
    pub route: Box<str>,
    /// The status that the caller got; 0 if the answer was broken off.
    pub status: u16,
    /// From its arrival to the answer or its first event, if there was one.
    pub first: Option<Duration>,
    /// From its arrival to its end.
    pub total: Duration,
}

/// How a call went.
#[derive(Debug, Clone, PartialEq)]
pub struct CallSummary {
    /// Whose it was.
    pub tenant: Box<str>,
    /// Its class.
    pub class: Class,
    /// How it ended.
    pub end: CallEnd,
    /// From its arrival to the start of its first attempt, if it was started.
    pub queued: Option<Duration>,
    /// From its arrival to its first token, if one came.
    pub first_token: Option<Duration>,
    /// The mean time between its tokens, if there were two.
    pub token_time: Option<Duration>,
    /// From its arrival to its end.
    pub total: Duration,
    /// Whether it was answered within its targets.
    pub in_time: bool,
    /// Prefills that were begun for it.
    pub prefills: u32,
    /// Prefills whose result came to nothing.
    pub wasted: u32,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer was told.
    Answered,
    /// It was refused or failed.
    Refused(RefusalReason),
    /// The caller was gone first.
    CallerGone,
}

impl CallEnd {
    /// Returns the name that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::Refused(_) => "refused",
            CallEnd::CallerGone => "caller-gone",
        }
    }
}
