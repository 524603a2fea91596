//! Prefills and reservation requests whose calls have ended or go on without them: their
//! connections are kept until it is known what became of the KV cache.
//!
//! Only the answer to a prefill names the handle of its export, and only the answer to a reservation
//! request names the reservation. If the call ends before, the answer may be on its way, or wait at
//! an endpoint that is silent. The export that such an answer names is freed at once, and the
//! reservation is dropped. An endpoint that answers anything else is sound; it has little time left
//! for a prefill, whose connection is then closed, which cancels it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::call::{Reservation, Stage};
use super::fleet::{EndpointKey, Job, Usage};
use super::protocol::SideRequest;
use super::reserve::HOLD_TTL;
use super::waste::PrefillPace;
use super::{CallerId, Gateway, PeerId};
use crate::h1::HttpEffect;
use crate::model::Timestamp;

/// How long an endpoint that is not silent may take to answer a prefill whose call has ended.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long it takes at least until an export is made: an endpoint notices before that its
/// connection is closed.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(10);

/// A prefill is taken to be unfinished for the time of the fastest one, divided by this: another one
/// may be faster.
const PACE_MARGIN: u32 = 2;

/// What the answer to a request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Named {
    /// The export of a prefill.
    Export,
    /// A reservation.
    Hold,
}

impl Named {
    /// Returns the name for logs.
    fn name(self) -> &'static str {
        match self {
            Named::Export => "export",
            Named::Hold => "hold",
        }
    }
}

/// A request whose call has ended.
#[derive(Debug)]
struct LateAnswer {
    named: Named,
    /// The id of the call.
    id: Box<str>,
    endpoint: EndpointKey,
    /// The capacity that it still uses at the endpoint.
    usage: Usage,
    /// When its call ended.
    since: Timestamp,
    /// When the endpoint would drop an export or a reservation that it had made by `since`.
    until: Timestamp,
    /// When the endpoint of a prefill first answered anything after `since`.
    heard: Option<Timestamp>,
}

impl LateAnswer {
    /// Returns when its connection is closed.
    fn due(&self) -> Timestamp {
        self.heard.map_or(self.until, |at| self.until.min(at + ANSWER_TIMEOUT))
    }
}

/// The requests whose calls have ended, by their connections.
#[derive(Debug, Default)]
pub(super) struct LateAnswers {
    /// How fast prefills are answered at most.
    pub pace: PrefillPace,
    open: BTreeMap<PeerId, LateAnswer>,
}

impl LateAnswers {
    /// Returns when the next connection is closed.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.open.values().map(LateAnswer::due).min()
    }

    /// Returns the id of the call that the answer on a connection has to name; `None` for one that
    /// names none.
    pub fn call_id(&self, peer: PeerId) -> Option<&str> {
        let late = self.open.get(&peer).filter(|l| l.named == Named::Export)?;
        Some(&late.id)
    }

    /// Records that an endpoint has answered something.
    pub fn heard(&mut self, now: Timestamp, endpoint: EndpointKey) {
        let prefill = |l: &&mut LateAnswer| l.endpoint == endpoint && l.named == Named::Export;
        for late in self.open.values_mut().filter(prefill) {
            late.heard.get_or_insert(now);
        }
    }
}

impl Gateway {
    /// Keeps the connection of a call's prefill for its answer, as the call ends or goes on without
    /// it; returns `false` if the call has no prefill whose endpoint may have made an export.
    pub(super) fn keep_prefill(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(shape) = self.shape(caller) else { return false };
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        let prompt = call.info.work.as_ref().map_or(0, |w| w.prompt);
        let Stage::Prefill { attempt, .. } = &mut call.stage else { return false };
        let least = self.late_answers.pace.least(prompt) / PACE_MARGIN;
        if now - attempt.since < least.max(MIN_PREFILL_TIME) {
            return false;
        }
        let (peer, endpoint, usage) = (attempt.peer, attempt.endpoint, attempt.usage);
        let Some(conn) = self.fleet.conn(peer).filter(|c| c.connected) else { return false };
        conn.job = Job::Late;
        conn.status = attempt.head.as_ref().map_or(0, |(head, _)| head.status);
        conn.content = std::mem::take(&mut attempt.content);
        let id = call.info.id.clone();
        let until = now + shape.retention;
        let named = Named::Export;
        let late = LateAnswer { named, id, endpoint, usage, since: now, until, heard: None };
        self.keep_late(now, peer, late);
        if !self.is_asked(now, endpoint) {
            // It can't be told whether the endpoint is silent.
            self.late_answers.heard(now, endpoint);
        }
        true
    }

