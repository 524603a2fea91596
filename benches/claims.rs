//! Measures commits of claims on three real members, and the memory and time of retained claims.
//!
//! `cargo build --release --bins && cargo bench --bench claims [-- PART...]`, with the parts
//! kept, rate and paced. The members are release-built processes that sync real files.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use common::Fleet;
use dotterelpin::control::claims::{Claim, ClaimKey, ClaimReply, Outcome, Target};
use dotterelpin::control::config::Revised;
use dotterelpin::control::replica::LogIndex;
use dotterelpin::control::state::{Applied, Command, State};
use dotterelpin::link::message::{Answer, ControlReply, ControlRequest, Envelope, Reply, Request};
use dotterelpin::link::tls::Identity;
use dotterelpin::link::{Link, LinkAction, LinkEvent, LinkHandle, Sink};
use dotterelpin::model::{BootId, CallId, ExchangeId, RequestId, Timestamp};
use eyre::{bail, ensure};

const MEMBERS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(20);
const SIZES: [u64; 3] = [10_000, 50_000, 200_000];
const IN_FLIGHT: [usize; 3] = [16, 64, 256];
const RATE_CLAIMS: u64 = 20_000;
const PACED_CLAIMS: u64 = 10_000;
const PACED_RATES: [u64; 3] = [250, 500, 1_000];
/// Size of an answer of the tap service.
const ANSWER_BYTES: usize = 64;
const PAGE_BYTES: f64 = 4_096.0;

fn main() -> eyre::Result<()> {
    let parts: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let wanted = |name: &str| parts.is_empty() || parts.iter().any(|p| p == name);
    if wanted("kept") {
        kept()?;
    }
    if wanted("rate") {
        rate()?;
    }
    if wanted("paced") {
        paced()?;
    }
    Ok(())
}

fn key(number: u64) -> ClaimKey {
    ClaimKey { tenant: "tabulka".into(), key: format!("{number:036}").into() }
}

fn request(number: u64) -> RequestId {
    RequestId { owner: BootId(1), call: CallId(number), attempt: 1 }
}

fn claim(number: u64) -> Command {
    let target = Target { endpoint: "classroom-api-1".into(), boot: BootId(2) };
    let claim = Claim {
        request: request(number),
        hash: number,
        target: Some(target),
        until: Timestamp::from_micros(number + 60_000_000),
        made: Timestamp::from_micros(number),
    };
    Command::Claim { key: key(number), claim }
}

