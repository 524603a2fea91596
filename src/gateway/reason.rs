//! Why a call ends without a complete answer, as it is logged.

/// Why a call ends without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Its deadline has passed.
    Deadline,
    /// Its last attempt may have run, and its route allows no repeat.
    NotRepeatable,
    /// It has used the attempts of its route.
    AttemptsSpent,
    /// Too little time is left for a retry.
    NoTime,
    /// The retry budget is spent.
    BudgetSpent,
    /// No other endpoint has capacity for a retry at this moment.
    NoCapacity,
    /// It has waited for capacity as long as it may.
    WaitExpired,
    /// It was not expected to start in time.
    NotAdmitted,
    /// It resumes a stream of which it is not known which software version began it.
    UnknownOrigin,
    /// All endpoints for it have requested a backoff.
    BackingOff,
    /// It holds what has crashed endpoints.
    Quarantined,
    /// The endpoint that was chosen for it is gone, or its service has none.
    NoEndpoint,
    /// The quota of its client account is used up, or never allows it.
    OverQuota,
    /// It can't end before this process does.
    ShuttingDown,
}

impl EndReason {
    /// Returns the text for logs.
    pub fn text(self) -> &'static str {
        match self {
            EndReason::Deadline => "deadline",
            EndReason::NotRepeatable => "no repeat allowed",
            EndReason::AttemptsSpent => "attempts spent",
            EndReason::NoTime => "no time for a retry",
            EndReason::BudgetSpent => "retry budget spent",
            EndReason::NoCapacity => "no endpoint for a retry",
            EndReason::WaitExpired => "no capacity in time",
            EndReason::NotAdmitted => "not expected to start in time",
            EndReason::UnknownOrigin => "unknown origin",
            EndReason::BackingOff => "all endpoints back off",
            EndReason::Quarantined => "quarantined",
            EndReason::NoEndpoint => "no endpoint",
            EndReason::OverQuota => "over the quota",
            EndReason::ShuttingDown => "shutting down",
        }
    }
}
