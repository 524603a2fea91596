//! A stand-in for a model engine: prefill, decode, KV export and import, cancel and faults.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tiny_http::{Method, Request, Response, Server};

/// How often the announcement is repeated, so that a restarted agent receives it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time between checks for cancellation or a stall while work runs.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A stand-in for a model engine.
#[derive(Debug, Clone, FromArgs)]
struct Args {
    /// address for requests
    #[argh(option)]
    listen: String,
    /// prefill or decode
    #[argh(option)]
    kind: String,
    /// name of the model
    #[argh(option)]
    pool: String,
    /// address of the agent's pages
    #[argh(option)]
    agent: String,
    /// requests at once
    #[argh(option, default = "20")]
    slots: u32,
    /// pieces of KV cache
    #[argh(option, default = "60")]
    pieces: u32,
    /// tokens in a piece
    #[argh(option, default = "2000")]
    piece_tokens: u32,
    /// prompt tokens prefilled per second
    #[argh(option, default = "20000")]
    prefill_rate: u32,
    /// microseconds between tokens for one request
    #[argh(option, default = "10000")]
    token_us: u64,
    /// microseconds added to that for each running request
    #[argh(option, default = "300")]
    batch_us: u64,
    /// tokens in each event of a stream
    #[argh(option, default = "1")]
    event_tokens: u64,
    /// milliseconds that an export is retained
    #[argh(option, default = "800")]
    export_ms: u64,
    /// milliseconds that a transfer of a thousand tokens takes
    #[argh(option, default = "2")]
    transfer_ms: u64,
    /// milliseconds that executing an order takes
    #[argh(option, default = "0")]
    load_ms: u64,
    /// refuse orders whose fencing number is not above the last one
    #[argh(switch)]
    fenced: bool,
}

/// KV cache that a decode engine can fetch once, until it expires.
struct Export {
    seed: String,
    tokens: u32,
    until: Instant,
}

#[derive(Default)]
struct State {
    /// Requests that hold a slot, and whether they are cancelled.
    running: BTreeMap<String, bool>,
    exports: BTreeMap<String, Export>,
    /// Fencing number and artifact of each order that was accepted.
    orders: Vec<(u64, String)>,
    artifact: Option<String>,
    fence: u64,
    /// All work stalls until then.
    stall: Option<Instant>,
    /// The process exits when a prompt contains this text.
    crash_on: Option<String>,
    /// Imports that start before then wait until then.
    transfer_stall: Option<Instant>,
    prefills: u64,
    tokens: u64,
}

struct Engine {
    args: Args,
    state: Mutex<State>,
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Occupies a slot for a request; returns `false` if all slots are in use.
    fn acquire_slot(&self, id: &str) -> bool {
        let mut state = self.lock();
        if state.running.len() as u32 >= self.args.slots {
            return false;
        }
        state.running.insert(id.to_string(), false);
        true
    }

    fn release_slot(&self, id: &str) {
        self.lock().running.remove(id);
    }

    fn is_cancelled(&self, id: &str) -> bool {
        self.lock().running.get(id).copied().unwrap_or(true)
    }

    /// Waits for the duration and the end of any stall; returns `false` if `id` is cancelled.
    fn work(&self, id: &str, duration: Duration) -> bool {
        let mut until = Instant::now() + duration;
        loop {
            if self.is_cancelled(id) {
                return false;
            }
            let now = Instant::now();
            if let Some(stall) = self.lock().stall.filter(|s| *s > now) {
                until = until.max(stall);
            }
            if now >= until {
                return true;
            }
            std::thread::sleep((until - now).min(POLL_INTERVAL));
        }
    }

    fn crash_on_match(&self, text: &str) {
        let pattern = self.lock().crash_on.clone();
        if pattern.is_some_and(|p| text.contains(&p)) {
            std::process::exit(13);
        }
    }

