//! No accepted change is lost or reverted when control members, disks and connections fail.
//!
//! DOTTERELPIN_FUZZ_CASES sets the number of cases of each fuzz test.

mod group;
mod simulated;

use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::replica::{
    Action, Entry, LEADER_LEASE, LogIndex, Member, MemberId, Members, Position, Record, Replica,
    ReplicaBody, ReplicaInput, ReplicaMessage, ReplicaSettings, Stored, WriteId,
};
use dotterelpin::control::state::Command;
use dotterelpin::model::{InboundId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

use group::{Fault, Scenario, World};

/// The number of cases of each fuzz test, unless the environment sets another.
const CASES: u32 = 150;
const SEED: [u8; 32] = *b"control members, fixed test seed";

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    let at = || 0..nodes;
    prop_oneof![
        8 => prop_oneof![3 => Just(0), 1 => at()].prop_map(Fault::Change),
        3 => at().prop_map(Fault::Race),
        3 => (any::<u8>(), at()).prop_map(|(old, at)| Fault::Resend { old, at }),
        1 => (1..200usize).prop_map(Fault::Burst),
        4 => at().prop_map(Fault::Kill),
        4 => at().prop_map(Fault::Restart),
        2 => at().prop_map(|without| Fault::PowerLoss { without }),
        3 => at().prop_map(Fault::LoseDisk),
        1 => (at(), any::<bool>()).prop_map(|(at, full)| Fault::Full { at, full }),
        2 => (at(), at()).prop_map(|(from, to)| Fault::Cut { from, to }),
        2 => at().prop_map(Fault::Isolate),
        2 => Just(Fault::Split),
        3 => Just(Fault::Heal),
        1 => (at(), at()).prop_map(|(from, to)| Fault::Mute { from, to }),
        1 => (at(), 100..10_000u64).prop_map(|(at, millis)| Fault::Pause { at, millis }),
    ]
}

fn scenario(nodes: usize) -> impl Strategy<Value = Scenario> {
    let gap = prop_oneof![4 => 0..40u64, 3 => 40..1_500u64, 1 => 1_500..5_000u64];
    let steps = prop::collection::vec((gap, fault(nodes)), 1..24);
    let sync = prop_oneof![Just(1_000usize), Just(8_000), Just(60_000)];
    (any::<u64>(), 0..15u32, sync, steps).prop_map(move |(seed, noise, sync, steps)| Scenario {
        nodes,
        seed,
        noise,
        sync,
        steps,
    })
}

