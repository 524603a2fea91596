//! The attempt ledger of a call, which alone determines what a refusal says about whether the
//! request ran.

use std::time::Duration;

use super::super::{CallerEffect, Terminal};
use crate::link::message::Answer;
use crate::model::{CallId, Ran, Refusal, RefusalReason};
use crate::role::Output;

/// The attempts of one call, and whether any of them may have run.
#[derive(Debug)]
pub(crate) struct Attempts {
    last: u32,
    in_flight: bool,
    /// Whether other calls with the same idempotency key may have run.
    key_open: bool,
    ran: Ran,
}

impl Attempts {
    /// Creates the ledger of a new call; with `has_key`, earlier calls with the key may have run.
    pub(crate) fn new(has_key: bool) -> Attempts {
        Attempts { last: 0, in_flight: false, key_open: has_key, ran: Ran::No }
    }

    /// Records that the key is granted to this call: earlier calls with it have not run or may be
    /// repeated.
    pub(crate) fn key_granted(&mut self) {
        self.key_open = false;
    }

    /// Assigns a number to a new attempt, of which nothing has been sent.
    pub(crate) fn prepare(&mut self) -> u32 {
        self.last += 1;
        self.last
    }

    /// Returns the number of the latest attempt, starting at 1.
    pub(crate) fn last(&self) -> u32 {
        self.last
    }

    /// Records that the attempt is sent, so it may run from now on.
    pub(crate) fn dispatched(&mut self) {
        self.in_flight = true;
    }

    /// Records that part of the attempt has run.
    pub(crate) fn started(&mut self) {
        self.ran = self.ran.max(Ran::Maybe);
    }

    /// Records the end of the attempt, which can't start any more.
    pub(crate) fn ended(&mut self, ran: Ran) {
        self.in_flight = false;
        self.ran = self.ran.max(ran);
    }

    /// Records whether attempts of other calls with the same key may have run.
    pub(crate) fn merge_other(&mut self, ran: Ran) {
        self.ran = self.ran.max(ran);
    }

    /// Returns whether an attempt of this call ran; an attempt in flight counts as `Maybe`.
    pub(crate) fn own_ran(&self) -> Ran {
        if self.in_flight { self.ran.max(Ran::Maybe) } else { self.ran }
    }

    /// Returns whether the request ran in this call or another one with its key.
    ///
    /// An attempt in flight counts as `Maybe`, and so does a key that is not granted to this call.
    pub(crate) fn ran(&self) -> Ran {
        if self.key_open { self.ran.max(Ran::Maybe) } else { self.own_ran() }
    }
}

/// Delivers the single terminal outcome to a caller; each method consumes it.
#[derive(Debug)]
pub(crate) struct Responder {
    call: CallId,
}

impl Responder {
    pub(crate) fn new(call: CallId) -> Responder {
        Responder { call }
    }

    /// Delivers the answer of a plain service.
    pub(crate) fn answered(self, answer: Answer) -> Output<CallerEffect> {
        self.finish(Terminal::Answered(answer))
    }

    /// Delivers the end of a generation of which all tokens were delivered.
    pub(crate) fn generated(self, tokens: u32, finish: Box<str>) -> Output<CallerEffect> {
        self.finish(Terminal::Generated { tokens, finish })
    }

    /// Delivers a refusal, which includes whether the request ran according to the ledger.
    pub(crate) fn refused(
        self,
        attempts: &Attempts,
        reason: RefusalReason,
        retry: Duration,
        detail: &str,
    ) -> Output<CallerEffect> {
        // The key belongs to a request with other content, so this content has not run under it.
        let ran = if reason == RefusalReason::KeyReused { Ran::No } else { attempts.ran() };
        let refusal = Refusal { reason, ran, retry, detail: detail.into() };
        log::info!("step=refuse call={} {refusal}", self.call);
        self.finish(Terminal::Refused(refusal))
    }

    fn finish(self, outcome: Terminal) -> Output<CallerEffect> {
        Output::Effect(CallerEffect::Finish { call: self.call, outcome })
    }
}