    fn prefill(&self, body: &Value) -> (u16, Value) {
        let id = str_field(body, "request");
        let prompt = str_field(body, "prompt");
        self.crash_on_match(&prompt);
        if !self.acquire_slot(&id) {
            return (503, json!({ "error": "full" }));
        }
        let prefix = body["prefix"].as_array().map_or(0, Vec::len) as u32;
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32 + prefix;
        let duration =
            Duration::from_secs_f64(f64::from(tokens) / f64::from(self.args.prefill_rate));
        let done = self.work(&id, duration);
        self.release_slot(&id);
        if !done {
            return (499, json!({ "error": "cancelled" }));
        }
        let mut state = self.lock();
        state.prefills += 1;
        let now = Instant::now();
        state.exports.retain(|_, e| e.until > now);
        let until = now + Duration::from_millis(self.args.export_ms);
        let seed = hash(&prompt);
        state.exports.insert(id.clone(), Export { seed, tokens, until });
        (200, json!({ "export": id, "tokens": tokens }))
    }

    /// Removes an export and returns it, or status 410 if it has expired or was fetched.
    fn export(&self, name: &str) -> (u16, Value) {
        let mut state = self.lock();
        let now = Instant::now();
        match state.exports.remove(name).filter(|e| e.until > now) {
            Some(export) => (200, json!({ "seed": export.seed, "tokens": export.tokens })),
            None => (410, json!({ "error": "the export is gone" })),
        }
    }

    fn decode(&self, request: Request, body: &Value) {
        let id = str_field(body, "request");
        if !self.acquire_slot(&id) {
            respond(request, 503, &json!({ "error": "full" }));
            return;
        }
        match self.import(&id, body) {
            Ok(seed) => {
                if let Err(error) = self.generate(request, &id, &seed, body) {
                    eprintln!("stand-in: stream of {id}: {error}");
                }
            }
            Err(error) => respond(request, 502, &json!({ "error": format!("{error:#}") })),
        }
        self.release_slot(&id);
    }

    /// Fetches an export, waits for its transfer time and returns its seed.
    fn import(&self, id: &str, body: &Value) -> eyre::Result<String> {
        let url = format!("{}/v1/export/{}", str_field(body, "source"), str_field(body, "export"));
        let mut response = ureq::get(url).call().wrap_err("fetch export")?;
        let export: Value = response.body_mut().read_json().wrap_err("read export")?;
        let tokens = export["tokens"].as_u64().unwrap_or(0);
        let stall = self.lock().transfer_stall.map(|s| s.saturating_duration_since(Instant::now()));
        let duration = Duration::from_millis(tokens * self.args.transfer_ms / 1000);
        if !self.work(id, duration + stall.unwrap_or_default()) {
            return Err(eyre!("cancelled"));
        }
        Ok(str_field(&export, "seed"))
    }

