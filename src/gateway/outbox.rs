//! Evidence about crashes on its way to all control members.
//!
//! Every member may become the leader, so each of them gets all evidence. What a member has not
//! acknowledged is sent again, and so is all that is kept once a member starts anew.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::quarantine::Evidence;
use crate::model::{ExchangeId, Timestamp};

/// How long evidence is kept to be sent to members that were out of reach.
const KEEP_TIME: Duration = Duration::from_secs(120);
/// The maximum number of reports that are kept; the oldest ones are dropped first.
const MAX_REPORTS: usize = 256;
/// How long a member may take to acknowledge.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before evidence is sent again to a member that did not acknowledge it.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// One report with its number.
#[derive(Debug)]
struct Report {
    number: u64,
    at: Timestamp,
    evidence: Evidence,
}

/// What one member has.
#[derive(Debug, Default)]
struct Progress {
    /// The number of the last report that it has acknowledged.
    acknowledged: u64,
    /// The open exchange, the last report in it, and when it was opened.
    open: Option<(ExchangeId, u64, Timestamp)>,
    /// When it may be sent to again.
    next: Timestamp,
}

/// The reports that are kept, and what each member has of them.
///
/// ```
/// use dotterelpin::control::quarantine::Evidence;
/// use dotterelpin::gateway::outbox::Outbox;
/// use dotterelpin::model::{ExchangeId, Timestamp};
///
/// let now = Timestamp::from_micros(1);
/// let member = "127.0.0.1:7000".parse().unwrap();
/// let mut outbox = Outbox::default();
/// outbox.push(now, Evidence::Survived(vec![]));
/// let due = outbox.take_due(now, [member], &mut || ExchangeId(1));
/// assert_eq!(due.len(), 1);
/// assert!(outbox.acknowledged(ExchangeId(1)));
/// assert!(outbox.take_due(now, [member], &mut || ExchangeId(2)).is_empty());
/// outbox.restarted(member);
/// assert_eq!(outbox.take_due(now, [member], &mut || ExchangeId(3)).len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct Outbox {
    reports: VecDeque<Report>,
    last: u64,
    members: BTreeMap<SocketAddr, Progress>,
}

/// Evidence to be sent to a member on a new exchange.
#[derive(Debug, PartialEq, Eq)]
pub struct Sending {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The member.
    pub member: SocketAddr,
    /// What to send.
    pub evidence: Vec<Evidence>,
}

impl Outbox {
    /// Adds evidence to be sent.
    pub fn push(&mut self, now: Timestamp, evidence: Evidence) {
        self.last += 1;
        self.reports.push_back(Report { number: self.last, at: now, evidence });
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Returns what is to be sent now to the given members, which are all that the gateway follows.
    pub fn take_due(
        &mut self,
        now: Timestamp,
        members: impl IntoIterator<Item = SocketAddr>,
        next: &mut dyn FnMut() -> ExchangeId,
    ) -> Vec<Sending> {
        self.reports.retain(|r| now - r.at < KEEP_TIME);
        let mut due = Vec::new();
        let members: BTreeSet<SocketAddr> = members.into_iter().collect();
        self.members.retain(|member, _| members.contains(member));
        for member in members {
            let progress = self.members.entry(member).or_default();
            if progress.open.is_some() || now < progress.next {
                continue;
            }
            let new = self.reports.iter().filter(|r| r.number > progress.acknowledged);
            let evidence: Vec<Evidence> = new.map(|r| r.evidence.clone()).collect();
            if !evidence.is_empty() {
                let exchange = next();
                progress.open = Some((exchange, self.last, now));
                due.push(Sending { exchange, member, evidence });
            }
        }
        due
    }

    /// Records that a member has acknowledged what was sent on an exchange; returns whether it is one
    /// of these exchanges.
    pub fn acknowledged(&mut self, exchange: ExchangeId) -> bool {
        let Some(progress) = self.find(exchange) else { return false };
        if let Some((_, number, _)) = progress.open.take() {
            progress.acknowledged = number;
        }
        true
    }

    /// Records that an exchange has ended without an acknowledgement; returns whether it is one of
    /// these exchanges.
    pub fn failed(&mut self, now: Timestamp, exchange: ExchangeId) -> bool {
        let Some(progress) = self.find(exchange) else { return false };
        progress.open = None;
        progress.next = now + RETRY_DELAY;
        true
    }

    /// Returns the exchanges whose acknowledgement is overdue, which the caller resets.
    pub fn take_overdue(&mut self, now: Timestamp) -> Vec<ExchangeId> {
        let open = self.members.values().filter_map(|p| p.open);
        let overdue: Vec<ExchangeId> = open
            .filter(|(_, _, at)| *at + ACK_TIMEOUT <= now)
            .map(|(exchange, _, _)| exchange)
            .collect();
        for exchange in &overdue {
            self.failed(now, *exchange);
        }
        overdue
    }

    /// Records that a member has started anew, without any evidence.
    pub fn restarted(&mut self, member: SocketAddr) {
        self.members.remove(&member);
    }

    /// Returns when something is due or overdue next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let newest = self.reports.back()?.number;
        let wake = |p: &Progress| match p.open {
            Some((_, _, at)) => Some(at + ACK_TIMEOUT),
            None => (p.acknowledged < newest).then_some(p.next),
        };
        self.members.values().filter_map(wake).min()
    }

    fn find(&mut self, exchange: ExchangeId) -> Option<&mut Progress> {
        self.members.values_mut().find(|p| p.open.is_some_and(|(e, _, _)| e == exchange))
    }
}
