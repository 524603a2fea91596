//! The HTTP client of the endpoint, with one thread for each request.

use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use serde::{Deserialize, Serialize};
use serde_json::json;
use ureq::Agent as HttpAgent;

use super::exchange::exchange;
use super::{EngineEffect, EngineInput, Work};
use crate::agent::orders::EngineOrder;
use crate::link::message::Export;
use crate::model::{Body, EndpointKind, Ran, RequestId, Timestamp};
use crate::role::{Adapter, DriverHandle};

/// The timeout for establishing a connection to the endpoint.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for an order, which may load an artifact.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);
/// The timeout for a cancel or for the list of running work.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for work, so that no thread waits for a dead endpoint indefinitely.
const WORK_TIMEOUT: Duration = Duration::from_secs(600);
/// How long after its deadline the answer to a call is still read, so that a resend can get it.
const ANSWER_GRACE: Duration = Duration::from_secs(60);
/// The largest event of a decode stream in bytes.
const MAX_EVENT_BYTES: u64 = 1 << 20;
/// The size of the buffer in each direction of a connection to the endpoint.
const BUFFER_BYTES: usize = 8 << 10;
/// The size of the buffer in each direction of a connection for a stream of tokens.
const STREAM_BUFFER_BYTES: usize = 2 << 10;
/// The stack size of a thread that waits for the endpoint.
const STACK_BYTES: usize = 128 << 10;

/// The endpoint's answer to a prefill.
#[derive(Debug, Deserialize)]
struct Exported {
    export: Box<str>,
    tokens: u32,
}

/// One event of a decode stream.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum StreamEvent {
    Tokens { offset: u32, tokens: Vec<Box<str>> },
    End { offset: u32, finish: Box<str> },
    Error { error: Box<str> },
}

/// Carries out the agent's effects at an endpoint that speaks HTTP.
pub struct HttpEngine {
    url: Arc<Mutex<Option<Box<str>>>>,
    role: DriverHandle<EngineInput>,
    http: HttpAgent,
    /// The client for streams, with smaller buffers because many of them stay open for long.
    streams: HttpAgent,
}

impl HttpEngine {
    /// Creates the adapter; `url` is set when the endpoint announces itself.
    pub fn new(url: Arc<Mutex<Option<Box<str>>>>, role: DriverHandle<EngineInput>) -> HttpEngine {
        let with_buffers = |bytes| {
            HttpAgent::config_builder()
                .timeout_connect(Some(CONNECT_TIMEOUT))
                .timeout_global(Some(WORK_TIMEOUT))
                .http_status_as_error(false)
                .max_idle_connections(0)
                .input_buffer_size(bytes)
                .output_buffer_size(bytes)
                // Redirects are passed on to the caller; following one here could run a call twice.
                .max_redirects(0)
                .max_redirects_will_error(false)
                .build()
                .new_agent()
        };
        let (http, streams) = (with_buffers(BUFFER_BYTES), with_buffers(STREAM_BUFFER_BYTES));
        HttpEngine { url, role, http, streams }
    }

    fn spawn(&self, work: impl FnOnce(Client) + Send + 'static) {
        let url = self.url.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let client = Client {
            url: url.unwrap_or_default(),
            role: self.role.clone(),
            http: self.http.clone(),
            streams: self.streams.clone(),
        };
        let builder = std::thread::Builder::new().name("engine".into()).stack_size(STACK_BYTES);
        if let Err(error) = builder.spawn(move || work(client)) {
            log::error!("step=engine-thread error={error}");
        }
    }
}

impl Adapter<EngineEffect> for HttpEngine {
    fn execute(&mut self, effect: EngineEffect) {
        match effect {
            EngineEffect::Start { request, work } => self.spawn(move |c| c.start(request, work)),
            EngineEffect::Cancel(request) => self.spawn(move |c| c.cancel(request)),
            EngineEffect::Order(order) => self.spawn(move |c| c.order(order)),
            EngineEffect::CancelUnknown(name) => self.spawn(move |c| {
                let _ = c.send_cancel(&name);
            }),
            EngineEffect::List => self.spawn(|c| {
                if let Some(running) = c.list() {
                    c.role.local(EngineInput::Listed { running });
                }
            }),
        }
    }
}

/// The clients and the role's handle of one thread.
struct Client {
    url: Box<str>,
    role: DriverHandle<EngineInput>,
    http: HttpAgent,
    streams: HttpAgent,
}

/// Why work failed, and whether it may have run.
pub(super) type Failure = (Ran, eyre::Report);

impl Client {
    fn start(self, request: RequestId, work: Work) {
        let result = match work {
            Work::Prefill { class, prompt, prefix } => {
                let body = json!({
                    "request": request.to_string(),
                    "prompt": prompt,
                    "prefix": prefix,
                    "priority": class.as_str(),
                });
                self.prefill(request, &body)
            }
            Work::Decode { export, from, until } => {
                let body = json!({
                    "request": request.to_string(),
                    "source": export.url,
                    "export": export.name,
                    "from": from,
                    "until": until,
                });
                self.decode(request, &body)
            }
            Work::Call { deadline, body } => self.call(request, deadline, body),
        };
        if let Err((ran, error)) = result {
            let detail = format!("{error:#}").into();
            self.role.local(EngineInput::Failed { request, ran, detail });
        }
    }

