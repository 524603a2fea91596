//! The attempt ledger of one call: it alone decides which terminal outcome may be told.

use std::time::Duration;

use super::super::{CallerEffect, Terminal};
use crate::link::message::Answer;
use crate::model::{CallId, Ran, Refusal, RefusalReason};
use crate::role::Output;

/// What is known of the attempts of one call.
#[derive(Debug)]
pub(crate) struct Attempts {
    last: u32,
    in_flight: bool,
    /// Whether other calls with the same key may have run.
    key_open: bool,
    ran: Ran,
}

impl Attempts {
    /// Makes the ledger of a new call; nothing is known of earlier calls with its key.
    pub(crate) fn new(has_key: bool) -> Attempts {
        Attempts { last: 0, in_flight: false, key_open: has_key, ran: Ran::No }
    }

    /// Notes that the key belongs to this call, so that no other call with it has run.
    pub(crate) fn key_granted(&mut self) {
        self.key_open = false;
    }

    /// Numbers a new attempt, of which nothing has been sent.
    pub(crate) fn prepare(&mut self) -> u32 {
        self.last += 1;
        self.last
    }

    /// Returns the number of the latest attempt.
    pub(crate) fn last(&self) -> u32 {
        self.last
    }

    /// Notes that the attempt is sent, so that it may run from now on.
    pub(crate) fn dispatched(&mut self) {
        self.in_flight = true;
    }

    /// Notes that a part of the attempt has run.
    pub(crate) fn started(&mut self) {
        self.ran = self.ran.max(Ran::Maybe);
    }

    /// Notes the end of the attempt, which never starts after this.
    pub(crate) fn ended(&mut self, ran: Ran) {
        self.in_flight = false;
        self.ran = self.ran.max(ran);
    }

    /// Notes what attempts of other calls with the same key came to.
    pub(crate) fn merge_other(&mut self, ran: Ran) {
        self.ran = self.ran.max(ran);
    }

    /// Returns whether an attempt of this call ran; one in flight may run.
    pub(crate) fn own_ran(&self) -> Ran {
        if self.in_flight { self.ran.max(Ran::Maybe) } else { self.ran }
    }

    /// Returns whether the request ran; an attempt in flight may run, and an earlier call with
    /// a key that this call was not granted may have run.
    pub(crate) fn ran(&self) -> Ran {
        if self.key_open { self.ran.max(Ran::Maybe) } else { self.own_ran() }
    }
}

/// The right to tell one caller its one terminal outcome.
#[derive(Debug)]
pub(crate) struct Responder {
    call: CallId,
}

impl Responder {
    pub(crate) fn new(call: CallId) -> Responder {
        Responder { call }
    }

    /// Tells a plain service's answer.
    pub(crate) fn answered(self, answer: Answer) -> Output<CallerEffect> {
        self.finish(Terminal::Answered(answer))
    }

    /// Tells that all tokens were passed on.
    pub(crate) fn generated(self, tokens: u32, finish: Box<str>) -> Output<CallerEffect> {
        self.finish(Terminal::Generated { tokens, finish })
    }

    /// Tells a refusal, with what the ledger knows about whether the request ran.
    pub(crate) fn refused(
        self,
        attempts: &Attempts,
        reason: RefusalReason,
        retry: Duration,
        detail: &str,
    ) -> Output<CallerEffect> {
        // The key stands for another content, so no call with this content has run.
        let ran = if reason == RefusalReason::KeyReused { Ran::No } else { attempts.ran() };
        let refusal = Refusal { reason, ran, retry, detail: detail.into() };
        log::info!("step=refuse call={} {refusal}", self.call);
        self.finish(Terminal::Refused(refusal))
    }

    fn finish(self, outcome: Terminal) -> Output<CallerEffect> {
        Output::Effect(CallerEffect::Finish { call: self.call, outcome })
    }
}
