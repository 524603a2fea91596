//! The quotas of client accounts at a gateway: which calls are admitted, wait or are refused, and what
//! the gateway asks of control's leader.

mod gateway_fixture;
// Other tests use the rest of it.
mod recorded_lines;

use std::net::SocketAddr;

use assert_matches::assert_matches;
use dotterelpin::control::dispatch::credits::{AccountRequest, Credits, CreditsRequest, Leading};
use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::{ExchangeId, Timestamp};
use dotterelpin::role::Input;
use dotterelpin::routes::RawTable;
use dotterelpin::routes::accounts::{QuotaUnit, RawAccount};
use gateway_fixture::{Fixture, table};

const UNIT: QuotaUnit = QuotaUnit::Tokens { default: 200 };
const LEADING: Leading = Leading { term: 1, since: Timestamp::from_micros(1) };

fn account(name: &str, key: &str, rate: f64, burst: f64) -> RawAccount {
    let keys = vec![key.into()];
    RawAccount { name: name.into(), keys, rate, burst, unit: UNIT, ..RawAccount::example() }
}

fn accounts_table(version: u64, rate: f64) -> RawTable {
    let accounts = vec![account("city", "k1", rate, rate), account("vet", "k2", 0.0, 0.0)];
    RawTable { version, accounts, ..table() }
}

/// A gateway with the accounts `city` (a quota of 4,000 tokens per second) and `vet` (none), and its
/// leader.
struct Quotas {
    f: Fixture,
    leader: Credits,
}

impl Quotas {
    fn new() -> Quotas {
        let tables = vec![accounts_table(1, 4_000.0), accounts_table(2, 1_000.0)];
        let mut f = Fixture::without_table(tables).made_ready();
        f.leader = Some(SocketAddr::from(([127, 0, 0, 1], 9_001)));
        f.advance(1_000);
        Quotas { f, leader: Credits::default() }
    }

    fn call(&mut self, caller: u64, key: &str) {
        self.f.call(caller, "/look/a", &[("Key", key)]);
    }

    fn model_call(&mut self, caller: u64, tokens: &str) {
        let fields = [("Key", "k1"), ("Model", "m"), ("Tokens", tokens)];
        self.f.call(caller, "/remind/a", &fields);
    }

    /// Removes and returns the open request for credit, if any.
    fn take_request(&mut self) -> Option<(ExchangeId, CreditsRequest)> {
        let is_credit = |(_, r): &(_, ControlRequest)| matches!(r, ControlRequest::Credits(_));
        let at = self.f.leader_requests.iter().position(is_credit)?;
        let (exchange, request) = self.f.leader_requests.remove(at);
        Some((exchange, assert_matches!(request, ControlRequest::Credits(request) => *request)))
    }

    fn account_request(&mut self) -> AccountRequest {
        let (_, mut request) = self.take_request().expect("expected a request for credit");
        request.accounts.remove(0)
    }

    fn reply(&mut self, exchange: ExchangeId, reply: ControlReply) {
        let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
        self.f.step(Input::Reply { exchange, envelope });
    }

    /// Lets the leader answer the open requests for credit.
    fn grant(&mut self) {
        while let Some((exchange, request)) = self.take_request() {
            let reply = self.leader.grant(self.f.now, LEADING, &request);
            self.reply(exchange, ControlReply::CreditsGranted(reply));
        }
    }

    fn status(&self, caller: u64) -> u16 {
        self.f.answers.get(&caller).map_or(0, |answer| answer.status)
    }

    fn retry_after(&self, caller: u64) -> Option<&str> {
        self.f.answers[&caller].fields.text("Retry-After")
    }
}

/// A gateway that asks for accounts without a quota would delay every call by an exchange.
#[test]
fn call_of_an_account_without_a_quota_waits_for_nothing() {
    let mut q = Quotas::new();
    for caller in 0..20 {
        q.call(caller, "k2");
        let sent = q.f.take_sent();
        q.f.answer(&sent, 200, &[], "seen");
        q.f.advance(100);
    }
    assert_eq!(q.take_request(), None, "credit was requested for an account without a quota");
}