fn finish(number: u64) -> Command {
    let content = vec![b'x'; ANSWER_BYTES];
    let answer = Answer { status: 200, media: "application/json".into(), content };
    let outcome = Outcome::finished(answer);
    Command::Finish { key: key(number), request: request(number), outcome }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> eyre::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Measures the memory of retained claims, and the time to apply and to encode them.
fn kept() -> eyre::Result<()> {
    println!(
        "{:<8} {:>14} {:>18} {:>12} {:>14}",
        "claims", "bytes each", "encoded bytes each", "apply us", "encode all ms"
    );
    for size in SIZES {
        let before = resident_bytes()?;
        let mut state = State::default();
        let start = Instant::now();
        for number in 0..size {
            state.apply(LogIndex(number * 2 + 1), &claim(number));
            state.apply(LogIndex(number * 2 + 2), &finish(number));
        }
        let apply = start.elapsed().as_secs_f64() * 1e6 / (size * 2) as f64;
        let bytes = (resident_bytes()? - before) / size as f64;
        let start = Instant::now();
        let encoded = postcard::to_stdvec(&state)?;
        let encode = start.elapsed().as_secs_f64() * 1e3;
        println!(
            "{size:<8} {bytes:>14.0} {:>18.0} {apply:>12.2} {encode:>14.1}",
            encoded.len() as f64 / size as f64
        );
        drop(encoded);
        // Freed memory that the allocator reuses would make the next size look too small.
        std::mem::forget(state);
    }
    Ok(())
}

struct Events(Sender<LinkEvent>);

impl Sink for Events {
    fn deliver(&self, event: LinkEvent) {
        let _ = self.0.send(event);
    }
}

/// Proposes claims over one connection, as an entry does.
struct Proposer {
    link: LinkHandle,
    owner: u64,
    events: Receiver<LinkEvent>,
    leader: SocketAddr,
    last: u64,
    starts: BTreeMap<ExchangeId, Instant>,
    latencies: Vec<Duration>,
}

impl Proposer {
    fn new(fleet: &Fleet) -> eyre::Result<Proposer> {
        let identity = Identity::load(&fleet.folder.join("keys"))?;
        let link = Link::bind("127.0.0.1:0".parse()?, identity)?;
        let handle = link.handle();
        let (sender, events) = channel();
        let owner = handle.register(Arc::new(Events(sender)));
        link.start(Arc::new(|_| None))?;
        let leader = fleet.members[0];
        let (starts, latencies) = (BTreeMap::new(), Vec::new());
        let mut proposer =
            Proposer { link: handle, owner, events, leader, last: 0, starts, latencies };
        proposer.find_leader(fleet)?;
        Ok(proposer)
    }

    fn find_leader(&mut self, fleet: &Fleet) -> eyre::Result<()> {
        let until = Instant::now() + TIMEOUT;
        for member in fleet.members.iter().cycle() {
            ensure!(Instant::now() < until, "no member granted a claim within {TIMEOUT:?}");
            self.leader = *member;
            self.send();
            let applied = self.receive_grant(Instant::now() + Duration::from_millis(500));
            self.starts.clear();
            self.latencies.clear();
            if matches!(applied, Ok(true)) {
                return Ok(());
            }
        }
        bail!("the fleet has no control members")
    }

    fn send(&mut self) {
        self.last += 1;
        let exchange = ExchangeId(self.last);
        let body = Request::Control(ControlRequest::Propose(claim(self.last)));
        let envelope = Envelope { revised: Revised::default(), body };
        self.starts.insert(exchange, Instant::now());
        self.link.act(LinkAction::Open {
            owner: self.owner,
            exchange,
            peer: self.leader,
            envelope,
        });
    }

    /// Waits for one claim to be granted; returns `false` if none was granted by the deadline.
    fn receive_grant(&mut self, until: Instant) -> eyre::Result<bool> {
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            match self.events.recv_timeout(remaining) {
                Ok(LinkEvent::Reply { exchange, envelope }) => {
                    let Some(start) = self.starts.remove(&exchange) else { continue };
                    let granted = ControlReply::Applied(Applied::Claim(ClaimReply::Granted));
                    ensure!(
                        envelope.body == Reply::Control(granted),
                        "expected a granted claim, got {:?}",
                        envelope.body
                    );
                    self.latencies.push(start.elapsed());
                    return Ok(true);
                }
                Ok(LinkEvent::Closed { failure: Some(failure), .. }) => {
                    bail!("exchange with the leader failed: {failure:?}")
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout) => return Ok(false),
                Err(RecvTimeoutError::Disconnected) => bail!("the link has shut down"),
            }
        }
    }

    fn print(&mut self, name: &str, begin: Instant) {
        let rate = self.latencies.len() as f64 / begin.elapsed().as_secs_f64();
        self.latencies.sort_unstable();
        let at = |share: f64| {
            let index = ((self.latencies.len() - 1) as f64 * share).round() as usize;
            self.latencies[index].as_secs_f64() * 1e3
        };
        println!(
            "{name:<28} {rate:>8.0} commits/s  p50 {:>7.2} ms  p99 {:>7.2} ms  max {:>7.2} ms",
            at(0.5),
            at(0.99),
            at(1.0)
        );
        self.latencies.clear();
    }
}

/// Measures the rate of commits with a fixed number of claims in flight.
fn rate() -> eyre::Result<()> {
    for in_flight in IN_FLIGHT {
        let fleet = Fleet::new(MEMBERS)?;
        let mut proposer = Proposer::new(&fleet)?;
        let begin = Instant::now();
        let mut sent = 0;
        while (proposer.latencies.len() as u64) < RATE_CLAIMS {
            while sent < RATE_CLAIMS && proposer.starts.len() < in_flight {
                sent += 1;
                proposer.send();
            }
            ensure!(
                proposer.receive_grant(Instant::now() + TIMEOUT)?,
                "no claim was granted within {TIMEOUT:?}"
            );
        }
        proposer.print(&format!("claim, {in_flight} in flight"), begin);
    }
    Ok(())
}

/// Measures the latency of claims that are proposed at a steady rate.
fn paced() -> eyre::Result<()> {
    for rate in PACED_RATES {
        let fleet = Fleet::new(MEMBERS)?;
        let mut proposer = Proposer::new(&fleet)?;
        let begin = Instant::now();
        for number in 0..PACED_CLAIMS {
            let due = begin + Duration::from_secs_f64(number as f64 / rate as f64);
            while proposer.receive_grant(due)? {}
            proposer.send();
        }
        while !proposer.starts.is_empty() {
            ensure!(
                proposer.receive_grant(Instant::now() + TIMEOUT)?,
                "no claim was granted within {TIMEOUT:?}"
            );
        }
        proposer.print(&format!("claim, {rate} a second"), begin);
    }
    Ok(())
}
