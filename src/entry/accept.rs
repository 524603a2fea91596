//! The filter `accept`: callers over HTTP, with bounds on all that they may send or hold.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};

use super::answer::{self, AnswerBody};
use super::check::RawCall;
use super::{CallerEffect, CallerInput, Terminal};
use crate::model::{CallId, Ran, Refusal, RefusalReason};
use crate::role::{Adapter, DriverHandle};

/// Threads that carry callers' traffic.
const THREADS: usize = 4;
/// The most bytes of a request's content.
const MAX_CONTENT_BYTES: usize = 2 << 20;
/// The most bytes of a request's line and headers.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most headers of a request.
const MAX_HEADERS: usize = 64;
/// How long a caller may take to send a request's line and headers, or to send none.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send a request's content.
const CONTENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the last answers may take to be written at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// How long callers that come during the shutdown are still told so.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long no caller may come before the shutdown goes on.
const DRAIN_QUIET: Duration = Duration::from_millis(50);
/// How long accepting rests after an error, such as no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Effects that wait for a caller who reads slowly, before the call is dropped.
const MAX_WAITING: usize = 1_024;
/// When a caller may come back that met the bound on open calls.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Headers that may stand once only, since their meaning would be in doubt.
const SINGLE_HEADERS: [&str; 4] =
    ["authorization", "idempotency-key", "x-dotterelpin-class", "x-dotterelpin-deadline-ms"];

/// The calls of an entry, until its role has stopped.
#[derive(Default)]
struct Table {
    senders: BTreeMap<CallId, mpsc::Sender<CallerEffect>>,
    closed: bool,
}

impl Table {
    /// Refuses the calls that a stopped role never saw.
    fn close(&mut self) {
        self.closed = true;
        for (call, sender) in std::mem::take(&mut self.senders) {
            let _ = sender.try_send(CallerEffect::Finish { call, outcome: stopped() });
        }
    }
}

/// Returns the outcome of a call that reaches an entry after its role has stopped.
fn stopped() -> Terminal {
    let detail = "this entry has shut down";
    Terminal::Refused(Refusal::not_run(RefusalReason::Draining, RETRY_AFTER, detail))
}

type Calls = Arc<Mutex<Table>>;

fn lock(calls: &Calls) -> MutexGuard<'_, Table> {
    calls.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What callers may hold at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Open calls.
    pub calls: usize,
    /// Open connections.
    pub connections: usize,
}

/// Gives each call's effects to the task that answers the call.
pub struct Callers {
    calls: Calls,
    role: DriverHandle<CallerInput>,
}

impl Adapter<CallerEffect> for Callers {
    fn carry(&mut self, effect: CallerEffect) {
        let call = match &effect {
            CallerEffect::Finish { call, .. }
            | CallerEffect::Begin { call }
            | CallerEffect::Tokens { call, .. } => *call,
        };
        let last = matches!(effect, CallerEffect::Finish { .. });
        let mut calls = lock(&self.calls);
        let Some(sender) = calls.senders.get(&call) else { return };
        let lost = match sender.try_send(effect) {
            Ok(()) => false,
            Err(TrySendError::Full(_)) => {
                log::warn!("step=slow-caller call={call} waiting={MAX_WAITING}");
                true
            }
            Err(TrySendError::Closed(_)) => true,
        };
        if lost || last {
            calls.senders.remove(&call);
        }
        if lost && !last {
            self.role.local(CallerInput::Gone { call });
        }
    }
}

/// The server for callers, which outlives the role until the last answer is written.
pub struct CallerServer {
    calls: Calls,
    stop: watch::Sender<bool>,
    thread: std::thread::JoinHandle<()>,
}

impl CallerServer {
    /// Refuses what the role never saw, and waits until the last answers are written.
    ///
    /// Process exit ends the threads that write answers, so nothing may exit before this returns.
    pub fn finish(self) {
        lock(&self.calls).close();
        let _ = self.stop.send(true);
        if self.thread.join().is_err() {
            log::error!("step=callers error=\"the thread has panicked\"");
        }
    }
}

/// What every connection shares.
#[derive(Clone)]
struct Shared {
    calls: Calls,
    ids: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    bounds: CallerBounds,
    role: DriverHandle<CallerInput>,
}

