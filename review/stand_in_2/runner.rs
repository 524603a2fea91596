//! A sound model runner: prefill or decode, holds, reports, orders and heartbeats, as PROTOCOL.md tells
//! them. Each runs as a process of its own: `review-2 runner KEY=VALUE...`.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Reader};

const SLOTS: usize = 12;
const KV_TOTAL: u64 = 33_466;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const ROLE_SWITCH: Duration = Duration::from_secs(6);
/// Prompt tokens that are read in a millisecond.
const READ_PER_MS: u64 = 33;

#[derive(Default)]
struct State {
    prefill: bool,
    switching: bool,
    sequence: u64,
    running: BTreeMap<u64, u64>,
    holds: BTreeMap<String, (Instant, u64)>,
    handles: BTreeSet<String>,
}

struct Runner {
    id: String,
    address: SocketAddr,
    zone: String,
    version: String,
    born: u64,
    events: u64,
    gap: Duration,
    control: Vec<SocketAddr>,
    next: AtomicU64,
    state: Mutex<State>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn run(words: &[String]) -> i32 {
    let pairs: BTreeMap<&str, &str> = words.iter().filter_map(|w| w.split_once('=')).collect();
    let text = |key: &str| pairs.get(key).map(|v| v.to_string()).unwrap_or_default();
    let number = |key: &str| text(key).parse::<u64>().unwrap_or(0);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let runner = Arc::new(Runner {
        id: text("id"),
        address: text("address").parse().expect("address"),
        zone: text("zone"),
        version: text("version"),
        born: since.as_millis() as u64,
        events: number("events"),
        gap: Duration::from_millis(number("gap")),
        control: text("control").split(',').filter_map(|a| a.parse().ok()).collect(),
        next: AtomicU64::new(1),
        state: Mutex::new(State { prefill: text("stage") == "prefill", ..State::default() }),
    });
    let begin = Instant::now();
    let listener = loop {
        match TcpListener::bind(runner.address) {
            Ok(listener) => break listener,
            Err(_) if begin.elapsed() < Duration::from_secs(2) => {
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(error) => panic!("{error}"),
        }
    };
    println!("born={} version={} listens", runner.born, runner.version);
    let beats = runner.clone();
    std::thread::spawn(move || beats.beat());
    for stream in listener.incoming().flatten() {
        let runner = runner.clone();
        std::thread::spawn(move || {
            let _ = runner.serve(stream);
        });
    }
    0
}

impl Runner {
    fn stage(&self) -> &'static str {
        if lock(&self.state).prefill { "prefill" } else { "decode" }
    }

    /// Sends heartbeats; another node is called where one fails.
    fn beat(&self) {
        let mut node = 0;
        for sequence in 1.. {
            let body = format!(
                "{{\"service\":\"summariser\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
                 \"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"{}\",\
                 \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{},\
                 \"sequence\":{sequence}}}",
                self.address,
                self.zone,
                self.version,
                self.stage(),
                self.born
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            for _ in 0..self.control.len() {
                let to = self.control[node % self.control.len()];
                let answer = http::call(to, "POST", &path, body.as_bytes(), Duration::from_secs(1));
                if answer.is_ok_and(|a| a.status() == 200) {
                    println!("heartbeat {sequence} acknowledged by {to}");
                    break;
                }
                node += 1;
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message()? {
            self.answer(&request, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let (method, path) = request.method_path();
        match (method, path) {
            ("GET", "/report") => reply(out, 200, "", &self.report()),
            ("GET", "/healthz") => {
                reply(out, 200, &format!("Dotterelpin-Instance-Id: {}\r\n", self.id), "")
            }
            ("POST", "/order") => self.order(request, out),
            ("POST", "/hold-take") => self.hold(request, out),
            ("DELETE", _) => {
                let name = path.rsplit('/').next().unwrap_or("");
                let mut state = lock(&self.state);
                state.holds.remove(name);
                state.handles.remove(name);
                drop(state);
                reply(out, 200, "", "{}")
            }
            _ => self.call(request, out),
        }
    }

    fn report(&self) -> String {
        let state = lock(&self.state);
        let used: u64 = state.running.values().sum();
        format!(
            "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":{},\"kvUsed\":{used},\
             \"kvTotal\":{KV_TOTAL},\"kvHandles\":{},\"pinned\":0,\"held\":{},\"born\":{},\
             \"state\":\"ready\",\"runs\":[]}}",
            if state.prefill { "prefill" } else { "decode" },
            state.switching,
            state.sequence,
            state.running.len(),
            state.handles.len(),
            state.holds.len(),
            self.born
        )
    }

    fn order(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let prefill = request.text().contains("\"stage\":\"prefill\"");
        let mut state = lock(&self.state);
        println!("order {}", request.text());
        if state.switching {
            drop(state);
            return reply(out, 409, "", "{}");
        }
        if state.prefill == prefill {
            drop(state);
            return reply(out, 200, "", "{}");
        }
        state.sequence += 1;
        state.switching = true;
        drop(state);
        reply(out, 202, "", "{}")?;
        std::thread::sleep(ROLE_SWITCH);
        let mut state = lock(&self.state);
        (state.prefill, state.switching) = (prefill, false);
        Ok(())
    }

    fn hold(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let text = request.text();
        let number = |name: &str| {
            let rest = text.split(&format!("\"{name}\":")).nth(1).unwrap_or("0");
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().unwrap_or(0)
        };
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.holds.retain(|_, (until, _)| *until > now);
        let held: u64 = state.holds.values().map(|(_, tokens)| *tokens).sum();
        let used = held + state.running.values().sum::<u64>();
        let full = state.running.len() + state.holds.len() >= SLOTS;
        if full || state.prefill || state.switching || used + number("tokens") > KV_TOTAL {
            drop(state);
            return reply(out, 503, "Dotterelpin-Not-Executed: 1\r\n", "{}");
        }
        let name = format!("h{}", self.next.fetch_add(1, Ordering::SeqCst));
        let until = now + Duration::from_millis(number("ttl_ms"));
        state.holds.insert(name.clone(), (until, number("tokens")));
        drop(state);
        reply(out, 200, "", &format!("{{\"hold\":\"{name}\"}}"))
    }

    /// Runs a request, or prefills it.
    fn call(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let attempt = request.field("dotterelpin-attempt-id").unwrap_or("").to_string();
        let echo = format!("Dotterelpin-Attempt-Id: {attempt}\r\n");
        let not_run = format!("{echo}Dotterelpin-Not-Executed: 1\r\n");
        let expected = request.field("dotterelpin-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return reply(out, 421, &not_run, "");
        }
        let usage = request.field("dotterelpin-token-usage").unwrap_or("0,0");
        let prompt: u64 = usage.split(',').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        let wants_prefill = request.field("dotterelpin-stage") == Some("prefill");
        let (prefill, switching) = {
            let state = lock(&self.state);
            (state.prefill, state.switching)
        };
        if switching {
            return reply(out, 503, &not_run, "");
        }
        if wants_prefill != prefill {
            return reply(out, 421, &not_run, "");
        }
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let stamp = format!("{echo}Dotterelpin-Server-Stamp: {}.{number}\r\n", self.born);
        if wants_prefill {
            std::thread::sleep(Duration::from_millis(prompt / READ_PER_MS));
            let handle = format!("k{number}");
            lock(&self.state).handles.insert(handle.clone());
            let body = format!("{{\"kvHandle\":\"{handle}\",\"tokens\":{prompt},\"version\":1}}");
            return reply(out, 200, &stamp, &body);
        }
        let hold = request.field("dotterelpin-kv-hold").unwrap_or("");
        {
            let mut state = lock(&self.state);
            let held = state.holds.remove(hold).is_some();
            if !held && state.running.len() + state.holds.len() >= SLOTS {
                drop(state);
                return reply(out, 503, &not_run, "");
            }
            state.running.insert(number, prompt);
        }
        let after = request.field("last-event-id").and_then(|t| t.parse().ok()).unwrap_or(0);
        println!("runs {attempt} after event {after}");
        let ended = self.stream(&stamp, after, out);
        lock(&self.state).running.remove(&number);
        println!("run of {attempt} ends: {}", if ended.is_ok() { "complete" } else { "cut" });
        ended
    }

    fn stream(&self, stamp: &str, after: u64, out: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{stamp}\
             Dotterelpin-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for event in after + 1..=self.events {
            std::thread::sleep(self.gap);
            let data = format!("id: {event}\ndata: {} {} {event}\n\n", self.version, self.id);
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            out.write_all(chunk.as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}

fn reply(out: &mut TcpStream, status: u16, fields: &str, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\n{fields}Content-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    out.write_all(text.as_bytes())
}
