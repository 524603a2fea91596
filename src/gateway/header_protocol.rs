//! A call protocol that uses header fields, with field names that are set by its user.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::protocol::{
    AnswerInfo, CallError, CallInfo, CallProtocol, EngineReport, Export, LimitNotice, ModelWork,
    RefusalInfo, RequestRate, SendInfo, SendKind, SideRequest, TableFormat,
};
use crate::h1::{AnswerHead, Fields, Request, RequestHead, write};

/// The maximum length in bytes of a call's id, and of a name that an endpoint hands out.
const MAX_ID_BYTES: usize = 256;
/// The status with which an endpoint turns a request away.
const BUSY: u16 = 503;
/// The field that says when to retry.
const RETRY_AFTER: &str = "Retry-After";
/// The maximum of seconds that is read from a field; longer times are read as this one.
const MAX_SECONDS: f64 = 1e9;
/// The maximum caller timeout that is read from a field; longer ones are read as this one.
const MAX_TIMEOUT: Duration = Duration::from_hours(24);
/// The maximum number of tokens that is read for a prompt, an answer, an export or a KV cache; larger
/// numbers are read as this one.
const MAX_TOKENS: u32 = 10_000_000;
/// The maximum number of requests that is read from a report; larger numbers are read as this one.
const MAX_REQUESTS: u32 = 1_000_000;
/// The maximum number of parts of a prompt that are read; a longer prompt has more, which are
/// ignored.
const MAX_PARTS: usize = 32;

/// The names of the protocol's header fields.
#[derive(Debug, Clone, Copy)]
pub struct FieldNames {
    /// The id of the call, in requests and answers.
    pub id: &'static str,
    /// The time for which the caller waits, in milliseconds.
    pub timeout: &'static str,
    /// The name of the model.
    pub model: &'static str,
    /// Tokens of the prompt and the maximum tokens of the answer, separated by a comma.
    pub tokens: &'static str,
    /// The parts of the prompt as `ID:TOKENS`, separated by commas; the last one belongs to the call
    /// or its session.
    pub parts: &'static str,
    /// The number of the last event that the caller has.
    pub after: &'static str,
    /// The id of the call that brought the first event of the stream that is resumed.
    pub resumes: &'static str,
    /// The stage that an attempt is for.
    pub stage: &'static str,
    /// The address and handle of exported KV cache.
    pub source: &'static str,
    /// The name of the intended endpoint.
    pub endpoint: &'static str,
    /// The name of the reservation that an attempt uses.
    pub hold: &'static str,
    /// The key of the client account, in requests of callers; it is not passed on.
    pub key: &'static str,
    /// The name of the client account, in requests to endpoints.
    pub account: &'static str,
    /// Present in an answer if the endpoint has not run the call.
    pub not_run: &'static str,
    /// The signature of the endpoint.
    pub signature: &'static str,
    /// Present in an answer, with a value other than `0`, if the endpoint leaves.
    pub leaving: &'static str,
    /// The requests per second that the endpoint takes from all gateways together, in an answer; a
    /// decimal number.
    pub limit: &'static str,
    /// Fields that are dropped from callers' requests, in addition to those that the gateway sets.
    pub reserved: &'static [&'static str],
}

/// The format of engines' answer contents and of side requests.
pub trait EngineFormat: Send {
    /// Returns the value of the stage field of a prefill.
    fn prefill_stage(&self) -> &'static str;

    /// Reads the answer to a prefill; `None` if it is malformed.
    fn read_export(&self, content: &[u8]) -> Option<Export>;

    /// Reads a report; `None` if it is malformed.
    fn read_report(&self, content: &[u8]) -> Option<EngineReport>;

    /// Reads the name of a reservation; `None` if the content is malformed.
    fn read_hold(&self, content: &[u8]) -> Option<Box<str>>;

    /// Returns method, path and content of a side request.
    fn side(&self, request: &SideRequest) -> (&'static str, String, Vec<u8>);
}

/// The call protocol with header fields.
pub struct HeaderProtocol {
    /// The names of the header fields.
    pub names: FieldNames,
    /// The format of engines' answers and side requests.
    pub engines: Box<dyn EngineFormat>,
    /// The format of routing tables.
    pub tables: Arc<dyn TableFormat>,
    /// The path of the readiness page.
    pub ready_path: &'static str,
}

impl HeaderProtocol {
    /// Returns whether a field is not copied from the caller's request, because the gateway sets it
    /// or it is reserved.
    fn is_own(&self, name: &str) -> bool {
        let names = &self.names;
        let own = [
            names.timeout,
            names.stage,
            names.source,
            names.endpoint,
            names.after,
            names.hold,
            names.key,
            names.account,
        ];
        let mut all = own.iter().chain(names.reserved);
        all.any(|n| n.eq_ignore_ascii_case(name))
    }
}

impl CallProtocol for HeaderProtocol {
    fn tables(&self) -> Arc<dyn TableFormat> {
        self.tables.clone()
    }

