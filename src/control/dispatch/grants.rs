//! Requests of gateways for credit of client accounts, and what the leader grants.

use serde::{Deserialize, Serialize};

use super::bucket::AccountLimit;
use crate::model::{BootId, Timestamp};

/// A gateway's request for credit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditsRequest {
    /// Identifies the start of the gateway.
    pub owner: BootId,
    /// The number of the request among those of the gateway; an older one is not answered.
    pub number: u64,
    /// The accounts that it is for.
    pub accounts: Vec<AccountRequest>,
}

/// A request for credit of one account, in thousandths of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AccountRequest {
    /// The name of the account.
    pub account: Box<str>,
    /// The limit by the routing table of the gateway.
    pub limit: AccountLimit,
    /// The credit that the gateway still holds.
    pub held: u64,
    /// The costs of the calls that wait.
    pub needed: Vec<u64>,
    /// The credit wanted in advance.
    pub ahead: u64,
    /// The credit of calls that have not run.
    pub returned: u64,
    /// The stamp of the reply that granted the returned credit.
    pub stamp: Timestamp,
    /// What the gateway has used above its part of the limit while there was no leader.
    pub debt: u64,
}

/// The credit that is granted to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CreditsReply {
    /// When it was granted, by the clock of the leader.
    pub stamp: Timestamp,
    /// The grants, in the order of the accounts of the request.
    pub grants: Vec<AccountGrant>,
}

/// The credit of one account that is granted to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountGrant {
    /// The name of the account.
    pub account: Box<str>,
    /// Whether each call that waits has got its credit.
    pub paid: Vec<bool>,
    /// The credit granted in advance.
    pub ahead: u64,
    /// The level of the bucket after that.
    pub level: i64,
}

/// The use of an account as operators see it, in thousandths of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUse {
    /// The name of the account.
    pub account: Box<str>,
    /// Its limit.
    pub limit: AccountLimit,
    /// The level of its bucket.
    pub level: i64,
    /// The credit that gateways hold.
    pub held: u64,
    /// The number of gateways that hold some.
    pub gateways: u32,
}
