//! The filter `accept` and its twin `answer`: callers over HTTP.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chunked_transfer::Encoder;
use eyre::{WrapErr, eyre};
use serde_json::json;

use super::check::RawCall;
use super::{CallerEffect, CallerInput, RETRY_AFTER, Terminal};
use crate::link::message::Answer;
use crate::model::{CallId, Ran, Refusal, RefusalReason};
use crate::role::{Adapter, DriverHandle};

/// Threads that take new requests.
const ACCEPTORS: usize = 4;
/// Holders of the count of requests that are being served when there are none.
const SHARES_WHEN_IDLE: usize = ACCEPTORS + 1;
/// The most bytes of a request's content.
const MAX_CONTENT_BYTES: u64 = 2 << 20;
/// The stack of a call's thread.
const STACK_BYTES: usize = 128 << 10;
/// The time between heartbeats to a caller, by which a lost one is noticed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long the last answers may take to be written once the role has stopped.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long no request may arrive before the last answers count as written.
const DRAIN_QUIET: Duration = Duration::from_millis(50);
/// The time between two looks at the calls that are left.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// The calls of an entry, and the way out for those that its role no longer takes.
#[derive(Default)]
struct Table {
    senders: BTreeMap<CallId, Sender<CallerEffect>>,
    closed: bool,
}

impl Table {
    /// Adds a call; `false` if the role has stopped.
    fn add(&mut self, call: CallId, sender: Sender<CallerEffect>) -> bool {
        if !self.closed {
            self.senders.insert(call, sender);
        }
        !self.closed
    }

    /// Refuses calls that the role never saw.
    fn close(&mut self) {
        self.closed = true;
        for (call, sender) in std::mem::take(&mut self.senders) {
            let _ = sender.send(CallerEffect::Finish { call, outcome: stopped() });
        }
    }
}

type Calls = Arc<Mutex<Table>>;

fn lock(calls: &Calls) -> MutexGuard<'_, Table> {
    calls.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the outcome of a call that reaches an entry after its role has stopped.
fn stopped() -> Terminal {
    let detail = "this entry has shut down";
    Terminal::Refused(Refusal::not_run(RefusalReason::Draining, RETRY_AFTER, detail))
}

/// Gives each call's effects to the call's thread.
pub struct Callers {
    calls: Calls,
}

/// Waits for the last answers when the role has stopped.
pub struct LastAnswers {
    calls: Calls,
    /// Each request that is being served holds a share.
    serving: Arc<()>,
    arrived: Arc<AtomicU64>,
}

impl LastAnswers {
    /// Refuses what the role never saw, and waits until all answers are written.
    ///
    /// Process exit ends the threads that write answers, so nothing may exit before this returns.
    pub fn wait(&self) {
        lock(&self.calls).close();
        let until = Instant::now() + DRAIN_TIMEOUT;
        let mut arrived = self.arrived.load(Ordering::SeqCst);
        let mut since = Instant::now();
        while Instant::now() < until {
            let count = self.arrived.load(Ordering::SeqCst);
            if count != arrived || Arc::strong_count(&self.serving) > SHARES_WHEN_IDLE {
                arrived = count;
                since = Instant::now();
            } else if since.elapsed() >= DRAIN_QUIET {
                return;
            }
            std::thread::sleep(DRAIN_POLL);
        }
        log::warn!("step=drain error=\"callers keep coming, or don't read their answers\"");
    }
}

impl Adapter<CallerEffect> for Callers {
    fn carry(&mut self, effect: CallerEffect) {
        let mut calls = lock(&self.calls);
        match &effect {
            CallerEffect::Finish { call, .. } => {
                if let Some(sender) = calls.senders.remove(call) {
                    let _ = sender.send(effect);
                }
            }
            CallerEffect::Begin { call } | CallerEffect::Tokens { call, .. } => {
                if let Some(sender) = calls.senders.get(call) {
                    let _ = sender.send(effect);
                }
            }
        }
    }
}

