//! Credit that the leader grants to gateways for requests of client accounts with a quota.
//!
//! Made for accounts whose callers use any number of gateways unevenly: one bucket for each account
//! at the leader, so that the limit holds over all gateways and is usable at one of them. Gateways
//! hold credit in advance for a short time. The level of a bucket and the credit that gateways hold
//! never exceed the size of the bucket together, so in each window of W seconds gateways use at most
//! `rate` x W + `size`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub use super::bucket::AccountLimit;
use super::bucket::{TokenBucket, signed, unsigned};
pub use super::grants::{AccountGrant, AccountRequest, AccountUse, CreditsReply, CreditsRequest};
use crate::model::{BootId, Timestamp};

/// How long a gateway may use credit after it has sent the request for it.
pub const CREDIT_TTL: Duration = Duration::from_millis(1_000);
/// How long credit for a waiting call may be unused: a gateway doesn't use that of later replies. A
/// bucket that was full is not refilled before, so it is short.
pub const PAID_TTL: Duration = Duration::from_millis(100);
/// How long the previous leader may still have granted credit after this one began to lead: the lease
/// of a leader less the shortest time without one before an election, and the way of an answer.
const OVERLAP: Duration = Duration::from_millis(500);
/// How long credit of the previous leader may still be held after this one began to lead.
const SETTLE_TIME: Duration = Duration::from_millis(1_600);
/// After which time without a heartbeat a gateway may use its part of the limits by itself soon.
const HEARD_TIME: Duration = Duration::from_millis(1_200);
/// How long the part of a gateway that is not heard is kept for it.
const KEPT_TIME: Duration = Duration::from_secs(10);
/// How long an account without requests is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// The part of a bucket that gateways may hold in advance, all together.
const AHEAD_DIVISOR: u64 = 2;
/// The part of a bucket that credit in advance leaves for calls that wait.
const RESERVE_DIVISOR: u64 = 4;

/// Since when a member leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Leading {
    /// Its term.
    pub term: u64,
    /// When the term began.
    pub since: Timestamp,
}

/// Credit that a gateway may hold.
#[derive(Debug, Clone, Copy, Default)]
struct Holding {
    ahead: u64,
    ahead_until: Timestamp,
    /// Credit of calls that were waiting, until it has surely been used.
    paid: u64,
    paid_until: Timestamp,
}

/// Credit that a gateway may hold until a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Part {
    until: Timestamp,
    amount: u64,
    paid: bool,
}

impl Holding {
    fn expire(&mut self, now: Timestamp) {
        if self.ahead_until <= now {
            self.ahead = 0;
        }
        if self.paid_until <= now {
            self.paid = 0;
        }
    }

    fn total(&self) -> u64 {
        self.ahead + self.paid
    }

    /// Returns both kinds of credit with the times until which they may be used.
    fn parts(&self) -> [Part; 2] {
        [
            Part { until: self.ahead_until, amount: self.ahead, paid: false },
            Part { until: self.paid_until, amount: self.paid, paid: true },
        ]
    }
}

/// The bucket of an account and the credit of it that gateways hold.
#[derive(Debug)]
struct Account {
    limit: AccountLimit,
    bucket: TokenBucket,
    holdings: BTreeMap<BootId, Holding>,
    /// The highest sums of level and credit in advance, by time; without that of calls that were
    /// waiting, since some of it may be returned.
    peaks: VecDeque<(Timestamp, i64)>,
    used: Timestamp,
}

impl Account {
    fn new(leading: Leading, limit: AccountLimit) -> Account {
        let overlap = u128::from(limit.rate) * OVERLAP.as_millis() / 1_000;
        let level = -i64::try_from(overlap).unwrap_or(i64::MAX);
        let bucket = TokenBucket::new(leading.since, level);
        let holdings = BTreeMap::new();
        Account { limit, bucket, holdings, peaks: VecDeque::new(), used: leading.since }
    }

    fn held(&self) -> u64 {
        self.holdings.values().map(Holding::total).sum()
    }

    /// Returns the highest level beside held credit. Credit of the previous leader may be held for a
    /// while.
    fn cap(&self, now: Timestamp, leading: Leading, held: u64) -> i64 {
        let settles = now < leading.since + SETTLE_TIME;
        let unknown = if settles { self.limit.size / AHEAD_DIVISOR } else { 0 };
        signed(self.limit.size - unknown).saturating_sub(signed(held))
    }

