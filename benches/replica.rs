//! Measures the replicated log and the configuration with three real members on loopback.
//!
//! `cargo build --release --bins && cargo bench --bench replica [-- PART...]`, with the parts
//! commits, election, restart, spread and heartbeats. The members are release-built processes that
//! sync real files.

#[path = "../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use common::relay::Relay;
use common::{Fleet, wait_for};
use dotterelpin::control::config::{Change, Edit, Revised};
use dotterelpin::control::state::{Applied, ChangeReply, Command};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request, Status};
use dotterelpin::link::tls::Identity;
use dotterelpin::link::{Link, LinkAction, LinkEvent, LinkHandle, Sink};
use dotterelpin::model::{BootId, ExchangeId, Revision, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::{Adapter, Driver, DriverHandle, Input, Output, Role};
use eyre::{ensure, eyre};

const MEMBERS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long an operator waits for a reply before it tries another member.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
const CHANGES: u64 = 300;
const IN_FLIGHT: u64 = 64;
const PIPELINED: u64 = 20_000;
const ELECTIONS: usize = 7;
const MISSED_CHANGES: u64 = 1_000;
const RESTARTS: usize = 5;
const SUBSCRIBERS: usize = 200;
const SPREAD_CHANGES: usize = 30;
const SIZES: [usize; 3] = [50, 200, 400];
const WATCH_DURATION: Duration = Duration::from_secs(10);
/// Clock ticks per second in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> eyre::Result<()> {
    let parts: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let wanted = |name: &str| parts.is_empty() || parts.iter().any(|p| p == name);
    let run = |name: &str, part: fn() -> eyre::Result<()>| {
        if wanted(name) { part() } else { Ok(()) }
    };
    run("commits", commits)?;
    run("election", election)?;
    run("restart", restart)?;
    run("spread", spread)?;
    run("heartbeats", heartbeats)
}

struct Events(Sender<LinkEvent>);

impl Sink for Events {
    fn deliver(&self, event: LinkEvent) {
        let _ = self.0.send(event);
    }
}

/// An operator that sends requests to the control members over one link.
struct Operator {
    members: Vec<SocketAddr>,
    link: LinkHandle,
    owner: u64,
    events: Receiver<LinkEvent>,
    last: u64,
    target: usize,
    revision: u64,
}

impl Operator {
    fn new(fleet: &Fleet) -> eyre::Result<Operator> {
        let link = bind(fleet, Identity::load_operator)?;
        let handle = link.handle();
        let (sender, events) = channel();
        let owner = handle.register(Arc::new(Events(sender)));
        link.start(Arc::new(|_| None))?;
        let members = fleet.members.clone();
        Ok(Operator { members, link: handle, owner, events, last: 0, target: 0, revision: 0 })
    }

    fn open(&mut self, peer: SocketAddr, request: ControlRequest) -> ExchangeId {
        self.last += 1;
        let exchange = ExchangeId(self.last);
        let envelope = Envelope { revised: Revised::default(), body: Request::Control(request) };
        self.link.act(LinkAction::Open { owner: self.owner, exchange, peer, envelope });
        exchange
    }

    fn request(&mut self, at: usize, request: ControlRequest) -> eyre::Result<ControlReply> {
        let peer = self.members[at];
        let wanted = self.open(peer, request);
        let until = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            let Ok(event) = self.events.recv_timeout(remaining) else {
                self.link.act(LinkAction::Redial { peer });
                return Err(eyre!("no reply from {peer} within {ANSWER_TIMEOUT:?}"));
            };
            match event {
                LinkEvent::Reply { exchange, envelope } if exchange == wanted => {
                    let Reply::Control(reply) = envelope.body else { continue };
                    return Ok(reply);
                }
                LinkEvent::Closed { exchange, failure: Some(_) } if exchange == wanted => {
                    return Err(eyre!("the exchange with {peer} failed"));
                }
                _ => {}
            }
        }
    }

    fn status(&mut self, at: usize) -> eyre::Result<Status> {
        match self.request(at, ControlRequest::Status)? {
            ControlReply::Status(status) => Ok(*status),
            other => Err(eyre!("expected a status from member {at}, got {other:?}")),
        }
    }

    /// Proposes one change and retries it at the leader until it is accepted.
    fn change(&mut self) -> eyre::Result<()> {
        let command = change(self.revision, "");
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            match self.request(self.target, ControlRequest::Propose(command.clone())) {
                Ok(ControlReply::Applied(Applied::Changed(ChangeReply::Accepted(revision)))) => {
                    self.revision = revision.0;
                    return Ok(());
                }
                Ok(ControlReply::Applied(other)) => {
                    return Err(eyre!("expected an accepted change, got {other:?}"));
                }
                Ok(ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader }) => {
                    let known = leader.and_then(|l| self.members.iter().position(|m| *m == l));
                    self.target = known.unwrap_or((self.target + 1) % MEMBERS);
                    std::thread::sleep(Duration::from_millis(5));
                }
                Ok(other) => {
                    return Err(eyre!("expected a reply to a proposal, got {other:?}"));
                }
                Err(_) => self.target = (self.target + 1) % MEMBERS,
            }
        }
        Err(eyre!("no member accepted the change within {TIMEOUT:?}"))
    }
}