impl Callers {
    /// Binds the callers' address and starts to take requests.
    pub fn start(
        listen: SocketAddr,
        role: DriverHandle<CallerInput>,
    ) -> eyre::Result<(Callers, LastAnswers)> {
        let server = tiny_http::Server::http(listen)
            .map_err(|e| eyre!("{e}"))
            .wrap_err_with(|| format!("listen for callers on {listen}"))?;
        let server = Arc::new(server);
        let calls = Calls::default();
        let ids = Arc::new(AtomicU64::new(1));
        let serving = Arc::new(());
        for _ in 0..ACCEPTORS {
            let acceptor = Acceptor {
                server: server.clone(),
                calls: calls.clone(),
                ids: ids.clone(),
                serving: serving.clone(),
                role: role.clone(),
            };
            std::thread::Builder::new()
                .name("accept".into())
                .spawn(move || acceptor.run())
                .wrap_err("start acceptor")?;
        }
        let last = LastAnswers { calls: calls.clone(), serving, arrived: ids };
        Ok((Callers { calls }, last))
    }
}

struct Acceptor {
    server: Arc<tiny_http::Server>,
    calls: Calls,
    ids: Arc<AtomicU64>,
    serving: Arc<()>,
    role: DriverHandle<CallerInput>,
}

impl Acceptor {
    fn run(self) {
        while let Ok(request) = self.server.recv() {
            let id = CallId(self.ids.fetch_add(1, Ordering::SeqCst));
            let (calls, role) = (self.calls.clone(), self.role.clone());
            let share = self.serving.clone();
            let serve = move || {
                let _share = share;
                if let Err(error) = serve(request, id, calls, &role) {
                    log::debug!("step=caller call={id} error={error}");
                    role.local(CallerInput::Gone { call: id });
                }
            };
            let builder = std::thread::Builder::new().name("call".into()).stack_size(STACK_BYTES);
            if let Err(error) = builder.spawn(serve) {
                log::error!("step=call-thread error={error}");
            }
        }
    }
}

/// Serves one request from its arrival to its terminal outcome.
fn serve(
    mut request: tiny_http::Request,
    id: CallId,
    calls: Calls,
    role: &DriverHandle<CallerInput>,
) -> io::Result<()> {
    let raw = read_call(&mut request)?;
    let streams = wants_stream(&raw);
    let (sender, effects) = channel();
    let taken = lock(&calls).add(id, sender.clone());
    if taken {
        role.local(CallerInput::Arrived { call: id, raw });
    } else {
        let _ = sender.send(CallerEffect::Finish { call: id, outcome: stopped() });
    }
    drop(sender);
    let writer = request.into_writer();
    let answer = AnswerWriter { id, writer, streams, begun: false, told: String::new() };
    let result = answer.run(&effects);
    lock(&calls).senders.remove(&id);
    result
}

fn read_call(request: &mut tiny_http::Request) -> io::Result<RawCall> {
    let mut content = Vec::new();
    request.as_reader().take(MAX_CONTENT_BYTES + 1).read_to_end(&mut content)?;
    let headers = request
        .headers()
        .iter()
        .map(|h| (h.field.as_str().as_str().to_ascii_lowercase().into(), h.value.as_str().into()))
        .collect();
    Ok(RawCall {
        method: request.method().to_string().into(),
        path: request.url().into(),
        headers,
        content,
    })
}

/// Returns whether the caller reads tokens as they come; `check` judges the rest.
fn wants_stream(raw: &RawCall) -> bool {
    let body: Option<serde_json::Value> = serde_json::from_slice(&raw.content).ok();
    body.is_some_and(|b| b.get("stream") == Some(&serde_json::Value::Bool(true)))
}

/// Writes one call's answer.
struct AnswerWriter {
    id: CallId,
    writer: Box<dyn Write + Send>,
    streams: bool,
    begun: bool,
    told: String,
}

