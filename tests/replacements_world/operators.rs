//! Operators that propose changes all along, and try each one until it has a result.

use std::time::Duration;

use dotterelpin::control::config::{Change, Edit, Exception, Scope};
use dotterelpin::control::replica::LogIndex;
use dotterelpin::control::state::{Applied, ChangeReply, Command};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
use dotterelpin::model::{ExchangeId, Revision, Timestamp};

use super::{OPERATOR, World};
use crate::simulated::below;

/// How long an operator waits for a reply before the change is sent to another member.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// The time between two attempts after a reply that is no result.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum time between the result of a change and the next one, in milliseconds.
const THINK_TIME: usize = 600;

/// A change on its way.
#[derive(Debug)]
struct Proposal {
    change: Change,
    since: Timestamp,
    /// When it is sent next.
    due: Timestamp,
    /// The last exchange that it was sent on.
    exchange: ExchangeId,
    /// The machine that it is sent to next, if that is known.
    to: Option<usize>,
}

/// The changes that were proposed and their results.
#[derive(Debug, Default)]
pub struct Operators {
    open: Option<Proposal>,
    next: Timestamp,
    /// When the last result came.
    pub last_result: Timestamp,
    /// The last record with an accepted change.
    pub last_index: LogIndex,
    /// The number of changes that were accepted.
    pub accepted: usize,
    /// The kilobytes of the next change, if it is a large one.
    large: Option<usize>,
}

impl Operators {
    /// Returns when an operator has something to do.
    pub fn next_due(&self) -> Option<Timestamp> {
        Some(self.open.as_ref().map_or(self.next, |p| p.due))
    }

    /// Sends the change again soon.
    pub fn retry(&mut self, exchange: ExchangeId, now: Timestamp) {
        if let Some(proposal) = self.open.as_mut().filter(|p| p.exchange == exchange) {
            proposal.due = proposal.due.min(now + RETRY_INTERVAL);
            proposal.to = None;
        }
    }
}

impl World {
    pub(super) fn propose_large(&mut self, kilobytes: usize) {
        self.operators.large = Some(kilobytes);
    }

    /// Proposes the next change, or sends the open one again.
    pub(super) fn operate(&mut self) -> Result<(), String> {
        if self.operators.next_due().is_none_or(|due| due > self.now) {
            return Ok(());
        }
        let Some(to) = self.receiver() else {
            self.operators.next = self.now + RETRY_INTERVAL;
            if let Some(open) = &mut self.operators.open {
                open.due = self.now + RETRY_INTERVAL;
            }
            return Ok(());
        };
        self.last_id += 1;
        let exchange = ExchangeId(self.last_id);
        if self.operators.open.is_none() {
            let change = self.next_change();
            let (since, due) = (self.now, self.now);
            self.operators.open = Some(Proposal { change, since, due, exchange, to: None });
        }
        let Some(open) = &mut self.operators.open else { return Ok(()) };
        open.due = self.now + REPLY_TIMEOUT;
        (open.exchange, open.to) = (exchange, None);
        let command = Command::Change(open.change.clone());
        let body = Request::Control(ControlRequest::Propose(command));
        let envelope = Envelope { revised: Default::default(), body };
        let address = self.machines.all[to].address;
        self.open(OPERATOR, 0, exchange, address, envelope);
        Ok(())
    }

    /// Returns the machine that the open change is sent to next.
    fn receiver(&mut self) -> Option<usize> {
        let named = self.operators.open.as_ref().and_then(|p| p.to);
        if let Some(to) = named.filter(|to| self.machines.runs(*to)) {
            return Some(to);
        }
        let living: Vec<_> = self.machines.living().collect();
        (!living.is_empty()).then(|| living[below(&mut self.rng, living.len())])
    }

    fn next_change(&mut self) -> Change {
        let number = self.last_id;
        let value: Box<str> = (1_000 + number % 9_000).to_string().into();
        let name: Box<str> = "call.deadline_ms".into();
        let edit = match self.operators.large.take() {
            Some(kilobytes) => Edit::Except {
                scope: Scope::Tenant(format!("tenant-{}", kilobytes % 2).into()),
                name,
                exception: Exception {
                    value,
                    author: "op".into(),
                    reason: "x".repeat(kilobytes << 10).into(),
                },
            },
            None => Edit::Set { name, value },
        };
        let base = self.newest_revision();
        Change { id: format!("change-{number}").into(), base, author: "op".into(), edit }
    }

    /// Returns the newest revision that a running member has applied or an operator knows.
    fn newest_revision(&self) -> Revision {
        let controls = self.machines.all.iter().filter_map(|m| m.host.control.as_ref());
        let applied = controls.map(|c| c.state().config.revision).max().unwrap_or_default();
        applied.max(self.oracle.newest())
    }

    pub(super) fn operator_reply(&mut self, id: ExchangeId, reply: Reply) -> Result<(), String> {
        let Some(open) = self.operators.open.as_mut().filter(|p| p.exchange == id) else {
            return Ok(());
        };
        let Reply::Control(reply) = reply else { return Ok(()) };
        match reply {
            ControlReply::Applied(Applied::Changed(reply)) => self.conclude(&reply),
            ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader } => {
                open.due = self.now + RETRY_INTERVAL;
                open.to = leader.and_then(|l| self.machines.find(l));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn conclude(&mut self, reply: &ChangeReply) -> Result<(), String> {
        let Some(open) = self.operators.open.take() else { return Ok(()) };
        let checked = self.oracle.check_reply(&open.change, reply);
        checked.map_err(|text| self.problem("safety", text))?;
        if let ChangeReply::Accepted(_) = reply {
            self.operators.accepted += 1;
            let same =
                |command: &Command| matches!(command, Command::Change(c) if *c == open.change);
            let found = self.oracle.records.iter().rev().find(|(_, (_, c))| same(c));
            if let Some((index, _)) = found {
                self.operators.last_index = self.operators.last_index.max(*index);
            }
        }
        self.operators.last_result = self.now;
        let pause = below(&mut self.rng, THINK_TIME) as u64;
        self.operators.next = self.now + Duration::from_millis(pause);
        Ok(())
    }

    /// Returns since when a change has been open, if one is.
    pub(super) fn open_since(&self) -> Option<Timestamp> {
        self.operators.open.as_ref().map(|p| p.since)
    }
}