fn bind(fleet: &Fleet, load: fn(&Path) -> eyre::Result<Identity>) -> eyre::Result<Link> {
    let identity = load(&fleet.folder.join("keys"))?;
    Link::bind("127.0.0.1:0".parse()?, identity)
}

/// Returns a command that sets a setting; `tag` distinguishes changes of the same base revision.
fn change(base: u64, tag: &str) -> Command {
    let edit = Edit::Set {
        name: "call.deadline_ms".into(),
        value: (1_000 + base % 50_000).to_string().into(),
    };
    let id = format!("change-{base}{tag}");
    Command::Change(Change { id: id.into(), base: Revision(base), author: "bench".into(), edit })
}

/// Starts the members and returns once the first change is accepted.
fn start_fleet() -> eyre::Result<(Fleet, Operator)> {
    let fleet = Fleet::new(MEMBERS)?;
    let mut operator = Operator::new(&fleet)?;
    operator.change()?;
    Ok((fleet, operator))
}

fn print_latencies(name: &str, mut latencies: Vec<Duration>) {
    latencies.sort_unstable();
    let at = |share: f64| latencies[((latencies.len() - 1) as f64 * share).round() as usize];
    println!(
        "{name:<44} n {:>5}  p50 {:>8.1} ms  p99 {:>8.1} ms  max {:>8.1} ms",
        latencies.len(),
        at(0.5).as_secs_f64() * 1e3,
        at(0.99).as_secs_f64() * 1e3,
        at(1.0).as_secs_f64() * 1e3
    );
}

/// Measures commits with one change at a time, then with many proposals in flight.
fn commits() -> eyre::Result<()> {
    let (_fleet, mut operator) = start_fleet()?;
    let begin = Instant::now();
    let mut latencies = Vec::new();
    for _ in 0..CHANGES {
        let start = Instant::now();
        operator.change()?;
        latencies.push(start.elapsed());
    }
    let rate = CHANGES as f64 / begin.elapsed().as_secs_f64();
    print_latencies("change, one after the other", latencies);
    println!("{:<44} {rate:>8.0} commits/s", "change, one after the other");
    let (peer, base) = (operator.members[operator.target], operator.revision);
    let mut starts = std::collections::BTreeMap::new();
    let mut latencies = Vec::new();
    let begin = Instant::now();
    let mut sent = 0;
    while (latencies.len() as u64) < PIPELINED {
        while sent < PIPELINED && (starts.len() as u64) < IN_FLIGHT {
            sent += 1;
            let command = change(base, &format!("-{sent}"));
            let exchange = operator.open(peer, ControlRequest::Propose(command));
            starts.insert(exchange, Instant::now());
        }
        match operator.events.recv_timeout(TIMEOUT)? {
            LinkEvent::Reply { exchange, envelope } => {
                let Some(start) = starts.remove(&exchange) else { continue };
                let applied = matches!(envelope.body, Reply::Control(ControlReply::Applied(_)));
                ensure!(applied, "expected an applied change, got {:?}", envelope.body);
                latencies.push(start.elapsed());
            }
            LinkEvent::Closed { failure: Some(f), .. } => {
                return Err(eyre!("exchange with {peer} failed: {f:?}"));
            }
            _ => {}
        }
    }
    let rate = PIPELINED as f64 / begin.elapsed().as_secs_f64();
    print_latencies(&format!("change, {IN_FLIGHT} in flight"), latencies);
    println!("{:<44} {rate:>8.0} commits/s", format!("change, {IN_FLIGHT} in flight"));
    Ok(())
}

