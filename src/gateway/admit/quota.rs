//! The credit that a gateway holds for requests of client accounts with a quota.
//!
//! Made for many plain calls at low cost: most of them are paid from credit that was taken in
//! advance. Others wait for one exchange with the leader. One exchange is open at a time, for all
//! accounts, so the load of the leader doesn't grow with the calls.

use std::collections::BTreeMap;
use std::time::Duration;

pub use super::decision::{Charge, Contact, Decision};
use super::local::{Asked, Local, Wait};
use crate::control::dispatch::bucket::AccountLimit;
use crate::control::dispatch::credits::{CreditsReply, CreditsRequest, PAID_TTL};
use crate::model::{BootId, ExchangeId, Timestamp};

/// How long the leader may take to answer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a call waits for credit.
pub const CREDIT_WAIT: Duration = Duration::from_millis(90);
/// The time between two requests that are only for credit in advance.
const AHEAD_INTERVAL: Duration = Duration::from_millis(50);
/// The same after the leader had too little to grant in advance.
const DENIED_INTERVAL: Duration = Duration::from_millis(200);
/// How long no request is sent after one that was not answered.
const SILENT_BACKOFF: Duration = Duration::from_millis(20);
/// The same while there is no leader.
const ALONE_BACKOFF: Duration = Duration::from_millis(250);
/// The longest time between two unanswered requests that show one silence.
const NOTICE_TIME: Duration = Duration::from_millis(600);
/// How long there is no leader before a gateway uses its part of the limits by itself; longer than
/// an election.
pub const ELECTION_WAIT: Duration = Duration::from_millis(1_500);

/// What is decided for calls that waited.
pub type Decisions<K> = Vec<(K, Decision)>;

/// An open request for credit.
#[derive(Debug)]
struct Open<K> {
    exchange: Option<ExchangeId>,
    sent: Timestamp,
    /// What it asks for, by account.
    asked: BTreeMap<Box<str>, Asked<K>>,
}

/// The credit of the client accounts with a quota at a gateway; `K` identifies calls.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::control::dispatch::credits::{AccountLimit, Credits, Leading};
/// use dotterelpin::gateway::admit::quota::{Contact, Decision, Quotas};
/// use dotterelpin::model::{BootId, ExchangeId, Timestamp};
///
/// let now = Timestamp::from_micros(10_000_000);
/// let limit = AccountLimit { version: 1, rate: 100_000, size: 100_000 };
/// let contact = Contact { majority: true, gateways: 4 };
/// let mut quotas = Quotas::new(BootId(1));
/// assert_eq!(quotas.take(now, contact, "city", limit, 200, 7), Decision::Waits);
/// let request = quotas.request(now, contact).unwrap();
/// quotas.opened(ExchangeId(1));
/// let reply = Credits::default().grant(now, Leading::default(), &request);
/// let decided = quotas.granted(now, contact, ExchangeId(1), &reply).unwrap();
/// assert!(matches!(decided[..], [(7, Decision::Paid(_))]));
/// assert!(matches!(quotas.take(now, contact, "city", limit, 200, 8), Decision::Paid(_)));
/// ```
#[derive(Debug)]
pub struct Quotas<K> {
    owner: BootId,
    accounts: BTreeMap<Box<str>, Local<K>>,
    open: Option<Open<K>>,
    /// The last request that was not answered in time.
    late: Option<Open<K>>,
    /// The number of the last request.
    number: u64,
    last_sent: Timestamp,
    /// When the next request is due.
    ask_at: Timestamp,
    /// Since when no request has been answered, and when that was noticed last.
    silent: Option<(Timestamp, Timestamp)>,
    last_reply: Timestamp,
}

impl<K: Copy + PartialEq> Quotas<K> {
    /// Creates the state of a gateway that holds no credit.
    pub fn new(owner: BootId) -> Quotas<K> {
        Quotas {
            owner,
            accounts: BTreeMap::new(),
            open: None,
            late: None,
            number: 0,
            last_sent: Timestamp::default(),
            ask_at: Timestamp::MAX,
            silent: None,
            last_reply: Timestamp::default(),
        }
    }

    /// Applies the limits of a new routing table, which are `None` for accounts without a quota.
    pub fn set_limits(&mut self, limit: impl Fn(&str) -> Option<AccountLimit>) {
        for (name, local) in &mut self.accounts {
            if let Some(limit) = limit(name) {
                local.set_limit(limit);
            }
        }
    }

