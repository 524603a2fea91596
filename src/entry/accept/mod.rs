//! The filter `accept`: serves callers over HTTP, with limits on request sizes, times, open calls
//! and connections.

mod open_call;
mod read;
mod table;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use open_call::Counted;
pub use open_call::OpenCall;
use read::{read_call, wants_stream};
pub use table::Callers;
use table::{Calls, lock};

use super::answer::{self, AnswerBody};
use super::check::is_idempotent;
use super::{CallerEffect, CallerInput, Terminal};
use crate::h1::budget::{Budget, Charge, Holder, Level};
use crate::model::{CallId, Refusal, RefusalReason};
use crate::role::DriverHandle;

/// Number of threads that serve callers' connections.
const THREADS: usize = 4;
/// The maximum size of a request's line and headers in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// How long a caller may take to send a request's line and headers, including idle time before.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long writing the last answers may take at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// How long new connections are still accepted during shutdown, so that their calls get a
/// refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The shutdown continues once no new connection has been accepted for this time.
const DRAIN_IDLE: Duration = Duration::from_millis(50);
/// The memory of a connection: its task, and buffers that hyper keeps for reading and writing.
const CONNECTION_BYTES: usize = 24 << 10;
/// The delay after a failed accept, such as for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum number of effects buffered for a slow caller before its call is cancelled.
const MAX_PENDING_EFFECTS: usize = 1_024;
/// The retry delay of refusals at the limit on open calls or during shutdown.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Limits on what callers may have open at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// The maximum number of open calls.
    pub calls: usize,
    /// The maximum number of open connections.
    pub connections: usize,
}

/// The HTTP server for callers, which keeps running after the role has stopped until the last
/// answer is written.
pub struct CallerServer {
    calls: Calls,
    /// When connections are closed whatever is unwritten on them, once the role has stopped.
    stop: watch::Sender<Option<Instant>>,
    thread: std::thread::JoinHandle<()>,
}

impl CallerServer {
    /// Refuses the calls that the role never processed, and waits until the last answers are
    /// written, `left` at most.
    ///
    /// The threads that write answers end with the process, so it must not exit before this
    /// returns.
    pub fn finish(self, left: Duration) {
        lock(&self.calls).close();
        let _ = self.stop.send(Some(Instant::now() + left));
        if self.thread.join().is_err() {
            log::error!("step=callers error=\"the accept thread has panicked\"");
        }
    }
}

/// State shared by all connections.
#[derive(Clone)]
struct Shared {
    calls: Calls,
    ids: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    bounds: CallerBounds,
    role: DriverHandle<CallerInput>,
    budget: Arc<Budget>,
}

/// Binds the listen address and starts to serve callers.
pub fn start(
    listen: SocketAddr,
    bounds: CallerBounds,
    role: DriverHandle<CallerInput>,
    budget: &Arc<Budget>,
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
        budget: budget.clone(),
    };
    let (stop, stopped) = watch::channel(None);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name("callers")
        .enable_all()
        .build()
        .wrap_err("start the threads that serve callers")?;
    let run = move || {
        if let Err(error) = runtime.block_on(accept(listener, shared, stopped)) {
            log::error!("step=callers error=\"{error:#}\"");
        }
    };
    let thread = std::thread::Builder::new().name("accept".into()).spawn(run);
    let thread = thread.wrap_err("start the accept thread")?;
    Ok((Callers { calls: calls.clone(), role }, CallerServer { calls, stop, thread }))
}

async fn accept(
    listener: std::net::TcpListener,
    shared: Shared,
    mut stopped: watch::Receiver<Option<Instant>>,
) -> eyre::Result<()> {
    let listener = TcpListener::from_std(listener).wrap_err("register the listener")?;
    // Each connection has a clone of the sender; the receiver ends once all are closed.
    let (running, mut all_closed) = mpsc::channel::<Infallible>(1);
    let connections = Arc::new(AtomicUsize::new(0));
    let mut drain_deadline = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed(), if drain_deadline.is_none() => {
                let drained = Instant::now() + DRAIN_TIMEOUT;
                drain_deadline = Some(close_deadline(&stopped).min(drained));
                continue;
            }
            () = tokio::time::sleep(DRAIN_IDLE), if drain_deadline.is_some() => break,
        };
        if drain_deadline.is_some_and(|at| Instant::now() >= at) {
            break;
        }
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("step=accept error=\"{error}\"");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if connections.load(Ordering::SeqCst) >= shared.bounds.connections {
            log::warn!("step=accept peer={peer} error=\"too many connections\"");
            continue;
        }
        if shared.budget.level() == Level::Over || !shared.budget.has_place(Holder::Calls) {
            log::debug!("step=accept peer={peer} error=\"no memory or descriptor is left\"");
            continue;
        }
        let mut charge = Charge::new(&shared.budget, Holder::Calls);
        charge.set(CONNECTION_BYTES);
        let counted = Counted::new(&connections);
        let (shared, stopped, running) = (shared.clone(), stopped.clone(), running.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, shared, stopped).await {
                log::debug!("step=converse peer={peer} error=\"{error}\"");
            }
            drop((counted, charge, running));
        });
    }
    drop((listener, running));
    let left = close_deadline(&stopped).saturating_duration_since(Instant::now());
    let left = left.min(FLUSH_TIMEOUT);
    if tokio::time::timeout(left, all_closed.recv()).await.is_err() {
        log::warn!(
            "step=connections open={} unwritten={} error=\"not closed within {left:?}\"",
            connections.load(Ordering::SeqCst),
            shared.open.load(Ordering::SeqCst),
        );
    }
    Ok(())
}