    fn prefill(&self, request: RequestId, body: &serde_json::Value) -> Result<(), Failure> {
        let response = self.post("/v1/prefill", body)?;
        let exported: Exported = response
            .into_body()
            .read_json()
            .wrap_err("read prefill answer")
            .map_err(|e| (Ran::Maybe, e))?;
        let export =
            Export { url: self.url.clone(), name: exported.export, tokens: exported.tokens };
        self.role.local(EngineInput::Exported { request, export });
        Ok(())
    }

    fn decode(&self, request: RequestId, body: &serde_json::Value) -> Result<(), Failure> {
        let response = self.post_with(&self.streams, "/v1/decode", body)?;
        let body = response.into_body().into_reader();
        let mut reader = BufReader::with_capacity(STREAM_BUFFER_BYTES, body);
        while let Some(line) = next_line(&mut reader).map_err(|e| (Ran::Maybe, e))? {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            let event = serde_json::from_str(data)
                .wrap_err("parse decode event")
                .map_err(|e| (Ran::Maybe, e))?;
            match event {
                StreamEvent::Tokens { offset, tokens } => {
                    self.role.local(EngineInput::Part { request, offset, tokens });
                }
                StreamEvent::End { offset, finish } => {
                    self.role.local(EngineInput::End { request, offset, finish });
                    return Ok(());
                }
                StreamEvent::Error { error } => return Err((Ran::Maybe, eyre!("{error}"))),
            }
        }
        Err((Ran::Maybe, eyre!("decode stream ended without an end mark")))
    }

    fn call(&self, request: RequestId, deadline: Timestamp, body: Body) -> Result<(), Failure> {
        let call = ureq::http::Request::builder()
            .method(&*body.method)
            .uri(format!("{}{}", self.url, body.path))
            .header("content-type", &*body.media)
            .header("x-request-id", request.to_string())
            .body(body.content)
            .wrap_err("build request")
            .map_err(|e| (Ran::No, e))?;
        let address = self.url.strip_prefix("http://").unwrap_or_default().parse();
        let address = address.wrap_err("parse the endpoint's URL").map_err(|e| (Ran::No, e))?;
        let answer = exchange(address, &call, deadline + ANSWER_GRACE)?;
        self.role.local(EngineInput::Answered { request, answer });
        Ok(())
    }

    /// Cancels work and checks the engine's list for it, since an engine confirms a cancel before
    /// the work has ended.
    fn cancel(self, request: RequestId) {
        let name = request.to_string();
        let sent = self.send_cancel(&name);
        let gone = sent && self.list().is_some_and(|l| l.iter().all(|n| **n != *name));
        self.role.local(EngineInput::Cancelled { request, gone });
    }

    fn send_cancel(&self, name: &str) -> bool {
        let sent = self
            .http
            .post(format!("{}/v1/cancel", self.url))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .send_json(json!({ "request": name }));
        sent.is_ok_and(|r| r.status().is_success())
    }

    fn list(&self) -> Option<Vec<Box<str>>> {
        let mut response = self
            .http
            .get(format!("{}/v1/running", self.url))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .call()
            .ok()
            .filter(|r| r.status().is_success())?;
        response.body_mut().read_json().ok()
    }

    /// Sends an order. Status 409 counts as success: the engine has carried out this fencing number
    /// or a higher one already.
    fn order(self, order: EngineOrder) {
        let fence = order.fence;
        let body = json!({
            "fence": fence.0,
            "artifact": order.artifact,
            "kind": order.kind.map(EndpointKind::as_str),
        });
        let sent = self
            .http
            .post(format!("{}/v1/orders", self.url))
            .config()
            .timeout_global(Some(ORDER_TIMEOUT))
            .build()
            .send_json(&body);
        let result = match sent {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) if response.status().as_u16() == 409 => Ok(()),
            Ok(response) => Err(format!("endpoint answered {}", response.status()).into()),
            Err(error) => Err(format!("{error}").into()),
        };
        self.role.local(EngineInput::Ordered { fence, result });
    }

    fn post(
        &self,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<ureq::http::Response<ureq::Body>, Failure> {
        self.post_with(&self.http, path, body)
    }

    fn post_with(
        &self,
        http: &HttpAgent,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<ureq::http::Response<ureq::Body>, Failure> {
        let mut response =
            http.post(format!("{}{path}", self.url)).send_json(body).map_err(classify_error)?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let text = response.body_mut().read_to_string().unwrap_or_default();
        let ran = if status.as_u16() == 503 { Ran::No } else { Ran::Maybe };
        Err((ran, eyre!("endpoint answered {status} to {path}: {text}")))
    }
}

/// Returns the next line of a stream without its end, or `None` at the end of the stream.
fn next_line(reader: &mut impl BufRead) -> eyre::Result<Option<String>> {
    let mut line = String::new();
    let mut bounded = reader.take(MAX_EVENT_BYTES);
    bounded.read_line(&mut line).wrap_err("read decode stream")?;
    if bounded.limit() == 0 && !line.ends_with('\n') {
        return Err(eyre!("an event has more than {MAX_EVENT_BYTES} bytes"));
    }
    let text = line.strip_suffix('\n').map(|l| l.strip_suffix('\r').unwrap_or(l));
    Ok(if line.is_empty() { None } else { Some(text.unwrap_or(&line).into()) })
}

/// Returns the error with whether the request may have run, which it can't have without an
/// established connection.
fn classify_error(error: ureq::Error) -> Failure {
    let ran = match &error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => Ran::No,
        ureq::Error::Timeout(ureq::Timeout::Connect) => Ran::No,
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Ran::No,
        _ => Ran::Maybe,
    };
    (ran, eyre::Report::new(error))
}