#[test]
fn call_waits_for_the_grant_and_later_ones_are_paid_in_advance() {
    let mut q = Quotas::new();
    q.call(1, "k1");
    assert!(!q.f.has_sent(), "the call was sent without credit");
    q.grant();
    assert_eq!(q.f.take_sent().field("Account"), Some("city"));
    q.call(2, "k1");
    assert!(q.f.has_sent(), "the call waited although credit was granted in advance");
}

#[test]
fn call_over_the_quota_gets_429_with_the_time_of_room_for_it() {
    let mut q = Quotas::new();
    q.model_call(1, "3000,800");
    q.grant();
    assert_eq!(q.status(1), 0);
    q.model_call(2, "3000,800");
    q.grant();
    assert_eq!(q.status(2), 429);
    // The bucket has 200 of 3,800 tokens at 4,000 per second: 0.9 s, and a quarter of that at most.
    let after: f64 = q.retry_after(2).unwrap().parse().unwrap();
    assert!((0.9..=1.125).contains(&after), "{after}");
}

#[test]
fn call_larger_than_the_burst_is_refused_without_a_request() {
    let mut q = Quotas::new();
    q.model_call(1, "4000,100");
    assert_eq!(q.status(1), 429);
    assert_eq!(q.retry_after(1), Some("60.000"));
    assert_eq!(q.take_request(), None);
}

/// A grant that is lost with its reply must not keep the call until its caller gives up.
#[test]
fn silent_leader_delays_a_call_by_less_than_a_tenth_of_a_second() {
    let mut q = Quotas::new();
    q.call(1, "k1");
    q.f.advance(85);
    assert_eq!(q.status(1), 0);
    q.f.advance(10);
    assert_eq!(q.status(1), 429);
}

#[test]
fn call_is_refused_at_its_deadline_while_it_waits_for_credit() {
    let mut q = Quotas::new();
    q.f.call(1, "/look/a", &[("Key", "k1"), ("Patience-Ms", "30")]);
    q.f.advance(31);
    assert_eq!(q.status(1), 503);
    q.grant();
    assert!(!q.f.has_sent(), "a call that was refused was sent");
}

/// A late grant would be used after the leader counts it as used.
#[test]
fn grant_that_comes_late_is_dropped() {
    let mut q = Quotas::new();
    q.call(1, "k1");
    let (exchange, request) = q.take_request().unwrap();
    let reply = q.leader.grant(q.f.now, LEADING, &request);
    q.f.stall(260);
    q.reply(exchange, ControlReply::CreditsGranted(reply));
    assert!(!q.f.has_sent(), "a call was paid by credit that the leader counts as used");
}

#[test]
fn caller_that_leaves_while_its_call_waits_returns_the_credit() {
    let mut q = Quotas::new();
    q.call(1, "k1");
    let (exchange, request) = q.take_request().unwrap();
    q.f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
    let reply = q.leader.grant(q.f.now, LEADING, &request);
    q.reply(exchange, ControlReply::CreditsGranted(reply));
    assert!(!q.f.has_sent());
    q.f.advance(60);
    assert_eq!(q.account_request().returned, 200_000);
}

/// A call that is refused for another reason than the quota must not use it up.
#[test]
fn credit_of_a_call_that_has_not_run_is_returned() {
    let mut q = Quotas::new();
    for name in ["p1", "p2"] {
        q.f.withdraw(name);
    }
    q.f.advance(600);
    q.call(1, "k1");
    q.grant();
    assert_eq!(q.status(1), 503);
    q.f.advance(60);
    assert_eq!(q.account_request().returned, 200_000);
}

#[test]
fn shutdown_finds_a_call_that_waits_for_credit() {
    let mut q = Quotas::new();
    q.f.call(1, "/remind/a", &[("Key", "k1"), ("Model", "m"), ("Tokens", "300,100")]);
    q.f.shut_down();
    // It may take 14 s, and the process ends in 8 s.
    assert_eq!(q.status(1), 503);
}

#[test]
fn member_that_does_not_lead_is_not_asked_again() {
    let mut q = Quotas::new();
    q.call(1, "k1");
    let (exchange, _) = q.take_request().unwrap();
    let leader = "127.0.0.1:9002".parse().unwrap();
    q.reply(exchange, ControlReply::NotLeader { leader: Some(leader) });
    q.f.advance(25);
    let (exchange, _) = q.take_request().expect("expected a request to the new leader");
    assert_eq!(q.f.members_of[&exchange], leader);
}