impl AnswerWriter {
    fn run(mut self, effects: &Receiver<CallerEffect>) -> io::Result<()> {
        loop {
            match effects.recv_timeout(HEARTBEAT_INTERVAL) {
                Ok(CallerEffect::Begin { .. }) => self.begin()?,
                Ok(CallerEffect::Tokens { tokens, .. }) => self.tokens(&tokens)?,
                Ok(CallerEffect::Finish { outcome, .. }) => return self.finish(outcome),
                Err(RecvTimeoutError::Timeout) if self.begun => self.heartbeat()?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    }

    fn begin(&mut self) -> io::Result<()> {
        self.begun = true;
        let media = if self.streams { "text/event-stream" } else { "application/json" };
        write!(
            self.writer,
            "HTTP/1.1 200 OK\r\ncontent-type: {media}\r\nx-request-id: {}\r\n\
             transfer-encoding: chunked\r\nconnection: close\r\n\r\n",
            self.id
        )?;
        self.writer.flush()
    }

    fn heartbeat(&mut self) -> io::Result<()> {
        let text = if self.streams { ": alive\n\n" } else { " " };
        self.chunk(text)
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        write_chunk(&mut self.writer, text)
    }

    fn tokens(&mut self, tokens: &[Box<str>]) -> io::Result<()> {
        let text = tokens.concat();
        if !self.streams {
            self.told.push_str(&text);
            return Ok(());
        }
        let event = json!({ "choices": [{ "index": 0, "text": text }] });
        self.chunk(&format!("data: {event}\n\n"))
    }

    fn finish(mut self, outcome: Terminal) -> io::Result<()> {
        if !self.begun {
            return self.finish_whole(outcome);
        }
        let text = match outcome {
            Terminal::Generated { tokens, finish } if self.streams => {
                let event = json!({
                    "choices": [{ "index": 0, "text": "", "finish_reason": finish }],
                    "usage": { "completion_tokens": tokens },
                });
                format!("data: {event}\n\ndata: [DONE]\n\n")
            }
            Terminal::Generated { tokens, finish } => json!({
                "choices": [{ "index": 0, "text": self.told, "finish_reason": finish }],
                "usage": { "completion_tokens": tokens },
            })
            .to_string(),
            Terminal::Refused(refusal) if self.streams => {
                format!("event: error\ndata: {}\n\n", refusal_json(&refusal))
            }
            Terminal::Refused(refusal) => refusal_json(&refusal).to_string(),
            Terminal::Answered(answer) => String::from_utf8_lossy(&answer.content).into_owned(),
        };
        self.chunk(&text)?;
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn finish_whole(mut self, outcome: Terminal) -> io::Result<()> {
        let (answer, extra) = match outcome {
            Terminal::Refused(refusal) => refusal_answer(&refusal),
            Terminal::Answered(answer) => (answer, header("x-dotterelpin-ran", Ran::Yes.as_str())),
            Terminal::Generated { .. } => {
                self.begin()?;
                return self.finish(outcome);
            }
        };
        write!(
            self.writer,
            "HTTP/1.1 {} {}\r\ncontent-type: {}\r\ncontent-length: {}\r\nx-request-id: {}\r\n\
             {extra}connection: close\r\n\r\n",
            answer.status,
            tiny_http::StatusCode(answer.status).default_reason_phrase(),
            answer.media,
            answer.content.len(),
            self.id
        )?;
        self.writer.write_all(&answer.content)?;
        self.writer.flush()
    }
}

fn write_chunk(writer: &mut dyn Write, text: &str) -> io::Result<()> {
    let mut chunk = Vec::new();
    Encoder::new(&mut chunk).write_all(text.as_bytes())?;
    // The encoder ends the body when it is dropped; the end mark is written by `finish` alone.
    chunk.truncate(chunk.len() - b"0\r\n\r\n".len());
    writer.write_all(&chunk)?;
    writer.flush()
}

fn refusal_answer(refusal: &Refusal) -> (Answer, String) {
    let mut extra = header("x-dotterelpin-ran", refusal.ran.as_str());
    if !refusal.retry.is_zero() {
        let seconds = refusal.retry.as_millis().div_ceil(1000);
        extra.push_str(&header("retry-after", &seconds.to_string()));
    }
    let answer = Answer {
        status: refusal.reason.status(),
        media: "application/json".into(),
        content: refusal_json(refusal).to_string().into_bytes(),
    };
    (answer, extra)
}

fn header(name: &str, value: &str) -> String {
    format!("{name}: {value}\r\n")
}

fn refusal_json(refusal: &Refusal) -> serde_json::Value {
    json!({
        "error": {
            "reason": refusal.reason.as_str(),
            "ran": refusal.ran.as_str(),
            "retry_after_ms": refusal.retry.as_millis() as u64,
            "message": refusal.detail,
        }
    })
}
