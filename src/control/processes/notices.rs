//! The notices to recorded processes that a member doesn't hear.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{ProcessName, Processes};
use crate::control::{Control, DiskEffect, Outputs};
use crate::link::message::{ControlNotice, Proof, Request};
use crate::model::{ExchangeId, Timestamp};
use crate::role::Output;

/// How long a member hears nothing of a process until it sends notices to it.
const SILENCE: Duration = Duration::from_millis(1_200);
/// The time between two notices to one process.
const NOTICE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a notice may remain unanswered before the next one uses a new connection.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of notices of one member that are open at once.
const MAX_OPEN: usize = 80;

/// A notice that was sent a short time ago.
#[derive(Debug)]
struct Sent {
    address: SocketAddr,
    at: Timestamp,
    /// Whether its exchange is open.
    is_open: bool,
}

/// The notices that a member has sent.
#[derive(Debug, Default)]
pub struct Notices {
    /// Those within [`NOTICE_TIMEOUT`].
    recent: BTreeMap<ExchangeId, Sent>,
    /// When the last one was sent to each silent process.
    last: BTreeMap<ProcessName, Timestamp>,
}

impl Notices {
    /// Records the reply to a notice, or the end of its exchange.
    fn closed(&mut self, exchange: ExchangeId) {
        if let Some(sent) = self.recent.get_mut(&exchange) {
            sent.is_open = false;
        }
    }

    /// Removes and returns the notices that were sent long enough ago to be given up.
    fn take_old(&mut self, now: Timestamp) -> Vec<(ExchangeId, Sent)> {
        let old = self.recent.extract_if(.., |_, sent| now - sent.at >= NOTICE_TIMEOUT);
        old.collect()
    }

    /// Returns how many more notices may be open.
    fn free(&self) -> usize {
        MAX_OPEN.saturating_sub(self.recent.values().filter(|s| s.is_open).count())
    }

    /// Returns whether the last notice to a process was sent long enough ago.
    fn is_due(&self, now: Timestamp, process: &ProcessName) -> bool {
        self.last.get(process).is_none_or(|at| now - *at >= NOTICE_INTERVAL)
    }
}

/// Returns whether a process that was last heard at a time gets notices.
fn is_silent(now: Timestamp, heard: Option<&Timestamp>) -> bool {
    heard.is_some_and(|at| now - *at >= SILENCE)
}

impl Control {
    /// Sends the notices that are due, and gives up those that got no answer.
    pub(super) fn send_notices(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = Vec::new();
        for (exchange, Sent { address: peer, is_open, .. }) in self.processes.notices.take_old(now)
        {
            if is_open {
                outputs.push(Output::Reset { exchange });
            }
            // The connection is of no use to this member, whether the notice was answered or not.
            outputs.push(Output::Redial { peer });
        }
        let Processes { heard, notices, .. } = &mut self.processes;
        notices.last.retain(|process, _| is_silent(now, heard.get(process)));
        let silent = self.silent_processes(now);
        let Some(proof) = self.proof().filter(|_| !silent.is_empty()) else { return outputs };
        for (process, address) in self.next_to_notify(now, silent, &proof) {
            outputs.extend(self.notify(now, process, address, &proof));
        }
        outputs
    }

    /// Returns the recorded processes that this member hasn't heard lately.
    fn silent_processes(&self, now: Timestamp) -> Vec<(ProcessName, SocketAddr)> {
        let heard = &self.processes.heard;
        let silent = self.state.processes.iter().filter(|(p, _)| is_silent(now, heard.get(*p)));
        silent.map(|(process, address)| (process.clone(), *address)).collect()
    }

    /// Returns the silent processes that get a notice now: those first whose last one was sent
    /// first. The members begin at different ones.
    fn next_to_notify(
        &self,
        now: Timestamp,
        mut silent: Vec<(ProcessName, SocketAddr)>,
        proof: &Proof,
    ) -> Vec<(ProcessName, SocketAddr)> {
        let notices = &self.processes.notices;
        let rank = proof.voters.iter().position(|v| *v == proof.member).unwrap_or_default();
        let begin = silent.len() * rank / proof.voters.len().max(1);
        silent.rotate_left(begin);
        silent.retain(|(p, _)| notices.is_due(now, p));
        silent.sort_by_key(|(p, _)| notices.last.get(p).copied());
        silent.truncate(notices.free());
        silent
    }

    fn notify(
        &mut self,
        now: Timestamp,
        process: ProcessName,
        address: SocketAddr,
        proof: &Proof,
    ) -> Option<Output<DiskEffect>> {
        let role = process.role.clone();
        let notice = ControlNotice::new(role, proof.epoch, proof.voters.clone()).ok()?;
        let exchange = self.peers.next_exchange();
        let notices = &mut self.processes.notices;
        if !notices.last.contains_key(&process) {
            let ProcessName { name, role } = &process;
            log::info!("step=notice process={name} role={role} peer={address}");
        }
        notices.last.insert(process, now);
        notices.recent.insert(exchange, Sent { address, at: now, is_open: true });
        let envelope = self.envelope(Request::Notice(notice));
        Some(Output::Open { exchange, peer: address, envelope })
    }

    /// Records the reply to a notice, or the end of its exchange.
    pub(in crate::control) fn notice_closed(&mut self, exchange: ExchangeId) {
        self.processes.notices.closed(exchange);
    }
}
