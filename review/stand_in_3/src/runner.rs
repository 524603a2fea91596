//! A runner of the platform: a model runner in one stage, or one of a plain service.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::record::Record;

/// The time between two heartbeats, as in the settings of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a runner is.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// The stage of a model runner; `None` for a plain one.
    pub stage: Option<&'static str>,
    pub slots: u32,
    /// How many events a stream has.
    pub events: u64,
    /// The time between two events, or of the work of a plain request.
    pub pace: Duration,
    /// When its first heartbeat is sent after its start.
    pub first_beat: Duration,
    /// Whether its answers to side requests have a body without end.
    pub endless: bool,
}

/// One start of a runner.
pub struct Runner {
    pub kind: Kind,
    pub born: u64,
    pub alive: AtomicBool,
    pub draining: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
    names: AtomicU64,
    sequence: AtomicU64,
    /// When its first heartbeat was acknowledged.
    pub listed: Mutex<Option<Instant>>,
    controls: Vec<SocketAddr>,
    record: Arc<Record>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

impl Runner {
    /// Starts a runner, which reports itself to the machines that serve control.
    pub fn start(kind: Kind, controls: &[SocketAddr], record: &Arc<Record>) -> Arc<Runner> {
        let since = Instant::now();
        let listener = loop {
            match TcpListener::bind(kind.address) {
                Ok(listener) => break listener,
                Err(_) if since.elapsed() < Duration::from_secs(5) => {
                    std::thread::sleep(Duration::from_millis(5));
                }
                Err(error) => panic!("{}: {error}", kind.address),
            }
        };
        let runner = Arc::new(Runner {
            born: unix_ms(),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            conns: Mutex::default(),
            running: AtomicU64::new(0),
            names: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            listed: Mutex::new(None),
            controls: controls.to_vec(),
            record: record.clone(),
            kind,
        });
        let Kind { id, version, .. } = &runner.kind;
        record.line(&format!("runner {id} starts version={version} born={}", runner.born));
        let accepts = runner.clone();
        std::thread::spawn(move || accepts.accept(&listener));
        let beats = runner.clone();
        std::thread::spawn(move || beats.beat_on());
        runner
    }

    /// Ends it at once: all its connections break.
    pub fn crash(&self) {
        let Kind { id, version, .. } = &self.kind;
        self.record.line(&format!("runner {id} crashes version={version}"));
        self.alive.store(false, Ordering::SeqCst);
        for conn in self.conns.lock().unwrap().drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.kind.address);
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Runner>, listener: &TcpListener) {
        for conn in listener.incoming() {
            if !self.is_alive() {
                return;
            }
            let Ok(conn) = conn else { continue };
            let _ = conn.set_nodelay(true);
            if let Ok(copy) = conn.try_clone() {
                self.conns.lock().unwrap().push(copy);
            }
            let runner = self.clone();
            std::thread::spawn(move || {
                let close = conn.try_clone();
                let _ = runner.serve(conn);
                if let Ok(conn) = close {
                    let _ = conn.shutdown(Shutdown::Both);
                }
            });
        }
    }

