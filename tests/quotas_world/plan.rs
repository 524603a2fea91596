//! What happens in a run of the model.

use super::Fault;

/// An account of a schedule.
#[derive(Debug, Clone)]
pub struct AccountPlan {
    /// Tokens per second.
    pub rate: u64,
    /// The most tokens at once.
    pub burst: u64,
    /// The demand in percent of the rate.
    pub demand: u64,
    /// Whether all its calls are plain ones.
    pub plain: bool,
    /// The only gateway that its callers use, if there is one.
    pub at: Option<usize>,
}

/// What happens in one run of the model.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed of all delays and draws.
    pub seed: u64,
    /// The number of gateways.
    pub gateways: usize,
    /// The accounts.
    pub accounts: Vec<AccountPlan>,
    /// What happens when, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// The percentage of admitted calls that are refused before they run.
    pub refused: u64,
    /// The percentage of messages that take up to 90 ms longer.
    pub stalls: u64,
    /// How long the run lasts, in milliseconds.
    pub length: u64,
}

/// A call that was sent and has run.
#[derive(Debug, Clone, Copy)]
pub struct Use {
    /// When it was admitted, in microseconds.
    pub at: u64,
    /// Its tokens.
    pub tokens: u64,
}
