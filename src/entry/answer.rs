//! The filter `answer`: writes the outcome of a call as an HTTP response.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::Response;
use hyper::body::{Body, Bytes, Frame};
use hyper::http::HeaderValue;
use serde_json::json;
use tokio::sync::mpsc::Receiver;
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::accept::OpenCall;
use super::{CallerEffect, Terminal};
use crate::model::{CallId, Ran, Refusal, RefusalReason};

/// The interval of heartbeats to a caller; writing them detects a disconnected caller.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Effects are collected into one write up to this size in bytes.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// The body of an answer: complete or streamed.
pub type AnswerBody = Either<Full<Bytes>, StreamedBody>;

/// Creates the response to a call that has started; heartbeats are sent until its outcome.
pub fn begin(
    call: OpenCall,
    effects: Receiver<CallerEffect>,
    streams: bool,
) -> Response<AnswerBody> {
    let media = if streams { "text/event-stream" } else { "application/json" };
    let id = call.id();
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let body = StreamedBody {
        call: Some(call),
        effects,
        heartbeat,
        streams,
        idle: false,
        collected: String::new(),
    };
    let mut response = Response::new(Either::Right(body));
    set_header(&mut response, "content-type", media);
    set_header(&mut response, "x-request-id", &id.to_string());
    response
}

/// Creates the complete response to a call whose terminal outcome is known.
pub fn complete(id: Option<CallId>, outcome: Terminal, streams: bool) -> Response<AnswerBody> {
    let mut response = match outcome {
        Terminal::Refused(refusal) => refused(&refusal),
        Terminal::Answered(answer) => {
            let mut response = response_with(answer.status, &answer.media, answer.content);
            set_header(&mut response, "x-dotterelpin-ran", Ran::Yes.as_str());
            response
        }
        Terminal::Generated { tokens, finish } => {
            let media = if streams { "text/event-stream" } else { "application/json" };
            response_with(200, media, generated("", tokens, &finish, streams).into_bytes())
        }
    };
    if let Some(id) = id {
        set_header(&mut response, "x-request-id", &id.to_string());
    }
    response
}

/// Creates the response for a refusal.
pub fn refused(refusal: &Refusal) -> Response<AnswerBody> {
    let content = refusal_json(refusal).to_string().into_bytes();
    let mut response = response_with(refusal.reason.status(), "application/json", content);
    set_header(&mut response, "x-dotterelpin-ran", refusal.ran.as_str());
    if !refusal.retry.is_zero() {
        let seconds = refusal.retry.as_millis().div_ceil(1000);
        set_header(&mut response, "retry-after", &seconds.to_string());
    }
    if refusal.reason == RefusalReason::BadMethod {
        set_header(&mut response, "allow", "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
    }
    response
}

fn response_with(status: u16, media: &str, content: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(content))));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    set_header(&mut response, "content-type", media);
    response
}

fn set_header(response: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value);
    let value = value.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(name, value);
}

/// A body that is written in parts, up to a single terminal event.
pub struct StreamedBody {
    /// The call, until its terminal event is delivered.
    call: Option<OpenCall>,
    effects: Receiver<CallerEffect>,
    heartbeat: Interval,
    streams: bool,
    /// Whether nothing was written since the last heartbeat was due.
    idle: bool,
    /// The text so far, for a caller that did not request a stream.
    collected: String,
}

impl StreamedBody {
    /// Appends an effect to `text`; returns whether it was the terminal one.
    fn write(&mut self, effect: CallerEffect, text: &mut String) -> bool {
        match effect {
            CallerEffect::Begin { .. } => false,
            CallerEffect::Tokens { tokens, .. } if self.streams => {
                write_tokens(&tokens, text);
                false
            }
            CallerEffect::Tokens { tokens, .. } => {
                tokens.iter().for_each(|t| self.collected.push_str(t));
                false
            }
            CallerEffect::Finish { outcome, .. } => {
                text.push_str(&self.terminal(outcome));
                true
            }
        }
    }

    fn terminal(&self, outcome: Terminal) -> String {
        match outcome {
            Terminal::Generated { tokens, finish } => {
                generated(&self.collected, tokens, &finish, self.streams)
            }
            Terminal::Refused(refusal) if self.streams => {
                format!("event: error\ndata: {}\n\n", refusal_json(&refusal))
            }
            Terminal::Refused(refusal) => refusal_json(&refusal).to_string(),
            Terminal::Answered(answer) => String::from_utf8_lossy(&answer.content).into_owned(),
        }
    }

    /// Ends the call and returns its last text.
    fn end(&mut self, text: String) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(call) = self.call.take() {
            call.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))))
    }

    /// Ends a call that was cancelled because its caller reads too slowly.
    fn slow_caller(&mut self) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let refusal = Refusal::may_have_run(
            RefusalReason::SlowCaller,
            Duration::ZERO,
            "the caller reads too slowly, so the call was cancelled",
        );
        let text = self.terminal(Terminal::Refused(refusal));
        self.end(text)
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.call.is_none() {
            return Poll::Ready(None);
        }
        let mut text = String::new();
        while text.len() < MAX_WRITE_BYTES {
            match self.effects.poll_recv(context) {
                Poll::Ready(Some(effect)) => {
                    if self.write(effect, &mut text) {
                        return self.end(text);
                    }
                }
                Poll::Ready(None) if text.is_empty() => return self.slow_caller(),
                Poll::Ready(None) | Poll::Pending => break,
            }
        }
        if !text.is_empty() {
            self.idle = false;
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))));
        }
        while self.heartbeat.poll_tick(context).is_ready() {
            if std::mem::replace(&mut self.idle, true) {
                let text = if self.streams { ": alive\n\n" } else { " " };
                return Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(text.as_bytes())))));
            }
        }
        Poll::Pending
    }
}

fn write_tokens(tokens: &[Box<str>], text: &mut String) {
    let tokens = serde_json::Value::String(tokens.concat());
    text.push_str("data: {\"choices\":[{\"index\":0,\"text\":");
    text.push_str(&tokens.to_string());
    text.push_str("}]}\n\n");
}

fn generated(collected: &str, tokens: u32, finish: &str, streams: bool) -> String {
    let event = json!({
        "choices": [{ "index": 0, "text": collected, "finish_reason": finish }],
        "usage": { "completion_tokens": tokens },
    });
    if streams { format!("data: {event}\n\ndata: [DONE]\n\n") } else { event.to_string() }
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
