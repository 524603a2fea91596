//! Measures one decision about a quota at a gateway, and one request for credit at the leader:
//! `cargo bench --bench quotas`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use dotterelpin::control::dispatch::credits::{
    AccountLimit, AccountRequest, Credits, CreditsRequest, Leading,
};
use dotterelpin::gateway::admit::quota::{Contact, Quotas};
use dotterelpin::model::{BootId, ExchangeId, Timestamp};

/// Decisions per measurement.
const ROUNDS: u64 = 200_000;
const ACCOUNTS: [u64; 3] = [18, 180, 1_800];
/// The gateways that hold credit of each account at the leader.
const GATEWAYS: u64 = 31;
/// The cost of a plain call.
const COST: u64 = 200_000;
/// So high that no call is refused.
const LIMIT: AccountLimit =
    AccountLimit { version: 1, rate: 1_000_000_000_000, size: 1_000_000_000_000 };

/// Returns the mean microseconds per round since `start`.
fn micros_each(rounds: u64, start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn start_time() -> Timestamp {
    Timestamp::from_micros(10_000_000)
}

fn names(accounts: u64) -> Vec<String> {
    (0..accounts).map(|n| format!("account-{n}")).collect()
}

/// Measures one call at a gateway, with its part of the requests for credit and their replies.
fn decide(accounts: u64) {
    let names = names(accounts);
    let contact = Contact { majority: true, gateways: GATEWAYS as u32 };
    let mut quotas = Quotas::new(BootId(1));
    let mut leader = Credits::default();
    let (mut now, mut exchange, mut requests) = (start_time(), 0, 0_u64);
    let mut in_decisions = Duration::ZERO;
    let whole = Instant::now();
    for round in 0..ROUNDS {
        now = now + Duration::from_micros(500);
        let name = &names[(round * 7 % accounts) as usize];
        let start = Instant::now();
        black_box(quotas.take(now, contact, name, LIMIT, COST, round));
        in_decisions += start.elapsed();
        if let Some(request) = quotas.request(now, contact) {
            (exchange, requests) = (exchange + 1, requests + 1);
            quotas.opened(ExchangeId(exchange));
            let reply = leader.grant(now, Leading::default(), &request);
            black_box(quotas.granted(now, contact, ExchangeId(exchange), &reply));
        }
    }
    let decision = in_decisions.as_secs_f64() * 1e6 / ROUNDS as f64;
    println!("| decide | {accounts} accounts | one call | {decision:.2} |");
    let each = micros_each(ROUNDS, whole);
    println!("| decide | {accounts} accounts | with {requests} requests for credit | {each:.2} |");
}

/// Measures the leader's decision on one account of a request.
fn grant(accounts: u64) {
    let names = names(accounts);
    let mut leader = Credits::default();
    for gateway in 0..GATEWAYS {
        leader.heard(start_time(), &format!("gateway-{gateway}"));
    }
    let requests: Vec<CreditsRequest> = (0..ROUNDS)
        .map(|round| CreditsRequest {
            owner: BootId(round / accounts % GATEWAYS + 1),
            number: round + 1,
            accounts: vec![AccountRequest {
                account: names[(round % accounts) as usize].as_str().into(),
                limit: LIMIT,
                needed: vec![COST],
                ahead: COST,
                ..AccountRequest::default()
            }],
        })
        .collect();
    let start = Instant::now();
    for (round, request) in requests.iter().enumerate() {
        let now = start_time() + Duration::from_micros(2 * round as u64);
        black_box(leader.grant(now, Leading::default(), request));
    }
    let each = micros_each(ROUNDS, start);
    println!("| grant | {accounts} accounts at {GATEWAYS} gateways | one call | {each:.2} |");
}

fn main() {
    println!("| what | size | case | us |\n|---|---|---|---|");
    ACCOUNTS.into_iter().for_each(decide);
    ACCOUNTS.into_iter().for_each(grant);
}
