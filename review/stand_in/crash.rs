//! LOST: a request whose deadline is a very large number takes a whole gateway down, and with it the
//! requests of others that it has passed on.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::Verdict;
use super::fleet::{Fleet, free_address};
use super::http::{Conn, answer, call};
use super::record::Record;

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r","host":"ficu95.example","pathPrefix":"/pule252/","type":"non_idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":1,"service":"wuno96b","maxAttempts":1,"sticky":false,"resumable":false,"targetGapMs":0}],"services":[{"name":"wuno96b","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
const RUNNERS: u8 = 3;
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(50);
const EDGES: u8 = 2;
/// How long clients send requests, how many there are, and their shortest pause between two requests.
const LENGTH: Duration = Duration::from_secs(12);
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(5);
/// How many such losses the rule allows.
const ALLOWED: usize = 3;
/// When the malformed request comes.
const MALFORMED_AT: Duration = Duration::from_secs(4);
/// The deadline of sound requests, as on the sheet.
const DEADLINE: &str = "600";
/// The malformed one: 10 to the power of 21 milliseconds.
const MALFORMED: &str = "1000000000000000000000";

/// The ids of requests, shared by all threads.
type Ids = Arc<Mutex<BTreeSet<String>>>;

fn lock(ids: &Ids) -> MutexGuard<'_, BTreeSet<String>> {
    ids.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(mut conn: Conn, id: &str, record: &Record, ran: &Ids) {
    while let Ok(request) = conn.request() {
        let attempt = request.field("dotterelpin-attempt-id").unwrap_or_default().to_string();
        record.line(&format!("runner {id} runs {attempt}"));
        lock(ran).insert(attempt.clone());
        std::thread::sleep(WORK);
        let extra = format!(
            "Dotterelpin-Attempt-Id: {attempt}\r\nDotterelpin-Server-Stamp: {id}.{attempt}\r\n"
        );
        if conn.write(&answer(200, &extra, "done")).is_err() {
            return;
        }
    }
}

fn runner(number: u8, apis: Vec<SocketAddr>, record: &Record, ran: &Ids) -> Result<(), String> {
    let at = free_address(101 + number)?;
    let listener = TcpListener::bind(at).map_err(|e| e.to_string())?;
    let id = format!("i-{number}");
    let (name, record, ran) = (id.clone(), record.clone(), ran.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().filter_map(Result::ok) {
            let (name, record, ran) = (name.clone(), record.clone(), ran.clone());
            std::thread::spawn(move || serve(Conn::new(stream), &name, &record, &ran));
        }
    });
    std::thread::spawn(move || {
        for sequence in 1.. {
            let body = format!(
                "{{\"service\":\"wuno96b\",\"address\":\"{at}\",\"zone\":\"zone-a\",\
                 \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"sequence\":{sequence},\"born\":1700000000000}}"
            );
            let path = format!("/instances/{id}/heartbeat");
            let to = apis[usize::from(number) % apis.len()];
            let _ = call(to, "POST", &path, body.as_bytes(), Duration::from_secs(1));
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
    Ok(())
}

/// Sends one request on a connection; returns the status, or 0 if the connection has ended.
fn send(conn: &mut Conn, id: &str, deadline: &str) -> u16 {
    let head = format!(
        "POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nDotterelpin-Attempt-Id: {id}\r\n\
         Dotterelpin-Deadline-Ms: {deadline}\r\nContent-Length: 2\r\n\r\nhi"
    );
    if conn.write(head.as_bytes()).is_err() {
        return 0;
    }
    let Ok(answer) = conn.head() else { return 0 };
    let _ = conn.content(&answer);
    answer.status()
}

/// A client that keeps its connection.
struct Client {
    number: usize,
    to: SocketAddr,
    record: Record,
    ended: Arc<AtomicBool>,
    /// The requests on a kept connection that ended without an answer.
    lost: Ids,
    /// The requests that were answered 200.
    served: Ids,
}

impl Client {
    fn run(self) {
        let mut turn = 0;
        // Clients are out of step with each other.
        let pause = PAUSE + Duration::from_millis(self.number as u64 % 12 * 3);
        std::thread::sleep(Duration::from_millis(self.number as u64 * 11));
        while !self.ended.load(Ordering::SeqCst) {
            let Ok(mut conn) = Conn::open(self.to, Duration::from_secs(1)) else {
                std::thread::sleep(PAUSE);
                continue;
            };
            let mut kept = false;
            while !self.ended.load(Ordering::SeqCst) {
                turn += 1;
                let id = format!("{:04x}{turn:04x}", self.number);
                let status = send(&mut conn, &id, DEADLINE);
                self.record
                    .line(&format!("client {id} at {} kept {kept} status {status}", self.to));
                match status {
                    0 if kept => _ = lock(&self.lost).insert(id),
                    200 => _ = lock(&self.served).insert(id),
                    _ => {}
                }
                if status == 0 {
                    break;
                }
                kept = true;
                std::thread::sleep(pause);
            }
        }
    }
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(record, EDGES)?;
    fleet.configure(record, CONFIGURATION)?;
    let (ran, lost, served) = (Ids::default(), Ids::default(), Ids::default());
    for number in 0..RUNNERS {
        runner(number, fleet.apis(), record, &ran)?;
    }
    fleet.wait_ready(record)?;
    std::thread::sleep(Duration::from_secs(2));
    let ended = Arc::new(AtomicBool::new(false));
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..CLIENTS {
        let client = Client {
            number,
            to: fleet.frontend(number),
            record: record.clone(),
            ended: ended.clone(),
            lost: lost.clone(),
            served: served.clone(),
        };
        threads.push(std::thread::spawn(move || client.run()));
    }
    let (begin, mut malformed, mut ends) = (Instant::now(), 0, 0);
    while begin.elapsed() < LENGTH {
        let due = trouble && malformed < EDGES && begin.elapsed() >= MALFORMED_AT;
        if due {
            let to = fleet.frontend(usize::from(malformed));
            malformed += 1;
            let id = format!("ffff{malformed:04x}");
            let conn = Conn::open(to, Duration::from_secs(1));
            let status = conn.map_or(0, |mut conn| send(&mut conn, &id, MALFORMED));
            record.line(&format!("client {id} at {to} deadline {MALFORMED} status {status}"));
        }
        std::thread::sleep(Duration::from_millis(50));
        // The platform starts a process again that has ended by itself.
        for name in fleet.restart_ended()? {
            record.line(&format!("the process of {name} has ended by itself; started again"));
            ends += 1;
        }
    }
    ended.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    let lost: Vec<String> = lock(&lost).intersection(&lock(&ran)).cloned().collect();
    let served = lock(&served).len();
    record.line(&format!("answered 200: {served}; processes that ended by themselves: {ends}"));
    record.line(&format!("run, and the kept connection ended without an answer: {lost:?}"));
    if served < 100 {
        return Err("too few requests were served".into());
    }
    Ok(if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
