//! Fair turns of client accounts in the queue of a gateway.
//!
//! Made for one account at twelve times its usual load while capacity is short: if calls of a rank
//! started in the order of their arrival, the queue would be full of its calls, and those of the
//! others would be refused. Within a rank, accounts take turns by estimated tokens, in proportion to
//! the rates of their quotas; the calls of one account keep the order of their arrival. Without
//! accounts there is one turn, and the order is that of arrival.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::queue::Waiting;
use crate::model::Turns;
use crate::routes::accounts::DEFAULT_WEIGHT;

/// What a call counts for in the turns of its account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The name of the client account; empty without one.
    pub account: Box<str>,
    /// The tokens a second that the account is entitled to.
    pub weight: u32,
    /// The estimated tokens of the call.
    pub tokens: u32,
}

impl Default for Share {
    fn default() -> Share {
        Share { account: "".into(), weight: DEFAULT_WEIGHT, tokens: 1 }
    }
}

impl Share {
    /// Counts the call for its account.
    pub fn charge(&self, turns: &mut Turns<Box<str>>) {
        turns.charge(self.account.clone(), self.weight.into(), self.tokens.into());
    }

    /// Takes back the charge for the call.
    pub fn refund(&self, turns: &mut Turns<Box<str>>) {
        turns.refund(&*self.account, self.weight.into(), self.tokens.into());
    }
}

/// The position of a call in the order of arrival, what it counts for, and its entry if it is queued.
type Planned<'a, K> = (i64, &'a Share, Option<&'a Waiting<K>>);

/// The queued calls of one rank.
#[derive(Debug)]
pub struct Lane<K> {
    /// The calls of each account, with their positions in the order of arrival.
    accounts: BTreeMap<Box<str>, VecDeque<(i64, Waiting<K>)>>,
    /// The position before that of the first call.
    front: i64,
    /// The position after that of the last call.
    back: i64,
}

impl<K> Default for Lane<K> {
    fn default() -> Lane<K> {
        Lane { accounts: BTreeMap::new(), front: -1, back: 0 }
    }
}

impl<K: Copy + PartialEq> Lane<K> {
    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.accounts.values().map(VecDeque::len).sum()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns whether a call of an account waits.
    pub fn has(&self, account: &str) -> bool {
        self.accounts.contains_key(account)
    }

    /// Returns the calls in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting<K>> {
        self.accounts.values().flatten().map(|(_, waiting)| waiting)
    }

    /// Adds a call behind the others of its account.
    pub fn push(&mut self, waiting: Waiting<K>) {
        let account = waiting.share.account.clone();
        self.accounts.entry(account).or_default().push_back((self.back, waiting));
        self.back += 1;
    }

    /// Adds a call before the others of its account.
    pub fn push_front(&mut self, waiting: Waiting<K>) {
        let account = waiting.share.account.clone();
        self.accounts.entry(account).or_default().push_front((self.front, waiting));
        self.front -= 1;
    }

    /// Removes the calls for which `is_removed` holds, and returns them in the order of arrival.
    pub fn remove(&mut self, is_removed: impl Fn(&Waiting<K>) -> bool) -> Vec<Waiting<K>> {
        let mut removed = Vec::new();
        for calls in self.accounts.values_mut() {
            let (gone, kept) = calls.drain(..).partition(|(_, waiting)| is_removed(waiting));
            *calls = kept;
            removed.extend::<VecDeque<_>>(gone);
        }
        self.accounts.retain(|_, calls| !calls.is_empty());
        removed.sort_by_key(|(position, _)| *position);
        removed.into_iter().map(|(_, waiting)| waiting).collect()
    }

    /// Returns the calls in the order in which they start.
    pub fn in_order(&self, turns: &Turns<Box<str>>) -> Vec<&Waiting<K>> {
        self.plan(turns, None).into_iter().flatten().collect()
    }

    /// Returns how many calls start before a new one, without those that hold up no other.
    pub fn before(&self, turns: &Turns<Box<str>>, new: &Share) -> usize {
        let plan = self.plan(turns, Some(new));
        let before = plan.iter().map_while(|planned| planned.as_ref());
        before.filter(|waiting| !waiting.bound).count()
    }

    /// Returns the calls in the order in which they start, and `None` for a new call among them.
    fn plan<'a>(
        &'a self,
        turns: &Turns<Box<str>>,
        new: Option<&'a Share>,
    ) -> Vec<Option<&'a Waiting<K>>> {
        let names = self.accounts.keys().map(|name| &**name);
        let mut turns = turns.among(names.chain(new.map(|share| &*share.account)));
        let mut queues: BTreeMap<&str, VecDeque<Planned<'a, K>>> = BTreeMap::new();
        for (name, calls) in &self.accounts {
            let planned = calls.iter().map(|(at, waiting)| (*at, &waiting.share, Some(waiting)));
            queues.insert(name, planned.collect());
        }
        if let Some(new) = new {
            queues.entry(&new.account).or_default().push_back((self.back, new, None));
        }
        let next = |turns: &Turns<&str>, name, queue: &VecDeque<Planned<'a, K>>| {
            queue.front().map(|(at, ..)| (turns.round(name), *at, name))
        };
        let mut heads: BTreeSet<(u64, i64, &str)> =
            queues.iter().filter_map(|(name, queue)| next(&turns, *name, queue)).collect();
        let mut order = Vec::with_capacity(self.len() + 1);
        while let Some((_, _, name)) = heads.pop_first() {
            let Some(queue) = queues.get_mut(name) else { continue };
            let Some((_, share, planned)) = queue.pop_front() else { continue };
            turns.charge(name, share.weight.into(), share.tokens.into());
            order.push(planned);
            heads.extend(next(&turns, name, queue));
        }
        order
    }
}