    /// Returns whether a new call may be admitted, and takes the credit for it.
    pub fn take(
        &mut self,
        now: Timestamp,
        contact: Contact,
        account: &str,
        limit: AccountLimit,
        cost: u64,
        key: K,
    ) -> Decision {
        let alone = self.alone_since(now, contact);
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account.into(), Local::new(limit));
        }
        let Some(local) = self.accounts.get_mut(account) else { return Decision::TooLarge };
        local.set_limit(limit);
        if cost > local.limit.size {
            return Decision::TooLarge;
        }
        local.demand.add(now, cost);
        let decision = match local.spend(now, cost) {
            Some(charge) => Decision::Paid(charge),
            None if alone.is_some() => local.spend_alone(now, alone, contact.gateways, cost),
            None => {
                local.waiting.push_back(Wait { key, cost });
                Decision::Waits
            }
        };
        let lacks = decision == Decision::Waits;
        if lacks || alone.is_some() || local.is_low(now, contact.gateways) {
            self.ask(now, lacks);
        }
        decision
    }

    /// Sets when the next request is due; at once if a call waits for it.
    fn ask(&mut self, now: Timestamp, waits: bool) {
        let spacing = match self.silent {
            Some((since, _)) if now - since >= ELECTION_WAIT => ALONE_BACKOFF,
            Some(_) => SILENT_BACKOFF,
            None if waits => Duration::ZERO,
            None => AHEAD_INTERVAL,
        };
        self.ask_at = self.ask_at.min(now.max(self.last_sent + spacing));
    }

    /// Returns since when this gateway uses its part of the limits by itself, if it does.
    pub fn alone_since(&self, now: Timestamp, contact: Contact) -> Option<Timestamp> {
        let (since, noticed) = self.silent.filter(|(_, noticed)| now - *noticed < NOTICE_TIME)?;
        if since + ELECTION_WAIT <= now {
            return Some(since + ELECTION_WAIT);
        }
        (!contact.majority).then_some(noticed)
    }

    /// Returns the request that is to be sent to the leader now, if any.
    pub fn request(&mut self, now: Timestamp, contact: Contact) -> Option<CreditsRequest> {
        if !self.is_due(now) {
            return None;
        }
        self.ask_at = Timestamp::MAX;
        let mut asked = BTreeMap::new();
        let mut accounts = Vec::new();
        for (name, local) in &mut self.accounts {
            let Some((request, part)) = local.request(now, name, contact.gateways) else {
                continue;
            };
            asked.insert(name.clone(), part);
            accounts.push(request);
        }
        self.accounts.retain(|_, local| !local.is_idle(now, contact.gateways));
        if self.accounts.is_empty() {
            self.silent = None;
        }
        // Without any, the request asks whether there is a leader again.
        if accounts.is_empty() && self.silent.is_none() {
            self.renew(now, contact.gateways);
            return None;
        }
        self.number += 1;
        self.last_sent = now;
        self.open = Some(Open { exchange: None, sent: now, asked });
        Some(CreditsRequest { owner: self.owner, number: self.number, accounts })
    }

    /// Sets when credit is to be renewed before it expires.
    fn renew(&mut self, now: Timestamp, gateways: u32) {
        let next = self.accounts.values_mut().filter_map(|l| l.renewal(now, gateways)).min();
        self.ask_at = self.ask_at.min(next.unwrap_or(Timestamp::MAX));
    }

    /// Records the exchange on which the last request was sent.
    pub fn opened(&mut self, exchange: ExchangeId) {
        if let Some(open) = &mut self.open {
            open.exchange = Some(exchange);
        }
    }

    /// Applies a reply of the leader; returns what is decided for the calls that waited, or `None`
    /// if the exchange is not the open one.
    pub fn granted(
        &mut self,
        now: Timestamp,
        contact: Contact,
        exchange: ExchangeId,
        reply: &CreditsReply,
    ) -> Option<Decisions<K>> {
        if let Some(late) = self.late.take_if(|late| late.exchange == Some(exchange)) {
            self.return_late(now, &late, reply);
            return Some(Vec::new());
        }
        let open = self.open.take_if(|open| open.exchange == Some(exchange))?;
        if now - open.sent >= PAID_TTL {
            // The leader may count the credit as used already.
            self.return_late(now, &open, reply);
            return Some(self.unanswered(now, contact));
        }
        self.silent = None;
        self.accounts.values_mut().for_each(Local::end_alone);
        self.last_reply = now;
        self.ask_at = Timestamp::MAX;
        let mut decided = Vec::new();
        for grant in &reply.grants {
            let Some(local) = self.accounts.get_mut(&grant.account) else { continue };
            let Some(asked) = open.asked.get(&grant.account) else { continue };
            decided.extend(local.granted(now, open.sent, reply.stamp, grant, asked));
        }
        let waits = self.accounts.values().any(|local| !local.waiting.is_empty());
        let returns = self.accounts.values().any(Local::returns);
        if waits || returns {
            self.ask(now, waits);
        }
        let low = |local: &mut Local<K>| local.is_low(now, contact.gateways);
        if self.accounts.values_mut().any(low) {
            self.ask_at = self.ask_at.min(now + DENIED_INTERVAL);
        }
        self.renew(now, contact.gateways);
        Some(decided)
    }

    /// Returns the credit of a reply that came too late to be used.
    fn return_late(&mut self, now: Timestamp, late: &Open<K>, reply: &CreditsReply) {
        for grant in &reply.grants {
            let Some(local) = self.accounts.get_mut(&grant.account) else { continue };
            let Some(asked) = late.asked.get(&grant.account) else { continue };
            local.return_late(reply.stamp, grant, asked);
        }
        self.ask(now, false);
    }

    /// Handles that the leader has not answered the open request in time; its credit is returned if
    /// the answer comes yet. Returns what is decided for the calls that waited, and the exchange that
    /// is no longer listened to.
    pub fn expire(
        &mut self,
        now: Timestamp,
        contact: Contact,
    ) -> Option<(Decisions<K>, Option<ExchangeId>)> {
        let open = self.open.take_if(|open| open.sent + EXCHANGE_TIMEOUT <= now)?;
        let dropped = self.late.replace(open).and_then(|late| late.exchange);
        Some((self.unanswered(now, contact), dropped))
    }

    /// Handles the end of an exchange without a reply of the leader, which may have read the request
    /// unless a member that does not lead has answered. Returns what is decided for the calls that
    /// waited, or `None` if the exchange is not the open one.
    pub fn failed(
        &mut self,
        now: Timestamp,
        contact: Contact,
        exchange: ExchangeId,
        unread: bool,
    ) -> Option<Decisions<K>> {
        let late = self.late.take_if(|late| late.exchange == Some(exchange));
        let open = self.open.take_if(|open| open.exchange == Some(exchange));
        if let Some(ended) = late.as_ref().or(open.as_ref()).filter(|_| unread) {
            for (name, asked) in &ended.asked {
                if let Some(local) = self.accounts.get_mut(name) {
                    local.keep_returned(asked);
                }
            }
        }
        match open {
            Some(_) => Some(self.unanswered(now, contact)),
            None => late.map(|_| Vec::new()),
        }
    }

    /// Handles that no member is known to which a request could be sent.
    pub fn unreachable(&mut self, now: Timestamp, contact: Contact) -> Decisions<K> {
        self.last_sent = now;
        self.ask_at = Timestamp::MAX;
        self.unanswered(now, contact)
    }

    /// Returns whether a request is to be sent now.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.open.is_none() && now >= self.ask_at
    }

    fn unanswered(&mut self, now: Timestamp, contact: Contact) -> Decisions<K> {
        // After a longer time this process stood still, which says nothing about the leader.
        let known = self.silent.filter(|(_, noticed)| now - *noticed < NOTICE_TIME);
        let since = known.map_or(now, |(since, _)| since);
        self.silent = Some((since, now));
        self.ask(now, true);
        let alone = self.alone_since(now, contact);
        if alone.is_none() {
            return Vec::new();
        }
        let mut decided = Vec::new();
        for local in self.accounts.values_mut() {
            for wait in std::mem::take(&mut local.waiting) {
                let decision = local.spend_alone(now, alone, contact.gateways, wait.cost);
                decided.push((wait.key, decision));
            }
        }
        decided
    }

    /// Refuses a call that has waited for too long; returns after which time there may be room for
    /// it.
    pub fn give_up(&mut self, now: Timestamp, account: &str, key: K) -> Duration {
        let Some(local) = self.accounts.get_mut(account) else { return Duration::ZERO };
        let cost = local.waiting.iter().find(|wait| wait.key == key).map_or(0, |wait| wait.cost);
        local.forget(key);
        local.time_to_room(now, cost)
    }

    /// Forgets a call that waits and has ended.
    pub fn forget(&mut self, account: &str, key: K) {
        if let Some(local) = self.accounts.get_mut(account) {
            local.forget(key);
        }
    }

    /// Takes back the credit of a call that has not run and will not.
    pub fn give_back(&mut self, now: Timestamp, account: &str, charge: Charge) {
        let Some(local) = self.accounts.get_mut(account) else { return };
        if local.give_back(charge) {
            self.ask(now, false);
        }
    }

    /// Returns the credit that is held for an account, and for how long it may still be used.
    pub fn held(&self, now: Timestamp, account: &str) -> (u64, Duration) {
        self.accounts.get(account).map_or((0, Duration::ZERO), |local| local.held(now))
    }

    /// Returns the level of an account's bucket at the leader, as it was told last; 0 if it was not.
    pub fn level(&self, account: &str) -> i64 {
        self.accounts.get(account).map_or(0, Local::level)
    }

    /// Returns whether the exchange is the open one.
    pub fn is_open(&self, exchange: ExchangeId) -> bool {
        self.open.as_ref().is_some_and(|open| open.exchange == Some(exchange))
    }

    /// Returns for how long requests have not been answered.
    pub fn silence(&self, now: Timestamp) -> Duration {
        self.silent.map_or(Duration::ZERO, |(since, _)| now - since)
    }

    /// Returns the time since the last reply of the leader.
    pub fn reply_age(&self, now: Timestamp) -> Option<Duration> {
        (self.last_reply > Timestamp::default()).then(|| now - self.last_reply)
    }

    /// Returns when a request is due or times out.
    pub fn next_wake(&self) -> Option<Timestamp> {
        match &self.open {
            Some(open) => Some(open.sent + EXCHANGE_TIMEOUT),
            None => Some(self.ask_at).filter(|at| *at < Timestamp::MAX),
        }
    }
}
