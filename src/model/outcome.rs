//! Terminal outcomes that are delivered to callers.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Ran {
    /// No attempt has run: each one was refused before its start or never reached the endpoint.
    No,
    /// An attempt may have run.
    Maybe,
    /// The request ran.
    Yes,
}

impl Ran {
    /// Returns the text of the `x-dotterelpin-ran` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Maybe => "maybe",
            Ran::Yes => "yes",
        }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The call itself is invalid.
    BadCall,
    /// No credential, or an unknown one.
    Unauthorized,
    /// No endpoint of the pool is known or can serve the call at present.
    NoEndpoint,
    /// The queue or the endpoint is at capacity, or a prefill can't be complete in time.
    Full,
    /// The deadline can't be met.
    Deadline,
    /// The process is shutting down, or the endpoint is draining.
    Draining,
    /// The process has no confirmed configuration, or the agent no confirmed orders.
    NoConfig,
    /// Control can't be reached or has no quorum.
    NoQuorum,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The request with this idempotency key was answered, but the answer was too large to store.
    Answered,
    /// The tenant's limit is reached.
    Limit,
    /// The same content is quarantined because it crashed endpoints before.
    Quarantined,
    /// The endpoint failed, or its agent was lost or can't be reached.
    EndpointFailed,
    /// The request is out of date: the agent has restarted, the reservation has expired, the
    /// attempt was received or settled before, or another call with the key was answered.
    Stale,
    /// Nothing is served at the path.
    UnknownPath,
    /// The path does not support the method.
    BadMethod,
    /// The content is too large.
    TooLarge,
    /// The caller sends or reads too slowly.
    SlowCaller,
    /// The process has reached its limit of open calls.
    TooManyCalls,
}

impl RefusalReason {
    /// Returns the name in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::BadCall => "bad-call",
            RefusalReason::Unauthorized => "unauthorized",
            RefusalReason::NoEndpoint => "no-endpoint",
            RefusalReason::Full => "full",
            RefusalReason::Deadline => "deadline",
            RefusalReason::Draining => "draining",
            RefusalReason::NoConfig => "no-config",
            RefusalReason::NoQuorum => "no-quorum",
            RefusalReason::InProgress => "in-progress",
            RefusalReason::KeyReused => "key-reused",
            RefusalReason::Answered => "answered",
            RefusalReason::Limit => "limit",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::EndpointFailed => "endpoint-failed",
            RefusalReason::Stale => "stale",
            RefusalReason::UnknownPath => "unknown-path",
            RefusalReason::BadMethod => "bad-method",
            RefusalReason::TooLarge => "too-large",
            RefusalReason::SlowCaller => "slow-caller",
            RefusalReason::TooManyCalls => "too-many-calls",
        }
    }

    /// Returns whether the reason lies in the call itself, so that a call with this content can't
    /// have run under its key.
    pub fn is_about_content(self) -> bool {
        matches!(
            self,
            RefusalReason::BadCall
                | RefusalReason::UnknownPath
                | RefusalReason::BadMethod
                | RefusalReason::TooLarge
                | RefusalReason::KeyReused
        )
    }

    /// Returns the HTTP status for the reason.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::BadCall => 400,
            RefusalReason::Unauthorized => 401,
            RefusalReason::UnknownPath => 404,
            RefusalReason::BadMethod => 405,
            RefusalReason::SlowCaller => 408,
            RefusalReason::InProgress | RefusalReason::Answered => 409,
            RefusalReason::TooLarge => 413,
            RefusalReason::KeyReused => 422,
            RefusalReason::Limit => 429,
            RefusalReason::EndpointFailed => 502,
            _ => 503,
        }
    }
}

/// A refusal, which is delivered to the caller at once and states whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// What is known about whether the request ran.
    pub ran: Ran,
    /// The delay after which the caller may try again.
    pub retry: Duration,
    /// Further details as text for people.
    pub detail: Box<str>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, retry: Duration, detail: impl Into<Box<str>>) -> Refusal {
        Refusal { reason, ran: Ran::No, retry, detail: detail.into() }
    }

    /// Marks the request as one that may have run if an earlier call with its idempotency key may
    /// have run (`key_open`). A call that is invalid itself has never run and stays unmarked.
    pub fn with_open_key(mut self, key_open: bool) -> Refusal {
        if key_open && !self.reason.is_about_content() {
            self.ran = self.ran.max(Ran::Maybe);
        }
        self
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(
        reason: RefusalReason,
        retry: Duration,
        detail: impl Into<Box<str>>,
    ) -> Refusal {
        Refusal { reason, ran: Ran::Maybe, retry, detail: detail.into() }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (ran: {}): {}", self.reason.as_str(), self.ran.as_str(), self.detail)
    }
}
