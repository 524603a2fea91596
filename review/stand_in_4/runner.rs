//! One model runner, or one runner of a plain service, as a process of its own.
//!
//! It follows the pages: it answers 421 to requests for another instance or of the wrong stage, keeps
//! handles and reservations, sends heartbeats, and forgets all with its process.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Conn, Head};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const PREFILL: Duration = Duration::from_millis(60);
const HANDLE_TTL: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(20);

/// What the runner was started with.
pub struct Settings {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub version: String,
    pub stage: String,
    pub slots: usize,
    pub apis: Vec<SocketAddr>,
    /// How long after its start it is slow, in milliseconds.
    pub cold: u64,
    /// How long its first event takes while it is slow, and later.
    pub first: (u64, u64),
    pub gap: u64,
    pub events: u64,
    /// How late its first heartbeat arrives.
    pub late: u64,
}

impl Settings {
    /// Returns the words from which [`Settings::read`] reads the same.
    pub fn words(&self) -> Vec<String> {
        let apis: Vec<String> = self.apis.iter().map(SocketAddr::to_string).collect();
        vec![
            "runner".into(),
            self.id.clone(),
            self.service.clone(),
            self.address.to_string(),
            self.version.clone(),
            self.stage.clone(),
            self.slots.to_string(),
            apis.join(","),
            self.cold.to_string(),
            self.first.0.to_string(),
            self.first.1.to_string(),
            self.gap.to_string(),
            self.events.to_string(),
            self.late.to_string(),
        ]
    }

    fn read(words: &[&str]) -> Option<Settings> {
        let [id, service, address, version, stage, slots, apis, numbers @ ..] = words else {
            return None;
        };
        let numbers: Vec<u64> = numbers.iter().filter_map(|n| n.parse().ok()).collect();
        let [cold, first, later, gap, events, late] = numbers[..] else { return None };
        Some(Settings {
            id: id.to_string(),
            service: service.to_string(),
            address: address.parse().ok()?,
            version: version.to_string(),
            stage: stage.to_string(),
            slots: slots.parse().ok()?,
            apis: apis.split(',').filter_map(|a| a.parse().ok()).collect(),
            cold,
            first: (first, later),
            gap,
            events,
            late,
        })
    }
}

#[derive(Default)]
struct State {
    running: usize,
    holds: BTreeMap<String, Instant>,
    handles: BTreeMap<String, Instant>,
}

struct Runner {
    settings: Settings,
    state: Mutex<State>,
    started: Instant,
    born: u128,
    names: Mutex<u64>,
}

pub fn main(words: &[&str]) -> ExitCode {
    let Some(settings) = Settings::read(words) else { return ExitCode::from(2) };
    let Ok(listener) = TcpListener::bind(settings.address) else { return ExitCode::from(2) };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let runner = Arc::new(Runner {
        settings,
        state: Mutex::default(),
        started: Instant::now(),
        born: now.as_millis(),
        names: Mutex::new(now.as_nanos() as u64),
    });
    let own = runner.clone();
    std::thread::spawn(move || own.beat());
    for stream in listener.incoming().flatten() {
        let own = runner.clone();
        std::thread::spawn(move || own.serve(Conn::new(stream)));
    }
    ExitCode::SUCCESS
}

