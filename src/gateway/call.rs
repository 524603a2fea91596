//! The state of one call.

use std::sync::Arc;
use std::time::Duration;

use super::admit::quota::Charge;
use super::assign::Assigned;
use super::credit::Credit;
use super::events::EventSplitter;
use super::fleet::{Choice, EndpointKey, Usage};
use super::origins::OriginRequest;
use super::place::pace::Pace;
use super::protocol::{AnswerInfo, CallInfo, Export};
use super::vacancy::Vacancy;
use crate::control::dispatch::rooms::RunId;
use crate::h1::budget;
use crate::h1::{AnswerHead, PeerId, Request};
use crate::model::{ExchangeId, Rank, Timestamp};
use crate::report::observation::SendOrder;
use crate::routes::accounts::{Account, AccountKey};
use crate::routes::{Route, RouteKey, RouteTable};

/// One attempt to run a call, or its prefill, at an endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// The connection that carries it.
    pub peer: PeerId,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointKey,
    /// The capacity that the gateway counts for it at the endpoint.
    pub usage: Usage,
    /// When it was sent.
    pub since: Timestamp,
    /// Whether the connection is established.
    pub connected: bool,
    /// Whether the connection was established before it was sent.
    pub reused: bool,
    /// The software version of the endpoint when it was sent.
    pub software: Box<str>,
    /// The head of the answer, once it is received.
    pub head: Option<(AnswerHead, AnswerInfo)>,
    /// The content received so far, of an answer that is not streamed to the caller.
    pub content: Vec<u8>,
    /// The memory of the content.
    pub memory: Option<budget::Charge>,
    /// When its first event was received.
    pub first_event: Option<Timestamp>,
    /// Tokens of other prompts that its prefill waits for.
    pub ahead: u32,
    /// Measures the speed of its endpoint by its events.
    pub pace: Pace,
    /// Whether it is recorded that it goes on.
    pub survived: bool,
    /// Until when its silence is tolerated although it exceeds the timeout, because no other attempt
    /// could follow.
    pub kept_until: Timestamp,
}

impl Attempt {
    /// Creates an attempt that has no answer yet; `connected` is whether its connection was
    /// established before.
    pub fn new(
        peer: PeerId,
        endpoint: EndpointKey,
        usage: Usage,
        since: Timestamp,
        connected: bool,
        software: Box<str>,
    ) -> Attempt {
        Attempt {
            peer,
            endpoint,
            usage,
            since,
            connected,
            reused: connected,
            software,
            head: None,
            content: Vec::new(),
            memory: None,
            first_event: None,
            ahead: 0,
            pace: Pace::default(),
            survived: false,
            kept_until: since,
        }
    }
}

/// Capacity at a decode endpoint that is counted for a call until it runs there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// The decode endpoint.
    pub endpoint: EndpointKey,
    /// The reserved capacity.
    pub usage: Usage,
}

/// The export that an attempt of a call runs from.
#[derive(Debug, Clone)]
pub struct Handoff {
    /// The prefill endpoint that holds the KV cache.
    pub source: EndpointKey,
    /// The handle and size of the KV cache.
    pub export: Export,
    /// When the export was created.
    pub made: Timestamp,
}

/// The stage of a call.
#[derive(Debug)]
pub enum Stage {
    /// It waits for capacity.
    Waiting,
    /// It holds a suspect, and the leader is asked whether it may run as a probe.
    Probe,
    /// Its client account has too little credit here, and the leader is asked for more.
    Credit,
    /// It resumes a stream, and control members are asked which software version has begun that.
    Origin(OriginRequest),
    /// A reservation request to a decode endpoint is open.
    Hold {
        /// The connection that carries the request.
        peer: PeerId,
        /// The requested capacity.
        decode: Reservation,
    },
    /// A request to control's leader for a decode endpoint with capacity is open.
    Room {
        /// The exchange of the request.
        exchange: ExchangeId,
    },
    /// A request to control's leader for a prefill endpoint is open.
    Assign {
        /// The exchange of the request.
        exchange: ExchangeId,
        /// The capacity reserved for the run.
        decode: Reservation,
    },
    /// A prefill endpoint runs its prefill.
    Prefill {
        /// The attempt at the prefill endpoint.
        attempt: Attempt,
        /// The capacity reserved for the run.
        decode: Reservation,
    },
    /// An endpoint runs it.
    Run {
        /// The attempt at that endpoint.
        attempt: Attempt,
        /// The export that this attempt runs from, if it follows a prefill.
        handoff: Option<Handoff>,
    },
}

/// The part of the answer that was delivered to the caller.
#[derive(Debug, Default)]
pub struct Delivered {
    /// Whether the head was written.
    pub head: bool,
    /// When the first event was written.
    pub first: Option<Timestamp>,
    /// When the last event was written.
    pub last: Option<Timestamp>,
    /// The longest gap between two events so far.
    pub gap: Duration,
    /// The number of the last event that was written, or that the caller already had.
    pub event: Option<u64>,
    /// The count of events that were written.
    pub events: u32,
}

/// A complete answer of an endpoint.
#[derive(Debug, Clone)]
pub struct CompleteAnswer {
    /// Status and header fields.
    pub head: AnswerHead,
    /// The complete content.
    pub content: Vec<u8>,
}