    /// Refills the bucket with a rate, and removes credit that can't be used any more; from the time
    /// of its expiry on, the bucket has room for as much.
    fn refresh(&mut self, now: Timestamp, leading: Leading, rate: u64) {
        let parts = self.holdings.values().flat_map(Holding::parts);
        let mut ended: Vec<Part> = parts.filter(|part| part.until <= now).collect();
        ended.sort_unstable();
        let mut held = self.held_parts();
        for part in ended {
            self.refill(part.until, leading, rate, held);
            match part.paid {
                true => held.1 -= part.amount,
                false => held.0 -= part.amount,
            }
        }
        self.refill(now, leading, rate, held);
        self.holdings.retain(|_, holding| {
            holding.expire(now);
            holding.total() > 0
        });
    }

    /// Returns the credit that is held in advance, and that of calls that were waiting.
    fn held_parts(&self) -> (u64, u64) {
        let each = self.holdings.values().map(|holding| (holding.ahead, holding.paid));
        each.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
    }

    /// Refills the bucket up to a time until which so much credit is held.
    fn refill(&mut self, at: Timestamp, leading: Leading, rate: u64, (ahead, paid): (u64, u64)) {
        self.bucket.refill(at, rate, self.cap(at, leading, ahead + paid));
        let sum = self.bucket.level.saturating_add(signed(ahead));
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= sum) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((at, sum));
        while self.peaks.front().is_some_and(|(first, _)| at - *first > CREDIT_TTL) {
            self.peaks.pop_front();
        }
    }

    /// Takes back credit that was granted at a time: what a bucket that had never granted it would
    /// have kept, since a full bucket loses what is added.
    fn take_back(&mut self, now: Timestamp, stamp: Timestamp, amount: u64) {
        if amount == 0 || now - stamp > CREDIT_TTL {
            return;
        }
        let sum = self.bucket.level.saturating_add(signed(self.held_parts().0));
        let since = |(at, _): &&mut (Timestamp, i64)| *at > stamp && *at < now;
        let peak = self.peaks.iter_mut().filter(since).map(|(_, sum)| *sum).fold(sum, i64::max);
        let kept = amount.min(unsigned(signed(self.limit.size).saturating_sub(peak)));
        // The same room is not there for the next credit that is returned.
        self.peaks.iter_mut().filter(since).for_each(|(_, sum)| *sum += signed(kept));
        self.bucket.level += signed(kept);
    }

    fn grant(
        &mut self,
        now: Timestamp,
        leading: Leading,
        owner: BootId,
        request: &AccountRequest,
    ) -> AccountGrant {
        self.used = now;
        if request.limit.version > self.limit.version {
            self.limit = request.limit;
        }
        let mut own =
            Holding { ahead: request.held, ahead_until: now + CREDIT_TTL, ..<_>::default() };
        self.holdings.insert(owner, own);
        self.bucket.level = self.bucket.level.min(self.cap(now, leading, self.held()));
        if request.stamp >= leading.since {
            self.take_back(now, request.stamp, request.returned);
        }
        self.bucket.take(request.debt);
        let paid: Vec<bool> = request.needed.iter().map(|cost| self.pay(*cost, &mut own)).collect();
        own.paid_until = now + PAID_TTL;
        let ahead = request.ahead.min(self.spare());
        self.bucket.take(ahead);
        own.ahead += ahead;
        self.holdings.insert(owner, own);
        AccountGrant { account: request.account.clone(), paid, ahead, level: self.bucket.level }
    }

    fn pay(&mut self, cost: u64, own: &mut Holding) -> bool {
        let covered = signed(cost) <= self.bucket.level;
        if covered {
            self.bucket.take(cost);
            own.paid += cost;
        }
        covered
    }

    /// Returns how much may be granted in advance.
    fn spare(&self) -> u64 {
        let size = self.limit.size;
        let level = unsigned(self.bucket.level.saturating_sub(signed(size / RESERVE_DIVISOR)));
        let ahead = self.holdings.values().map(|holding| holding.ahead).sum();
        level.min((size / AHEAD_DIVISOR).saturating_sub(ahead))
    }
}

