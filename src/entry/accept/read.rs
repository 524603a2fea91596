//! Reads a request, with limits on its size and time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;

use super::super::check::RawCall;
use super::RETRY_AFTER;
use crate::h1::budget::{Budget, Charge, Holder, Level, grow, reads_on};
use crate::model::{Refusal, RefusalReason};

/// The maximum size of a request's content in bytes.
const MAX_CONTENT_BYTES: usize = 2 << 20;
/// How long a caller may take to send a request's content.
const CONTENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How often it is checked whether a large content can be read on.
const PAUSE_INTERVAL: Duration = Duration::from_millis(20);
/// Headers that may appear only once, since several values would be ambiguous.
const SINGLE_HEADERS: [&str; 4] =
    ["authorization", "idempotency-key", "x-dotterelpin-class", "x-dotterelpin-deadline-ms"];

pub(super) async fn read_call(
    request: Request<Incoming>,
    budget: &Arc<Budget>,
) -> Result<RawCall, Refusal> {
    let (head, body) = request.into_parts();
    if head.headers.contains_key(TRANSFER_ENCODING) {
        // hyper drops a content-length next to a transfer-encoding, so a request with both can't be
        // distinguished from one with an encoding only.
        let detail = "transfer-encoding is not taken: send a content-length";
        return Err(refuse(RefusalReason::BadCall, detail));
    }
    let mut headers = BTreeMap::new();
    for (name, value) in &head.headers {
        let text = std::str::from_utf8(value.as_bytes())
            .map_err(|_| refuse(RefusalReason::BadCall, format!("header {name} is no UTF-8")))?;
        let previous: Option<Box<str>> = headers.insert(name.as_str().into(), text.into());
        if previous.is_some() && SINGLE_HEADERS.contains(&name.as_str()) {
            return Err(refuse(RefusalReason::BadCall, format!("header {name} stands twice")));
        }
    }
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    Ok(RawCall {
        method: head.method.as_str().into(),
        path: path.into(),
        headers,
        content: read_content(body, budget).await?,
    })
}

async fn read_content(body: Incoming, budget: &Arc<Budget>) -> Result<Vec<u8>, Refusal> {
    let reading = collect(body, budget);
    tokio::time::timeout(CONTENT_TIMEOUT, reading).await.map_err(|_| {
        let detail = format!("the content did not come within {CONTENT_TIMEOUT:?}");
        refuse(RefusalReason::SlowCaller, detail)
    })?
}

/// Reads a content as far as the budget of the process allows it.
async fn collect(body: Incoming, budget: &Arc<Budget>) -> Result<Vec<u8>, Refusal> {
    let mut reading = Limited::new(body, MAX_CONTENT_BYTES);
    let mut charge = Charge::new(budget, Holder::Content);
    let mut content = Vec::new();
    loop {
        while !reads_on(budget.level(), charge.bytes(), budget.held()) {
            if budget.level() == Level::Over {
                let detail = "too many large requests at once";
                return Err(Refusal::not_run(RefusalReason::Full, RETRY_AFTER, detail));
            }
            tokio::time::sleep(PAUSE_INTERVAL).await;
        }
        let Some(frame) = reading.frame().await else { return Ok(content) };
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                grow(&mut content, &data, None);
                charge.set(content.capacity());
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                let detail = format!("the content has over {MAX_CONTENT_BYTES} bytes");
                return Err(refuse(RefusalReason::TooLarge, detail));
            }
            Err(error) => return Err(refuse(RefusalReason::BadCall, format!("content: {error}"))),
        }
    }
}

pub(super) fn refuse(reason: RefusalReason, detail: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(reason, Duration::ZERO, detail)
}

/// Returns whether the caller requests a streamed answer; `check` validates the rest of the body.
pub(super) fn wants_stream(raw: &RawCall) -> bool {
    #[derive(serde::Deserialize)]
    pub(super) struct StreamFlag {
        #[serde(default)]
        stream: bool,
    }
    raw.path.starts_with("/v1/")
        && serde_json::from_slice::<StreamFlag>(&raw.content).is_ok_and(|f| f.stream)
}
