//! The credit of one client account at a gateway.

use std::collections::VecDeque;
use std::time::Duration;

use super::decision::{Charge, Decision, is_paid};
use super::demand::Demand;
use crate::control::dispatch::bucket::{AccountLimit, TokenBucket, signed, time_to_room, unsigned};
use crate::control::dispatch::credits::{AccountGrant, AccountRequest, CREDIT_TTL};
use crate::model::Timestamp;

/// How long before it expires credit is renewed.
const RENEW_TIME: Duration = Duration::from_millis(300);
/// After which age it is renewed with a request that is sent anyway, so that the accounts of a gateway
/// don't each have requests of their own.
const JOIN_AGE: Duration = Duration::from_millis(300);
/// The longest time after which a refused caller is promised room: those of a long overload would be
/// sent away for longer than it lasts.
const MAX_PROMISE: Duration = Duration::from_secs(5);
/// The maximum number of waiting calls of an account in one request.
const MAX_CALLS: usize = 256;

/// A call that waits for credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait<K> {
    /// Identifies the call.
    pub key: K,
    /// What it costs.
    pub cost: u64,
}

/// What a request asks for one account.
#[derive(Debug)]
pub struct Asked<K> {
    /// The limit that it states.
    pub limit: AccountLimit,
    /// The calls that it names.
    pub calls: Vec<Wait<K>>,
    /// The credit that it returns.
    returned: u64,
    /// The oldest stamp of that credit.
    stamp: Timestamp,
    /// The debt that it states.
    debt: u64,
}

/// The credit of one account, and the calls that wait for it.
#[derive(Debug)]
pub struct Local<K> {
    /// The limit by the newest table.
    pub limit: AccountLimit,
    /// How much is needed soon.
    pub demand: Demand,
    /// The calls that wait.
    pub waiting: VecDeque<Wait<K>>,
    /// The credit taken in advance.
    credit: u64,
    /// When the request for it was sent.
    sent: Timestamp,
    /// The stamp of the last reply of the leader.
    stamp: Timestamp,
    /// Credit of calls that have not run.
    returned: u64,
    /// The oldest stamp of that credit.
    returned_stamp: Timestamp,
    /// The bucket that the gateway uses by itself without a leader.
    alone: Option<TokenBucket>,
    /// The level that the leader has told last.
    room: TokenBucket,
    /// Until when room was promised to refused callers.
    promised: Timestamp,
}

impl<K: Copy + PartialEq> Local<K> {
    /// Creates an account without credit.
    pub fn new(limit: AccountLimit) -> Local<K> {
        Local {
            limit,
            demand: Demand::default(),
            waiting: VecDeque::new(),
            credit: 0,
            sent: Timestamp::default(),
            stamp: Timestamp::default(),
            returned: 0,
            returned_stamp: Timestamp::MAX,
            alone: None,
            room: TokenBucket::new(Timestamp::default(), 0),
            promised: Timestamp::default(),
        }
    }

    /// Applies a newer limit; a lower one cuts the credit in proportion.
    pub fn set_limit(&mut self, limit: AccountLimit) {
        if limit.version <= self.limit.version {
            return;
        }
        let before = std::mem::replace(&mut self.limit, limit);
        self.credit = before.cut(&limit, self.credit);
        self.returned = before.cut(&limit, self.returned);
    }

    fn expire(&mut self, now: Timestamp) {
        if self.sent + CREDIT_TTL <= now {
            self.credit = 0;
        }
    }

    /// Returns the credit, and for how long it may be used.
    pub fn held(&self, now: Timestamp) -> (u64, Duration) {
        let left = self.sent + CREDIT_TTL - now;
        (if left.is_zero() { 0 } else { self.credit }, left)
    }

    /// Takes credit that was granted in advance.
    pub fn spend(&mut self, now: Timestamp, cost: u64) -> Option<Charge> {
        self.expire(now);
        if self.credit < cost {
            return None;
        }
        self.credit -= cost;
        Some(Charge { amount: cost, stamp: Some(self.stamp) })
    }

    /// Takes credit of the gateway's own part of the limit, which it uses since a time. The level may
    /// go below zero by one request, since a part may be smaller than a request.
    pub fn spend_alone(
        &mut self,
        now: Timestamp,
        since: Option<Timestamp>,
        gateways: u32,
        cost: u64,
    ) -> Decision {
        let part = self.limit.part(gateways);
        let bucket = self.alone.get_or_insert(TokenBucket::new(since.unwrap_or(now), 0));
        bucket.refill(now, part.rate, signed(part.size));
        if bucket.level <= 0 {
            return Decision::Refused(time_to_room(bucket.level, cost, part.rate));
        }
        bucket.take(cost);
        Decision::Paid(Charge { amount: cost, stamp: None })
    }

    /// Returns whether credit is to be taken in advance.
    pub fn is_low(&mut self, now: Timestamp, gateways: u32) -> bool {
        self.expire(now);
        self.credit < self.demand.wanted(now, &self.limit, gateways).div_ceil(2)
    }

    /// Returns whether credit is to be returned.
    pub fn returns(&self) -> bool {
        self.returned > 0
    }