/// An attempt that has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The endpoint that it was sent to.
    pub endpoint: EndpointKey,
    /// Whether it was a prefill.
    pub in_prefill: bool,
    /// Whether the call has not run there and will not.
    pub not_run: bool,
    /// Whether this is the first time that a connection broke while an engine ran the call.
    pub broke_off: bool,
}

/// A call that the gateway has admitted and not yet answered.
#[derive(Debug)]
pub struct Call {
    /// The caller's request.
    pub request: Request,
    /// The parsed header fields of the request.
    pub info: CallInfo,
    /// The routing table at its arrival; a newer table doesn't affect the call.
    pub table: Arc<RouteTable>,
    /// The key of its route in that table.
    pub route: RouteKey,
    /// The client account that it belongs to, in that table.
    pub account: Option<AccountKey>,
    /// The credit of that account that it has used.
    pub charge: Option<Charge>,
    /// The name of the service that was chosen for it.
    pub service: Box<str>,
    /// When it was received.
    pub arrived: Timestamp,
    /// Whether its latency target had already passed on arrival, as for a retry of a refused call.
    pub late: bool,
    /// When it times out: the earlier of the caller's deadline and the route's timeout.
    pub deadline: Timestamp,
    /// When the caller stops waiting for the answer.
    pub caller_deadline: Timestamp,
    /// How many attempts count against the maximum of the route: the endpoints that may have run it
    /// and may still do so, and prefills but for the first answered one.
    pub sends: u32,
    /// The requests to endpoints that may be sent for it without a further charge to the retry
    /// budget.
    pub credit: Credit,
    /// Whether it runs at its decode endpoint without a prefill endpoint, since no attempt is left
    /// for both, or no credit.
    pub skips_prefill: bool,
    /// Whether it is a probe of what is in quarantine.
    pub probe: bool,
    /// Whether any request of it was sent to an endpoint.
    pub sent: bool,
    /// Whether its next request to an endpoint is the run that follows its first answered prefill.
    pub first_run: bool,
    /// Whether a prefill of the call has succeeded.
    pub exported: bool,
    /// How many prefills were sent.
    pub prefills: u32,
    /// Endpoints at which an attempt failed; they get no further one.
    pub tried: Vec<EndpointKey>,
    /// The software version that has begun its stream; only endpoints of that version continue it.
    pub software: Option<Box<str>>,
    /// The decode endpoint that has granted a reservation, and the name of the reservation there.
    pub hold: Option<(EndpointKey, Box<str>)>,
    /// The run under which the leader counts its capacity.
    pub run: Option<RunId>,
    /// The prefill that the leader counts for it.
    pub assigned: Option<Assigned>,
    /// Whether there is capacity for another attempt while the present one is silent.
    pub vacancy: Vacancy,
    /// The engine at which a run was interrupted for the first time; the run resumes there.
    pub broke_at: Option<EndpointKey>,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
    /// The last failure that an endpoint answered.
    pub failed: Option<CompleteAnswer>,
    /// What is being done for it now.
    pub stage: Stage,
    /// What the caller has received of the answer.
    pub delivered: Delivered,
    /// Splits the answer of the present attempt into events.
    pub splitter: EventSplitter,
    /// The memory of the splitter.
    pub memory: Option<budget::Charge>,
    /// When the open request for capacity, a reservation or a prefill endpoint times out.
    pub reply_deadline: Timestamp,
    /// When its timer fires next.
    pub timer: Timestamp,
}

impl Call {
    /// Returns its route.
    pub fn route(&self) -> Option<&Route> {
        self.table.get(self.route)
    }

    /// Returns the client account that it belongs to.
    pub fn account(&self) -> Option<&Account> {
        self.table.accounts().get(self.account?)
    }

    /// Returns whether it may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.route().is_some_and(|r| r.repeat.is_repeatable())
    }

    /// Returns whether its answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.route().is_some_and(|r| r.repeat.is_stream())
    }

    /// Records that a request of it is sent to an endpoint; returns whether that repeats an earlier
    /// one.
    pub fn record_send(&mut self) -> SendOrder {
        let again = std::mem::replace(&mut self.sent, true);
        let first_run = std::mem::take(&mut self.first_run);
        if again && !first_run { SendOrder::Repeat } else { SendOrder::First }
    }

    /// Returns whether it resumes a stream of which its caller has events already.
    pub fn is_resumption(&self) -> bool {
        self.info.after.is_some() && self.is_stream()
    }

    /// Returns the endpoints among which one is chosen for it.
    pub fn choice(&self) -> Choice<'_> {
        let software = self.software.as_deref();
        Choice { service: &self.service, tried: &self.tried, software }
    }

    /// Returns its rank in the queue; an interrupted stream is never late.
    pub fn rank(&self) -> Rank {
        let priority = self.route().map_or(u8::MAX, |route| route.priority);
        let account = self.account().and_then(|account| account.priority).unwrap_or(priority);
        Rank { account, priority, late: self.late && self.delivered.last.is_none() }
    }

    /// Returns the time until its deadline.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline - now
    }

    /// Returns the attempt that is in progress, if any.
    pub fn attempt(&mut self) -> Option<&mut Attempt> {
        match &mut self.stage {
            Stage::Waiting
            | Stage::Probe
            | Stage::Credit
            | Stage::Origin(_)
            | Stage::Room { .. }
            | Stage::Hold { .. }
            | Stage::Assign { .. } => None,
            Stage::Prefill { attempt, .. } | Stage::Run { attempt, .. } => Some(attempt),
        }
    }
}
