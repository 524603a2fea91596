//! The thread that polls the sockets of one role and steps the role.

mod accept;
mod bounds;
mod callers;
mod effects;
mod ending;
mod peers;
mod room;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::WrapErr;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};

use self::ending::Ending;
use super::budget::{Budget, Level};
use super::caller::Caller;
use super::limits::AppliedLimits;
use super::peer::Peer;
use super::{CallerId, HttpEffect, HttpInput, PeerId, Purpose};
use crate::link::{LinkEvent, LinkHandle, Sink};
use crate::model::Timestamp;
use crate::report::metrics::Metrics;
use crate::role::{Input, LocalOutput, Role};
use crate::routes::CallerLimits;

/// The longest time that the thread waits in one poll.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// The shortest time that the thread waits in one poll when it has no work.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// How often the thread checks for connections that have timed out.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// The same once the role has stopped.
const ENDING_INTERVAL: Duration = Duration::from_millis(50);
/// How often the thread tries again to accept connections that no descriptor was left for.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(50);
/// The most events that one poll returns.
const MAX_EVENTS: usize = 256;
/// The most inputs from other threads that are handled before the sockets are.
const MAX_INPUTS_PER_POLL: usize = 256;
const WAKER: Token = Token(0);
/// Tokens below this one belong to the waker and the listeners.
const FIRST_CONNECTION: u64 = 8;

/// An address on which connections are accepted, with its purpose.
#[derive(Debug, Clone, Copy)]
pub struct Listener {
    /// The TCP address to bind.
    pub address: SocketAddr,
    /// The purpose of the connections accepted on it.
    pub purpose: Purpose,
}

/// Queues inputs for the thread and wakes it.
#[derive(Clone)]
pub struct HttpHandle {
    queue: Sender<Input<HttpInput>>,
    waker: Arc<Waker>,
}

impl HttpHandle {
    /// Queues an input; a role that has stopped ignores it.
    pub fn send(&self, input: Input<HttpInput>) {
        if self.queue.send(input).is_ok()
            && let Err(error) = self.waker.wake()
        {
            log::error!("step=wake error=\"{error}\"");
        }
    }
}

impl Sink for HttpHandle {
    fn deliver(&self, event: LinkEvent) {
        self.send(Input::from(event));
    }
}

/// The bound listeners and the queue of a role before its thread starts.
pub struct HttpDriver {
    poll: Poll,
    queue: Receiver<Input<HttpInput>>,
    handle: HttpHandle,
    listeners: Vec<(TcpListener, Purpose)>,
    budget: Arc<Budget>,
}

impl HttpDriver {
    /// Binds the listeners.
    pub fn bind(listeners: &[Listener]) -> eyre::Result<HttpDriver> {
        let poll = Poll::new().wrap_err("step=poll")?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER).wrap_err("step=waker")?);
        let (sender, queue) = channel();
        let mut bound = Vec::new();
        for (index, Listener { address, purpose }) in listeners.iter().enumerate() {
            let mut listener = TcpListener::bind(*address)
                .wrap_err_with(|| format!("step=listen TCP address {address}"))?;
            let token = Token(index + 1);
            poll.registry()
                .register(&mut listener, token, Interest::READABLE)
                .wrap_err_with(|| format!("step=listen TCP address {address}"))?;
            bound.push((listener, *purpose));
        }
        let handle = HttpHandle { queue: sender, waker };
        let budget = Arc::default();
        Ok(HttpDriver { poll, queue, handle, listeners: bound, budget })
    }

    /// Uses a budget that other drivers of the process share.
    pub fn with_budget(self, budget: Arc<Budget>) -> HttpDriver {
        HttpDriver { budget, ..self }
    }

    /// Returns a handle that queues inputs for the role.
    pub fn handle(&self) -> HttpHandle {
        self.handle.clone()
    }

    /// Returns the bound address of the first listener with a purpose.
    pub fn local_addr(&self, purpose: Purpose) -> Option<SocketAddr> {
        let bound = self.listeners.iter().find(|(_, p)| *p == purpose);
        bound.and_then(|(listener, _)| listener.local_addr().ok())
    }

    /// Registers the role with the link and starts the thread.
    pub fn start<R>(
        self,
        name: &str,
        role: R,
        link: LinkHandle,
        metrics: Arc<Metrics>,
    ) -> eyre::Result<JoinHandle<()>>
    where
        R: Role<Local = HttpInput, Effect = HttpEffect> + Send + 'static,
    {
        let owner = link.register(Arc::new(self.handle.clone()));
        let server = Server {
            poll: self.poll,
            queue: self.queue,
            listeners: self.listeners,
            callers: BTreeMap::new(),
            peers: BTreeMap::new(),
            dirty: BTreeSet::new(),
            resumed: Vec::new(),
            ended: Vec::new(),
            unread: BTreeSet::new(),
            settling: BTreeSet::new(),
            budget: self.budget,
            paused: BTreeSet::new(),
            foremost: None,
            next_eviction: Timestamp::default(),
            next_refused_line: Timestamp::default(),
            deferred: Vec::new(),
            broken: Vec::new(),
            has_backlog: false,
            limits: AppliedLimits {
                values: CallerLimits::default(),
                confirmed_until: Timestamp::MAX,
            },
            next_caller: 0,
            unaccepted: BTreeSet::new(),
            next_room_line: Timestamp::default(),
            next_place: Timestamp::default(),
            next_expiry: Timestamp::default(),
            leaving: BTreeSet::new(),
            close_at: None,
            ending: None,
            role,
            link,
            owner,
            metrics,
        };
        std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || server.run())
            .wrap_err_with(|| format!("start thread {name}"))
    }
}

