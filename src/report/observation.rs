//! Events that roles report, which their drivers count in metrics.

use std::time::Duration;

use crate::model::{Class, RefusalReason};

/// An event to be counted, which a role returns as [`crate::role::Output::Observe`].
///
/// To add one, add a variant, push it to the outputs of a step, and count it in
/// [`crate::report::metrics::Metrics::observe`].
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// A call has reached its terminal outcome, or its caller has disconnected.
    Call(Box<CallSummary>),
    /// A request was refused by the checks on arrival, which include the tenant's limit; only the
    /// reason is counted.
    Refused(RefusalReason),
    /// A call of a gateway has ended.
    Gateway(Box<GatewayEnd>),
    /// A call of a gateway has ended without a complete answer.
    Unanswered {
        /// The name of its service.
        service: Box<str>,
        /// Why, as in logs.
        why: &'static str,
        /// Whether it was late, as the return of a refused caller is.
        late: bool,
    },
    /// A gateway has sent a request to an endpoint as part of a call: a prefill, a run or a call to
    /// a plain service.
    Send {
        /// The name of the call's service.
        service: Box<str>,
        /// Whether the call needed it anyway or repeats something.
        order: SendOrder,
    },
    /// A gateway has sent a request of a call to an endpoint, within its failure domain or outside.
    Crossing {
        /// The name of the call's service.
        service: Box<str>,
        /// Whether the endpoint is in the gateway's domain.
        local: bool,
    },
    /// A gateway has decided whether a retry is within the retry budget.
    Charge {
        /// The name of the service whose budget it is.
        service: Box<str>,
        /// What was decided.
        outcome: ChargeOutcome,
        /// How many retries it is counted as.
        cost: u32,
    },
    /// An endpoint has said to a gateway that it leaves.
    Leaving {
        /// The name of its service.
        service: Box<str>,
    },
    /// An endpoint has requested a backoff of a gateway.
    Backoff {
        /// The name of its service.
        service: Box<str>,
    },
    /// An endpoint has changed the number of requests that it takes, in an answer to a gateway.
    Limit {
        /// The name of its service.
        service: Box<str>,
    },
    /// A gateway has seen an endpoint crash under its runs.
    Crash {
        /// The name of its service.
        service: Box<str>,
        /// How many runs of the gateway ended with it.
        runs: usize,
    },
    /// The lease of a reservation at an agent has expired.
    LeaseLapsed,
    /// The contents of a control member's registry.
    Registry {
        /// The number of live processes.
        processes: usize,
        /// The number of live endpoints.
        endpoints: usize,
    },
    /// Whether a process hears a majority of control's voters.
    Majority {
        /// The time since the last proof of a majority.
        age: Duration,
        /// How often it has lost the majority since the last observation.
        losses: usize,
    },
    /// The contents of a control member's quarantine.
    Quarantine {
        /// The number of causes in it.
        causes: usize,
    },
    /// An engine has processed the prompt of a call for a gateway without use.
    PromptWasted {
        /// Why it was of no use.
        cause: WasteCause,
        /// The tokens of the prompt.
        tokens: u32,
    },
    /// A gateway has refused or ended a call because of what it holds.
    Quarantined {
        /// The name of the call's service.
        service: Box<str>,
    },
    /// A gateway has decided whether a call of a client account is within the account's quota.
    Quota {
        /// The name of the account.
        account: Box<str>,
        /// What was decided.
        outcome: QuotaOutcome,
    },
    /// A control member has received origins of streams.
    Origins {
        /// The number of new ones among them.
        recorded: usize,
        /// The number that the member keeps now.
        held: usize,
    },
}

/// Whether a request of a call to an endpoint repeats an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOrder {
    /// It is the first one of its call, or the run that follows its first answered prefill.
    First,
    /// It is any other one: a prefill or a run that is sent again.
    Repeat,
}

impl SendOrder {
    /// Returns the name in metrics.
    ///
    /// ```
    /// use dotterelpin::report::observation::SendOrder;
    ///
    /// assert_eq!(SendOrder::Repeat.as_str(), "repeat");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            SendOrder::First => "first",
            SendOrder::Repeat => "repeat",
        }
    }
}

