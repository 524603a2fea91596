//! Control's leader grants credit of client accounts; a member that doesn't lead, or whose lease is
//! over, grants none.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::dispatch::credits::{
    AccountLimit, AccountRequest, Credits, CreditsReply, CreditsRequest, Leading,
};
use dotterelpin::control::replica::{MemberId, ReplicaSettings, Stored};
use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
use dotterelpin::model::{BootId, InboundId, Timestamp};
use dotterelpin::role::{Input, Output, Role};

const LIMIT: AccountLimit = AccountLimit { version: 1, rate: 1_000, size: 1_000 };

fn request(owner: u64, number: u64, account: AccountRequest) -> CreditsRequest {
    CreditsRequest { owner: BootId(owner), number, accounts: vec![account] }
}

fn account(needed: &[u64], ahead: u64) -> AccountRequest {
    let needed = needed.to_vec();
    AccountRequest { account: "city".into(), limit: LIMIT, needed, ahead, ..<_>::default() }
}

/// A control member.
struct Member {
    control: Control,
    now: Timestamp,
    replies: Vec<Reply>,
}

impl Member {
    /// Starts a member of a group with the members at these addresses, the first of which is its own.
    fn new(addresses: Vec<SocketAddr>) -> Member {
        let address = addresses[0];
        let settings = ControlSettings {
            name: "control-0".into(),
            domain: "brno-a".into(),
            boot: BootId(1),
            replica: ReplicaSettings::new(address, addresses, 1),
            grace: Duration::from_secs(8),
        };
        let control = Control::new(settings, Stored::new(MemberId(1))).unwrap();
        let now = Timestamp::from_micros(1_000_000);
        let mut member = Member { control, now, replies: Vec::new() };
        member.step(Input::Wake);
        // Until the lack of a former leader is beyond doubt.
        member.now = now + Duration::from_secs(5);
        member
    }

    fn step(&mut self, input: Input<DiskInput>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.control.step(self.now, input) {
                match output {
                    Output::Effect(
                        DiskEffect::Append { id, .. } | DiskEffect::Replace { id, .. },
                    ) => inputs.push_back(Input::Local(DiskInput::Synced(id))),
                    Output::Reply { envelope, .. } => self.replies.push(envelope.body),
                    _ => {}
                }
            }
        }
    }

    fn ask(&mut self, request: ControlRequest) -> Reply {
        let envelope = Envelope { revised: Default::default(), body: Request::Control(request) };
        self.step(Input::Request { inbound: InboundId(1), envelope });
        self.replies.pop().expect("expected a reply")
    }
}

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn credits(member: &mut Member, request: CreditsRequest) -> Reply {
    member.ask(ControlRequest::Credits(Box::new(request)))
}

#[test]
fn leader_grants_credit_and_shows_it_in_its_status() {
    let mut member = Member::new(vec![address(1)]);
    let reply = credits(&mut member, request(1, 1, account(&[300], 100)));
    let Reply::Control(ControlReply::CreditsGranted(reply)) = reply else { panic!("{reply:?}") };
    assert_eq!((&reply.grants[0].paid[..], reply.grants[0].ahead), (&[true][..], 100));
    let status = member.ask(ControlRequest::Status);
    let Reply::Control(ControlReply::Status(status)) = status else { panic!("{status:?}") };
    assert_eq!((&*status.accounts[0].account, status.accounts[0].level), ("city", 600));
}

/// Two members that grant credit would double the limit.
#[test]
fn member_that_does_not_lead_grants_none() {
    let mut member = Member::new(vec![address(1), address(2), address(3)]);
    let reply = credits(&mut member, request(1, 1, account(&[300], 100)));
    assert_eq!(reply, Reply::Control(ControlReply::NotLeader { leader: None }));
    let status = member.ask(ControlRequest::Status);
    let Reply::Control(ControlReply::Status(status)) = status else { panic!("{status:?}") };
    assert!(status.accounts.is_empty());
}

const LEADING: Leading = Leading { term: 1, since: Timestamp::from_micros(1) };

fn at(millis: u64) -> Timestamp {
    LEADING.since + Duration::from_millis(10_000 + millis)
}

fn grant(credits: &mut Credits, millis: u64, request: &CreditsRequest) -> CreditsReply {
    credits.grant(at(millis), LEADING, request)
}

