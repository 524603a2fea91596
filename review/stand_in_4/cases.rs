//! The cases, each played with its disruption or, with `TROUBLE=0`, without it.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::fleet::{Bounds, Fleet, Process};
use crate::http::{self, Conn, End};
use crate::runner::Settings;

/// What was sent, answered and run, with the time since the begin.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begin: Instant,
}

impl Record {
    fn new(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), begin: Instant::now() })
    }

    fn note(&self, text: &str) {
        let at = self.begin.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

pub fn main(case: &str, folder: &str) -> ExitCode {
    let folder = Path::new(folder);
    let Ok(record) = Record::new(folder) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record.note(&format!("case {case} trouble={trouble}"));
    let played = match case {
        "upgrade" => {
            let plan = Upgrade { first: 1_000, cold: 3_000, runs: 3_000, down: 1_500, crashes: 1 };
            upgrade(&record, trouble, &plan)
        }
        "flap" => {
            let plan = Upgrade { first: 150, cold: 0, runs: 900, down: 500, crashes: 4 };
            upgrade(&record, trouble, &plan)
        }
        "founder" => founder(&record, trouble),
        "outage" => outage(&record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match played {
        Ok(broken) => {
            println!("{}", if broken { "BROKEN" } else { "held" });
            ExitCode::from(u8::from(broken))
        }
        Err(why) => {
            record.note(&format!("the case could not run: {why}"));
            println!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}

/// The bounds of atlas-tasrih.
const ATLAS: Bounds = Bounds { ratio: "0.2", extra: "58", window: "10", grace: "8" };
/// The deadline of clients' streams.
const TIMEOUT: Duration = Duration::from_secs(14);
const HOST: &str = "ficu95.example";

/// Returns a configuration with a route to a model service whose streams may be resumed.
fn streams_config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"letters","host":"{HOST}","pathPrefix":"/letters/","type":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"drafts","maxAttempts":2,"sticky":true,"resumable":true,"targetGapMs":300}}],"services":[{{"name":"drafts","healthPath":"/healthz","maxConnections":170,"protocol":"h1","tls":false,"engine":{{"slots":12,"kvCapacityTokens":33466,"kvBytes":163840,"linkMbps":850000.0,"moves":true,"backups":true,"stride":11,"most":12,"kvRetentionS":0.5,"roleSwitchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// A runner that can crash and start again under its id, at its address.
struct RunnerProcess {
    settings: Settings,
    process: Option<Process>,
    log: std::path::PathBuf,
}

impl RunnerProcess {
    fn start(&mut self, record: &Record) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(self.settings.words());
        let started = Process::spawn(command, &self.log);
        self.process = Some(started.map_err(|e| format!("start a runner: {e}"))?);
        let Settings { id, version, stage, late, .. } = &self.settings;
        record.note(&format!(
            "runner {id} starts: {stage} {version}, first heartbeat {late} ms late"
        ));
        Ok(())
    }

    fn crash(&mut self, record: &Record) {
        self.process = None;
        record.note(&format!("runner {} {} crashes", self.settings.id, self.settings.version));
    }
}

/// One stream of a client over its tries.
#[derive(Default)]
struct Stream {
    last: u64,
    versions: BTreeSet<String>,
    runners: Vec<String>,
    misordered: bool,
}

impl Stream {
    /// Takes the complete events of some content; returns what is left of it.
    fn take(&mut self, content: &mut Vec<u8>) {
        while let Some(at) = content.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = content.drain(..at + 2).collect();
            let text = String::from_utf8_lossy(&event).into_owned();
            let number = text.strip_prefix("id: ").and_then(|t| t.split('\n').next());
            let number: u64 = number.and_then(|n| n.parse().ok()).unwrap_or(0);
            let data = text.split("data: ").nth(1).unwrap_or_default();
            let mut words = data.split(' ');
            let version = words.next().unwrap_or_default().to_string();
            let runner = words.next().unwrap_or_default();
            self.misordered |= number != self.last + 1;
            self.last = number;
            let by = format!("{version} at {runner} from event {number}");
            if !self
                .runners
                .last()
                .is_some_and(|l| l.starts_with(&format!("{version} at {runner} ")))
            {
                self.runners.push(by);
            }
            self.versions.insert(version);
        }
    }
}

/// What became of the streams.
#[derive(Default)]
struct Tally {
    /// When each stream's first request was sent, and whether it began.
    begun: Vec<(Instant, bool)>,
    /// The number of each stream that was taken up, when that was sent, and whether it went on.
    taken: Vec<(u64, Instant, bool)>,
}

struct Clients {
    record: Record,
    gateways: Vec<SocketAddr>,
    stop: AtomicBool,
    serial: AtomicU64,
    counts: Mutex<std::collections::BTreeMap<String, u64>>,
    /// Streams that hold events of two software versions.
    joined: AtomicU64,
    complete: AtomicU64,
}

impl Clients {
    fn count(&self, what: &str) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(what.into()).or_default() += 1;
    }

    /// Sends one stream's request and takes it up once at another gateway if it breaks off.
    fn stream(&self, gateway: usize) {
        let serial = self.serial.fetch_add(1, Ordering::SeqCst);
        let path = format!("/letters/{serial}");
        let mut stream = Stream::default();
        let first = format!("a{serial:06x}-1");
        let begin = Instant::now();
        let (status, end) = self.attempt(gateway, &path, &first, &first, TIMEOUT, &mut stream);
        let mut outcome = format!("{status} {end:?}");
        if status == 200 && end == End::Cut && stream.last > 0 {
            let other = (gateway + 1) % self.gateways.len();
            let again = format!("a{serial:06x}-2");
            let left = TIMEOUT.saturating_sub(begin.elapsed());
            let (status, end) = self.attempt(other, &path, &again, &first, left, &mut stream);
            outcome += &format!(", taken up: {status} {end:?}");
        }
        self.count(&outcome);
        if stream.versions.len() > 1 {
            self.joined.fetch_add(1, Ordering::SeqCst);
        }
        if outcome.ends_with("200 Complete") {
            self.complete.fetch_add(1, Ordering::SeqCst);
        }
        let joined = if stream.versions.len() > 1 { " TWO VERSIONS" } else { "" };
        self.record.note(&format!(
            "client stream {first} at gateway {gateway}: {outcome}, {} events: {}{joined}",
            stream.last,
            stream.runners.join("; "),
        ));
    }

    /// Sends one stream's request and, if it breaks off, takes it up once, 2 to 9 seconds later, as
    /// clients do that don't all come back at once.
    fn patient_stream(&self, gateway: usize, tally: &Mutex<Tally>) {
        let serial = self.serial.fetch_add(1, Ordering::SeqCst);
        let path = format!("/letters/{serial}");
        let first = format!("c{serial:06x}-1");
        let mut stream = Stream::default();
        let begin = Instant::now();
        let (status, end) = self.attempt(gateway, &path, &first, &first, TIMEOUT, &mut stream);
        let mut text = format!("{status} {end:?}, {} events", stream.last);
        let begun = stream.last > 0;
        let mut taken = None;
        if begun && (status, end) != (200, End::Complete) {
            std::thread::sleep(Duration::from_millis(2_000 + serial * 2_617 % 7_000));
            let left = TIMEOUT.saturating_sub(begin.elapsed());
            if left > Duration::from_secs(1) {
                let other = (gateway + 1) % self.gateways.len();
                let again = format!("c{serial:06x}-2");
                let (before, sent) = (stream.last, Instant::now());
                let (status, end) = self.attempt(other, &path, &again, &first, left, &mut stream);
                taken = Some((serial, sent, stream.last > before));
                let at = sent.duration_since(self.record.begin).as_secs_f64();
                text += &format!(
                    "; taken up at {at:.3} at gateway {other}: {status} {end:?}, {} events more",
                    stream.last - before
                );
            }
        }
        let joined = if stream.versions.len() > 1 { " TWO VERSIONS" } else { "" };
        self.record.note(&format!(
            "client stream {first} at gateway {gateway}: {text}: {}{joined}",
            stream.runners.join(", ")
        ));
        let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.begun.push((begin, begun));
        tally.taken.extend(taken);
    }

    fn attempt(
        &self,
        gateway: usize,
        path: &str,
        id: &str,
        first: &str,
        left: Duration,
        stream: &mut Stream,
    ) -> (u16, End) {
        let Ok(mut conn) = Conn::dial(self.gateways[gateway], Duration::from_secs(1)) else {
            return (0, End::Closed);
        };
        let last = stream.last.to_string();
        let deadline = left.as_millis().to_string();
        let mut fields = vec![
            ("Host", HOST),
            ("Dotterelpin-Attempt-Id", id),
            ("Dotterelpin-Deadline-Ms", deadline.as_str()),
            ("Dotterelpin-Model", "m"),
            ("Dotterelpin-Token-Usage", "800,60"),
            ("Dotterelpin-Prompt-Prefix", "5c1e07a2:200,e4402b7d:600"),
        ];
        if stream.last > 0 {
            fields.extend([("Last-Event-Id", last.as_str()), ("Resumes", first)]);
        }
        let bytes = http::request("POST", path, &fields, b"letter");
        if conn.write(&bytes).is_err() {
            return (0, End::Closed);
        }
        let mut rest = Vec::new();
        let until = Instant::now() + left + Duration::from_secs(1);
        let (head, end) = conn.answer(until, |part| {
            rest.extend_from_slice(part);
            if rest.starts_with(b"id: ") {
                stream.take(&mut rest);
            }
        });
        (head.map_or(0, |h| h.status()), end)
    }
}

/// How a runner that has started again in place with another software version behaves.
struct Upgrade {
    /// How long its first events take while it is cold, in milliseconds, and for how long it is.
    first: u64,
    cold: u64,
    /// How long it runs until it crashes again, in milliseconds, and for how long it is down then.
    runs: u64,
    down: u64,
    /// How often it crashes again.
    crashes: u64,
}

/// Runners are upgraded in place, one after the other: each crashes, is back at once under its id with
/// another software version, crashes again and is back again.
fn upgrade(record: &Record, trouble: bool, plan: &Upgrade) -> Result<bool, String> {
    const GATEWAYS: usize = 5;
    const DECODES: usize = 4;
    let fleet = Fleet::start(3, GATEWAYS, ATLAS)?;
    let apis: Vec<SocketAddr> = (0..3).map(|i| fleet.api(i)).collect();
    let mut runners: Vec<RunnerProcess> = Vec::new();
    for index in 0..=DECODES {
        let settings = Settings {
            id: format!("i-{index}"),
            service: "drafts".into(),
            address: fleet.runner(index),
            version: "v1".into(),
            stage: if index == 0 { "prefill" } else { "decode" }.into(),
            slots: 12,
            apis: apis.clone(),
            cold: 0,
            first: (plan.first, 150),
            gap: 60,
            events: 45,
            late: 0,
        };
        let log = fleet.folder.join(format!("runner-{index}.log"));
        runners.push(RunnerProcess { settings, process: None, log });
    }
    for runner in &mut runners {
        runner.start(record)?;
    }
    fleet.publish(&streams_config(3), Duration::from_secs(15)).ok_or("no acknowledgement")?;
    if !fleet.wait_ready() {
        return Err("the gateways are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(2));
    let clients = Arc::new(Clients {
        record: record.clone(),
        gateways: (0..GATEWAYS).map(|i| fleet.callers(i)).collect(),
        stop: AtomicBool::new(false),
        serial: AtomicU64::new(1),
        counts: Mutex::default(),
        joined: AtomicU64::new(0),
        complete: AtomicU64::new(0),
    });
    let threads: Vec<_> = (0..35)
        .map(|number| {
            let own = clients.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(83 * number as u64));
                while !own.stop.load(Ordering::SeqCst) {
                    own.stream(number % GATEWAYS);
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    for runner in &mut runners[1..DECODES] {
        if trouble {
            runner.crash(record);
            std::thread::sleep(Duration::from_millis(400));
            runner.settings.version = "v2".into();
            runner.settings.cold = plan.cold;
            runner.settings.late = 1_000;
            runner.start(record)?;
            for _ in 0..plan.crashes {
                std::thread::sleep(Duration::from_millis(plan.runs));
                runner.crash(record);
                std::thread::sleep(Duration::from_millis(plan.down));
                runner.start(record)?;
            }
        } else {
            std::thread::sleep(Duration::from_millis(400 + plan.crashes * (plan.runs + plan.down)));
        }
        std::thread::sleep(Duration::from_millis(6_000));
    }
    std::thread::sleep(Duration::from_secs(4));
    clients.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let counts = clients.counts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    record.note(&format!("tries ended: {counts:?}"));
    let joined = clients.joined.load(Ordering::SeqCst);
    let complete = clients.complete.load(Ordering::SeqCst);
    record.note(&format!("{joined} streams hold events of two versions; {complete} are complete"));
    drop(runners);
    fleet.end();
    if complete < 20 {
        return Err(format!("only {complete} streams were complete"));
    }
    Ok(joined > 2)
}

/// Runners of two versions serve side by side; all processes of the core and half of the gateways are
/// killed at the same moment and are back within a second.
fn outage(record: &Record, trouble: bool) -> Result<bool, String> {
    const GATEWAYS: usize = 4;
    const KILLED: usize = 2;
    /// `stableWindowMs`, and a little for the last start.
    const STABLE: Duration = Duration::from_millis(4_300);
    let mut fleet = Fleet::start(3, GATEWAYS, ATLAS)?;
    let apis: Vec<SocketAddr> = (0..3).map(|i| fleet.api(i)).collect();
    let mut runners: Vec<RunnerProcess> = Vec::new();
    for index in 0..10 {
        let settings = Settings {
            id: format!("i-{index}"),
            service: "drafts".into(),
            address: fleet.runner(index),
            version: if index % 2 == 0 { "v1" } else { "v2" }.into(),
            stage: if index < 2 { "prefill" } else { "decode" }.into(),
            slots: 12,
            apis: apis.clone(),
            cold: 0,
            first: (150, 150),
            gap: 60,
            events: 100,
            late: 0,
        };
        let log = fleet.folder.join(format!("runner-{index}.log"));
        runners.push(RunnerProcess { settings, process: None, log });
    }
    for runner in &mut runners {
        runner.start(record)?;
    }
    fleet.publish(&streams_config(3), Duration::from_secs(15)).ok_or("no acknowledgement")?;
    if !fleet.wait_ready() {
        return Err("the gateways are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(2));
    let clients = Arc::new(Clients {
        record: record.clone(),
        gateways: (0..GATEWAYS).map(|i| fleet.callers(i)).collect(),
        stop: AtomicBool::new(false),
        serial: AtomicU64::new(1),
        counts: Mutex::default(),
        joined: AtomicU64::new(0),
        complete: AtomicU64::new(0),
    });
    let tally = Arc::new(Mutex::new(Tally::default()));
    let threads: Vec<_> = (0..88)
        .map(|number| {
            let (own, tally) = (clients.clone(), tally.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(70 * number as u64));
                while !own.stop.load(Ordering::SeqCst) {
                    own.patient_stream(number % GATEWAYS, &tally);
                    std::thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(20));
    if trouble {
        let all = fleet.controls.iter().chain(&fleet.gateways[..KILLED]);
        all.for_each(|process| process.signal("-KILL"));
        fleet.controls.clear();
        fleet.gateways.drain(..KILLED);
        record.note("all processes of the core and gateways 0 and 1 are killed");
        std::thread::sleep(Duration::from_millis(800));
        for index in 0..3 {
            let process = fleet.control(index, false)?;
            fleet.controls.push(process);
        }
        for index in 0..KILLED {
            let process = fleet.gateway(index, false)?;
            fleet.gateways.push(process);
        }
        record.note("they start again, the core with its disks");
    }
    let back = Instant::now();
    std::thread::sleep(Duration::from_secs(16));
    clients.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(runners);
    fleet.end();
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    let in_touch = |sent: &Instant| *sent >= back + STABLE;
    let taken: Vec<_> = tally.taken.iter().filter(|(_, sent, _)| in_touch(sent)).collect();
    let streams: BTreeSet<u64> = taken.iter().map(|t| t.0).collect();
    let went_on: BTreeSet<u64> = taken.iter().filter(|t| t.2).map(|t| t.0).collect();
    let begun: Vec<_> = tally.begun.iter().filter(|(sent, _)| in_touch(sent)).collect();
    let began = begun.iter().filter(|b| b.1).count();
    record.note(&format!(
        "sent {} ms and more after the last start: {} streams taken up, of which {} went on; {} new \
         streams, of which {began} began",
        STABLE.as_millis(),
        streams.len(),
        went_on.len(),
        begun.len(),
    ));
    if began < 20 {
        return Err(format!("only {began} streams began"));
    }
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let going = share(went_on.len(), streams.len());
    Ok(streams.len() >= 12 && going < share(began, begun.len()) / 2.0)
}

/// Returns a configuration with a route of look-ups to a plain service.
fn plain_config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"status","host":"{HOST}","pathPrefix":"/status/","type":"idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"portal","maxAttempts":2,"sticky":false,"resumable":false}}],"services":[{{"name":"portal","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Sends a look-up; returns its status, 0 without an answer.
fn look_up(gateway: SocketAddr, serial: u64) -> u16 {
    let (id, path) = (format!("b{serial:06x}"), format!("/status/{serial}"));
    let fields =
        [("Host", HOST), ("Dotterelpin-Attempt-Id", &*id), ("Dotterelpin-Deadline-Ms", "600")];
    let bytes = http::request("GET", &path, &fields, b"");
    http::once(gateway, &bytes, Duration::from_secs(1)).map_or(0, |(status, _)| status)
}

/// At the first start of a site one of its three core machines is lost for good, and an empty one
/// takes its place at another address.
fn founder(record: &Record, trouble: bool) -> Result<bool, String> {
    const GATEWAYS: usize = 2;
    /// How long after the first start the operator still waits for an acknowledgement.
    const PLAY: Duration = Duration::from_secs(60);
    let mut fleet = Fleet::prepare(3, ATLAS)?;
    let begin = Instant::now();
    let first = fleet.control(0, true)?;
    fleet.controls.push(first);
    record.note("core-0 starts for the first time");
    std::thread::sleep(Duration::from_millis(200));
    if trouble {
        fleet.controls.clear();
        record.note("core-0 is lost for good");
    }
    for index in [1, 2] {
        let process = fleet.control(index, true)?;
        fleet.controls.push(process);
    }
    for index in 0..GATEWAYS {
        let process = fleet.gateway(index, true)?;
        fleet.gateways.push(process);
    }
    record.note("core-1, core-2 and the gateways start for the first time");
    let apis: Vec<SocketAddr> = (0..4).map(|i| fleet.api(i)).collect();
    let mut runners = Vec::new();
    for index in 0..2 {
        let settings = Settings {
            id: format!("i-{index}"),
            service: "portal".into(),
            address: fleet.runner(index),
            version: "v1".into(),
            stage: "plain".into(),
            slots: 6,
            apis: apis.clone(),
            cold: 0,
            first: (15, 15),
            gap: 0,
            events: 0,
            late: 0,
        };
        let log = fleet.folder.join(format!("runner-{index}.log"));
        let mut runner = RunnerProcess { settings, process: None, log };
        runner.start(record)?;
        runners.push(runner);
    }
    if trouble {
        std::thread::sleep(Duration::from_millis(1_500));
        fleet.seeds = vec![1, 2, 3];
        let process = fleet.control(3, false)?;
        fleet.controls.push(process);
        record.note("core-3 starts in its place, empty, at another address");
        std::thread::sleep(Duration::from_millis(2_000));
        for index in [1, 2] {
            fleet.control_settings(index, true)?;
        }
        for index in 0..GATEWAYS {
            fleet.gateway_settings(index, true)?;
        }
        fleet.controls[..2].iter().chain(&fleet.gateways).for_each(|p| p.signal("-HUP"));
        record.note("the settings of all name core-1, core-2 and core-3; SIGHUP");
    }
    let left = PLAY.saturating_sub(begin.elapsed());
    let sent = Instant::now();
    record.note("the operator sends the first configuration until it is acknowledged");
    let acknowledged = fleet.publish(&plain_config(3), left);
    match acknowledged {
        Some(after) => record.note(&format!("acknowledged after {} ms", after.as_millis())),
        None => record.note(&format!("no acknowledgement in {} ms", sent.elapsed().as_millis())),
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut statuses = std::collections::BTreeMap::new();
    for serial in 0..200 {
        let status = look_up(fleet.callers(serial as usize % GATEWAYS), serial);
        *statuses.entry(status).or_insert(0) += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    record.note(&format!("200 look-ups ended with (status: count) {statuses:?}"));
    let ended = fleet.controls.iter_mut().chain(&mut fleet.gateways).filter_map(Process::ended);
    let ended: Vec<String> = ended.collect();
    record.note(&format!("processes that ended by themselves: {ended:?}"));
    drop(runners);
    fleet.end();
    // 4 s is `ackMs`; the core has run and been connected since its last change.
    let late = acknowledged.is_none_or(|after| after > Duration::from_secs(4));
    let served = statuses.get(&200).copied().unwrap_or(0);
    Ok(late && served == 0)
}
