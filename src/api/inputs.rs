//! The inputs of an API: what each of them leads to, and when the role wakes next.

use super::{Api, Outputs};
use crate::h1::{CallerId, HttpEffect, HttpInput};
use crate::link::message::Reply;
use crate::model::Timestamp;
use crate::role::{Input, Role};
use crate::shutdown::Phase;

impl Role for Api {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, now: Timestamp, input: Input<HttpInput>) -> Outputs {
        match input {
            Input::Local(HttpInput::Request { caller, request, .. }) => {
                self.request_received(now, caller, &request);
            }
            Input::Local(HttpInput::CallerGone { caller }) => {
                // The command is not withdrawn: it may be committed already.
                if let Some(pending) = self.pending.remove(&caller) {
                    let exchanges = pending.exchanges();
                    self.by_exchange.retain(|exchange, _| !exchanges.contains(exchange));
                }
            }
            Input::Local(input) => self.order_input(now, input),
            Input::Members { addresses } => self.settings.members = addresses,
            Input::Request { .. } | Input::Abandoned { .. } => {}
            Input::Reply { exchange, envelope } => {
                if let Reply::Control(reply) = envelope.body {
                    self.reply_received(now, exchange, reply);
                }
            }
            Input::Closed { exchange, failure } => {
                if self.leader_request == Some(exchange) {
                    self.leader_request = None;
                }
                if failure.is_some()
                    && let Some(caller) = self.by_exchange.remove(&exchange)
                    && !self.take_earlier(caller, exchange)
                {
                    self.leader = None;
                    self.retry(now, caller, true);
                }
            }
            Input::Wake => {
                let due: Vec<CallerId> = self
                    .pending
                    .iter()
                    .filter(|(_, p)| Api::due(p) <= now)
                    .map(|(caller, _)| *caller)
                    .collect();
                for caller in due {
                    self.on_timer(now, caller);
                }
                if self.shutdown.phase() < Phase::End {
                    self.request_leader(now);
                    self.expire_orders(now);
                }
            }
            Input::Shutdown { since } => self.request_shutdown(now, since),
        }
        self.advance_shutdown(now);
        std::mem::take(&mut self.outputs)
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let pending = self.pending.values().map(Api::due).min();
        let running = self.shutdown.phase() < Phase::End;
        let leader = running.then_some(self.next_leader_request);
        let rest = [leader, self.shutdown.next_wake()];
        pending.into_iter().chain(rest.into_iter().flatten()).min()
    }
}