    fn is_readiness(&self, head: &RequestHead) -> bool {
        head.path() == self.ready_path
    }

    fn key<'a>(&self, head: &'a RequestHead) -> Option<&'a [u8]> {
        let mut keys = head.fields.all(self.names.key).map(<[u8]>::trim_ascii);
        let key = keys.next()?;
        keys.next().is_none().then_some(key)
    }

    fn read_call(&self, head: &RequestHead) -> Result<CallInfo, CallError> {
        let names = &self.names;
        let id = head.fields.text(names.id).filter(|id| (1..=MAX_ID_BYTES).contains(&id.len()));
        let id = id.ok_or(CallError::NoId)?;
        let timeout = match head.fields.text(names.timeout) {
            Some(text) => Some(millis(text).ok_or(CallError::BadDeadline)?),
            None => None,
        };
        let work = match (head.fields.text(names.model), head.fields.text(names.tokens)) {
            (Some(model), Some(tokens)) => {
                Some(read_work(model, tokens).ok_or(CallError::BadWork)?)
            }
            _ => None,
        };
        let after = match head.fields.text(names.after) {
            Some(text) => Some(text.parse().map_err(|_| CallError::BadEvent)?),
            None => None,
        };
        let resumes = head.fields.text(names.resumes).filter(|id| !id.is_empty()).map(Into::into);
        let parts = head.fields.text(names.parts).map(read_parts).unwrap_or_default();
        Ok(CallInfo { id: id.into(), timeout, work, parts, after, resumes })
    }

    fn write_call(&self, request: &Request, send: &SendInfo<'_>) -> Vec<u8> {
        let names = &self.names;
        let head = &request.head;
        let mut out = Vec::with_capacity(768 + request.body.len());
        write::request_line(&mut out, &head.method, &head.target);
        write::end_to_end(&mut out, &head.fields, |name| self.is_own(name));
        write::number(&mut out, names.timeout, send.remaining.as_millis() as u64);
        write::field(&mut out, names.endpoint, send.endpoint.as_bytes());
        if let Some(after) = send.after {
            write::number(&mut out, names.after, after);
        }
        if let Some(hold) = send.hold {
            write::field(&mut out, names.hold, hold.as_bytes());
        }
        if let Some(account) = send.account {
            write::field(&mut out, names.account, account.as_bytes());
        }
        match &send.kind {
            SendKind::Whole => {}
            SendKind::Prefill => {
                write::field(&mut out, names.stage, self.engines.prefill_stage().as_bytes());
            }
            SendKind::From { source, handle } => {
                write::field(&mut out, names.source, format!("{source}/{handle}").as_bytes());
            }
        }
        let has_content = !request.body.is_empty() || !matches!(&*head.method, "GET" | "HEAD");
        if has_content {
            write::number(&mut out, "Content-Length", request.body.len() as u64);
        }
        write::end_head(&mut out);
        out.extend_from_slice(&request.body);
        out
    }

    fn read_answer(&self, head: &AnswerHead) -> AnswerInfo {
        let names = &self.names;
        AnswerInfo {
            // An endpoint may echo the missing id of a side request as an empty one.
            id: head.fields.text(names.id).filter(|id| !id.is_empty()).map(Into::into),
            not_run: head.fields.has(names.not_run),
            signed: head.fields.has(names.signature),
            encoded: head.fields.has("content-encoding"),
            leaving: head.fields.all(names.leaving).any(is_set),
            limit: read_limit(&head.fields, names.limit),
            backoff: (head.status == BUSY).then(|| read_backoff(&head.fields)).flatten(),
        }
    }

    fn read_export(&self, content: &[u8]) -> Option<Export> {
        let export = self.engines.read_export(content).filter(|e| is_token(&e.handle))?;
        Some(Export { tokens: export.tokens.min(MAX_TOKENS), ..export })
    }

    fn write_side(&self, host: SocketAddr, request: &SideRequest) -> Vec<u8> {
        let (method, path, content) = self.engines.side(request);
        let mut out = Vec::with_capacity(256);
        write::request_line(&mut out, method, &path);
        write::field(&mut out, "Host", host.to_string().as_bytes());
        if !content.is_empty() {
            write::field(&mut out, "Content-Type", b"application/json");
            write::number(&mut out, "Content-Length", content.len() as u64);
        }
        write::end_head(&mut out);
        out.extend_from_slice(&content);
        out
    }

    fn read_hold(&self, content: &[u8]) -> Option<Box<str>> {
        self.engines.read_hold(content).filter(|hold| is_token(hold))
    }

    fn read_report(&self, content: &[u8]) -> Option<EngineReport> {
        let report = self.engines.read_report(content)?;
        Some(EngineReport {
            boot: report.boot,
            kind: report.kind,
            running: report.running.min(MAX_REQUESTS),
            waiting: report.waiting.min(MAX_REQUESTS),
            used: report.used.min(MAX_TOKENS),
            total: report.total.min(MAX_TOKENS),
        })
    }

    fn write_refusal(&self, id: Option<&str>, refusal: &RefusalInfo, keep: bool) -> Vec<u8> {
        let mut extra = Vec::new();
        if let Some(id) = id {
            extra.push((self.names.id, id.to_string()));
        }
        if let Some(after) = refusal.retry_after {
            extra.push((RETRY_AFTER, format!("{:.3}", after.as_secs_f64())));
        }
        let body = format!("{}\n", refusal.text);
        write::answer(refusal.status, &extra, "text/plain", body.as_bytes(), keep)
    }
}

