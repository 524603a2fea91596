//! A stand-in for a plain service: `/tap` and `/fee` must not run twice, so it counts their runs;
//! `/timetable` and `/status` are look-ups.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use eyre::eyre;
use serde_json::{Value, json};
use tiny_http::{Method, Request, Response, Server};

/// How often the announcement is repeated, so that a restarted agent receives it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The size of the answer to `/handout`.
const HANDOUT_BYTES: usize = 1 << 20;

/// A stand-in for a plain service.
#[derive(Debug, Clone, FromArgs)]
struct Args {
    /// address for requests
    #[argh(option)]
    listen: String,
    /// name of the service
    #[argh(option)]
    pool: String,
    /// address of the agent's pages
    #[argh(option)]
    agent: String,
    /// requests at once
    #[argh(option, default = "64")]
    slots: u32,
    /// milliseconds that a call takes
    #[argh(option, default = "5")]
    work_ms: u64,
}

#[derive(Default)]
struct State {
    /// Runs for each request body.
    runs: BTreeMap<String, u64>,
    work_ms: u64,
}

fn serve(state: &Mutex<State>, mut request: Request) {
    let mut content = String::new();
    let _ = request.as_reader().read_to_string(&mut content);
    let path = request.url().to_string();
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    let (status, reply) = match (request.method(), path.as_str()) {
        (Method::Post, "/tap" | "/fee") => {
            let count = {
                let mut state = lock();
                let count = state.runs.entry(content).or_default();
                *count += 1;
                *count
            };
            let work_ms = lock().work_ms;
            std::thread::sleep(Duration::from_millis(work_ms));
            (200, json!({ "run": count }))
        }
        (Method::Get, "/timetable" | "/status") => (200, json!({ "lessons": ["math", "music"] })),
        (Method::Get, "/handout") => (200, json!("x".repeat(HANDOUT_BYTES))),
        (Method::Get, "/admin/counts") => (200, json!(lock().runs)),
        (Method::Post, "/admin/fault") => {
            let body: Value = serde_json::from_str(&content).unwrap_or(Value::Null);
            if body["crash"].as_bool() == Some(true) {
                std::process::exit(13);
            }
            if let Some(ms) = body["work_ms"].as_u64() {
                lock().work_ms = ms;
            }
            (200, json!({}))
        }
        _ => (404, json!({ "error": "no such path" })),
    };
    let media = tiny_http::Header::from_bytes("content-type", "application/json");
    let mut response = Response::from_string(reply.to_string()).with_status_code(status);
    if let Ok(media) = media {
        response.add_header(media);
    }
    let _ = request.respond(response);
}

fn announce(args: &Args) {
    let body = json!({
        "url": format!("http://{}", args.listen),
        "kind": "service",
        "pool": args.pool,
        "capacity": { "slots": args.slots, "pieces": args.slots, "piece_tokens": 1 },
    });
    loop {
        let _ = ureq::post(format!("http://{}/announce", args.agent)).send_json(&body);
        std::thread::sleep(ANNOUNCE_INTERVAL);
    }
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let server = Server::http(&args.listen).map_err(|e| eyre!("listen: {e}"))?;
    let announcer = args.clone();
    std::thread::spawn(move || announce(&announcer));
    let state = Arc::new(Mutex::new(State { work_ms: args.work_ms, ..State::default() }));
    for request in server.incoming_requests() {
        let state = state.clone();
        std::thread::spawn(move || serve(&state, request));
    }
    Ok(())
}