    /// Returns the request for this account, if it needs anything.
    pub fn request(
        &mut self,
        now: Timestamp,
        name: &str,
        gateways: u32,
    ) -> Option<(AccountRequest, Asked<K>)> {
        self.expire(now);
        let wanted = self.demand.wanted(now, &self.limit, gateways);
        let low = self.credit < wanted.div_ceil(2);
        let renews = wanted > 0 && self.credit > 0 && now - self.sent >= JOIN_AGE;
        let debt = self.debt(now, gateways);
        if self.waiting.is_empty() && !low && !renews && self.returned == 0 && debt == 0 {
            return None;
        }
        let asked = Asked {
            limit: self.limit,
            calls: self.waiting.iter().take(MAX_CALLS).copied().collect(),
            returned: std::mem::take(&mut self.returned),
            stamp: std::mem::replace(&mut self.returned_stamp, Timestamp::MAX),
            debt,
        };
        let request = AccountRequest {
            account: name.into(),
            limit: self.limit,
            held: self.credit,
            needed: asked.calls.iter().map(|wait| wait.cost).collect(),
            ahead: wanted.saturating_sub(self.credit),
            returned: asked.returned,
            stamp: asked.stamp,
            debt,
        };
        Some((request, asked))
    }

    /// Returns what was used above the gateway's own part of the limit and not made up for since.
    fn debt(&mut self, now: Timestamp, gateways: u32) -> u64 {
        let part = self.limit.part(gateways);
        let Some(bucket) = &mut self.alone else { return 0 };
        bucket.refill(now, part.rate, signed(part.size));
        unsigned(bucket.level.saturating_neg())
    }

    /// Takes back the credit that a request was to return, since it reached no leader.
    pub fn keep_returned(&mut self, asked: &Asked<K>) {
        self.returned += asked.limit.cut(&self.limit, asked.returned);
        self.returned_stamp = self.returned_stamp.min(asked.stamp);
    }

    /// Takes back what a grant gives that came too late to be used.
    pub fn return_late(&mut self, stamp: Timestamp, grant: &AccountGrant, asked: &Asked<K>) {
        let paid = asked.calls.iter().enumerate().filter(|(index, _)| is_paid(grant, *index));
        let paid: u64 = paid.map(|(_, wait)| wait.cost).sum();
        self.give_back(Charge { amount: paid + grant.ahead, stamp: Some(stamp) });
        // The leader has charged the debt with this grant.
        if let Some(bucket) = &mut self.alone {
            bucket.level = bucket.level.saturating_add(signed(asked.debt));
        }
    }

    /// Applies a grant of the leader with a stamp, for a request that was sent at a time.
    pub fn granted(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        stamp: Timestamp,
        grant: &AccountGrant,
        asked: &Asked<K>,
    ) -> Vec<(K, Decision)> {
        self.expire(now);
        self.alone = None;
        self.credit += asked.limit.cut(&self.limit, grant.ahead);
        self.sent = sent;
        self.stamp = stamp;
        self.room = TokenBucket::new(now, grant.level);
        let mut decided = Vec::new();
        for (index, wait) in asked.calls.iter().enumerate() {
            let paid = is_paid(grant, index);
            let charge = Charge { amount: wait.cost, stamp: Some(stamp) };
            let waits = self.waiting.contains(wait);
            self.forget(wait.key);
            match (waits, paid) {
                (true, true) => decided.push((wait.key, Decision::Paid(charge))),
                (true, false) => {
                    let after = self.time_to_room(now, wait.cost);
                    decided.push((wait.key, Decision::Refused(after)));
                }
                (false, true) => {
                    self.give_back(charge);
                }
                (false, false) => {}
            }
        }
        decided
    }

    /// Returns after which time the bucket has room for a refused call, after those that were
    /// refused before.
    pub fn time_to_room(&mut self, now: Timestamp, cost: u64) -> Duration {
        let rate = self.limit.rate;
        self.room.refill(now, rate, signed(self.limit.size));
        let room = now + time_to_room(self.room.level, cost, rate);
        let at = room.max(self.promised).min(now + MAX_PROMISE);
        self.promised = at + time_to_room(0, cost, rate);
        at - now
    }

    /// Returns the level that the leader has told last, with what the rate has added since.
    pub fn level(&self) -> i64 {
        self.room.level
    }

    /// Forgets a call that waits.
    pub fn forget(&mut self, key: K) {
        self.waiting.retain(|wait| wait.key != key);
    }

    /// Takes back the credit of a call that has not run; returns whether it goes to the leader.
    pub fn give_back(&mut self, charge: Charge) -> bool {
        match (charge.stamp, &mut self.alone) {
            // The leader takes back none that was granted so long ago.
            (Some(stamp), _) if self.stamp - stamp > CREDIT_TTL => false,
            (Some(stamp), _) => {
                self.returned += charge.amount;
                self.returned_stamp = self.returned_stamp.min(stamp);
                true
            }
            (None, Some(bucket)) => {
                bucket.level = bucket.level.saturating_add(signed(charge.amount));
                false
            }
            (None, None) => false,
        }
    }

    /// Returns when the credit is to be renewed, unless none is wanted.
    pub fn renewal(&mut self, now: Timestamp, gateways: u32) -> Option<Timestamp> {
        let wanted = self.credit > 0 && self.demand.wanted(now, &self.limit, gateways) > 0;
        wanted.then_some(self.sent + (CREDIT_TTL - RENEW_TIME))
    }

    /// Forgets the gateway's own part of the limit; what was used above it is kept for the leader.
    pub fn end_alone(&mut self) {
        self.alone = self.alone.filter(|bucket| bucket.level < 0);
    }

    /// Returns whether nothing is known of it that matters any more.
    pub fn is_idle(&mut self, now: Timestamp, gateways: u32) -> bool {
        self.expire(now);
        let quiet = self.demand.wanted(now, &self.limit, gateways) == 0;
        quiet
            && self.credit == 0
            && self.waiting.is_empty()
            && self.returned == 0
            && self.alone.is_none()
    }
}