/// Measures the time from kill -9 of the leader to the next accepted change.
fn election() -> eyre::Result<()> {
    let (mut fleet, mut operator) = start_fleet()?;
    let mut latencies = Vec::new();
    for _ in 0..ELECTIONS {
        operator.change()?;
        let leader = operator.target;
        fleet.controls[leader].kill();
        let start = Instant::now();
        operator.target = (leader + 1) % MEMBERS;
        operator.change()?;
        latencies.push(start.elapsed());
        fleet.controls[leader].restart()?;
        wait_for(TIMEOUT, || operator.status(leader).map(|_| ()))?;
        std::thread::sleep(Duration::from_secs(1));
    }
    print_latencies("kill -9 of the leader to accepted change", latencies);
    Ok(())
}

/// Measures the time from the start of a member that missed changes until it has applied them all.
fn restart() -> eyre::Result<()> {
    let (mut fleet, mut operator) = start_fleet()?;
    let mut latencies = Vec::new();
    for _ in 0..RESTARTS {
        operator.change()?;
        let behind = (operator.target + 1) % MEMBERS;
        fleet.controls[behind].kill();
        for _ in 0..MISSED_CHANGES {
            operator.change()?;
        }
        let start = Instant::now();
        fleet.controls[behind].restart()?;
        let revision = operator.revision;
        wait_for(TIMEOUT, || {
            let found = operator.status(behind)?.config.revision.0;
            ensure!(
                found == revision,
                "member {behind}: expected revision {revision}, got {found}"
            );
            Ok(())
        })?;
        latencies.push(start.elapsed());
    }
    print_latencies(&format!("start of a member with {MISSED_CHANGES} changes missed"), latencies);
    Ok(())
}

/// A role that only follows control and reports each new revision with the time of its receipt.
struct Subscriber {
    follower: Follower,
    last: u64,
    report: Sender<(Instant, Revision)>,
}

/// Running subscribers; they are shut down on drop.
struct Subscribers(Vec<DriverHandle<()>>);

impl Drop for Subscribers {
    fn drop(&mut self) {
        for handle in &self.0 {
            handle.send(Input::Shutdown { since: Timestamp::from_steady() });
        }
    }
}

struct NoEffects;

impl Adapter<()> for NoEffects {
    fn execute(&mut self, (): ()) {}
}

impl Role for Subscriber {
    type Local = ();
    type Effect = ();