/// A request that was delayed states credit that has been used since.
#[test]
fn request_that_was_overtaken_is_granted_nothing() {
    let mut credits = Credits::default();
    grant(&mut credits, 0, &request(1, 2, account(&[300], 0)));
    assert!(grant(&mut credits, 1, &request(1, 1, account(&[300], 0))).grants.is_empty());
}

/// A bucket that has been full since the grant would not have kept the credit.
#[test]
fn credit_is_taken_back_as_far_as_the_bucket_had_room_since() {
    // Nothing is added while the credit may be unused, for 100 ms; after that 1 each millisecond.
    for (pause, level) in [(50, 1_000), (200, 1_000), (900, 1_000)] {
        let mut credits = Credits::default();
        let stamp = grant(&mut credits, 0, &request(1, 1, account(&[900], 0))).stamp;
        let returned = AccountRequest { returned: 900, stamp, ..account(&[], 0) };
        let reply = grant(&mut credits, pause, &request(1, 2, returned));
        assert_eq!(reply.grants[0].level, level, "after {pause} ms");
    }
}

/// Credit of two gateways must not be taken back into the same room.
#[test]
fn room_of_the_bucket_counts_once_for_returned_credit() {
    let mut credits = Credits::default();
    let stamp = grant(&mut credits, 0, &request(1, 1, account(&[300], 0))).stamp;
    grant(&mut credits, 1, &request(2, 1, account(&[300], 0)));
    // Both have been sent and the bucket is filled up by 300 of the 600 since.
    grant(&mut credits, 301, &request(1, 2, account(&[], 0)));
    grant(&mut credits, 301, &request(2, 2, account(&[], 0)));
    grant(&mut credits, 601, &request(3, 1, account(&[], 0)));
    grant(&mut credits, 602, &request(3, 2, account(&[600], 0)));
    let returned = AccountRequest { returned: 300, stamp, ..account(&[], 0) };
    let first = grant(&mut credits, 603, &request(1, 3, returned.clone())).grants[0].level;
    let second = grant(&mut credits, 604, &request(2, 3, returned)).grants[0].level;
    assert!(second - first <= 1, "{first}, then {second}");
}

/// Many waiting calls of one gateway must not keep a small one from credit that is there.
#[test]
fn large_call_does_not_hold_up_small_ones() {
    let mut credits = Credits::default();
    let reply = grant(&mut credits, 0, &request(1, 1, account(&[700, 700, 200], 0)));
    assert_eq!(reply.grants[0].paid, [true, false, true]);
}

/// Credit in advance of many gateways must leave room for calls that wait.
#[test]
fn credit_in_advance_is_at_most_half_of_the_bucket() {
    let mut credits = Credits::default();
    let granted = |n| grant(&mut credits, 0, &request(n, 1, account(&[], 250))).grants[0].ahead;
    assert_eq!((1..=31).map(granted).sum::<u64>(), 500);
}

/// The former leader may have granted credit that is still held.
#[test]
fn new_leader_starts_with_less_than_an_empty_bucket() {
    let mut credits = Credits::default();
    let leading = Leading { term: 2, since: at(0) };
    let grant = |credits: &mut Credits, millis, number| {
        let reply = credits.grant(at(millis), leading, &request(1, number, account(&[1], 0)));
        reply.grants[0].level
    };
    assert_eq!(grant(&mut credits, 0, 1), -500);
    assert!(grant(&mut credits, 400, 2) <= -100);
    assert!(grant(&mut credits, 700, 3) > 0);
}

/// A gateway that is cut off uses its part of the limit by itself.
#[test]
fn part_of_a_gateway_that_is_not_heard_is_kept_for_it() {
    for (silent, expected) in [(0, 900), (1, 675), (3, 225)] {
        let mut credits = Credits::default();
        for gateway in 0..4 {
            credits.heard(at(0), &format!("gateway-{gateway}"));
        }
        for gateway in silent..4 {
            credits.heard(at(2_000), &format!("gateway-{gateway}"));
        }
        grant(&mut credits, 2_000, &request(1, 1, account(&[1_000], 0)));
        let reply = grant(&mut credits, 3_000, &request(1, 2, account(&[], 0)));
        // Nothing is added while the credit may be unused, for 100 ms.
        assert_eq!(reply.grants[0].level, expected, "{silent} of 4 are silent");
    }
}
