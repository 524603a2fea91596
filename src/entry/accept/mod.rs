//! The filter `accept`: callers over HTTP, with bounds on all that they may send or hold.

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
use crate::model::{CallId, Refusal, RefusalReason};
use crate::role::DriverHandle;

/// Threads that carry callers' traffic.
const THREADS: usize = 4;
/// The most bytes of a request's line and headers.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most headers of a request.
const MAX_HEADERS: usize = 64;
/// How long a caller may take to send a request's line and headers, or to send none.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the last answers may take to be written at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// How long callers that come during the shutdown are still told so.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long no caller may come before the shutdown goes on.
const DRAIN_IDLE: Duration = Duration::from_millis(50);
/// How long accepting rests after an error, such as no free file descriptor.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Effects that wait for a caller who reads slowly, before the call is dropped.
const MAX_PENDING_EFFECTS: usize = 1_024;
/// When a caller may come back that met the bound on open calls.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// What callers may hold at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Open calls.
    pub calls: usize,
    /// Open connections.
    pub connections: usize,
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
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed(), if last.is_none() => {
                last = Some(Instant::now() + DRAIN_TIMEOUT);
                continue;
            }
            () = tokio::time::sleep(DRAIN_IDLE), if last.is_some() => break,
        };
        if last.is_some_and(|l| Instant::now() >= l) {
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
        let counted = Counted::new(&connections);
        let (shared, stopped, running) = (shared.clone(), stopped.clone(), running.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, shared, stopped).await {
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
async fn serve_connection(
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
        () = after_stop(stopped) => connection.as_mut().graceful_shutdown(),
    }
    connection.await.wrap_err("serve")
}

/// Ends a while after the stop, so that a request which has just come is still read.
async fn after_stop(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|s| *s).await;
    tokio::time::sleep(DRAIN_IDLE).await;
}

/// Serves one request up to its answer, or up to the start of an answer that comes in parts.
async fn serve(request: Request<Incoming>, shared: Shared) -> Response<AnswerBody> {
    let idempotent = is_idempotent(request.method().as_str());
    let key_open = !idempotent && request.headers().contains_key("idempotency-key");
    let Some(call) = shared.open() else {
        let detail = format!("{} calls are open", shared.bounds.calls);
        let refusal = Refusal::not_run(RefusalReason::TooManyCalls, RETRY_AFTER, detail);
        return answer::refused(&refusal.with_open_key(key_open));
    };
    let has_encoding = request.headers().contains_key(TRANSFER_ENCODING);
    let raw = match read_call(request).await {
        Ok(raw) => raw,
        Err(refusal) => {
            let id = call.id();
            call.finish();
            let mut response = answer::complete(Some(id), Terminal::Refused(refusal), false);
            if has_encoding {
                // Where its content ends is in doubt, so nothing behind it is read.
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

/// Corrects the refusal of a call that a stopped role never saw.
fn with_key_state(outcome: Terminal, key_open: bool) -> Terminal {
    match outcome {
        Terminal::Refused(refusal) if refusal.reason == RefusalReason::Draining => {
            Terminal::Refused(refusal.with_open_key(key_open))
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
