//! Measures the bytes and processor time of heartbeats at three fleet sizes:
//! `cargo bench --bench registry`.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dotterelpin::control::replica::{MemberId, ReplicaSettings, Stored};
use dotterelpin::control::{Control, ControlSettings};
use dotterelpin::model::{
    BootId, Capacity, EndpointKind, EndpointState, ExchangeId, Fence, InboundId, Load, Timestamp,
};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::{Input, Output, Role};

const SIZES: [usize; 3] = [340, 1_000, 3_400];
const ENDPOINTS_PER_ENTRY: usize = 7;
const MEMBERS: usize = 3;
const POOLS: usize = 26;
const DOMAINS: [&str; 6] = ["brno-a", "brno-b", "zlin-c", "ma-north-a", "ma-north-b", "ma-north-c"];
const TICK: Duration = Duration::from_millis(50);
const WARMUP_TICKS: u64 = 100;
const TICKS: u64 = 200;
/// Agents in the fleet that restart per second; in a fleet with 800 restarts per day it is 0.01.
const RESTARTS: u64 = 1;

/// Accumulated cost of heartbeats after the warm-up.
#[derive(Default)]
struct Cost {
    /// Encoded bytes of requests and replies.
    bytes: usize,
    time: Duration,
    count: usize,
}

impl Cost {
    fn add(&mut self, bytes: usize, since: Instant) {
        self.bytes += bytes;
        self.time += since.elapsed();
        self.count += 1;
    }
}

/// An agent, or an entry, which has no endpoint state.
struct Process {
    follower: Follower,
    state: Option<EndpointState>,
    cost: Cost,
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000 + member as u16))
}

fn member(member: usize) -> Control {
    let all = (0..MEMBERS).map(address).collect();
    let replica = ReplicaSettings::new(address(member), all, member as u64);
    let settings = ControlSettings {
        name: format!("control-{member}").into(),
        domain: DOMAINS[member].into(),
        boot: BootId(member as u64 + 1),
        replica,
        grace: Duration::from_secs(8),
    };
    let stored = Stored::new(MemberId(member as u64 + 1));
    Control::new(settings, stored).expect("control starts from an empty store")
}

fn process(index: usize, agent: bool) -> Process {
    let name: Box<str> = format!("{}-{index}", if agent { "decode" } else { "entry" }).into();
    let domain = DOMAINS[index % DOMAINS.len()];
    let boot = BootId(1_764_800_000_000_000 + index as u64);
    let settings = FollowerSettings {
        name: name.clone(),
        role: if agent { "agent".into() } else { "entry".into() },
        domain: domain.into(),
        boot,
        address: None,
        members: (0..MEMBERS).map(address).collect(),
        routes: false,
        endpoints: !agent,
    };
    let state = agent.then(|| EndpointState {
        name,
        address: SocketAddr::from(([10, 0, 1, 1], 7000)),
        domain: domain.into(),
        boot,
        sequence: 1,
        kind: if index.is_multiple_of(2) { EndpointKind::Prefill } else { EndpointKind::Decode },
        pool: format!("model-{}", index / 2 % POOLS).into(),
        url: "http://10.0.1.1:8000".into(),
        capacity: Capacity { slots: 20, pieces: 60, piece_tokens: 2_000 },
        load: Load { slots: 17, pieces: 48, prompt_tokens: 9_000, prefill_rate: 20_000 },
        draining: false,
        fence: Fence(123_456),
        software: "".into(),
    });
    Process { follower: Follower::new(settings), state, cost: Cost::default() }
}

/// Returns the encoded bytes of a message with its length prefix.
fn size<T: serde::Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() + 4)
}

fn run(endpoints: usize) {
    let mut members: Vec<Control> = (0..MEMBERS).map(member).collect();
    let entries = endpoints / ENDPOINTS_PER_ENTRY;
    let mut processes: Vec<Process> = (0..endpoints).map(|i| process(i, true)).collect();
    processes.extend((0..entries).map(|i| process(i, false)));
    let mut member_cost = Cost::default();
    let mut now = Timestamp::from_micros(1_764_800_000_000_000);
    let mut exchange = 0;
    for tick in 0..WARMUP_TICKS + TICKS {
        now = now + TICK;
        if tick == WARMUP_TICKS {
            member_cost = Cost::default();
            processes.iter_mut().for_each(|p| p.cost = Cost::default());
        }
        if tick % 20 < RESTARTS {
            let at = tick as usize * 31 % endpoints;
            processes[at] = Process { cost: Cost::default(), ..process(at, true) };
            processes[at].state.as_mut().expect("an agent has an endpoint state").sequence =
                tick + 2;
        }
        for member in &mut members {
            let since = Instant::now();
            member.step(now, Input::Wake);
            member_cost.time += since.elapsed();
        }
        for process in &mut processes {
            heartbeat(process, &mut members, &mut member_cost, now, &mut exchange);
        }
    }
    report(endpoints, &processes, &member_cost);
}

/// Wakes a process, passes its heartbeats to the members and their replies back.
fn heartbeat(
    process: &mut Process,
    members: &mut [Control],
    member_cost: &mut Cost,
    now: Timestamp,
    last: &mut u64,
) {
    let since = Instant::now();
    let outputs: Vec<Output<()>> =
        process.follower.wake(now, process.state.as_ref(), None, &mut || {
            *last += 1;
            ExchangeId(*last)
        });
    process.cost.time += since.elapsed();
    for output in outputs {
        let Output::Open { exchange, peer, envelope } = output else { continue };
        let request_bytes = size(&envelope);
        let since = Instant::now();
        let member = &mut members[usize::from(peer.port() - 7000)];
        let replies = member.step(now, Input::Request { inbound: InboundId(exchange.0), envelope });
        let Some(Output::Reply { envelope, .. }) = replies.into_iter().next() else { continue };
        let bytes = request_bytes + size(&envelope);
        member_cost.add(bytes, since);
        let since = Instant::now();
        process.follower.reply(now, exchange, &envelope.body);
        std::hint::black_box(process.follower.changed_endpoints(now));
        process.cost.add(bytes, since);
    }
}

fn report(endpoints: usize, processes: &[Process], member: &Cost) {
    let seconds = (TICK * TICKS as u32).as_secs_f64();
    let mean = |agents: bool| {
        let chosen: Vec<_> = processes.iter().filter(|p| p.state.is_some() == agents).collect();
        let bytes: usize = chosen.iter().map(|p| p.cost.bytes).sum();
        let time: Duration = chosen.iter().map(|p| p.cost.time).sum();
        let count = chosen.len() as f64 * seconds;
        (bytes as f64 / count, time.as_secs_f64() / count * 100.0)
    };
    let ((agent_bytes, agent_core), (entry_bytes, entry_core)) = (mean(true), mean(false));
    let member_seconds = seconds * MEMBERS as f64;
    println!(
        "| {endpoints} | {} | {agent_bytes:.0} | {agent_core:.3} | {entry_bytes:.0} | \
         {entry_core:.3} | {:.0} | {:.1} | {:.1} |",
        endpoints / ENDPOINTS_PER_ENTRY,
        member.bytes as f64 / member_seconds,
        member.time.as_secs_f64() / member_seconds * 100.0,
        member.time.as_secs_f64() / member.count as f64 * 1e6,
    );
}

fn main() {
    println!(
        "| endpoints | entries | agent B/s | agent % core | entry B/s | entry % core | member B/s \
         | member % core | us per heartbeat |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for endpoints in SIZES {
        run(endpoints);
    }
}