/// Without a leader for longer than an election, each of the two gateways uses half of the quota.
#[test]
fn gateway_without_a_leader_uses_its_part_of_the_quota() {
    let mut q = Quotas::new();
    q.call(0, "k1");
    q.f.advance(1_600);
    let mut sent = 0;
    for caller in 1..=200 {
        q.call(caller, "k1");
        q.f.advance(20);
        if q.f.has_sent() {
            let request = q.f.take_sent();
            q.f.answer(&request, 200, &[], "seen");
            sent += 1;
        }
    }
    // 2,000 tokens per second for 4 s are 40 calls.
    assert!((36..=41).contains(&sent), "expected about 40 calls, found {sent}");
}

#[test]
fn lower_limit_of_a_new_table_cuts_the_credit_at_hand() {
    let mut q = Quotas::new();
    for caller in 0..10 {
        q.call(caller, "k1");
        q.grant();
    }
    q.f.publish(1, 2);
    q.f.advance(550);
    q.call(20, "k1");
    let request = q.account_request();
    assert_eq!(request.limit.version, 2);
    assert!(request.held <= 250_000, "{request:?}");
}

/// A stream that is resumed through another call is a new request.
#[test]
fn resumed_stream_costs_credit() {
    let mut q = Quotas::new();
    let fields = [("Key", "k1"), ("Model", "m"), ("Tokens", "300,100"), ("Last-Event-Id", "3")];
    q.f.call(1, "/remind/a", &fields);
    assert_eq!(q.account_request().needed, [400_000]);
}

#[test]
fn gateway_has_one_request_open_for_all_calls() {
    let mut q = Quotas::new();
    (0..30).for_each(|caller| q.call(caller, "k1"));
    let first = q.take_request().unwrap();
    assert_eq!(first.1.accounts[0].needed.len(), 1);
    assert_eq!(q.take_request(), None, "two requests were open at once");
    let reply = q.leader.grant(q.f.now, LEADING, &first.1);
    q.reply(first.0, ControlReply::CreditsGranted(reply));
    let second = q.take_request().expect("expected a request for the calls that came later");
    assert!(second.1.accounts[0].needed.len() > 20);
}

/// Credit for rare plain calls is renewed, so that they wait for nothing.
#[test]
fn rare_plain_calls_are_paid_in_advance() {
    let mut q = Quotas::new();
    let mut waited = 0;
    for caller in 0..20 {
        q.call(caller, "k1");
        waited += u32::from(!q.f.has_sent());
        q.grant();
        let sent = q.f.take_sent();
        q.f.answer(&sent, 200, &[], "seen");
        for _ in 0..100 {
            q.f.advance(20);
            q.grant();
        }
    }
    assert!(waited <= 1, "{waited} of 20 calls waited for credit");
    q.f.advance(20_000);
    q.grant();
    q.f.advance(5_000);
    assert_eq!(q.take_request(), None, "credit was renewed for an account that is not in use");
}

/// An account over its quota must not fill the log, and its refusals must be found by the id.
#[test]
fn refusals_are_logged_once_a_second_for_each_account() {
    recorded_lines::record();
    let mut q = Quotas::new();
    for caller in 0..200 {
        q.model_call(caller, "3000,800");
        q.grant();
        q.f.advance(10);
    }
    let lines = recorded_lines::lines("quota");
    assert!((2..=4).contains(&lines.len()), "{lines:?}");
    let dropped = lines.iter().map(|line| recorded_lines::value(line, "dropped"));
    let dropped: u64 = dropped.map(|text| text.parse::<u64>().unwrap()).sum();
    assert!(dropped > 50, "{lines:?}");
    let ends = recorded_lines::lines("end");
    let refused = ends.iter().filter(|line| line.contains(" why=\"over the quota\""));
    let named = refused.filter(|line| line.contains(" account=\"city\""));
    assert!(named.count() > 100, "the lines of the calls don't name the account");
}
