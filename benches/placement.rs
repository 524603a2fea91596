//! Measures the time of one placement decision and one admission decision, at three sizes each:
//! `cargo bench --bench placement`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dotterelpin::control::config::Config;
use dotterelpin::entry::admit::{Admission, Limits, Queue, Ticket};
use dotterelpin::entry::place::{Fleet, Need, Software, Variant};
use dotterelpin::model::{
    BootId, Call, CallId, CallKind, Capacity, Class, EndpointKind, EndpointState, Fence, Load,
    Timestamp,
};

/// Decisions per measurement.
const ROUNDS: u32 = 20_000;
/// Calls in the queue while admission is measured.
const QUEUED: u64 = 4_000;
const ENDPOINTS: [usize; 3] = [36, 350, 3_400];
const TENANTS: [u64; 3] = [18, 180, 1_800];

fn now() -> Timestamp {
    Timestamp::from_micros(1_000_000)
}

fn endpoint(index: usize) -> EndpointState {
    EndpointState {
        name: format!("e{index}").into(),
        address: SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000)),
        domain: format!("d{}", index % 6).into(),
        boot: BootId(1),
        kind: if index.is_multiple_of(3) { EndpointKind::Prefill } else { EndpointKind::Decode },
        pool: "model".into(),
        url: "http://e".into(),
        capacity: Capacity { slots: 20, pieces: 80, piece_tokens: 2_000 },
        load: Load { slots: (index % 19) as u32, ..Load::default() },
        draining: false,
        sequence: 0,
        fence: Fence(0),
        software: "".into(),
    }
}

fn call(tenant: u64, class: Class) -> Call {
    let kind = CallKind::Model { prompt: "a prompt".into(), max_tokens: 100, stream: true };
    Call {
        tenant: format!("tenant-{tenant}").into(),
        pool: "model".into(),
        class,
        deadline: now() + Duration::from_secs(600),
        key: None,
        repeatable: true,
        kind,
    }
}

/// Returns the mean microseconds per round since `start`.
fn micros_each(rounds: u32, start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Measures one placement decision; all endpoints are in one pool, which is the worst case.
fn place(count: usize) {
    let mut fleet = Fleet::new(true);
    let all: BTreeMap<_, _> = (0..count).map(endpoint).map(|e| (e.name.clone(), e)).collect();
    fleet.update(&all);
    for variant in [Variant::RoundRobin, Variant::LeastReported, Variant::Prefix] {
        let mut placement = variant.placement(1);
        let start = Instant::now();
        for round in 0..ROUNDS {
            let need = Need {
                kind: if round % 2 == 0 { EndpointKind::Prefill } else { EndpointKind::Decode },
                pool: "model",
                tried: &[],
                tokens: 3_000,
                avoid: Some("d1"),
                prefix: Some(u64::from(round % 100)),
                software: Software::Only(""),
            };
            black_box(placement.choose(now(), &need, &fleet));
        }
        println!("| place | {count} endpoints | {variant} | {:.2} |", micros_each(ROUNDS, start));
    }
}

/// Measures one turn of a full queue: admit a call, serve the next one and queue the new one.
fn queue(tenants: u64) {
    let mut queue = Queue::default();
    let ticket = |id: u64| {
        let class = if id.is_multiple_of(3) { Class::Interactive } else { Class::Batch };
        let due = now() + Duration::from_micros(id * 7_919 % 9_000_000 + 10_000_000);
        Ticket { id: CallId(id), call: call(id % tenants, class), due, last: due, tokens: 900 }
    };
    for id in 0..QUEUED {
        queue.push(ticket(id));
    }
    let mut limits = Limits::default();
    let config = Config::default();
    let tickets: Vec<Ticket> = (QUEUED..QUEUED + u64::from(ROUNDS)).map(ticket).collect();
    let start = Instant::now();
    for ticket in tickets {
        black_box(limits.acquire(&ticket.call, &config).is_ok());
        let next = queue.peek(now()).map(|t| t.id);
        let served = next.and_then(|id| queue.serve(id));
        if let Some(served) = &served {
            limits.release(&served.call.tenant);
        }
        black_box(served);
        black_box(queue.push(ticket));
    }
    println!(
        "| admit | {tenants} tenants | limit, serve and queue | {:.2} |",
        micros_each(ROUNDS, start)
    );
}

/// Measures one arrival at a pool without capacity, until the call is queued.
fn offer(tenants: u64) {
    let (config, fleet) = (Config::default(), Fleet::new(true));
    let mut admission = Admission::default();
    let calls: Vec<Call> = (0..QUEUED).map(|i| call(i % tenants, Class::Interactive)).collect();
    let start = Instant::now();
    for (id, call) in calls.into_iter().enumerate() {
        black_box(admission.offer(now(), CallId(id as u64), call, &config, &fleet));
        black_box(admission.next(now(), &fleet));
    }
    println!(
        "| admit | {tenants} tenants | offer and decide | {:.2} |",
        micros_each(QUEUED as u32, start)
    );
}

fn main() {
    println!("| decision | size | what | microseconds each |\n|---|---|---|---|");
    for count in ENDPOINTS {
        place(count);
    }
    for tenants in TENANTS {
        queue(tenants);
        offer(tenants);
    }
}