    fn beat_on(&self) {
        let mut at = self.born as usize;
        std::thread::sleep(self.kind.first_beat);
        while self.is_alive() {
            if self.beat(&mut at) {
                self.listed.lock().unwrap().get_or_insert_with(Instant::now);
                std::thread::sleep(HEARTBEAT);
            } else {
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    fn beat(&self, at: &mut usize) -> bool {
        let Kind { id, service, address, zone, version, stage, slots, .. } = &self.kind;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let models = stage.map_or_else(String::new, |stage| {
            format!(",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]")
        });
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldRemainingMs\":0{models},\"sequence\":{sequence},\"born\":{}}}",
            self.born
        );
        for _ in 0..self.controls.len() {
            let to = self.controls[*at % self.controls.len()];
            let path = format!("/instances/{id}/heartbeat");
            let sent = http::call(to, "POST", &path, &body, Duration::from_secs(1));
            if sent.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
            *at += 1;
        }
        false
    }

    fn serve(&self, conn: TcpStream) -> std::io::Result<()> {
        let mut writer = conn.try_clone()?;
        let mut reader = BufReader::new(conn);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            if !self.is_alive() {
                return Ok(());
            }
            self.answer(&mut writer, &head, &body)?;
        }
        Ok(())
    }

    fn answer(&self, out: &mut TcpStream, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let Kind { id, stage, slots, .. } = &self.kind;
        let (method, target) = (head.word(0), head.word(1));
        let running = self.running.load(Ordering::SeqCst);
        let attempt = head.get("dotterelpin-attempt-id");
        if attempt.is_none() && self.kind.endless {
            out.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")?;
            let part = [b' '; 16 << 10];
            while self.is_alive() {
                out.write_all(&part)?;
            }
            return Ok(());
        }
        if attempt.is_none() {
            let side = match (method, target) {
                ("GET", "/report") => format!(
                    "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":{running},\
                     \"kvUsed\":{},\"kvTotal\":33466,\"kvHandles\":0,\"pinned\":0,\"held\":0,\
                     \"born\":{}}}",
                    stage.unwrap_or(""),
                    running * 100,
                    self.born
                ),
                ("POST", "/hold-take") if running < u64::from(*slots) => {
                    let name = self.names.fetch_add(1, Ordering::SeqCst);
                    format!("{{\"hold\":\"h{name}\"}}")
                }
                ("POST", "/hold-take") => return write(out, 503, &[], b"{}"),
                ("POST", "/order") => {
                    self.record.line(&format!("order at {id}: {}", String::from_utf8_lossy(body)));
                    return write(out, 202, &[], b"{}");
                }
                ("GET", "/healthz") => {
                    return write(out, 200, &[("Dotterelpin-Instance-Id", id)], b"ok");
                }
                ("DELETE", _) => "{}".to_string(),
                _ => return write(out, 400, &[("Dotterelpin-Not-Executed", "1")], b"no id"),
            };
            return write(out, 200, &[("Content-Type", "application/json")], side.as_bytes());
        }
        let attempt = attempt.unwrap_or("");
        let echo = ("Dotterelpin-Attempt-Id", attempt);
        let is_other = head.get("dotterelpin-expect-instance").is_some_and(|e| e != id);
        let for_prefill = head.get("dotterelpin-stage") == Some("prefill");
        let wrong_stage = stage.is_some_and(|s| (s == "prefill") != for_prefill);
        if is_other || wrong_stage {
            return write(out, 421, &[echo, ("Dotterelpin-Not-Executed", "1")], b"");
        }
        if for_prefill {
            std::thread::sleep(Duration::from_millis(20));
            let name = self.names.fetch_add(1, Ordering::SeqCst);
            let body = format!("{{\"kvHandle\":\"k{name}\",\"tokens\":300,\"version\":1}}");
            return write(out, 200, &[echo, ("Content-Type", "application/json")], body.as_bytes());
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let result = match stage {
            Some(_) => self.stream(out, head, attempt),
            None => self.plain(out, head, attempt),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn plain(&self, out: &mut TcpStream, head: &Head, attempt: &str) -> std::io::Result<()> {
        let Kind { id, pace, .. } = &self.kind;
        self.record.ran(attempt);
        self.record.line(&format!("run id={attempt} at {id} {}", head.first));
        std::thread::sleep(*pace);
        let body = format!("answer to {attempt} of {id}\n");
        let body = if head.word(0) == "HEAD" { String::new() } else { body };
        let fields =
            [("Dotterelpin-Attempt-Id", attempt), ("Dotterelpin-Server-Stamp", "3e1b.07.5a2")];
        write(out, 200, &fields, body.as_bytes())
    }

    fn stream(&self, out: &mut TcpStream, head: &Head, attempt: &str) -> std::io::Result<()> {
        let Kind { id, version, events, pace, .. } = &self.kind;
        let after: u64 = head.get("last-event-id").and_then(|a| a.parse().ok()).unwrap_or(0);
        self.record.ran(attempt);
        self.record.line(&format!(
            "run id={attempt} at {id} version={version} born={} after={after}",
            self.born
        ));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDotterelpin-Attempt-Id: \
             {attempt}\r\nDotterelpin-Server-Stamp: 3e1b.07.5a2\r\n\
             Dotterelpin-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        out.write_all(text.as_bytes())?;
        for number in after + 1..=*events {
            std::thread::sleep(*pace);
            if !self.is_alive() {
                return Ok(());
            }
            let event = format!("id: {number}\ndata: {version} {id} {}\n\n", self.born);
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}

fn write(
    out: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}