impl Runner {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        state.holds.retain(|_, until| *until > now);
        state.handles.retain(|_, until| *until > now);
        state
    }

    /// Returns a name that no start of any runner has used.
    fn name(&self) -> String {
        let mut last = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        *last =
            last.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        format!("{:016x}", *last)
    }

    fn cold_left(&self) -> u64 {
        self.settings.cold.saturating_sub(self.started.elapsed().as_millis() as u64)
    }

    fn beat(&self) {
        std::thread::sleep(Duration::from_millis(self.settings.late));
        for sequence in 1.. {
            let s = &self.settings;
            let models = r#"[{"name":"m","version":1,"adapters":[]}]"#;
            let engine = match s.stage.as_str() {
                "plain" => String::new(),
                stage => format!(r#","stage":"{stage}","models":{models}"#),
            };
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"a","version":"{}","slots":{},"state":"ready","coldRemainingMs":{},"sequence":{sequence},"born":{}{engine}}}"#,
                s.service,
                s.address,
                s.version,
                s.slots,
                self.cold_left(),
                self.born,
            );
            let path = format!("/instances/{}/heartbeat", s.id);
            let fields = [("Host", "control"), ("Content-Type", "application/json")];
            let bytes = http::request("POST", &path, &fields, body.as_bytes());
            for turn in 0..s.apis.len() {
                let api = s.apis[(sequence as usize + turn) % s.apis.len()];
                let answer = http::once(api, &bytes, Duration::from_secs(1));
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head(Instant::now() + IDLE) {
            let mut content = Vec::new();
            let read = conn.content(&head, Instant::now() + IDLE, |p| content.extend_from_slice(p));
            if read.is_err() {
                return;
            }
            let words: Vec<&str> = head.line.split(' ').collect();
            let [method, path, ..] = words[..] else { return };
            let (kind, name) = path[1..].split_once('/').unwrap_or((&path[1..], ""));
            let side = self.side(method, kind, name, &content);
            let written = match side {
                Some((status, body)) => {
                    let media = [("Content-Type", "application/json")];
                    conn.write(&http::answer(status, &media, &body)).is_ok()
                }
                None => self.call(&mut conn, &head, path),
            };
            if !written {
                return;
            }
        }
    }

    /// Returns the answer to a request that is no client's.
    fn side(&self, method: &str, kind: &str, name: &str, content: &[u8]) -> Option<(u16, String)> {
        let found = |found: bool| if found { 200 } else { 404 };
        let answer = match (method, kind) {
            ("GET", "healthz") => (200, "{}".into()),
            ("GET", "report") => {
                let state = self.lock();
                let body = format!(
                    r#"{{"stage":"{}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{},"kvUsed":{},"kvTotal":33466,"kvHandles":{},"born":{}}}"#,
                    self.settings.stage,
                    state.running,
                    (state.running + state.holds.len()) * 900,
                    state.handles.len(),
                    self.born,
                );
                (200, body)
            }
            ("POST", "hold-take") => {
                let text = String::from_utf8_lossy(content).into_owned();
                let ttl = text.split("\"ttl_ms\":").nth(1).unwrap_or("2000");
                let ttl: String = ttl.chars().take_while(char::is_ascii_digit).collect();
                let ttl = Duration::from_millis(ttl.parse().unwrap_or(2_000));
                let mut state = self.lock();
                if state.running + state.holds.len() >= self.settings.slots {
                    return Some((503, "{}".into()));
                }
                let hold = self.name();
                state.holds.insert(hold.clone(), Instant::now() + ttl);
                (200, format!(r#"{{"hold":"{hold}"}}"#))
            }
            ("DELETE", "hold-drop") => {
                (found(self.lock().holds.remove(name).is_some()), "{}".into())
            }
            ("DELETE", "kv-handle") | ("POST", "stand-in-take") => {
                (found(self.lock().handles.remove(name).is_some()), "{}".into())
            }
            ("POST", "order") => (400, "{}".into()),
            _ => return None,
        };
        Some(answer)
    }

    /// Answers a client's request; returns whether the connection can be used again.
    fn call(&self, conn: &mut Conn, head: &Head, path: &str) -> bool {
        let id = head.get("dotterelpin-attempt-id").unwrap_or_default();
        let prefill = head.get("dotterelpin-stage") == Some("prefill");
        let refuse = |conn: &mut Conn, status: u16| {
            let fields = [("Dotterelpin-Attempt-Id", id), ("Dotterelpin-Not-Executed", "1")];
            conn.write(&http::answer(status, &fields, "")).is_ok()
        };
        let target = head.get("dotterelpin-expect-instance");
        if target.is_some_and(|t| t != self.settings.id) {
            return refuse(conn, 421);
        }
        if prefill != (self.settings.stage == "prefill") {
            return refuse(conn, 421);
        }
        let held = head.get("dotterelpin-kv-hold").map(str::to_string);
        {
            let mut state = self.lock();
            let held = held.is_some_and(|h| state.holds.remove(&h).is_some());
            if !held && state.running + state.holds.len() >= self.settings.slots {
                drop(state);
                return refuse(conn, 503);
            }
            state.running += 1;
        }
        let fetched = head.get("dotterelpin-kv-source").is_none_or(fetch);
        let written = match (fetched, prefill) {
            (false, _) => refuse(conn, 503),
            (true, true) => self.prefill(conn, id),
            (true, false) if self.settings.stage == "plain" => self.plain(conn, id, path),
            (true, false) => self.stream(conn, head, id, path),
        };
        self.lock().running -= 1;
        written
    }

    fn plain(&self, conn: &mut Conn, id: &str, path: &str) -> bool {
        println!("runs {id} {path}");
        std::thread::sleep(Duration::from_millis(self.settings.first.1));
        let stamp = format!("s-{}-{id}", self.settings.id);
        let fields = [("Dotterelpin-Attempt-Id", id), ("Dotterelpin-Server-Stamp", &stamp)];
        conn.write(&http::answer(200, &fields, &format!("answer to {id}"))).is_ok()
    }

    fn prefill(&self, conn: &mut Conn, id: &str) -> bool {
        std::thread::sleep(PREFILL);
        let handle = self.name();
        self.lock().handles.insert(handle.clone(), Instant::now() + HANDLE_TTL);
        let fields = [("Dotterelpin-Attempt-Id", id), ("Content-Type", "application/json")];
        let body = format!(r#"{{"kvHandle":"{handle}","tokens":800,"version":1}}"#);
        conn.write(&http::answer(200, &fields, &body)).is_ok()
    }

    fn stream(&self, conn: &mut Conn, head: &Head, id: &str, path: &str) -> bool {
        let s = &self.settings;
        let after = head.get("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        let first = if self.cold_left() > 0 { s.first.0 } else { s.first.1 };
        println!("{} runs {id} {path} after event {after}", s.version);
        std::thread::sleep(Duration::from_millis(first));
        let mut out = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDotterelpin-Attempt-Id: {id}\r\n\
             Dotterelpin-Server-Stamp: s-{}-{id}\r\nDotterelpin-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            s.id
        );
        for number in after + 1..=s.events {
            let event = format!("id: {number}\ndata: {} {} {number}\n\n", s.version, s.id);
            out += &format!("{:x}\r\n{event}\r\n", event.len());
            if conn.write(out.as_bytes()).is_err() {
                return false;
            }
            out.clear();
            std::thread::sleep(Duration::from_millis(s.gap));
        }
        let _ = std::io::stdout().flush();
        out += "0\r\n\r\n";
        conn.write(out.as_bytes()).is_ok()
    }
}

/// Takes the KV cache that another runner holds; returns whether it was there.
fn fetch(source: &str) -> bool {
    let Some((address, handle)) = source.split_once('/') else { return false };
    let Ok(address) = address.parse() else { return false };
    let path = format!("/stand-in-take/{handle}");
    let bytes = http::request("POST", &path, &[("Host", "runner")], b"");
    let answer = http::once(address, &bytes, Duration::from_millis(600));
    answer.is_some_and(|(status, _)| status == 200)
}
