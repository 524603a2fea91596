//! Tells control's leader of the runs that it does not count.
//!
//! The leader's count is soft state. After a change of leader, or after a gateway has chosen
//! endpoints itself because the leader did not answer, engines are fuller than the leader knows: it
//! would assign calls to full endpoints, and late calls to capacity that it should keep free.

use std::net::SocketAddr;

use super::call::{Call, Stage};
use super::fleet::{EndpointKey, Usage};
use super::{CallerId, Gateway};
use crate::control::dispatch::rooms::{KnownRun, RunId};
use crate::link::message::ControlRequest;
use crate::model::{ExchangeId, Timestamp};

/// Which leader this gateway has told of its runs.
#[derive(Debug, Default)]
pub struct Recount {
    /// The leader that knows all runs that have a number.
    leader: Option<SocketAddr>,
    /// The open report to it.
    open: Option<ExchangeId>,
}

impl Recount {
    /// Records that a member has lost its counts with its process.
    pub fn restarted(&mut self, member: SocketAddr) {
        self.leader = self.leader.filter(|leader| *leader != member);
    }
}

impl Gateway {
    /// Reports the runs that the leader does not count: all of them to a new leader.
    pub(super) fn report_runs(&mut self, now: Timestamp) {
        let Some(leader) = self.leader(now) else { return };
        let is_new = self.recount.leader != Some(leader);
        let unknown = |call: &&Call| is_new || call.run.is_none();
        let engaged = self.calls.iter().filter(|(_, call)| unknown(call) && decode(call).is_some());
        let callers: Vec<CallerId> = engaged.map(|(caller, _)| *caller).collect();
        self.recount.leader = Some(leader);
        let runs: Vec<KnownRun> = callers.into_iter().filter_map(|c| self.known_run(c)).collect();
        if runs.is_empty() {
            return;
        }
        log::info!("step=report-runs leader={leader} new_leader={is_new} runs={}", runs.len());
        let owner = self.settings.follower.boot;
        let exchange = self.send_to_control(leader, ControlRequest::CountRuns { owner, runs });
        self.recount.open = Some(exchange);
    }

    /// Returns the run of a call as the leader is told of it, with a new number if it has none.
    fn known_run(&mut self, caller: CallerId) -> Option<KnownRun> {
        let call = self.calls.get(&caller)?;
        let (endpoint, usage) = decode(call)?;
        let endpoint = self.fleet.get(endpoint)?.name.clone();
        let run = match call.run {
            Some(run) => run,
            None => self.take_run(),
        };
        self.calls.get_mut(&caller)?.run = Some(run);
        Some(KnownRun { run, endpoint, tokens: usage.tokens })
    }

    /// Returns the number of a run, and uses it up.
    fn take_run(&mut self) -> RunId {
        let run = self.next_run();
        self.exchanges += 1;
        run
    }

    /// Handles the end of an exchange; returns whether it was a report of runs. All runs are
    /// reported again if it was not accepted.
    pub(super) fn runs_reported(&mut self, exchange: ExchangeId, accepted: bool) -> bool {
        if self.recount.open != Some(exchange) {
            return false;
        }
        self.recount.open = None;
        if !accepted {
            self.recount.leader = None;
        }
        true
    }
}

/// Returns the decode endpoint at which a call to a model has capacity, and how much.
fn decode(call: &Call) -> Option<(EndpointKey, Usage)> {
    call.info.work.as_ref()?;
    match &call.stage {
        Stage::Waiting | Stage::Probe | Stage::Credit | Stage::Origin(_) | Stage::Room { .. } => {
            None
        }
        Stage::Hold { decode, .. }
        | Stage::Assign { decode, .. }
        | Stage::Prefill { decode, .. } => Some((decode.endpoint, decode.usage)),
        Stage::Run { attempt, .. } => Some((attempt.endpoint, attempt.usage)),
    }
}
