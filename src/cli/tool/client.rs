//! Requests to control members.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};

use super::super::checker::Checker;
use super::{Failure, ToolArgs, ToolError};
use crate::control::config::Revised;
use crate::control::state::{Applied, Command};
use crate::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request, Status};
use crate::link::tls::Identity;
use crate::link::{Link, LinkAction, LinkEvent, LinkHandle, Sink};
use crate::model::ExchangeId;
use crate::role::LinkFailure;

/// How long to wait for the answer of one control member.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The most attempts of one request, for each control member.
const MAX_ROUNDS: usize = 4;
/// The delay before a request is sent again after a member that does not lead answered it, so that
/// a leader can be elected.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(200);

struct EventQueue(Sender<LinkEvent>);

impl Sink for EventQueue {
    fn deliver(&self, event: LinkEvent) {
        let _ = self.0.send(event);
    }
}

/// Sends requests to control members with the operators' certificate.
pub struct Client {
    members: Vec<SocketAddr>,
    link: LinkHandle,
    owner: u64,
    events: Receiver<LinkEvent>,
    last: Cell<u64>,
}

impl Client {
    /// Checks the flags, loads the operators' key and starts the link; connects to no member yet.
    pub fn new(args: &ToolArgs) -> Result<Client, ToolError> {
        let mut check = Checker::default();
        let given =
            |flag: &Option<String>, name: &str| flag.clone().or_else(|| std::env::var(name).ok());
        let text = check.text("members", &given(&args.members, "DOTTERELPIN_MEMBERS"));
        let parts = text.split(',').filter(|_| !text.is_empty());
        let members: Vec<SocketAddr> =
            parts.filter_map(|m| check.parse_address("members", m)).collect();
        let keys = check.path("keys", &given(&args.keys, "DOTTERELPIN_KEYS"));
        if !check.errors.is_empty() {
            return Err(ToolError::new(Failure::Usage, eyre!(check.errors.join("\n"))));
        }
        let identity = Identity::load_operator(&keys).map_err(|e| {
            let error = ToolError::new(Failure::Usage, e.wrap_err("--keys"));
            error.hint("use the folder that `dotterelpin keys FOLDER` created")
        })?;
        let local = if members.iter().all(SocketAddr::is_ipv4) { "0.0.0.0:0" } else { "[::]:0" };
        let link = Link::bind(local.parse().wrap_err("parse local address")?, identity)?;
        let handle = link.handle();
        let (sender, events) = channel();
        let owner = handle.register(Arc::new(EventQueue(sender)));
        link.start(Arc::new(|_| None))?;
        Ok(Client { members, link: handle, owner, events, last: Cell::new(0) })
    }

    /// Returns a member's view of the fleet.
    pub fn status(&self) -> Result<Status, ToolError> {
        match self.send(ControlRequest::Status)? {
            ControlReply::Status(status) => Ok(*status),
            other => Err(eyre!("control answered {other:?} to a status request").into()),
        }
    }

    /// Appends a command to the log and returns the result of applying it.
    pub fn propose(&self, command: Command) -> Result<Applied, ToolError> {
        match self.send(ControlRequest::Propose(command))? {
            ControlReply::Applied(applied) => Ok(applied),
            other => Err(eyre!("control answered {other:?} to a command").into()),
        }
    }

    /// Sends a request to the members in turn until one answers; it must be safe to send again.
    fn send(&self, request: ControlRequest) -> Result<ControlReply, ToolError> {
        let mut problem = eyre!("--members names no control member");
        let mut next = None;
        for round in 0..MAX_ROUNDS * self.members.len() {
            let peer = next.take().unwrap_or(self.members[round % self.members.len()]);
            match self.send_to(peer, request.clone()) {
                Ok(ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader }) => {
                    problem = eyre!("step=ask peer={peer}: the member does not lead");
                    next = leader;
                    std::thread::sleep(LEADER_RETRY_DELAY);
                }
                Ok(reply) => return Ok(reply),
                Err(error) if error.failure == Failure::Refused => return Err(error),
                Err(error) => problem = eyre!("{error}"),
            }
        }
        let error = ToolError::new(Failure::Unreached, problem);
        Err(error.hint(
            "check --members, the network, and that a majority of control members is running",
        ))
    }

    fn send_to(
        &self,
        peer: SocketAddr,
        request: ControlRequest,
    ) -> Result<ControlReply, ToolError> {
        let exchange = ExchangeId(self.last.get() + 1);
        self.last.set(exchange.0);
        let envelope = Envelope { revised: Revised::default(), body: Request::Control(request) };
        self.link.act(LinkAction::Open { owner: self.owner, exchange, peer, envelope });
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let event = self.events.recv_timeout(left).map_err(|_| {
                self.link.act(LinkAction::Reset { owner: self.owner, exchange });
                self.link.act(LinkAction::Redial { peer });
                eyre!("step=ask peer={peer}: no answer in {ANSWER_TIMEOUT:?}")
            })?;
            match event {
                LinkEvent::Reply { exchange: e, envelope } if e == exchange => {
                    if let Reply::Control(reply) = envelope.body {
                        return Ok(reply);
                    }
                }
                LinkEvent::Closed { exchange: e, failure } if e == exchange => {
                    return Err(close_error(peer, failure));
                }
                _ => {}
            }
        }
    }
}

fn close_error(peer: SocketAddr, failure: Option<LinkFailure>) -> ToolError {
    match failure {
        Some(LinkFailure::Forbidden) => {
            let error = eyre!("step=ask peer={peer}: the certificate does not allow this request");
            ToolError::new(Failure::Refused, error).hint("use the operators' key of this fleet")
        }
        Some(LinkFailure::NotSent) => {
            eyre!("step=dial peer={peer}: no connection could be established").into()
        }
        _ => eyre!("step=ask peer={peer}: the connection was lost before an answer").into(),
    }
}