/// The id of a connection of either kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionId {
    Caller(CallerId),
    Peer(PeerId),
}

struct Server<R> {
    poll: Poll,
    queue: Receiver<Input<HttpInput>>,
    listeners: Vec<(TcpListener, Purpose)>,
    callers: BTreeMap<CallerId, Caller>,
    peers: BTreeMap<PeerId, Peer>,
    /// Connections that may have bytes to write, which are flushed at the end of each poll.
    dirty: BTreeSet<ConnectionId>,
    /// Callers whose next request may have been received already.
    resumed: Vec<CallerId>,
    /// Callers that closed their side with a request that was not served before.
    ended: Vec<CallerId>,
    /// Endpoints' connections whose sockets may have more bytes.
    unread: BTreeSet<PeerId>,
    /// Endpoints' connections that have ended and may turn out to be reset.
    settling: BTreeSet<PeerId>,
    budget: Arc<Budget>,
    /// Callers whose large bodies are not read on.
    paused: BTreeSet<CallerId>,
    /// The one of them that is read on, and since when it is.
    foremost: Option<(CallerId, Timestamp)>,
    /// When requests that can be refused are searched again.
    next_eviction: Timestamp,
    /// When it is logged again that requests are refused for lack of memory.
    next_refused_line: Timestamp,
    /// Inputs that resulted from effects while the role was stepped.
    deferred: Vec<Input<HttpInput>>,
    /// Connections on which a write failed.
    broken: Vec<ConnectionId>,
    /// Whether inputs of other threads may still be queued after [`MAX_INPUTS_PER_POLL`].
    has_backlog: bool,
    limits: AppliedLimits,
    next_caller: u64,
    /// The listeners at which connections wait that no descriptor was left for.
    unaccepted: BTreeSet<usize>,
    /// When it is logged again that no connection can be closed for new ones.
    next_room_line: Timestamp,
    /// When connections that can be closed for new ones are searched again.
    next_place: Timestamp,
    next_expiry: Timestamp,
    /// Callers whose connections are closed as soon as nothing is open on them.
    leaving: BTreeSet<CallerId>,
    /// When all connections are closed at the latest, if the role said so.
    close_at: Option<Timestamp>,
    /// Set once the role has stopped.
    ending: Option<Ending>,
    role: R,
    link: LinkHandle,
    owner: u64,
    metrics: Arc<Metrics>,
}

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while self.run_once(&mut events) {}
        self.log_ending(Timestamp::from_steady());
    }

    /// Polls once and handles all events; returns whether the thread goes on.
    fn run_once(&mut self, events: &mut Events) -> bool {
        let now = Timestamp::from_steady();
        if let Err(error) = self.poll.poll(events, Some(self.poll_timeout(now)))
            && error.kind() != std::io::ErrorKind::Interrupted
        {
            log::error!("step=poll error=\"{error}\"");
        }
        let now = Timestamp::from_steady();
        self.step_queued(now);
        for event in events.iter() {
            let token = event.token();
            if token == WAKER {
                continue;
            }
            let number = token.0 as u64;
            if number < FIRST_CONNECTION {
                self.accept(now, token.0 - 1, usize::MAX);
                continue;
            }
            let id = (number - FIRST_CONNECTION) / 2;
            let ready = Ready { readable: event.is_readable() || event.is_read_closed(), event };
            if number % 2 == FIRST_CONNECTION % 2 {
                self.caller_ready(now, CallerId(id), &ready);
            } else {
                self.peer_ready(now, PeerId(id), &ready);
            }
        }
        if self.role.next_wake().is_some_and(|at| at <= now) {
            self.step(now, Input::Wake);
        }
        self.resume_peers(now);
        self.settle_peers(now);
        self.resume_callers(now);
        self.resume_paused(now);
        self.step_deferred(now);
        self.expire(now);
        self.flush_all(now);
        self.report_broken(now);
        self.read_ended(now);
        self.accept_waiting(now);
        // The turn may have taken long, and connections that are accepted now are new.
        self.end_turn(Timestamp::from_steady())
    }

    fn poll_timeout(&self, now: Timestamp) -> Duration {
        let unread = !self.resumed.is_empty() || !self.ended.is_empty() || !self.unread.is_empty();
        let unread = unread || !self.paused.is_empty() && self.budget.level() == Level::Calm;
        let busy = unread || !self.deferred.is_empty() || self.has_backlog;
        if busy || !self.broken.is_empty() {
            return Duration::ZERO;
        }
        let due = match &self.ending {
            Some(ending) if !self.peers.is_empty() => Some(ending.peers_until()),
            Some(ending) => Some(ending.until()),
            None => self.role.next_wake(),
        };
        let expiry = (!self.callers.is_empty()).then_some(self.next_expiry);
        let waits = !self.unaccepted.is_empty() || !self.paused.is_empty();
        let accept = waits.then_some(now + ACCEPT_INTERVAL);
        let settles = self.next_settling();
        let next = [due, expiry, accept, settles, self.next_close()].into_iter().flatten().min();
        next.map_or(MAX_WAIT, |at| at - now).clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Steps the role with inputs queued by other threads.
    fn step_queued(&mut self, now: Timestamp) {
        self.has_backlog = false;
        for _ in 0..MAX_INPUTS_PER_POLL {
            let Ok(input) = self.queue.try_recv() else { return };
            self.step(now, input);
        }
        self.has_backlog = true;
    }

    /// Steps the role with the deferred inputs.
    fn step_deferred(&mut self, now: Timestamp) {
        for input in std::mem::take(&mut self.deferred) {
            self.step(now, input);
        }
    }

    /// Reports connections on which a write failed to the role.
    fn report_broken(&mut self, now: Timestamp) {
        for connection in std::mem::take(&mut self.broken) {
            match connection {
                ConnectionId::Caller(id) => self.caller_closed(now, id),
                ConnectionId::Peer(id) => self.peer_broken(now, id),
            }
        }
    }

    /// Steps the role and applies its outputs. A role that has stopped gets only requests of
    /// callers, which it refuses.
    fn step(&mut self, now: Timestamp, input: Input<HttpInput>) {
        if let Some(ending) = &mut self.ending {
            if !matches!(input, Input::Local(HttpInput::Request { .. })) {
                return;
            }
            ending.refused += 1;
        }
        let outputs = self.role.step(now, input);
        let owner = self.owner;
        for output in outputs {
            match output.for_link(owner) {
                Ok(action) => self.link.act(action),
                Err(LocalOutput::Observe(observation)) => self.metrics.observe(observation),
                Err(LocalOutput::Effect(effect)) => self.apply(now, effect),
                Err(LocalOutput::Stopped) => {
                    self.ending.get_or_insert(Ending::new(now));
                }
            }
        }
    }

    fn flush_all(&mut self, now: Timestamp) {
        for dirty in std::mem::take(&mut self.dirty) {
            match dirty {
                ConnectionId::Caller(id) => self.flush_caller(now, id),
                ConnectionId::Peer(id) => self.flush_peer(now, id),
            }
        }
    }
}

/// The readiness that a poll reported for one connection.
struct Ready<'a> {
    readable: bool,
    event: &'a mio::event::Event,
}

fn caller_token(id: CallerId) -> Token {
    Token((FIRST_CONNECTION + id.0 * 2) as usize)
}

fn peer_token(id: PeerId) -> Token {
    Token((FIRST_CONNECTION + id.0 * 2 + 1) as usize)
}
