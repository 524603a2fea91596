//! A model runner, which keeps to the pages unless a trouble is set.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::client::CONTENT;
use super::http::{Conn, Message, answer, call};
use super::record::Record;

/// How many requests a runner runs at once.
pub const SLOTS: usize = 12;
/// The time between two heartbeats, as in the settings of a small deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How many heartbeats may be missed before a caller tries the next node.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// What goes wrong at a runner.
#[derive(Debug, Clone, Copy, Default)]
pub struct Troubles {
    /// Another writer sends the first heartbeat again, with `version` missing.
    pub incomplete_copy: bool,
    /// Some of the answers come a second time, at the point where the next answer is expected.
    pub extra_answers: bool,
    /// Some of the handles end with wrong bytes: two line ends.
    pub wrong_handles: bool,
}

/// The properties of a runner.
#[derive(Debug, Clone)]
pub struct Traits {
    /// Its id.
    pub id: String,
    /// The name of its service.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// `prefill` or `decode`.
    pub stage: String,
    /// The number of events of a stream.
    pub events: u64,
    /// The time between two events.
    pub pause: Duration,
    /// How long it reads a prompt.
    pub prefill: Duration,
    /// One in so many requests for a reservation finds no room; 0 for none.
    pub full_each: u64,
}

#[derive(Default)]
struct State {
    running: usize,
    holds: BTreeMap<String, Instant>,
    /// The ids of the requests that have begun to run.
    ran: Vec<String>,
    /// The ids of those that came with another content than the client's.
    changed: Vec<String>,
}

/// A running stand-in.
pub struct Runner {
    /// Its properties.
    pub traits: Traits,
    /// Its address.
    pub address: SocketAddr,
    troubles: Troubles,
    record: Record,
    state: Mutex<State>,
    next: AtomicU64,
    asked: AtomicU64,
    answers: AtomicU64,
    extras: AtomicU64,
    ended: AtomicBool,
}

/// Returns the Unix time in milliseconds.
fn millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// What a connection still has to send.
#[derive(Default)]
struct Pending {
    extra: Option<Vec<u8>>,
}