/// Why an engine has processed a prompt without use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WasteCause {
    /// The caller has left.
    CallerGone,
    /// The connection broke, and the call ended or began again.
    Crash,
    /// The export was refused after the time for which its engine keeps it.
    ExpiredHandle,
    /// No decode endpoint took the export.
    NoDecodeCapacity,
    /// The connection broke within a stream, which went on at another engine.
    ResumedElsewhere,
    /// The engine didn't answer, or not go on, in time.
    Silent,
    /// The engine answered with an error.
    Failed,
    /// The call reached its deadline.
    Deadline,
    /// The gateway shut down.
    ShuttingDown,
    /// The call has content that crashes engines.
    Quarantined,
}

impl WasteCause {
    /// Returns the name in metrics.
    ///
    /// ```
    /// use dotterelpin::report::observation::WasteCause;
    ///
    /// assert_eq!(WasteCause::CallerGone.as_str(), "caller-gone");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            WasteCause::CallerGone => "caller-gone",
            WasteCause::Crash => "crash",
            WasteCause::ExpiredHandle => "expired-handle",
            WasteCause::NoDecodeCapacity => "no-decode-capacity",
            WasteCause::ResumedElsewhere => "resumed-elsewhere",
            WasteCause::Silent => "silent",
            WasteCause::Failed => "failed",
            WasteCause::Deadline => "deadline",
            WasteCause::ShuttingDown => "shutting-down",
            WasteCause::Quarantined => "quarantined",
        }
    }
}

/// What a gateway has decided about a retry and the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// It is within the budget and was charged.
    Charged,
    /// The budget is spent; the call is not retried.
    Spent,
    /// It is not charged, because the failed attempt did not reach its endpoint.
    Free,
}

impl ChargeOutcome {
    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use dotterelpin::report::observation::ChargeOutcome;
    ///
    /// assert_eq!(ChargeOutcome::Spent.as_str(), "spent");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            ChargeOutcome::Charged => "charged",
            ChargeOutcome::Spent => "spent",
            ChargeOutcome::Free => "free",
        }
    }
}

/// What a gateway has decided about a call and the quota of its client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// It was paid from credit taken in advance.
    Local,
    /// The leader granted its credit while it waited.
    Granted,
    /// There was no leader; it was paid from the gateway's part of the limit.
    Alone,
    /// The quota was used up.
    Refused,
    /// It costs more than the account may ever use at once.
    TooLarge,
}

impl QuotaOutcome {
    /// Returns the name in metrics and logs.
    ///
    /// ```
    /// use dotterelpin::report::observation::QuotaOutcome;
    ///
    /// assert_eq!(QuotaOutcome::Local.as_str(), "local");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            QuotaOutcome::Local => "local",
            QuotaOutcome::Granted => "granted",
            QuotaOutcome::Alone => "alone",
            QuotaOutcome::Refused => "refused",
            QuotaOutcome::TooLarge => "too-large",
        }
    }
}

/// The outcome and timing of a gateway's call.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayEnd {
    /// The name of its route.
    pub route: Box<str>,
    /// The HTTP status that the caller received; 0 if the answer was broken off.
    pub status: u16,
    /// The time from its arrival to the answer or its first event, if there was one.
    pub first: Option<Duration>,
    /// The time from its arrival to its end.
    pub total: Duration,
}

/// The outcome and timing of an entry's call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallSummary {
    /// The tenant of the caller.
    pub tenant: Box<str>,
    /// The class of the call.
    pub class: Class,
    /// The outcome of the call.
    pub end: CallEnd,
    /// The time from its arrival to the start of its first attempt, if one was started.
    pub queued: Option<Duration>,
    /// The time from its arrival to its first token, if there was one.
    pub first_token: Option<Duration>,
    /// The mean time between its tokens, if there were at least two.
    pub token_time: Option<Duration>,
    /// The time from its arrival to its end.
    pub total: Duration,
    /// Whether it was answered within its targets.
    pub in_time: bool,
    /// The number of prefills that were started for it.
    pub prefills: u32,
    /// The number of prefills whose result was not used.
    pub wasted: u32,
}

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The complete answer was delivered to the caller.
    Answered,
    /// It was refused or failed.
    Refused(RefusalReason),
    /// The caller disconnected before the outcome.
    CallerGone,
}

impl CallEnd {
    /// Returns the name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::Refused(_) => "refused",
            CallEnd::CallerGone => "caller-gone",
        }
    }
}
