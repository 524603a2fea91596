//! What is decided for calls of client accounts with a quota.

use std::time::Duration;

use crate::control::dispatch::credits::AccountGrant;
use crate::model::Timestamp;

/// The credit that a call has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// The amount.
    pub amount: u64,
    /// The stamp of the leader's reply that granted it; `None` for the gateway's own part of the
    /// limit.
    pub stamp: Option<Timestamp>,
}

/// What is decided for a call of an account with a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be admitted.
    Paid(Charge),
    /// It waits for credit.
    Waits,
    /// The quota is used up; there is room for it after this time.
    Refused(Duration),
    /// It costs more than the account may ever use at once.
    TooLarge,
}

/// What a gateway knows of control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// Whether a majority of control's voters was heard lately.
    pub majority: bool,
    /// The number of gateways.
    pub gateways: u32,
}

/// Returns the decision on a call by a grant; `index` is its place among those of the request.
pub(super) fn is_paid(grant: &AccountGrant, index: usize) -> bool {
    grant.paid.get(index).copied().unwrap_or(false)
}