    /// Gives up a reservation request: keeps its connection for its answer, or closes it if no answer
    /// can be on its way.
    pub(super) fn give_up_hold(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        peer: PeerId,
        decode: &Reservation,
    ) {
        if !self.keep_hold(now, caller, peer, decode) {
            self.hang_up(peer);
        }
    }

    fn keep_hold(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        peer: PeerId,
        decode: &Reservation,
    ) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        let Some(conn) = self.fleet.conn(peer) else { return false };
        if !conn.connected || conn.since == now {
            return false;
        }
        conn.job = Job::Late;
        let id = call.info.id.clone();
        let (endpoint, usage) = (decode.endpoint, decode.usage);
        let (named, until) = (Named::Hold, now + HOLD_TTL);
        let late = LateAnswer { named, id, endpoint, usage, since: now, until, heard: None };
        self.keep_late(now, peer, late);
        true
    }

    fn keep_late(&mut self, now: Timestamp, peer: PeerId, late: LateAnswer) {
        if let Some(target) = self.fleet.get_mut(late.endpoint) {
            target.keep_usage(now, late.usage);
        }
        self.late_answers.open.insert(peer, late);
    }

    /// Requests a report from an endpoint, unless one is open, to learn whether it is silent;
    /// returns whether one is open.
    fn is_asked(&mut self, now: Timestamp, endpoint: EndpointKey) -> bool {
        if self.fleet.has_job(endpoint, Job::Report) {
            return true;
        }
        let target = self.fleet.get(endpoint);
        // An endpoint that names a limit is left the requests that callers wait for.
        let asked = target.is_some_and(|e| e.notices.limit.rate().is_none());
        let request = SideRequest::Report;
        asked && self.send_side_request(now, endpoint, Job::Report, &request).is_some()
    }

    /// Frees the export, or drops the reservation, that the answer to a request names whose call has
    /// ended.
    pub(super) fn late_ended(&mut self, now: Timestamp, peer: PeerId, status: u16, content: &[u8]) {
        let Some(late) = self.end_late(now, peer) else { return };
        let released = match late.named {
            Named::Export => self.free_late_export(now, late.endpoint, status, content),
            Named::Hold => self.drop_late_hold(now, late.endpoint, status, content),
        };
        log::info!(
            "step=late-answer id={} named={} outcome={} ms={}",
            late.id,
            late.named.name(),
            if released { "released" } else { "none" },
            (now - late.since).as_millis(),
        );
    }

    fn free_late_export(
        &mut self,
        now: Timestamp,
        endpoint: EndpointKey,
        status: u16,
        content: &[u8],
    ) -> bool {
        let good = (200..300).contains(&status);
        let export = good.then(|| self.protocol.read_export(content)).flatten();
        let Some(export) = export else { return false };
        self.free_export(now, endpoint, &export.handle);
        true
    }

    fn drop_late_hold(
        &mut self,
        now: Timestamp,
        endpoint: EndpointKey,
        status: u16,
        content: &[u8],
    ) -> bool {
        let hold = (status == 200).then(|| self.protocol.read_hold(content)).flatten();
        let Some(hold) = hold else { return false };
        self.send_hold_drop(now, endpoint, hold);
        true
    }

    /// Handles the loss of the connection of a request whose call has ended.
    pub(super) fn late_lost(&mut self, now: Timestamp, peer: PeerId) {
        if let Some(late) = self.end_late(now, peer) {
            let ms = (now - late.since).as_millis();
            let named = late.named.name();
            log::info!("step=late-answer id={} named={named} outcome=lost ms={ms}", late.id);
        }
    }

    /// Closes the connections that are due.
    pub(super) fn close_late(&mut self, now: Timestamp) {
        let due = self.late_answers.open.iter().filter(|(_, l)| l.due() <= now);
        let due: Vec<PeerId> = due.map(|(peer, _)| *peer).collect();
        due.into_iter().for_each(|peer| self.give_up_late(now, peer));
    }

    /// Closes all connections at the end of the role.
    pub(super) fn close_all_late(&mut self, now: Timestamp) {
        while let Some((peer, _)) = self.late_answers.open.first_key_value() {
            self.give_up_late(now, *peer);
        }
    }

    /// Closes the connection of a request whose call has ended.
    fn give_up_late(&mut self, now: Timestamp, peer: PeerId) {
        self.fleet.close(peer);
        self.effect(HttpEffect::HangUp { peer });
        self.late_lost(now, peer);
    }

    fn end_late(&mut self, now: Timestamp, peer: PeerId) -> Option<LateAnswer> {
        let late = self.late_answers.open.remove(&peer)?;
        self.release(now, late.endpoint, late.usage);
        Some(late)
    }

    /// Returns how many exports and reservations of calls that have ended may be left at endpoints.
    pub(super) fn open_releases(&self) -> usize {
        self.late_answers.open.len() + self.fleet.jobs(Job::Free)
    }
}
