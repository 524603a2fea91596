//! One call of a caller and how far it is.

use std::sync::Arc;
use std::time::Duration;

use super::assign::Assigned;
use super::events::EventSplitter;
use super::fleet::{EndpointKey, Usage};
use super::protocol::{AnswerInfo, CallInfo, Export};
use super::queue::Rank;
use crate::control::dispatch::rooms::RunId;
use crate::h1::{AnswerHead, PeerId, Request};
use crate::model::{ExchangeId, Timestamp};
use crate::routes::{Route, RouteKey, RouteTable};

/// One send of a call to an endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// The connection.
    pub peer: PeerId,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// What the gateway counts as in use there.
    pub usage: Usage,
    /// When it was sent.
    pub since: Timestamp,
    /// Whether the connection stands.
    pub connected: bool,
    /// The head of the answer, once it has come.
    pub head: Option<(AnswerHead, AnswerInfo)>,
    /// The content so far, of an answer that is not passed on as it comes.
    pub content: Vec<u8>,
}

impl Attempt {
    /// Makes a send that has no answer yet.
    pub fn new(
        peer: PeerId,
        endpoint: EndpointKey,
        usage: Usage,
        since: Timestamp,
        connected: bool,
    ) -> Attempt {
        Attempt { peer, endpoint, usage, since, connected, head: None, content: Vec::new() }
    }
}

/// Room at a decode endpoint that is kept for a call while its prompt is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The room.
    pub usage: Usage,
}

/// KV cache that a call's send is to take.
#[derive(Debug, Clone)]
pub struct Handoff {
    /// The prefill endpoint that keeps it.
    pub source: EndpointKey,
    /// What it keeps.
    pub export: Export,
    /// When it was made.
    pub made: Timestamp,
}

/// Where a call is.
#[derive(Debug)]
pub enum Stage {
    /// It waits for room.
    Waiting,
    /// A decode endpoint is asked to keep room for it.
    Hold {
        /// The connection.
        peer: PeerId,
        /// The room.
        decode: Reservation,
    },
    /// Control's leader is asked which endpoint has room for it.
    Room {
        /// The question.
        exchange: ExchangeId,
    },
    /// Control's leader is asked which endpoint reads its prompt.
    Assign {
        /// The question.
        exchange: ExchangeId,
        /// Where it runs next.
        decode: Reservation,
    },
    /// A prefill endpoint reads its prompt.
    Prefill {
        /// The send.
        attempt: Attempt,
        /// Where it runs next.
        decode: Reservation,
    },
    /// An endpoint runs it.
    Run {
        /// The send.
        attempt: Attempt,
        /// KV cache that this send is to take.
        handoff: Option<Handoff>,
    },
}

/// How much of the answer the caller has.
#[derive(Debug, Default)]
pub struct Delivered {
    /// Whether the head was written.
    pub head: bool,
    /// When the first event was written.
    pub first: Option<Timestamp>,
    /// When the last event was written.
    pub last: Option<Timestamp>,
    /// The longest pause between events so far.
    pub gap: Duration,
    /// The number of the last event that was written.
    pub event: Option<u64>,
    /// Events that were written.
    pub events: u32,
}

/// A whole failure that an endpoint answered.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// The head.
    pub head: AnswerHead,
    /// The content.
    pub content: Vec<u8>,
}

/// What the send was that came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Where it went.
    pub endpoint: EndpointKey,
    /// Whether it had the prompt read.
    pub in_prefill: bool,
    /// Whether the call has not run there and won't.
    pub not_run: bool,
    /// Whether the connection broke off while the endpoint ran the call, for the first time there.
    pub broke_off: bool,
}

/// A call.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// What the caller says of it.
    pub info: CallInfo,
    /// The table that it was routed by.
    pub table: Arc<RouteTable>,
    /// Its route there.
    pub route: RouteKey,
    /// Its service.
    pub service: Box<str>,
    /// When it came.
    pub arrived: Timestamp,
    /// Whether its target had passed when it came: its caller was refused before.
    pub late: bool,
    /// When it is given up.
    pub deadline: Timestamp,
    /// When the caller leaves.
    pub caller_deadline: Timestamp,
    /// Sends that count as attempts.
    pub sends: u32,
    /// Whether an endpoint has read its prompt.
    pub exported: bool,
    /// Prefills that were sent.
    pub prefills: u32,
    /// Endpoints that it was sent to without success.
    pub tried: Vec<EndpointKey>,
    /// Room that a decode endpoint keeps for it, by its name there.
    pub hold: Option<(EndpointKey, Box<str>)>,
    /// The run by which the leader counts its room.
    pub run: Option<RunId>,
    /// Where the leader counts its prompt.
    pub assigned: Option<Assigned>,
    /// Where a run broke off; that endpoint is asked to go on.
    pub broke_at: Option<EndpointKey>,
    /// Whether any send may have run.
    pub may_have_run: bool,
    /// The last failure that an endpoint answered.
    pub failed: Option<CompleteAnswer>,
    /// Where it is.
    pub stage: Stage,
    /// What the caller has.
    pub delivered: Delivered,
    /// Events of the present run.
    pub splitter: EventSplitter,
    /// When the request for room, or the question to the leader, is given up.
    pub reply_deadline: Timestamp,
    /// When it looks at the time next.
    pub timer: Timestamp,
}

impl Call {
    /// Returns its route.
    pub fn route(&self) -> Option<&Route> {
        self.table.get(self.route)
    }

    /// Returns whether it may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.route().is_some_and(|r| r.repeat.is_repeatable())
    }

    /// Returns whether its answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.route().is_some_and(|r| r.repeat.is_stream())
    }

    /// Returns its place among the calls that wait; one that goes on in the middle is in time.
    pub fn rank(&self) -> Rank {
        let priority = self.route().map_or(u8::MAX, |r| r.priority);
        Rank { priority, late: self.late && self.delivered.last.is_none() }
    }

    /// Returns how long its caller still waits.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline - now
    }

    /// Returns the send that is under way.
    pub fn attempt(&mut self) -> Option<&mut Attempt> {
        match &mut self.stage {
            Stage::Waiting | Stage::Room { .. } | Stage::Hold { .. } | Stage::Assign { .. } => None,
            Stage::Prefill { attempt, .. } | Stage::Run { attempt, .. } => Some(attempt),
        }
    }
}