    /// Streams the tokens from `from` to `until`, paced by the number of running requests.
    fn generate(&self, request: Request, id: &str, seed: &str, body: &Value) -> io::Result<()> {
        let from = body["from"].as_u64().unwrap_or(0);
        let until = body["until"].as_u64().unwrap_or(0);
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
        )?;
        let mut offset = from;
        while offset < until {
            let next = until.min(offset + self.args.event_tokens.max(1));
            let others = self.lock().running.len() as u64;
            let duration = Duration::from_micros(self.args.token_us + others * self.args.batch_us);
            if !self.work(id, duration) {
                writer.write_all(b"data: {\"error\":\"cancelled\"}\n\n")?;
                return writer.flush();
            }
            self.lock().tokens += next - offset;
            let tokens: Vec<String> = (offset..next).map(|o| token(seed, o)).collect();
            let event = json!({ "offset": offset, "tokens": tokens });
            offset = next;
            write!(writer, "data: {event}\n\n")?;
            writer.flush()?;
        }
        write!(writer, "data: {}\n\n", json!({ "offset": until, "finish": "length" }))?;
        writer.flush()
    }

    fn order(&self, body: &Value) -> (u16, Value) {
        let fence = body["fence"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        if self.args.fenced && fence <= state.fence {
            return (409, json!({ "error": "old fencing number" }));
        }
        state.fence = state.fence.max(fence);
        state.orders.push((fence, str_field(body, "artifact")));
        drop(state);
        std::thread::sleep(Duration::from_millis(self.args.load_ms));
        if let Some(artifact) = body["artifact"].as_str() {
            self.lock().artifact = Some(artifact.to_string());
        }
        (200, json!({}))
    }

    fn fault(&self, body: &Value) -> (u16, Value) {
        let after =
            |name: &str| body[name].as_u64().map(|ms| Instant::now() + Duration::from_millis(ms));
        if body["crash"].as_bool() == Some(true) {
            std::process::exit(13);
        }
        let mut state = self.lock();
        state.stall = after("stall_ms").or(state.stall);
        state.transfer_stall = after("transfer_stall_ms").or(state.transfer_stall);
        if let Some(pattern) = body["crash_on"].as_str() {
            state.crash_on = Some(pattern.to_string());
        }
        (200, json!({}))
    }

    fn counts(&self) -> Value {
        let state = self.lock();
        json!({
            "running": state.running.keys().collect::<Vec<_>>(),
            "exports": state.exports.len(),
            "prefills": state.prefills,
            "tokens": state.tokens,
            "orders": state.orders,
            "artifact": state.artifact,
        })
    }

    fn serve(&self, mut request: Request) {
        let mut content = String::new();
        let _ = request.as_reader().read_to_string(&mut content);
        let body: Value = serde_json::from_str(&content).unwrap_or(Value::Null);
        let path = request.url().to_string();
        let (status, reply) = match (request.method(), path.as_str()) {
            (Method::Post, "/v1/prefill") => self.prefill(&body),
            (Method::Post, "/v1/decode") => return self.decode(request, &body),
            (Method::Post, "/v1/cancel") => {
                if let Some(flag) = self.lock().running.get_mut(&str_field(&body, "request")) {
                    *flag = true;
                }
                (200, json!({}))
            }
            (Method::Post, "/v1/orders") => self.order(&body),
            (Method::Post, "/admin/fault") => self.fault(&body),
            (Method::Get, "/v1/running") => (200, json!(self.counts()["running"])),
            (Method::Get, "/v1/load") => (200, json!({ "slots": self.lock().running.len() })),
            (Method::Get, "/admin/counts") => (200, self.counts()),
            (Method::Get, path) => match path.strip_prefix("/v1/export/") {
                Some(name) => self.export(name),
                None => (404, json!({ "error": "no such path" })),
            },
            _ => (404, json!({ "error": "no such path" })),
        };
        respond(request, status, &reply);
    }
}

fn str_field(body: &Value, name: &str) -> String {
    body[name].as_str().unwrap_or_default().to_string()
}

fn hash(text: &str) -> String {
    Sha256::digest(text).iter().take(8).map(|b| format!("{b:02x}")).collect()
}

/// Returns the token at an offset.
///
/// It depends only on the seed, which is the hash of the prompt, so that every engine generates the
/// same answer.
fn token(seed: &str, offset: u64) -> String {
    format!("{}.{offset} ", &hash(&format!("{seed}/{offset}"))[..4])
}

fn respond(request: Request, status: u16, body: &Value) {
    let _ = request.respond(Response::from_string(body.to_string()).with_status_code(status));
}

/// Returns the microseconds since the Unix epoch, which differ for each start of this engine.
fn boot_id() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

fn announce(engine: &Engine) {
    let args = &engine.args;
    let mut body = json!({
        "url": format!("http://{}", args.listen),
        "kind": args.kind,
        "pool": args.pool,
        "capacity": {
            "slots": args.slots, "pieces": args.pieces, "piece_tokens": args.piece_tokens,
        },
        "fenced": args.fenced,
        "boot": boot_id(),
    });
    loop {
        body["artifact"] = json!(engine.lock().artifact);
        let _ = ureq::post(format!("http://{}/announce", args.agent)).send_json(&body);
        std::thread::sleep(ANNOUNCE_INTERVAL);
    }
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let server = Server::http(&args.listen).map_err(|e| eyre!("listen: {e}"))?;
    let engine = Arc::new(Engine { args, state: Mutex::new(State::default()) });
    let announcer = engine.clone();
    std::thread::spawn(move || announce(&announcer));
    for request in server.incoming_requests() {
        let engine = engine.clone();
        std::thread::spawn(move || engine.serve(request));
    }
    Ok(())
}