fn fuzz(nodes: usize) {
    let cases = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|c| c.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let run = |scenario: Scenario| World::run(&scenario).map_err(TestCaseError::fail);
    match TestRunner::new_with_rng(config, rng).run(&scenario(nodes), run) {
        Ok(()) => {}
        Err(TestError::Fail(reason, scenario)) => panic!("{reason}\n{scenario:?}"),
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn three_members_lose_no_accepted_change() {
    fuzz(3);
}

#[test]
fn five_members_lose_no_accepted_change() {
    fuzz(5);
}

/// Runs one sequence of faults with several gaps between a change and the faults after it.
fn run_with_gaps(nodes: usize, steps: impl Fn(u64) -> Vec<(u64, Fault)>) {
    for seed in 0..2 {
        for gap in (0..40).step_by(2) {
            for sync in [1_000, 20_000] {
                let steps = steps(gap);
                let scenario = Scenario { nodes, seed, noise: 0, sync, steps };
                World::run(&scenario).unwrap_or_else(|p| panic!("{p}\n{scenario:?}"));
            }
        }
    }
}

#[test]
fn change_survives_a_power_loss_at_any_moment() {
    for without in 0..3 {
        run_with_gaps(3, |gap| vec![(0, Fault::Change(0)), (gap, Fault::PowerLoss { without })]);
    }
}

/// A survivor without the change must not confirm the old revision while the other survivor has the
/// change in its log: the leader may have accepted it before it died.
#[test]
fn change_in_the_log_of_one_of_two_members_is_not_disproved() {
    run_with_gaps(3, |gap| {
        let cut = vec![(gap, Fault::Split), (0, Fault::Kill(0)), (5_000, Fault::Heal)];
        [(0, Fault::Change(0))].into_iter().chain(cut).collect()
    });
}

/// A member with an empty disk doesn't know the accepted change, so together with one that was cut
/// off it must not confirm the previous revision.
#[test]
fn member_with_a_lost_disk_proves_nothing() {
    run_with_gaps(3, |gap| {
        let lost = vec![(gap, Fault::LoseDisk(2)), (0, Fault::Split), (0, Fault::Kill(0))];
        let begin = [(0, Fault::Isolate(1)), (0, Fault::Change(0))];
        begin.into_iter().chain(lost).chain([(5_000, Fault::Heal)]).collect()
    });
}

#[test]
fn second_disk_may_be_lost_right_after_a_repair() {
    run_with_gaps(3, |gap| {
        vec![
            (0, Fault::Change(0)),
            (100, Fault::LoseDisk(1)),
            (10, Fault::Change(0)),
            (1_000 + gap * 50, Fault::LoseDisk(2)),
            (10, Fault::Change(0)),
            (1_000 + gap * 50, Fault::LoseDisk(0)),
        ]
    });
}

#[test]
fn courses_that_failed_once_pass() {
    let run = |scenario: &Scenario| World::run(scenario).unwrap();
    // A member with an empty disk kept its hello on an exchange that had been lost.
    let steps = vec![
        (0, Fault::Kill(0)),
        (388, Fault::LoseDisk(1)),
        (96, Fault::Change(0)),
        (359, Fault::Kill(0)),
    ];
    run(&Scenario { nodes: 3, seed: 0, noise: 0, sync: 8_000, steps });
    // The old and the new member id at one address ended each other's exchange.
    let steps = vec![
        (844, Fault::Change(0)),
        (1_500, Fault::Burst(25)),
        (771, Fault::LoseDisk(1)),
        (280, Fault::LoseDisk(2)),
        (346, Fault::Kill(0)),
    ];
    for seed in 0..40 {
        run(&Scenario { nodes: 5, seed, noise: 13, sync: 8_000, steps: steps.clone() });
    }
}

fn address(member: u64) -> SocketAddr {
    ([10, 0, 0, member as u8], 7000).into()
}

fn members(voters: impl IntoIterator<Item = u64>) -> Members {
    let voter = |id| (MemberId(id), Member { address: address(id), voter: true });
    Members { epoch: 3, all: voters.into_iter().map(voter).collect() }
}

fn record(index: u64, term: u64, command: Command) -> Record {
    Record { index: LogIndex(index), term, command }
}

/// One replica, member 1 of three; the test plays its peers and its disk.
struct Single {
    replica: Replica,
    now: Timestamp,
    /// The id of the last write.
    written: u64,
    /// The indexes of the applied records.
    applied: Vec<u64>,
    /// The actions of the last step.
    actions: Vec<Action>,
}

impl Single {
    /// Creates a replica whose log has a list of members of term 1 and a no-op of term 2.
    fn new() -> Single {
        let records =
            vec![record(1, 1, Command::Members(members(1..=3))), record(2, 2, Command::Noop)];
        let stored = Stored { group: Some(9), term: 2, records, ..Stored::new(MemberId(1)) };
        let settings = ReplicaSettings::new(address(1), (1..=3).map(address).collect(), 1);
        let replica = Replica::new(settings, stored);
        let now = Timestamp::from_micros(1_000_000);
        let (written, applied, actions) = (0, Vec::new(), Vec::new());
        let mut single = Single { replica, now, written, applied, actions };
        single.step(ReplicaInput::Wake);
        single
    }

    /// Creates a replica that leads in term 3 and whose records are synced on its own disk only.
    fn leader() -> Single {
        let mut single = Single::new();
        single.now = single.now + Duration::from_secs(1);
        single.step(ReplicaInput::Wake);
        single.reply(2, 2, ReplicaBody::PreVoted { next: 3, granted: true });
        single.sync();
        single.reply(2, 3, ReplicaBody::Voted { granted: true });
        assert!(single.replica.is_leader());
        single.sync();
        single
    }

    fn step(&mut self, input: ReplicaInput) {
        self.actions = self.replica.step(self.now, input);
        for action in &self.actions {
            match action {
                Action::Apply(record) => self.applied.push(record.index.0),
                Action::Write { id, .. } | Action::Replace { id, .. } => self.written = id.0,
                _ => {}
            }
        }
    }

    fn sync(&mut self) {
        self.step(ReplicaInput::Synced(WriteId(self.written)));
    }

    fn message(member: u64, at: SocketAddr, term: u64, body: ReplicaBody) -> ReplicaMessage {
        let (from, to) = (MemberId(member), MemberId(1));
        ReplicaMessage { group: Some(9), from, address: at, to, term, body }
    }

    fn reply(&mut self, member: u64, term: u64, body: ReplicaBody) {
        let peer = address(member);
        let message = Single::message(member, peer, term, body);
        self.step(ReplicaInput::Reply { peer, message });
    }

    fn request(&mut self, member: u64, term: u64, body: ReplicaBody) {
        let message = Single::message(member, address(member), term, body);
        self.step(ReplicaInput::Request { via: InboundId(1), message });
    }

    fn appended(&mut self, member: u64, end: u64) {
        let (matched, end, sent) = (true, LogIndex(end), self.now);
        self.reply(member, 3, ReplicaBody::Appended { matched, end, sent });
    }

    /// Returns whether the vote was granted in the reply of the last step, if it sent one.
    fn replied_vote(&self) -> Option<bool> {
        self.actions.iter().find_map(|a| match a {
            Action::Reply { message, .. } => match message.body {
                ReplicaBody::Voted { granted } => Some(granted),
                _ => None,
            },
            _ => None,
        })
    }
}

/// A record of an older term that is on a majority may still be replaced, until a later record of
/// the leader's own term is on a majority, too.
#[test]
fn records_of_older_terms_commit_only_with_one_of_the_own_term() {
    let mut single = Single::leader();
    single.appended(2, 2);
    assert!(single.applied.is_empty(), "applied before a record of term 3 is on a majority");
    single.appended(2, 3);
    assert_eq!(single.applied, [1, 2, 3]);
    assert_eq!(single.replica.last(), Position { term: 3, index: LogIndex(3) });
}

/// A leader that is cut off from the majority must not continue to lead beside its successor.
#[test]
fn leader_without_answers_steps_down() {
    let mut single = Single::leader();
    single.appended(2, 3);
    single.now = single.now + LEADER_LEASE;
    single.step(ReplicaInput::Wake);
    assert!(!single.replica.is_leader());
    assert!(single.actions.iter().any(|a| matches!(a, Action::SteppedDown)));
}

/// A member that crashes after it has sent a vote but before the sync could vote twice in a term.
#[test]
fn vote_is_sent_after_its_sync_and_granted_once_per_term() {
    let mut single = Single::new();
    let last = Position { term: 2, index: LogIndex(2) };
    single.request(2, 5, ReplicaBody::Vote { last });
    assert_eq!(single.replied_vote(), None, "the vote was sent before it was synced");
    let kept = single.actions.iter().any(|a| match a {
        Action::Write { entries, .. } => {
            entries.contains(&Entry::Vote { term: 5, candidate: Some(MemberId(2)) })
        }
        _ => false,
    });
    assert!(kept, "no vote for member 2 in term 5 is written: {:?}", single.actions);
    single.sync();
    assert_eq!(single.replied_vote(), Some(true));
    single.request(3, 5, ReplicaBody::Vote { last });
    assert_eq!(single.replied_vote(), Some(false));
}

/// A leader elected with an older log could replace committed records.
#[test]
fn candidate_with_an_older_log_gets_no_vote() {
    for last in [Position { term: 2, index: LogIndex(1) }, Position { term: 1, index: LogIndex(9) }]
    {
        let mut single = Single::new();
        single.request(2, 5, ReplicaBody::PreVote { next: 5, last });
        let refused = |a: &Action| {
            matches!(a, Action::Reply { message, .. }
                if message.body == ReplicaBody::PreVoted { next: 5, granted: false })
        };
        assert!(single.actions.iter().any(refused));
        single.request(2, 5, ReplicaBody::Vote { last });
        single.sync();
        assert_ne!(single.replied_vote(), Some(true));
    }
}

#[test]
fn member_with_a_lost_disk_catches_up_before_it_has_a_vote() {
    let mut single = Single::leader();
    single.appended(3, 3);
    let voters = |s: &Single| s.replica.members().voters().map(|(id, _)| id.0).collect::<Vec<_>>();
    // Member 7 sends a hello from the address of member 2, which sends no reply.
    let body = ReplicaBody::Hello { joinable: true };
    let message = ReplicaMessage { group: None, ..Single::message(7, address(2), 0, body) };
    single.step(ReplicaInput::Request { via: InboundId(1), message });
    single.sync();
    single.appended(3, 4);
    assert_eq!(voters(&single), [1, 2, 3]);
    single.now = single.now + Duration::from_millis(50);
    single.step(ReplicaInput::Wake);
    assert_eq!(voters(&single), [1, 2, 3], "member 7 has not replied yet");
    single.appended(7, 2);
    assert_eq!(voters(&single), [1, 2, 3], "member 7 has not caught up yet");
    single.appended(7, 4);
    assert_eq!(voters(&single), [1, 3], "the old member at the address is removed first");
    single.sync();
    single.step(ReplicaInput::Wake);
    assert_eq!(voters(&single), [1, 3], "the removal is not committed yet");
    single.appended(3, 5);
    single.appended(7, 5);
    assert_eq!(voters(&single), [1, 3, 7]);
}

/// A machine that replaces a lost one has a new address, which is in the settings of no member.
#[test]
fn member_at_a_new_address_joins_and_replaces_a_silent_voter() {
    let voters = |s: &Single| s.replica.members().voters().map(|(id, _)| id.0).collect::<Vec<_>>();
    let hello = |s: &mut Single| {
        let body = ReplicaBody::Hello { joinable: true };
        let message = ReplicaMessage { group: None, ..Single::message(7, address(7), 0, body) };
        s.step(ReplicaInput::Request { via: InboundId(1), message });
        s.sync();
    };
    let mut single = Single::leader();
    single.appended(3, 3);
    hello(&mut single);
    single.appended(3, 4);
    single.now = single.now + Duration::from_millis(50);
    single.appended(7, 4);
    assert_eq!(voters(&single), [1, 2, 3], "an odd group gets no voter while one is silent");
    single.appended(2, 4);
    single.appended(7, 4);
    assert_eq!(
        voters(&single),
        [1, 2, 3, 7],
        "no voter has been silent long enough to be replaced"
    );

    let mut single = Single::leader();
    single.appended(3, 3);
    // Member 2 sends no reply for seven seconds.
    for _ in 0..70 {
        single.now = single.now + Duration::from_millis(100);
        single.appended(3, 3);
        single.step(ReplicaInput::Wake);
    }
    assert!(single.replica.is_leader());
    hello(&mut single);
    single.appended(3, 4);
    single.appended(7, 4);
    assert_eq!(voters(&single), [1, 3], "the silent voter is removed first");
    single.sync();
    single.appended(3, 5);
    single.appended(7, 5);
    assert_eq!(voters(&single), [1, 3, 7]);
}

/// Four voters of which one is silent can't lose another one; without the vote of the silent one,
/// the other three can.
#[test]
fn silent_voter_of_an_even_group_loses_its_vote() {
    let mut single = Single::leader();
    single.appended(3, 3);
    let body = ReplicaBody::Hello { joinable: true };
    let message = ReplicaMessage { group: None, ..Single::message(7, address(7), 0, body) };
    single.step(ReplicaInput::Request { via: InboundId(1), message });
    single.sync();
    single.appended(3, 4);
    single.now = single.now + Duration::from_millis(50);
    single.appended(2, 4);
    single.appended(7, 4);
    let count = single.replica.members().voters().count();
    assert_eq!(count, 4, "member 2 has answered, so the group gets a fourth voter");
    single.sync();
    for _ in 0..70 {
        single.now = single.now + Duration::from_millis(100);
        single.appended(3, 5);
        single.appended(7, 5);
        single.step(ReplicaInput::Wake);
    }
    let voters: Vec<u64> = single.replica.members().voters().map(|(id, _)| id.0).collect();
    assert_eq!(voters, [1, 3, 7]);
}

/// A member that was removed while it was disconnected must request to join again.
#[test]
fn member_that_was_removed_is_informed_and_requests_to_join() {
    let last = Position { term: 2, index: LogIndex(2) };
    let replied_removed = |s: &Single| {
        s.actions.iter().any(|a| {
            matches!(a, Action::Reply { message, .. }
                if message.body == ReplicaBody::Removed { epoch: 3 })
        })
    };
    let mut leader = Single::leader();
    leader.request(5, 2, ReplicaBody::PreVote { next: 3, last });
    assert!(!replied_removed(&leader), "the list of members is not committed yet");
    leader.appended(3, 3);
    leader.request(2, 2, ReplicaBody::PreVote { next: 3, last });
    assert!(!replied_removed(&leader), "member 2 was reported as removed, but is a member");
    leader.request(5, 2, ReplicaBody::PreVote { next: 3, last });
    assert!(replied_removed(&leader));

    let sends_hello = |s: &mut Single| {
        s.now = s.now + Duration::from_secs(1);
        s.step(ReplicaInput::Wake);
        let hello = |m: &ReplicaMessage| matches!(m.body, ReplicaBody::Hello { .. });
        s.actions.iter().any(|a| matches!(a, Action::Request { message, .. } if hello(message)))
    };
    let mut removed = Single::new();
    removed.reply(2, 2, ReplicaBody::Removed { epoch: 2 });
    assert!(!sends_hello(&mut removed), "its own list of members is newer");
    removed.reply(2, 2, ReplicaBody::Removed { epoch: 4 });
    assert!(sends_hello(&mut removed));
    // It is a member again once it has received a leader's list that contains it.
    let again = Members { epoch: 5, ..members(1..=3) };
    let records = vec![record(3, 6, Command::Members(again))];
    let (commit, sent) = (LogIndex(2), removed.now);
    removed.request(2, 6, ReplicaBody::Append { previous: last, records, commit, sent });
    assert!(!sends_hello(&mut removed));
}