impl Runner {
    /// Starts a runner, which registers at the APIs.
    pub fn start(
        record: &Record,
        traits: Traits,
        troubles: Troubles,
        number: u8,
        apis: Vec<SocketAddr>,
    ) -> Result<Arc<Runner>, String> {
        let at = super::fleet::free_address(number)?;
        let listener = TcpListener::bind(at).map_err(|e| e.to_string())?;
        let runner = Arc::new(Runner {
            traits,
            address: at,
            troubles,
            record: record.clone(),
            state: Mutex::default(),
            next: AtomicU64::new(0),
            asked: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        });
        let own = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().filter_map(Result::ok) {
                let own = own.clone();
                std::thread::spawn(move || own.serve(Conn::new(stream)));
            }
        });
        let own = runner.clone();
        std::thread::spawn(move || own.beat(&apis));
        Ok(runner)
    }

    /// Ends the heartbeats.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the ids of all requests that have begun to run here.
    pub fn ran(&self) -> Vec<String> {
        self.lock().ran.clone()
    }

    /// Returns the ids of all requests that have begun to run here with a changed content.
    pub fn changed(&self) -> Vec<String> {
        self.lock().changed.clone()
    }

    fn beat(&self, apis: &[SocketAddr]) {
        let Traits { id, service, version, stage, .. } = &self.traits;
        let (address, born) = (self.address, millis());
        let path = format!("/instances/{id}/heartbeat");
        let mut node = usize::from(id.as_bytes().last().copied().unwrap_or_default());
        for sequence in 1.. {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let rest = format!(
                "\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
                 \"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}],\"sequence\":{sequence},\"born\":{born}"
            );
            let whole = format!("{{\"version\":\"{version}\",{rest}}}");
            for _ in apis {
                let to = apis[node % apis.len()];
                let sent = call(to, "POST", &path, whole.as_bytes(), BEAT_TIMEOUT);
                if matches!(&sent, Ok(answer) if answer.status() == 200) {
                    if sequence == 1 && self.troubles.incomplete_copy {
                        let copy = format!("{{{rest}}}");
                        let sent = call(to, "POST", &path, copy.as_bytes(), BEAT_TIMEOUT);
                        let status = sent.map_or(0, |answer| answer.status());
                        self.record.line(&format!("copy without version of {id}: {status}"));
                    }
                    break;
                }
                node += 1;
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, mut conn: Conn) {
        let mut pending = Pending::default();
        while let Ok(request) = conn.request() {
            if let Some(extra) = pending.extra.take()
                && conn.write(&extra).is_err()
            {
                return;
            }
            let written = match self.side(&request) {
                Some((bytes, garbled)) => {
                    self.answers.fetch_add(1, Ordering::SeqCst);
                    pending.extra = garbled.then(|| bytes.clone());
                    conn.write(&bytes)
                }
                None => {
                    self.answers.fetch_add(1, Ordering::SeqCst);
                    self.call(&mut conn, &request)
                }
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a request that carries no call, and whether it comes twice.
    fn side(&self, request: &Message) -> Option<(Vec<u8>, bool)> {
        let Traits { id, stage, .. } = &self.traits;
        let kind = request.path().split('/').nth(1).unwrap_or_default();
        let json = "Content-Type: application/json\r\n";
        let plain = |bytes| Some((bytes, false));
        match (request.method(), kind) {
            ("GET", "healthz") => {
                plain(answer(200, &format!("Dotterelpin-Instance-Id: {id}\r\n"), ""))
            }
            ("GET", "report") => {
                let state = self.lock();
                let used = (state.running + state.holds.len()) * 1_000;
                let body = format!(
                    "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"waiting\":0,\
                     \"running\":{},\"kvUsed\":{used},\"kvTotal\":33466,\"kvHandles\":0}}",
                    state.running
                );
                plain(answer(200, json, &body))
            }
            ("POST", "hold-take") => Some(self.take_hold()),
            ("DELETE", "hold-drop") => {
                let name = request.path().split('/').nth(2).unwrap_or_default();
                self.lock().holds.remove(name);
                plain(answer(200, "", ""))
            }
            ("DELETE", "kv-handle") => plain(answer(200, "", "")),
            ("POST", "order") => plain(answer(409, "", "")),
            _ => None,
        }
    }

    fn take_hold(&self) -> (Vec<u8>, bool) {
        let asked = self.asked.fetch_add(1, Ordering::SeqCst) + 1;
        let each = self.traits.full_each;
        let mut state = self.lock();
        state.holds.retain(|_, until| Instant::now() < *until);
        let full = state.running + state.holds.len() >= SLOTS;
        if full || each > 0 && asked % each == 0 {
            drop(state);
            let bytes = answer(503, "Dotterelpin-Not-Executed: 1\r\n", "");
            return (bytes, self.comes_twice());
        }
        let name = format!("h{}", self.next.fetch_add(1, Ordering::SeqCst));
        state.holds.insert(name.clone(), Instant::now() + Duration::from_secs(2));
        (
            answer(200, "Content-Type: application/json\r\n", &format!("{{\"hold\":\"{name}\"}}")),
            false,
        )
    }

    /// Returns whether an answer comes a second time.
    fn comes_twice(&self) -> bool {
        self.troubles.extra_answers && self.is_garbled()
    }

    /// Returns whether the handle in an answer is wrong.
    fn is_wrong(&self) -> bool {
        self.troubles.wrong_handles && self.is_garbled()
    }

    /// Returns whether an answer is garbled: never more than 3 in 100 of all answers.
    fn is_garbled(&self) -> bool {
        let (answers, extras) =
            (self.answers.load(Ordering::SeqCst), self.extras.load(Ordering::SeqCst));
        let garbled = (extras + 1) * 100 <= answers * 3;
        if garbled {
            self.extras.fetch_add(1, Ordering::SeqCst);
        }
        garbled
    }

    fn call(&self, conn: &mut Conn, request: &Message) -> std::io::Result<()> {
        let Traits { id, stage, .. } = &self.traits;
        let attempt = request.field("dotterelpin-attempt-id").unwrap_or_default().to_string();
        let echo = format!("Dotterelpin-Attempt-Id: {attempt}\r\n");
        let refused = format!("{echo}Dotterelpin-Not-Executed: 1\r\n");
        let prefill = request.field("dotterelpin-stage") == Some("prefill");
        let expected = request.field("dotterelpin-expect-instance").is_none_or(|e| e == id);
        if !expected || prefill != (stage == "prefill") {
            return conn.write(&answer(421, &refused, ""));
        }
        if prefill {
            std::thread::sleep(self.traits.prefill);
            let handle = self.next.fetch_add(1, Ordering::SeqCst);
            let wrong = if self.is_wrong() { "\\r\\n\\r\\n" } else { "" };
            let body =
                format!("{{\"kvHandle\":\"k{handle}{wrong}\",\"tokens\":900,\"version\":1}}");
            let head = format!("{echo}Content-Type: application/json\r\n");
            return conn.write(&answer(200, &head, &body));
        }
        {
            let mut state = self.lock();
            let held = request.field("dotterelpin-kv-hold").map(|h| state.holds.remove(h));
            if held.flatten().is_none() && state.running + state.holds.len() >= SLOTS {
                drop(state);
                return conn.write(&answer(503, &refused, ""));
            }
            state.running += 1;
            state.ran.push(attempt.clone());
            if request.body != CONTENT {
                state.changed.push(attempt.clone());
            }
        }
        let bytes = request.body.len();
        self.record.line(&format!("runner {id} runs {attempt} with {bytes} bytes of content"));
        let written = self.stream(conn, request, &attempt, &echo);
        self.lock().running -= 1;
        written
    }

    fn stream(
        &self,
        conn: &mut Conn,
        request: &Message,
        attempt: &str,
        echo: &str,
    ) -> std::io::Result<()> {
        let Traits { id, version, events, pause, .. } = &self.traits;
        let after = request.field("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}\
             Dotterelpin-Server-Stamp: {id}.{attempt}\r\nDotterelpin-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        for number in after + 1..=*events {
            std::thread::sleep(*pause);
            let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        conn.write(b"0\r\n\r\n")
    }
}

/// Returns the ids of requests that have begun to run more than once.
pub fn ran_twice(runners: &[Arc<Runner>]) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    let all = runners.iter().flat_map(|runner| runner.ran());
    all.filter(|id| !seen.insert(id.clone())).collect()
}