    fn step(&mut self, now: Timestamp, input: Input<()>) -> Vec<Output<()>> {
        match input {
            Input::Reply { exchange, envelope } => {
                let before = self.follower.revised().revision;
                self.follower.reply(now, exchange, &envelope.body);
                let after = self.follower.revised().revision;
                if after > before {
                    let _ = self.report.send((Instant::now(), after));
                }
                Vec::new()
            }
            Input::Closed { exchange, .. } => {
                self.follower.closed(exchange);
                Vec::new()
            }
            Input::Wake => {
                let last = &mut self.last;
                self.follower.wake(now, None, None, &mut || {
                    *last += 1;
                    ExchangeId(*last)
                })
            }
            Input::Shutdown { .. } => vec![Output::Stopped],
            _ => Vec::new(),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.follower.next_wake()
    }
}

fn subscribe(
    fleet: &Fleet,
    members: &[SocketAddr],
    count: usize,
    report: &Sender<(Instant, Revision)>,
) -> eyre::Result<Subscribers> {
    let mut handles = Vec::new();
    for index in 0..count {
        let settings = FollowerSettings {
            name: format!("agent-{index}-{}", first_port(members)).into(),
            role: "agent".into(),
            domain: "brno-a".into(),
            boot: BootId(index as u64),
            address: None,
            members: members.to_vec(),
            routes: false,
            endpoints: false,
        };
        let link = bind(fleet, Identity::load)?;
        let driver = Driver::new();
        handles.push(driver.handle());
        let report = report.clone();
        let role = Subscriber { follower: Follower::new(settings), last: 0, report };
        let metrics = std::sync::Arc::new(dotterelpin::report::metrics::Metrics::new()?);
        driver.start("subscriber", role, link.handle(), NoEffects, metrics)?;
        link.start(Arc::new(|_| None))?;
    }
    Ok(Subscribers(handles))
}

/// Returns the port of the first address; keeps the names of relayed and direct processes distinct.
fn first_port(members: &[SocketAddr]) -> u16 {
    members.first().map_or(0, SocketAddr::port)
}

/// Measures the time from the proposal of a change until it is in force in each of many processes.
fn spread() -> eyre::Result<()> {
    let (fleet, mut operator) = start_fleet()?;
    let (report, reports) = channel();
    let _subscribers = subscribe(&fleet, &fleet.members, SUBSCRIBERS, &report)?;
    let mut seen = 0;
    while seen < SUBSCRIBERS {
        reports.recv_timeout(TIMEOUT)?;
        seen += 1;
    }
    let (mut latencies, mut last) = (Vec::new(), Vec::new());
    for _ in 0..SPREAD_CHANGES {
        std::thread::sleep(Duration::from_millis(730));
        let start = Instant::now();
        operator.change()?;
        for _ in 0..SUBSCRIBERS {
            let (at, revision) = reports.recv_timeout(TIMEOUT)?;
            ensure!(
                revision.0 == operator.revision,
                "expected revision {}, a subscriber reported {revision}",
                operator.revision
            );
            latencies.push(at - start);
        }
        last.push(start.elapsed());
    }
    print_latencies(&format!("change in force, each of {SUBSCRIBERS}"), latencies);
    print_latencies(&format!("change in force, last of {SUBSCRIBERS}"), last);
    Ok(())
}

/// Returns the seconds of processor time that a process has used.
fn processor_seconds(process: &str) -> eyre::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
}

fn resident_mib(process: u32) -> eyre::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()).and_then(|k| k.parse::<f64>().ok());
    Ok(kib.unwrap_or(0.0) / 1_024.0)
}

/// Measures the cost of heartbeats for a member and for a subscriber.
fn heartbeats() -> eyre::Result<()> {
    println!(
        "{:<12} {:>14} {:>14} {:>16} {:>18}",
        "subscribers", "member core %", "member MiB", "subscriber core %", "subscriber bytes/s"
    );
    for size in SIZES {
        let (fleet, _operator) = start_fleet()?;
        let (report, reports) = channel();
        let relays: Vec<Relay> =
            fleet.members.iter().map(|m| Relay::start(*m)).collect::<eyre::Result<_>>()?;
        let relay_addresses: Vec<SocketAddr> = relays.iter().map(|r| r.address).collect();
        let _relayed = subscribe(&fleet, &relay_addresses, 1, &report)?;
        let _direct = subscribe(&fleet, &fleet.members, size - 1, &report)?;
        for _ in 0..size {
            reports.recv_timeout(TIMEOUT)?;
        }
        std::thread::sleep(Duration::from_secs(2));
        let bytes = || relays.iter().map(Relay::bytes).sum::<u64>();
        let members = || -> eyre::Result<f64> {
            fleet.controls.iter().map(|c| processor_seconds(&c.id().to_string())).sum()
        };
        let (bytes_before, members_before) = (bytes(), members()?);
        let own_before = processor_seconds("self")?;
        std::thread::sleep(WATCH_DURATION);
        let span = WATCH_DURATION.as_secs_f64();
        let member = (members()? - members_before) / span / MEMBERS as f64 * 100.0;
        let own = (processor_seconds("self")? - own_before) / span / size as f64 * 100.0;
        let memory: f64 =
            fleet.controls.iter().map(|c| resident_mib(c.id())).sum::<eyre::Result<f64>>()?;
        println!(
            "{size:<12} {member:>14.2} {:>14.1} {own:>16.3} {:>18.0}",
            memory / MEMBERS as f64,
            (bytes() - bytes_before) as f64 / span
        );
    }
    Ok(())
}
