//! Client accounts: their keys, priorities and quotas.
//!
//! Keys are kept as SHA-256 digests. A lookup compares digests, so that its time says nothing about
//! how much of a guessed key is right.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::TableError;

/// The index of a client account in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountKey(u32);

/// The unit in which the requests of a client account count against its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens of its prompt and the most tokens of its answer.
    Tokens {
        /// The tokens of a request that doesn't say how many it needs.
        default: u32,
    },
}

/// The limit on the requests of a client account, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Thousandths of a unit per second; more than 0.
    pub rate: u64,
    /// Thousandths of a unit that may be used at once after a pause.
    pub burst: u64,
    /// The unit of both.
    pub unit: QuotaUnit,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The name under which endpoints and operators know it.
    pub name: Box<str>,
    /// The priority of its calls, which is compared before that of their routes; 0 is the most
    /// urgent.
    pub priority: Option<u8>,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
}

/// The tokens a second of an account without a quota, for its share of scarce capacity: between the
/// quotas that are usual.
pub const DEFAULT_WEIGHT: u32 = 100_000;
/// The tokens of a usual request, for quotas that count requests.
const USUAL_TOKENS: u64 = 3_200;

impl Account {
    /// Returns the tokens a second that the account is entitled to, which weigh its share of scarce
    /// capacity.
    ///
    /// ```
    /// use dotterelpin::routes::accounts::{Account, DEFAULT_WEIGHT, Quota, QuotaUnit};
    ///
    /// let quota = |unit| Some(Quota { rate: 50_000_000, burst: 0, unit });
    /// let account = |quota| Account { name: "a".into(), priority: None, quota };
    /// assert_eq!(account(quota(QuotaUnit::Tokens { default: 200 })).weight(), 50_000);
    /// assert_eq!(account(None).weight(), DEFAULT_WEIGHT);
    /// ```
    pub fn weight(&self) -> u32 {
        let Some(quota) = self.quota else { return DEFAULT_WEIGHT };
        let tokens = match quota.unit {
            QuotaUnit::Requests => quota.rate.saturating_mul(USUAL_TOKENS) / 1_000,
            QuotaUnit::Tokens { .. } => quota.rate / 1_000,
        };
        u32::try_from(tokens).unwrap_or(u32::MAX).max(1)
    }
}

/// A client account before validation.
#[derive(Debug, Clone, PartialEq)]
pub struct RawAccount {
    /// The name under which endpoints and operators know it.
    pub name: String,
    /// The keys of its callers.
    pub keys: Vec<String>,
    /// The priority of its calls, which is compared before that of their routes.
    pub priority: Option<u64>,
    /// Units per second; 0 for no quota.
    pub rate: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// The unit of both.
    pub unit: QuotaUnit,
}

impl RawAccount {
    /// Returns a client account for examples and tests.
    pub fn example() -> RawAccount {
        RawAccount {
            name: "city".into(),
            keys: vec!["secret".into()],
            priority: None,
            rate: 0.0,
            burst: 0.0,
            unit: QuotaUnit::Requests,
        }
    }
}

/// The SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// The client accounts of a routing table.
///
/// ```
/// use dotterelpin::routes::accounts::{Accounts, RawAccount};
///
/// let accounts = Accounts::try_from(vec![RawAccount::example()]).unwrap();
/// let key = accounts.find(b"secret").unwrap();
/// assert_eq!(&*accounts.get(key).unwrap().name, "city");
/// assert_eq!(accounts.find(b"guess"), None);
/// ```
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Accounts {
    list: Vec<Account>,
    keys: BTreeMap<KeyDigest, AccountKey>,
    /// The indices of the accounts by their names.
    names: BTreeMap<Box<str>, u32>,
}

impl Accounts {
    /// Returns whether the table has no client accounts, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the client account that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<AccountKey> {
        self.keys.get(&digest(key)).copied()
    }

    /// Returns the client account with an index of this table.
    pub fn get(&self, key: AccountKey) -> Option<&Account> {
        self.list.get(key.0 as usize)
    }

    /// Returns the client account with a name; the first one, if several have it.
    pub fn named(&self, name: &str) -> Option<&Account> {
        let index = self.names.get(name)?;
        self.list.get(*index as usize)
    }

    /// Returns all client accounts with their indices, in the order of the table.
    pub fn iter(&self) -> impl Iterator<Item = (AccountKey, &Account)> {
        self.list.iter().enumerate().map(|(index, account)| (AccountKey(index as u32), account))
    }
}

impl TryFrom<Vec<RawAccount>> for Accounts {
    type Error = TableError;

    fn try_from(raw: Vec<RawAccount>) -> Result<Accounts, TableError> {
        let mut accounts = Accounts::default();
        for account in raw {
            let index = AccountKey(accounts.list.len() as u32);
            let name: Box<str> = account.name.as_str().into();
            if !is_field_value(&name) {
                return Err(TableError::BadAccount { index: index.0 });
            }
            for key in account.keys.iter().filter(|key| !key.is_empty()) {
                let holder = *accounts.keys.entry(digest(key.as_bytes())).or_insert(index);
                if holder != index {
                    return Err(TableError::SharedKey { account: name });
                }
            }
            accounts.names.entry(name.clone()).or_insert(index.0);
            accounts.list.push(Account {
                name,
                priority: account.priority.map(|p| u8::try_from(p).unwrap_or(u8::MAX)),
                quota: checked_quota(&account),
            });
        }
        Ok(accounts)
    }
}

fn digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

/// Returns whether a name can stand in a header field as it is.
fn is_field_value(name: &str) -> bool {
    let bytes = name.as_bytes();
    !bytes.is_empty() && bytes.trim_ascii() == bytes && !bytes.iter().any(u8::is_ascii_control)
}

/// The largest rate and burst, in units; larger ones count as this one.
const MAX_UNITS: f64 = 1e12;

fn checked_quota(raw: &RawAccount) -> Option<Quota> {
    let rate = thousandths(raw.rate);
    (rate > 0).then(|| Quota { rate, burst: thousandths(raw.burst), unit: raw.unit })
}

fn thousandths(units: f64) -> u64 {
    // A negative number and one that is not a number become 0.
    (units.min(MAX_UNITS) * 1_000.0) as u64
}
