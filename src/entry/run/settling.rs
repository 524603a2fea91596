//! Asks an agent for the outcome of an attempt and applies its answer.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::{Outputs, Shared};
use super::{Run, Stage};
use crate::control::claims::{ClaimRecord, Outcome, Target};
use crate::link::message::{AgentReply, AgentRequest, Request, Settled};
use crate::model::{ExchangeId, Ran, RefusalReason, RequestId, Timestamp};
use crate::role::Output;

/// How long an agent may take to answer before the query is resent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval of queries about an attempt that is running.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// How long an agent may be unreachable before the call is refused.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A query to an agent about an attempt.
#[derive(Debug)]
pub(super) struct Settling {
    open: Option<(ExchangeId, SocketAddr)>,
    request: RequestId,
    target: Target,
    /// When the agent last answered, or the query began.
    last_contact: Timestamp,
    resend_at: Timestamp,
    /// The claim of another call that is queried; `None` for an attempt of this call.
    other: Option<ClaimRecord>,
}

impl Settling {
    pub(super) fn next_wake(&self) -> Timestamp {
        self.resend_at.min(self.last_contact + SETTLE_TIMEOUT)
    }

    pub(super) fn is(&self, exchange: ExchangeId) -> bool {
        self.open.is_some_and(|(e, _)| e == exchange)
    }

    pub(super) fn is_about_other(&self) -> bool {
        self.other.is_some()
    }

    pub(super) fn take_exchange(&mut self) -> Option<ExchangeId> {
        self.open.take().map(|(exchange, _)| exchange)
    }

    pub(super) fn closed(&mut self, now: Timestamp, exchange: ExchangeId) {
        if self.is(exchange) {
            self.open = None;
            self.resend_at = now + QUERY_INTERVAL;
        }
    }
}

impl Run {
    /// Asks the agent of an attempt for its outcome, which is final because no other agent can
    /// start the attempt.
    pub(super) fn settle(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        request: RequestId,
        target: Target,
        other: Option<ClaimRecord>,
    ) -> Outputs {
        let settling =
            Settling { open: None, request, target, last_contact: now, resend_at: now, other };
        self.stage = Stage::Settling(settling);
        self.query_agent(shared, now)
    }

    fn query_agent(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let Stage::Settling(settling) = &mut self.stage else { return Vec::new() };
        let known = shared.endpoints.get(&settling.target.endpoint);
        if known.is_some_and(|e| e.boot > settling.target.boot) {
            return self.settled(shared, now, Settled::Unknown);
        }
        let own = self.endpoint.as_ref().filter(|_| settling.other.is_none());
        let Some(peer) = own.or(known).map(|e| e.address) else {
            return self.agent_unreachable(shared, now);
        };
        let ask = AgentRequest::Settle { request: settling.request, boot: settling.target.boot };
        let (exchange, open) = shared.open(self.id, peer, Request::Agent(ask));
        settling.open = Some((exchange, peer));
        settling.resend_at = now + ANSWER_TIMEOUT;
        vec![open]
    }

    pub(super) fn wake_settling(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let Stage::Settling(settling) = &mut self.stage else { return Vec::new() };
        if now >= settling.last_contact + SETTLE_TIMEOUT {
            return self.agent_unreachable(shared, now);
        }
        if now < settling.resend_at {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        if let Some((exchange, peer)) = settling.open.take() {
            outputs.extend([shared.reset(exchange), Output::Redial { peer }]);
        }
        outputs.extend(self.query_agent(shared, now));
        outputs
    }

    /// Refuses the call; the claim stays open, and a later call with the key queries again.
    fn agent_unreachable(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        self.attempts.merge_other(Ran::Maybe);
        let detail = "the agent that may have run the request can't be reached";
        self.refuse(shared, now, RefusalReason::EndpointFailed, detail)
    }

    pub(super) fn settle_reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        reply: AgentReply,
    ) -> Outputs {
        match reply {
            AgentReply::Settled(settled) => self.settled(shared, now, settled),
            _ => Vec::new(),
        }
    }

    fn settled(&mut self, shared: &mut Shared, now: Timestamp, settled: Settled) -> Outputs {
        let Stage::Settling(settling) = &mut self.stage else { return Vec::new() };
        let request = settling.request;
        match settled {
            Settled::Finished(answer) => {
                self.attempts.ended(Ran::Yes);
                self.send_answer(shared, now, request, answer)
            }
            Settled::FinishedLarge { status } => {
                self.attempts.ended(Ran::Yes);
                let detail =
                    format!("the request ran to status {status}; its answer was too large to keep");
                let mut outputs = self.send_refusal(RefusalReason::Answered, &detail);
                let outcome = Outcome::FinishedLarge { status };
                outputs.extend(self.record_outcome(shared, now, request, outcome));
                outputs
            }
            Settled::Running if settling.other.is_some() => self.in_progress(shared, now),
            Settled::Running => {
                settling.open = None;
                settling.last_contact = now;
                settling.resend_at = now + QUERY_INTERVAL;
                Vec::new()
            }
            Settled::NotStarted => match settling.other.take() {
                Some(record) => self.take_over(shared, now, &record),
                None => {
                    let detail = "the request did not reach the agent";
                    self.attempt_failed(shared, now, Ran::No, RefusalReason::EndpointFailed, detail)
                }
            },
            Settled::Unknown => {
                self.attempts.ended(Ran::Maybe);
                let detail = "the agent has restarted; the request may have run";
                let mut outputs = self.send_refusal(RefusalReason::EndpointFailed, detail);
                outputs.extend(self.record_outcome(shared, now, request, Outcome::Unknown));
                outputs
            }
        }
    }
}