/// The credit of all accounts with a quota; soft state of the leader.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::control::dispatch::credits::{
///     AccountLimit, AccountRequest, Credits, CreditsRequest, Leading,
/// };
/// use dotterelpin::model::{BootId, Timestamp};
///
/// let leading = Leading { term: 1, since: Timestamp::from_micros(1) };
/// let now = leading.since + Duration::from_secs(10);
/// let limit = AccountLimit { version: 1, rate: 1_000, size: 2_000 };
/// let needed = vec![1_500, 700, 300];
/// let account = AccountRequest { account: "city".into(), limit, needed, ..<_>::default() };
/// let request = CreditsRequest { owner: BootId(1), number: 1, accounts: vec![account] };
/// let reply = Credits::default().grant(now, leading, &request);
/// assert_eq!(reply.grants[0].paid, [true, false, true]);
/// ```
#[derive(Debug, Default)]
pub struct Credits {
    leading: Leading,
    accounts: BTreeMap<Box<str>, Account>,
    /// When each gateway was heard last.
    gateways: BTreeMap<Box<str>, Timestamp>,
    /// The last request of each gateway, and when it was received.
    numbers: BTreeMap<BootId, (u64, Timestamp)>,
    /// When state that is no longer needed is removed next.
    next_expiry: Timestamp,
}

impl Credits {
    /// Records a heartbeat of a gateway.
    pub fn heard(&mut self, now: Timestamp, gateway: &str) {
        match self.gateways.get_mut(gateway) {
            Some(at) => *at = now,
            None => {
                self.gateways.insert(gateway.into(), now);
            }
        }
    }

    /// Grants credit; nothing for a request that was overtaken by a later one.
    pub fn grant(
        &mut self,
        now: Timestamp,
        leading: Leading,
        request: &CreditsRequest,
    ) -> CreditsReply {
        if self.leading != leading {
            self.leading = leading;
            self.accounts.clear();
        }
        self.expire(now);
        let last = self.numbers.entry(request.owner).or_default();
        if request.number <= last.0 {
            return CreditsReply { stamp: now, grants: Vec::new() };
        }
        *last = (request.number, now);
        let part = self.heard_part(now);
        let grants =
            request.accounts.iter().map(|r| self.grant_account(now, part, request.owner, r));
        CreditsReply { stamp: now, grants: grants.collect() }
    }

    fn grant_account(
        &mut self,
        now: Timestamp,
        (heard, all): (u64, u64),
        owner: BootId,
        request: &AccountRequest,
    ) -> AccountGrant {
        let leading = self.leading;
        if !self.accounts.contains_key(&request.account) {
            let account = Account::new(leading, request.limit);
            self.accounts.insert(request.account.clone(), account);
        }
        let Some(account) = self.accounts.get_mut(&request.account) else {
            let (account, paid) = (request.account.clone(), Vec::new());
            return AccountGrant { account, paid, ahead: 0, level: 0 };
        };
        let rate = u128::from(account.limit.rate) * u128::from(heard) / u128::from(all);
        account.refresh(now, leading, u64::try_from(rate).unwrap_or(u64::MAX));
        account.grant(now, leading, owner, request)
    }

    /// Returns how many of the known gateways are heard, and how many are known. Those that are not
    /// heard may use their parts of the limits by themselves.
    fn heard_part(&self, now: Timestamp) -> (u64, u64) {
        let heard = self.gateways.values().filter(|at| now - **at < HEARD_TIME).count() as u64;
        match self.gateways.len() as u64 {
            0 => (1, 1),
            all => (heard.max(1), all),
        }
    }

    fn expire(&mut self, now: Timestamp) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + CREDIT_TTL;
        self.gateways.retain(|_, at| now - *at < KEPT_TIME);
        self.numbers.retain(|_, (_, at)| now - *at < RETENTION);
        let leading = self.leading;
        self.accounts.retain(|_, account| {
            if now - account.used < RETENTION {
                return true;
            }
            // A bucket that is made anew may be full, so only full ones are removed.
            account.refresh(now, leading, account.limit.rate);
            account.bucket.level < account.cap(now, leading, account.held())
        });
    }

    /// Returns the accounts in use, for operators.
    pub fn in_use(&self) -> Vec<AccountUse> {
        let entry = |(name, account): (&str, &Account)| AccountUse {
            account: name.into(),
            limit: account.limit,
            level: account.bucket.level,
            held: account.held(),
            gateways: account.holdings.len() as u32,
        };
        self.accounts.iter().map(|(name, account)| entry((name, account))).collect()
    }
}
