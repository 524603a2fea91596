//! Handles the inputs from the endpoint: replies to entries and changes to the ledger.

use super::engine::{EngineEffect, EngineInput};
use super::{Agent, Outputs, RETRY_AFTER};
use crate::link::message::{AgentReply, Answer, Settled};
use crate::model::{Announcement, InboundId, Ran, Refusal, RefusalReason, RequestId, Timestamp};
use crate::role::Output;

impl Agent {
    pub(super) fn engine(&mut self, now: Timestamp, input: EngineInput) -> Outputs {
        match input {
            EngineInput::Announced(announcement) => self.announced(now, announcement),
            EngineInput::Exported { request, export } => {
                self.prefills.done(now, request);
                let mut outputs = self.progress(request, AgentReply::Exported(export), true);
                outputs.extend(self.start_prefills(now));
                outputs
            }
            EngineInput::Part { request, offset, tokens } => {
                self.progress(request, AgentReply::Part { offset, tokens }, false)
            }
            EngineInput::End { request, offset, finish } => {
                self.progress(request, AgentReply::End { offset, finish }, true)
            }
            EngineInput::Answered { request, answer } => self.answered(request, answer),
            EngineInput::Failed { request, ran, detail } => {
                self.prefills.remove(request);
                let mut outputs = self.failed(now, request, ran, detail);
                outputs.extend(self.start_prefills(now));
                outputs
            }
            EngineInput::Cancelled { request, gone } => {
                self.ledger.cancelled(now, request, gone);
                if gone {
                    self.prefills.remove(request);
                }
                self.start_prefills(now)
            }
            EngineInput::Listed { running } => {
                let unknown = self.ledger.unknown_work(running);
                let cancel = |name: Box<str>| {
                    log::info!("step=reconcile stranger={name}");
                    Output::Effect(EngineEffect::CancelUnknown(name))
                };
                unknown.into_iter().map(cancel).collect()
            }
            EngineInput::Ordered { fence, result } => {
                self.orders.finished(now, fence, result);
                self.next_order(now)
            }
        }
    }

    fn announced(&mut self, now: Timestamp, announcement: Announcement) -> Outputs {
        let known = self.endpoint.as_ref().map(|e| e.boot);
        let restarted = known.is_some_and(|boot| boot != announcement.boot);
        if known != Some(announcement.boot) {
            log::info!("step=announce url={} pool={}", announcement.url, announcement.pool);
            self.next_list = now;
        }
        if restarted {
            self.orders.crashed();
        }
        self.orders.announced(announcement.artifact.as_deref());
        self.endpoint = Some(announcement);
        let mut outputs = self.next_order(now);
        if restarted && self.cancellable() {
            outputs.extend(self.engine_restarted(now));
        }
        outputs
    }

    /// Refuses and cancels the work that an earlier start of the engine was running.
    fn engine_restarted(&mut self, now: Timestamp) -> Outputs {
        let detail = "the engine has restarted";
        let refusal = Refusal::may_have_run(RefusalReason::EndpointFailed, RETRY_AFTER, detail);
        let mut outputs = Vec::new();
        for (request, inbound) in self.ledger.restarted(now) {
            self.imports.remove(&request);
            self.prefills.remove(request);
            outputs.push(self.reply(inbound, AgentReply::Refused(refusal.clone()), true));
            outputs.push(Output::Effect(EngineEffect::Cancel(request)));
        }
        outputs
    }

    /// Forwards a result of the engine to its entry; cancels work that is not in the ledger.
    fn progress(&mut self, request: RequestId, reply: AgentReply, last: bool) -> Outputs {
        if !self.ledger.contains(request) {
            return if last {
                Vec::new()
            } else {
                vec![Output::Effect(EngineEffect::Cancel(request))]
            };
        }
        self.imports.remove(&request);
        let load = self.ledger.inbound(request).filter(|_| last).map(|i| self.load_reply(i));
        let inbound =
            if last { self.ledger.release(request) } else { self.ledger.inbound(request) };
        let Some(inbound) = inbound else { return Vec::new() };
        load.into_iter().chain([self.reply(inbound, reply, last)]).collect()
    }

    fn answered(&mut self, request: RequestId, answer: Answer) -> Outputs {
        if self.ledger.runs_once(request) {
            self.settlements.record(request, Settled::finished(answer.clone()));
        }
        self.progress(request, AgentReply::Answer(answer), true)
    }

    fn failed(
        &mut self,
        now: Timestamp,
        request: RequestId,
        ran: Ran,
        detail: Box<str>,
    ) -> Outputs {
        if self.ledger.runs_once(request) {
            let settled = if ran == Ran::No { Settled::NotStarted } else { Settled::Unknown };
            self.settlements.record(request, settled);
        }
        self.imports.remove(&request);
        let may_continue = ran != Ran::No && self.cancellable() && self.ledger.contains(request);
        let inbound = if may_continue {
            self.ledger.interrupted(now, request)
        } else {
            self.ledger.release(request)
        };
        let reason = RefusalReason::EndpointFailed;
        let refusal = Refusal { reason, ran, retry: RETRY_AFTER, detail };
        let refuse =
            |inbound: InboundId| self.reply(inbound, AgentReply::Refused(refusal.clone()), true);
        let mut outputs: Outputs = inbound.map(refuse).into_iter().collect();
        if may_continue {
            outputs.push(Output::Effect(EngineEffect::Cancel(request)));
        }
        outputs
    }
}