/// Binds the callers' address and starts to take requests.
pub fn start(
    listen: SocketAddr,
    bounds: CallerBounds,
    role: DriverHandle<CallerInput>,
) -> eyre::Result<(Callers, CallerServer)> {
    let listener = std::net::TcpListener::bind(listen)
        .and_then(|l| l.set_nonblocking(true).map(|()| l))
        .wrap_err_with(|| format!("step=listen --callers: TCP address {listen}"))?;
    let calls = Calls::default();
    let shared = Shared {
        calls: calls.clone(),
        ids: Arc::new(AtomicU64::new(1)),
        open: Arc::default(),
        bounds,
        role: role.clone(),
    };
    let (stop, stopped) = watch::channel(false);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name("callers")
        .enable_all()
        .build()
        .wrap_err("start callers' threads")?;
    let run = move || {
        if let Err(error) = runtime.block_on(accept(listener, shared, stopped)) {
            log::error!("step=callers error=\"{error:#}\"");
        }
    };
    let thread = std::thread::Builder::new().name("accept".into()).spawn(run);
    let thread = thread.wrap_err("start acceptor")?;
    Ok((Callers { calls: calls.clone(), role }, CallerServer { calls, stop, thread }))
}

async fn accept(
    listener: std::net::TcpListener,
    shared: Shared,
    mut stopped: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let listener = TcpListener::from_std(listener).wrap_err("use the listener")?;
    // Each connection holds a clone of the sender; all are closed when the receiver ends.
    let (running, mut all_closed) = mpsc::channel::<Infallible>(1);
    let connections = Arc::new(AtomicUsize::new(0));
    let mut last = None;
    loop {
        let taken = tokio::select! {
            taken = listener.accept() => taken,
            _ = stopped.changed(), if last.is_none() => {
                last = Some(Instant::now() + DRAIN_TIMEOUT);
                continue;
            }
            () = tokio::time::sleep(DRAIN_QUIET), if last.is_some() => break,
        };
        if last.is_some_and(|l| Instant::now() >= l) {
            break;
        }
        let (stream, peer) = match taken {
            Ok(taken) => taken,
            Err(error) => {
                log::warn!("step=accept error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if connections.load(Ordering::SeqCst) >= shared.bounds.connections {
            log::warn!("step=accept peer={peer} error=\"too many connections\"");
            continue;
        }
        let counted = Counted::new(&connections);
        let (shared, stopped, running) = (shared.clone(), stopped.clone(), running.clone());
        tokio::spawn(async move {
            if let Err(error) = converse(stream, shared, stopped).await {
                log::debug!("step=converse peer={peer} error=\"{error}\"");
            }
            drop((counted, running));
        });
    }
    drop((listener, running));
    if tokio::time::timeout(FLUSH_TIMEOUT, all_closed.recv()).await.is_err() {
        log::warn!("step=shutdown error=\"some callers did not read their last answer in time\"");
    }
    Ok(())
}

/// Serves the requests of one connection in turn.
async fn converse(
    stream: TcpStream,
    shared: Shared,
    stopped: watch::Receiver<bool>,
) -> eyre::Result<()> {
    stream.set_nodelay(true).wrap_err("set no delay")?;
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(serve(request, shared).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        done = connection.as_mut() => return done.wrap_err("serve"),
        () = quiet_after(stopped) => connection.as_mut().graceful_shutdown(),
    }
    connection.await.wrap_err("serve")
}

/// Ends a while after the stop, so that a request which has just come is still read.
async fn quiet_after(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|s| *s).await;
    tokio::time::sleep(DRAIN_QUIET).await;
}

/// Serves one request up to its answer, or up to the start of an answer that comes in parts.
async fn serve(request: Request<Incoming>, shared: Shared) -> Response<AnswerBody> {
    let has_key = request.headers().contains_key("idempotency-key") && !request.method().is_safe();
    let Some(call) = shared.open() else {
        let detail = format!("{} calls are open", shared.bounds.calls);
        let refusal = Refusal::not_run(RefusalReason::TooManyCalls, RETRY_AFTER, detail);
        return answer::refused(&truthful(refusal, has_key));
    };
    let raw = match read_call(request).await {
        Ok(raw) => raw,
        Err(refusal) => {
            let id = call.id();
            call.finish();
            return answer::whole(Some(id), Terminal::Refused(refusal), false);
        }
    };
    let streams = wants_stream(&raw);
    let (sender, mut effects) = mpsc::channel(MAX_WAITING);
    let call = call.start(sender, raw);
    match effects.recv().await {
        Some(CallerEffect::Finish { outcome, .. }) => {
            let id = call.id();
            call.finish();
            answer::whole(Some(id), truthful_outcome(outcome, has_key), streams)
        }
        Some(_) => answer::begin(call, effects, streams),
        None => {
            let detail = "the process has stopped";
            let refusal = Refusal::may_have_run(RefusalReason::Draining, RETRY_AFTER, detail);
            answer::refused(&refusal)
        }
    }
}

/// An earlier call with the same key may have run, whatever became of this one.
fn truthful(mut refusal: Refusal, has_key: bool) -> Refusal {
    if has_key {
        refusal.ran = refusal.ran.max(Ran::Maybe);
    }
    refusal
}

/// Corrects the refusal of a call that a stopped role never saw.
fn truthful_outcome(outcome: Terminal, has_key: bool) -> Terminal {
    match outcome {
        Terminal::Refused(refusal) if refusal.reason == RefusalReason::Draining => {
            Terminal::Refused(truthful(refusal, has_key))
        }
        other => other,
    }
}

impl Shared {
    /// Opens a call, unless too many are open.
    fn open(&self) -> Option<OpenCall> {
        let counted = Counted::new(&self.open);
        if self.open.load(Ordering::SeqCst) > self.bounds.calls {
            return None;
        }
        let id = CallId(self.ids.fetch_add(1, Ordering::SeqCst));
        Some(OpenCall { id, shared: self.clone(), started: false, _counted: counted })
    }
}

/// Counts what is open, until it is dropped.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(count: &Arc<AtomicUsize>) -> Counted {
        count.fetch_add(1, Ordering::SeqCst);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A call that somebody waits for; when it is dropped unfinished, its caller is gone.
pub struct OpenCall {
    id: CallId,
    shared: Shared,
    started: bool,
    _counted: Counted,
}

impl OpenCall {
    /// Returns the number of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Gives the call to the role.
    fn start(mut self, effects: mpsc::Sender<CallerEffect>, raw: RawCall) -> OpenCall {
        let mut calls = lock(&self.shared.calls);
        if calls.closed {
            let _ = effects.try_send(CallerEffect::Finish { call: self.id, outcome: stopped() });
        } else {
            calls.senders.insert(self.id, effects);
            self.started = true;
        }
        drop(calls);
        if self.started {
            self.shared.role.local(CallerInput::Arrived { call: self.id, raw });
        }
        self
    }

    /// Ends the call after its terminal outcome was told.
    pub fn finish(mut self) {
        self.started = false;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        lock(&self.shared.calls).senders.remove(&self.id);
        if self.started {
            self.shared.role.local(CallerInput::Gone { call: self.id });
        }
    }
}

async fn read_call(request: Request<Incoming>) -> Result<RawCall, Refusal> {
    let (head, body) = request.into_parts();
    let mut headers = BTreeMap::new();
    for (name, value) in &head.headers {
        let text = std::str::from_utf8(value.as_bytes())
            .map_err(|_| refuse(RefusalReason::BadCall, format!("header {name} is no UTF-8")))?;
        let before: Option<Box<str>> = headers.insert(name.as_str().into(), text.into());
        if before.is_some() && SINGLE_HEADERS.contains(&name.as_str()) {
            return Err(refuse(RefusalReason::BadCall, format!("header {name} stands twice")));
        }
    }
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    Ok(RawCall {
        method: head.method.as_str().into(),
        path: path.into(),
        headers,
        content: read_content(body).await?,
    })
}

async fn read_content(body: Incoming) -> Result<Vec<u8>, Refusal> {
    let reading = Limited::new(body, MAX_CONTENT_BYTES).collect();
    let read = tokio::time::timeout(CONTENT_TIMEOUT, reading).await.map_err(|_| {
        let detail = format!("the content did not come within {CONTENT_TIMEOUT:?}");
        refuse(RefusalReason::SlowCaller, detail)
    })?;
    match read {
        Ok(content) => Ok(content.to_bytes().into()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("the content has over {MAX_CONTENT_BYTES} bytes");
            Err(refuse(RefusalReason::TooLarge, detail))
        }
        Err(error) => Err(refuse(RefusalReason::BadCall, format!("content: {error}"))),
    }
}

fn refuse(reason: RefusalReason, detail: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(reason, Duration::ZERO, detail)
}

/// Returns whether the caller reads tokens as they come; `check` judges the rest.
fn wants_stream(raw: &RawCall) -> bool {
    #[derive(serde::Deserialize)]
    struct Wish {
        #[serde(default)]
        stream: bool,
    }
    raw.path.starts_with("/v1/")
        && serde_json::from_slice::<Wish>(&raw.content).is_ok_and(|w| w.stream)
}