/// Returns the longest time in the fields that say when to retry; `None` if none has a number of
/// seconds, which may be fractional.
fn read_backoff(fields: &Fields) -> Option<Duration> {
    let values = fields.all(RETRY_AFTER).flat_map(|value| value.split(|b| *b == b','));
    values.filter_map(seconds).max()
}

/// Returns the lowest of the limits in the fields with a name.
fn read_limit(fields: &Fields, name: &str) -> LimitNotice {
    let rate = |value: &[u8]| -> Option<u32> {
        let rate: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
        (rate.is_finite() && rate >= 0.0).then(|| (rate * 1_000.0).min(f64::from(u32::MAX)) as u32)
    };
    match fields.all(name).map(rate).min() {
        None => LimitNotice::Absent,
        Some(None) => LimitNotice::Unreadable,
        Some(Some(rate)) => LimitNotice::Rate(RequestRate(rate)),
    }
}

fn seconds(value: &[u8]) -> Option<Duration> {
    let seconds: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    let finite = seconds.is_finite().then(|| seconds.min(MAX_SECONDS))?;
    Duration::try_from_secs_f64(finite).ok()
}

/// Returns whether a name that an endpoint hands out can stand in a field or a path as it is.
fn is_token(name: &str) -> bool {
    let sound = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    (1..=MAX_ID_BYTES).contains(&name.len()) && name.bytes().all(sound)
}

/// Returns whether the value of a field that is a flag says yes.
fn is_set(value: &[u8]) -> bool {
    !matches!(value.trim_ascii(), b"" | b"0")
}

fn millis(text: &str) -> Option<Duration> {
    let millis: f64 = text.parse().ok()?;
    let seconds = millis.is_finite().then_some(millis / 1_000.0)?;
    Duration::try_from_secs_f64(seconds.min(MAX_TIMEOUT.as_secs_f64())).ok()
}

/// Returns the ids of all parts of a prompt but the last one. The tokens of a part are not checked.
fn read_parts(text: &str) -> Vec<Box<str>> {
    let Some((shared, _own)) = text.rsplit_once(',') else { return Vec::new() };
    let id = |part: &str| part.split(':').next().unwrap_or_default().trim().to_ascii_lowercase();
    let ids = shared.split(',').map(id).filter(|id| !id.is_empty());
    ids.take(MAX_PARTS).map(String::into_boxed_str).collect()
}

fn read_work(model: &str, tokens: &str) -> Option<ModelWork> {
    let (prompt, output) = tokens.split_once(',')?;
    let tokens = |text: &str| Some(text.trim().parse::<u32>().ok()?.min(MAX_TOKENS));
    Some(ModelWork { model: model.into(), prompt: tokens(prompt)?, output: tokens(output)? })
}
