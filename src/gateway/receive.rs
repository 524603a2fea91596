//! Requests as they are read from callers: they become calls, or are refused.

use super::budget::Budget;
use super::call::{Call, Delivered, Stage};
use super::credit::Credit;
use super::events::EventSplitter;
use super::vacancy::Vacancy;
use super::{CallerId, Gateway, answer};
use crate::h1::Request;
use crate::model::Timestamp;

impl Gateway {
    /// Handles a new request; one that comes before there is a routing table may be kept.
    pub(super) fn request_received(&mut self, now: Timestamp, caller: CallerId, request: Request) {
        match self.protocol.read_call(&request.head) {
            Ok(info) if !self.can_route() => self.keep_early(now, caller, request, &info),
            _ => self.route_request(now, now, caller, request),
        }
    }

    /// Routes a request and admits it as a call, or refuses it.
    pub(super) fn route_request(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        caller: CallerId,
        request: Request,
    ) {
        let info = match self.protocol.read_call(&request.head) {
            Ok(info) => info,
            Err(error) => {
                self.refuse_request(now, caller, &request, None, answer::bad_request(error.text()));
                return;
            }
        };
        if !self.has_table() {
            let refusal = answer::no_table();
            self.refuse_request(now, caller, &request, Some(&info.id), refusal);
            return;
        }
        let host = request.head.fields.text("host").unwrap_or_default();
        let Some(key) = self.table.find(host, request.head.path()) else {
            let certain = self.is_certain(now);
            let refusal = if certain { answer::no_route() } else { answer::unconfirmed() };
            self.refuse_request(now, caller, &request, Some(&info.id), refusal);
            return;
        };
        let draw = self.draw();
        let table = self.table.clone();
        let Some(route) = table.get(key) else { return };
        let account = match self.identify(now, &request.head, route) {
            Ok(account) => account,
            Err(refusal) => {
                self.refuse_request(now, caller, &request, Some(&info.id), refusal);
                return;
            }
        };
        let timeout = info.timeout.unwrap_or(route.timeout);
        let waited = now - arrived;
        if !self.admits_new(now, route, timeout.saturating_sub(waited)) {
            self.refuse_request(now, caller, &request, Some(&info.id), answer::shutting_down());
            return;
        }
        let service: Box<str> = route.service(draw).unwrap_or_default().into();
        let usual = self.usual_timeouts.entry(route.name.clone()).or_default();
        // The caller of an interrupted stream has waited already.
        let late = usual.is_late(now, timeout, route.target) && info.after.is_none();
        let call = Call {
            deadline: arrived + timeout.min(route.timeout),
            caller_deadline: arrived + timeout,
            delivered: Delivered { event: info.after, ..Delivered::default() },
            request,
            info,
            table: table.clone(),
            route: key,
            account,
            charge: None,
            service,
            arrived,
            late,
            sends: 0,
            credit: Credit::default(),
            skips_prefill: false,
            probe: false,
            sent: false,
            first_run: false,
            exported: false,
            prefills: 0,
            tried: Vec::new(),
            software: None,
            hold: None,
            run: None,
            assigned: None,
            vacancy: Vacancy::default(),
            broke_at: None,
            may_have_run: false,
            failed: None,
            stage: Stage::Waiting,
            splitter: EventSplitter::default(),
            memory: None,
            reply_deadline: Timestamp::MAX,
            timer: Timestamp::MAX,
        };
        self.calls.insert(caller, call);
        if !self.hold_blocked(now, caller) {
            self.admit_counted(now, caller);
        }
    }

    /// Takes the credit for a call, counts it for the retry budget, and admits it; a call of an
    /// account with too little credit waits or is refused.
    pub(super) fn admit_counted(&mut self, now: Timestamp, caller: CallerId) {
        if self.take_credit(now, caller) {
            self.admit_paid(now, caller);
        }
    }

    /// Counts a call for the retry budget and admits it.
    pub(super) fn admit_paid(&mut self, now: Timestamp, caller: CallerId) {
        let Some(service) = self.calls.get(&caller).map(|c| c.service.clone()) else { return };
        let terms = self.settings.budget;
        let started = self.started.unwrap_or(now);
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| Budget::new(started)).called(now, &terms);
        if self.is_engine_call(caller) {
            self.note_called(now, service);
        }
        if self.calls.get(&caller).is_some_and(Call::is_resumption) {
            self.admit_resumption(now, caller);
        } else {
            self.admit_call(now, caller);
        }
        self.schedule(caller);
    }

    /// Starts or queues a new call, or refuses it at once.
    pub(super) fn admit_call(&mut self, now: Timestamp, caller: CallerId) {
        if let Some((refusal, why)) = self.closed_refusal(now, caller) {
            self.conclude(now, caller, refusal, why);
            return;
        }
        if self.is_engine_call(caller) {
            self.admit_engine_call(now, caller);
        } else {
            self.admit_plain_call(now, caller);
        }
    }
}