/// Returns when connections are closed whatever is unwritten on them.
fn close_deadline(stopped: &watch::Receiver<Option<Instant>>) -> Instant {
    stopped.borrow().unwrap_or_else(|| Instant::now() + FLUSH_TIMEOUT)
}

/// Serves the requests of one connection, one after the other.
async fn serve_connection(
    stream: TcpStream,
    shared: Shared,
    stopped: watch::Receiver<Option<Instant>>,
) -> eyre::Result<()> {
    stream.set_nodelay(true).wrap_err("set TCP_NODELAY")?;
    let ended = stopped.clone();
    let service = service_fn(move |request| {
        let (shared, ended) = (shared.clone(), ended.clone());
        async move { Ok::<_, Infallible>(serve(request, shared, ended).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        done = connection.as_mut() => return done.wrap_err("serve connection"),
        () = after_stop(stopped) => connection.as_mut().graceful_shutdown(),
    }
    connection.await.wrap_err("serve connection")
}

/// Waits for the stop and then for [`DRAIN_IDLE`], so that a request that has just arrived is still
/// read.
async fn after_stop(mut stopped: watch::Receiver<Option<Instant>>) {
    let _ = stopped.wait_for(Option::is_some).await;
    tokio::time::sleep(DRAIN_IDLE).await;
}

/// Serves one request; returns once its outcome is known, or once its answer is to be written in
/// parts.
async fn serve(
    request: Request<Incoming>,
    shared: Shared,
    stopped: watch::Receiver<Option<Instant>>,
) -> Response<AnswerBody> {
    let idempotent = is_idempotent(request.method().as_str());
    let key_open = !idempotent && request.headers().contains_key("idempotency-key");
    let Some(call) = shared.open() else {
        let detail = format!("{} calls are open", shared.bounds.calls);
        let refusal = Refusal::not_run(RefusalReason::TooManyCalls, RETRY_AFTER, detail);
        return answer::refused(&refusal.with_open_key(key_open));
    };
    let has_encoding = request.headers().contains_key(TRANSFER_ENCODING);
    let read = tokio::select! {
        read = read_call(request, &shared.budget) => read,
        () = after_stop(stopped) => Err(refused_unread(key_open)),
    };
    let raw = match read {
        Ok(raw) => raw,
        Err(refusal) => {
            let id = call.id();
            call.finish();
            let mut response = answer::complete(Some(id), Terminal::Refused(refusal), false);
            if has_encoding {
                // It is unclear where the content ends, so no further request is read.
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            return response;
        }
    };
    let streams = wants_stream(&raw);
    let (sender, mut effects) = mpsc::channel(MAX_PENDING_EFFECTS);
    let call = call.start(sender, raw);
    match effects.recv().await {
        Some(CallerEffect::Finish { outcome, .. }) => {
            let id = call.id();
            call.finish();
            answer::complete(Some(id), with_key_state(outcome, key_open), streams)
        }
        Some(_) => answer::begin(call, effects, streams),
        None => {
            let detail = "the process has stopped";
            let refusal = Refusal::may_have_run(RefusalReason::Draining, RETRY_AFTER, detail);
            answer::refused(&refusal)
        }
    }
}

/// Returns the refusal of a call whose content was not received before the role had stopped.
fn refused_unread(key_open: bool) -> Refusal {
    let detail = "this entry has shut down";
    Refusal::not_run(RefusalReason::Draining, RETRY_AFTER, detail).with_open_key(key_open)
}

/// Adds to a refusal at shutdown that an earlier call with the same key may have run.
fn with_key_state(outcome: Terminal, key_open: bool) -> Terminal {
    match outcome {
        Terminal::Refused(refusal) if refusal.reason == RefusalReason::Draining => {
            Terminal::Refused(refusal.with_open_key(key_open))
        }
        other => other,
    }
}

impl Shared {
    /// Opens a call; returns `None` at the limit on open calls.
    fn open(&self) -> Option<OpenCall> {
        let counted = Counted::new(&self.open);
        if self.open.load(Ordering::SeqCst) > self.bounds.calls {
            return None;
        }
        let id = CallId(self.ids.fetch_add(1, Ordering::SeqCst));
        Some(OpenCall { id, shared: self.clone(), started: false, _counted: counted })
    }
}
