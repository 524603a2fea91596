//! The filter `accept` and its twin `answer`: callers over HTTP.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chunked_transfer::Encoder;
use eyre::{WrapErr, eyre};
use serde_json::json;

use super::check::RawCall;
use super::{CallerEffect, CallerInput, Terminal};
use crate::link::message::Answer;
use crate::model::{CallId, Ran, Refusal};
use crate::role::{Adapter, DriverHandle};

/// Threads that take new requests.
const ACCEPTORS: usize = 4;
/// The most bytes of a request's content.
const MAX_CONTENT_BYTES: u64 = 2 << 20;
/// The stack of a call's thread.
const STACK_BYTES: usize = 128 << 10;
/// The time between heartbeats to a caller, by which a lost one is noticed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

type Calls = Arc<Mutex<BTreeMap<CallId, Sender<CallerEffect>>>>;

/// Gives each call's effects to the call's thread.
pub struct Callers {
    calls: Calls,
}

impl Adapter<CallerEffect> for Callers {
    fn carry(&mut self, effect: CallerEffect) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        match &effect {
            CallerEffect::Finish { call, .. } => {
                if let Some(sender) = calls.remove(call) {
                    let _ = sender.send(effect);
                }
            }
            CallerEffect::Begin { call } | CallerEffect::Tokens { call, .. } => {
                if let Some(sender) = calls.get(call) {
                    let _ = sender.send(effect);
                }
            }
        }
    }
}

impl Callers {
    /// Binds the callers' address and starts to take requests.
    pub fn start(listen: SocketAddr, role: DriverHandle<CallerInput>) -> eyre::Result<Callers> {
        let server = tiny_http::Server::http(listen)
            .map_err(|e| eyre!("{e}"))
            .wrap_err_with(|| format!("listen for callers on {listen}"))?;
        let server = Arc::new(server);
        let calls = Calls::default();
        let ids = Arc::new(AtomicU64::new(1));
        for _ in 0..ACCEPTORS {
            let acceptor = Acceptor {
                server: server.clone(),
                calls: calls.clone(),
                ids: ids.clone(),
                role: role.clone(),
            };
            std::thread::Builder::new()
                .name("accept".into())
                .spawn(move || acceptor.run())
                .wrap_err("start acceptor")?;
        }
        Ok(Callers { calls })
    }
}

struct Acceptor {
    server: Arc<tiny_http::Server>,
    calls: Calls,
    ids: Arc<AtomicU64>,
    role: DriverHandle<CallerInput>,
}

impl Acceptor {
    fn run(self) {
        while let Ok(request) = self.server.recv() {
            let id = CallId(self.ids.fetch_add(1, Ordering::SeqCst));
            let (calls, role) = (self.calls.clone(), self.role.clone());
            let serve = move || {
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
    calls.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
    role.local(CallerInput::Arrived { call: id, raw });
    let writer = request.into_writer();
    let answer = AnswerWriter { id, writer, streams, begun: false, told: String::new() };
    let result = answer.run(&effects);
    calls.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
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
