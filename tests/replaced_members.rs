//! A list of the members of control neither keeps those that are gone for good nor keeps out new
//! ones, however machines are replaced one after the other.

mod replica_net;

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelpin::control::quarantine::Evidence;
use dotterelpin::control::replica::{
    Action, LogIndex, Member, MemberId, Members, Record, Replica, ReplicaBody, ReplicaInput,
    ReplicaMessage, ReplicaSettings, Stored, WriteId,
};
use dotterelpin::control::state::Command;
use dotterelpin::gateway::outbox::Outbox;
use dotterelpin::model::{ExchangeId, InboundId, Timestamp};

use replica_net::{Net, address};

fn members(voters: impl IntoIterator<Item = u64>) -> Members {
    let voter = |id| (MemberId(id), Member { address: address(id), voter: true });
    Members { epoch: 3, all: voters.into_iter().map(voter).collect() }
}

/// Member 1 of a group; the test plays its peers and its disk.
struct Group {
    replica: Replica,
    now: Timestamp,
    written: u64,
    /// The actions since they were last taken.
    actions: Vec<Action>,
}

impl Group {
    /// Creates a member whose log lists the voters and whose settings name the seeds.
    fn new(voters: impl IntoIterator<Item = u64>, seeds: &[u64]) -> Group {
        let command = Command::Members(members(voters));
        let records = vec![
            Record { index: LogIndex(1), term: 1, command },
            Record { index: LogIndex(2), term: 2, command: Command::Noop },
        ];
        let stored = Stored { group: Some(9), term: 2, records, ..Stored::new(MemberId(1)) };
        Group::start(stored, seeds)
    }

    fn start(stored: Stored, seeds: &[u64]) -> Group {
        let seeds = seeds.iter().map(|s| address(*s)).collect();
        let replica = Replica::new(ReplicaSettings::new(address(1), seeds, 1), stored);
        let now = Timestamp::from_micros(1_000_000);
        let mut group = Group { replica, now, written: 0, actions: Vec::new() };
        group.step(ReplicaInput::Wake);
        group
    }

    /// Creates a group of the voters 1 to `count` that member 1 leads, with all others alive.
    fn leader(count: u64) -> Group {
        Group::leader_with(count, &[1, 2, 3])
    }

    fn leader_with(count: u64, seeds: &[u64]) -> Group {
        let mut group = Group::new(1..=count, seeds);
        group.now = group.now + Duration::from_secs(1);
        group.step(ReplicaInput::Wake);
        let peers: Vec<u64> = (2..=count).collect();
        for peer in &peers {
            group.reply(*peer, 2, ReplicaBody::PreVoted { next: 3, granted: true });
        }
        group.sync();
        for peer in &peers {
            group.reply(*peer, 3, ReplicaBody::Voted { granted: true });
        }
        assert!(group.replica.is_leader());
        group.run(200, &peers);
        group
    }

    fn step(&mut self, input: ReplicaInput) {
        let actions = self.replica.step(self.now, input);
        for action in &actions {
            if let Action::Write { id, .. } | Action::Replace { id, .. } = action {
                self.written = id.0;
            }
        }
        self.actions.extend(actions);
    }

    fn sync(&mut self) {
        self.step(ReplicaInput::Synced(WriteId(self.written)));
    }

    fn message(&self, member: u64, at: u64, body: ReplicaBody) -> ReplicaMessage {
        let (from, to, address) = (MemberId(member), MemberId(1), address(at));
        ReplicaMessage { group: Some(9), from, address, to, term: self.replica.term(), body }
    }

    fn reply(&mut self, member: u64, term: u64, body: ReplicaBody) {
        let message = ReplicaMessage { term, ..self.message(member, member, body) };
        self.step(ReplicaInput::Reply { peer: address(member), message });
    }

    /// A machine with an empty disk asks to join.
    fn hello(&mut self, member: u64) {
        let body = ReplicaBody::Hello { joinable: true };
        let message = ReplicaMessage { group: None, ..self.message(member, member, body) };
        self.step(ReplicaInput::Request { via: InboundId(member), message });
    }

    /// Lets time pass in which the given members answer the leader, and the others don't.
    fn run(&mut self, millis: u64, alive: &[u64]) {
        for _ in 0..millis / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.sync();
            let alive: BTreeSet<u64> = alive.iter().copied().collect();
            let listed: BTreeSet<u64> =
                self.replica.members().all.keys().map(|id| id.0).filter(|id| *id != 1).collect();
            for member in alive.intersection(&listed) {
                let (end, sent) = (self.replica.last().index, self.now);
                let (term, matched) = (self.replica.term(), true);
                self.reply(*member, term, ReplicaBody::Appended { matched, end, sent });
            }
            self.step(ReplicaInput::Wake);
        }
    }

    fn voters(&self) -> Vec<u64> {
        self.replica.members().voters().map(|(id, _)| id.0).collect()
    }
}

/// Each new machine got its vote while the old one still had its own, and an odd number of voters
/// kept those that were gone, until one more loss ended the group.
#[test]
fn planned_replacements_keep_no_gone_voter() {
    let mut group = Group::leader(5);
    for (new, alive) in [(6, vec![2, 3, 4, 5, 6]), (7, vec![2, 3, 4, 5, 6, 7])] {
        group.hello(new);
        group.run(500, &alive);
    }
    assert_eq!(group.voters(), [1, 2, 3, 4, 5, 6, 7]);
    group.run(3_000, &[4, 5, 6, 7]);
    assert_eq!(group.voters(), [1, 4, 5, 6, 7], "two of seven were gone");
    group.hello(8);
    group.run(3_000, &[5, 6, 7, 8]);
    assert_eq!(group.voters(), [1, 5, 6, 7, 8]);
}

/// Without a replacement, voters that are gone lose their votes as long as the group then bears
/// more losses, and not beyond.
#[test]
fn gone_voters_of_an_odd_group_lose_their_votes_together() {
    let mut group = Group::leader(5);
    group.run(5_000, &[2, 3, 4]);
    assert_eq!(group.voters(), [1, 2, 3, 4, 5], "without voter 5, no more losses are borne");
    group.run(5_000, &[2, 3]);
    assert_eq!(group.voters(), [1, 2, 3]);
    group.run(5_000, &[2]);
    assert_eq!(group.voters(), [1, 2, 3], "two voters bear no loss");
}

/// Of three voters each majority is on two disks only, so five stay if two disks may be lost.
#[test]
fn gone_voters_stay_if_what_is_committed_needs_their_number() {
    let seeds: Vec<u64> = (1..=5).collect();
    let mut group = Group::leader_with(5, &seeds);
    group.run(5_000, &[2, 3]);
    assert_eq!(group.voters(), [1, 2, 3, 4, 5]);
    group.hello(6);
    group.run(1_000, &[2, 3, 6]);
    assert_eq!(group.voters().len(), 5, "the new one takes the place of one of them");
    assert!(group.voters().contains(&6));
}

/// New machines that were gone again before they had a vote took the places of others.
#[test]
fn a_gone_learner_keeps_out_no_other() {
    let mut group = Group::leader(3);
    for gone in [7, 8, 9, 10] {
        group.hello(gone);
        group.run(100, &[2, 3]);
    }
    group.hello(11);
    group.run(1_000, &[2, 3, 11]);
    assert_eq!(group.voters(), [1, 2, 3, 11]);
    group.run(6_000, &[2, 3, 11]);
    let listed: Vec<u64> = group.replica.members().all.keys().map(|id| id.0).collect();
    assert_eq!(listed, [1, 2, 3, 11], "learners that are gone are dropped");
}

/// A machine reached only followers, which kept its request to themselves.
#[test]
fn a_new_member_whose_seeds_are_followers_joins() {
    let mut net = Net::founded(1..=5);
    let leader = net.leader().unwrap();
    let followers: Vec<u64> = (1..=5).filter(|m| *m != leader).collect();
    net.start(6, &followers[..3]);
    net.run(2_000);
    assert_eq!(net.voters(), (1..=6).collect());
}

/// Of the seeds of the last machine, all but one had been replaced, too.
#[test]
fn a_new_member_of_which_one_seed_is_left_joins() {
    let mut net = Net::founded(1..=3);
    for (new, gone) in [(4, 1), (5, 2)] {
        net.stop(gone);
        net.start(new, &[1, 2, 3]);
        net.run(6_000);
    }
    assert_eq!(net.voters(), [3, 4, 5].into());
    // The last seed is no leader.
    if net.leader() == Some(3) {
        net.stop(3);
        net.run(1_500);
        net.start(3, &[1, 2, 3]);
        net.run(1_500);
    }
    assert!(net.leader().is_some_and(|l| l != 3));
    net.start(6, &[1, 2, 3]);
    net.run(3_000);
    assert_eq!(net.voters(), [3, 4, 5, 6].into());
}

/// Its disk was lost, and the other machines that it was told of were gone for good.
#[test]
fn a_wiped_member_whose_other_seeds_are_gone_joins() {
    let mut net = Net::founded(1..=5);
    let wiped = (1..=5).find(|m| net.leader() != Some(*m)).unwrap();
    net.wipe(wiped, &[wiped, 20, 21]);
    net.run(1_500);
    assert!(net.votes(wiped), "nobody that it asked for a vote has replied");
}

/// A new machine for which seven voters left no place kept the vote of a lost disk in the group.
#[test]
fn a_learner_without_a_place_keeps_no_lost_vote() {
    let mut net = Net::founded(1..=7);
    net.start(8, &[1, 2, 3]);
    net.run(1_000);
    assert!(!net.votes(8), "a group has seven voters at the most");
    let wiped = (1..=7).find(|m| net.leader() != Some(*m)).unwrap();
    net.wipe(wiped, &[1, 2, 3]);
    net.run(1_500);
    let living: BTreeSet<_> = net.nodes.values().map(Replica::id).collect();
    let leader = &net.nodes[&net.leader().unwrap()];
    let voters: BTreeSet<_> = leader.members().voters().map(|(id, _)| id).collect();
    assert!(voters.is_subset(&living), "the lost vote waits until its member counts as gone");
    assert_eq!(voters.len(), 7);
}

/// A process that shut down said nothing, so its vote counted until it had been silent for seconds,
/// while the next machines could already be lost.
#[test]
fn a_voter_that_leaves_is_removed_before_its_process_ends() {
    let mut net = Net::founded(1..=3);
    for (old, new) in [(1, 4), (2, 5), (3, 6), (4, 7), (5, 8)] {
        net.start(new, &[1, 2, 3, old, new - 1]);
        net.run(1_000);
        assert!(net.voters().contains(&new));
        let led = net.leader() == Some(old);
        let millis = net.leave(old);
        assert!(millis < 1_000, "machine {old} needed {millis} ms; it led: {led}");
        net.run(300);
        let voters = net.voters();
        assert!(voters.len() == 3 && !voters.contains(&old), "{old} left, {voters:?} vote");
    }
}

#[test]
fn a_leader_that_leaves_is_succeeded_at_once() {
    let mut net = Net::founded(1..=3);
    let leader = net.leader().unwrap();
    assert_eq!(net.leave(leader), 0, "three voters keep the vote of one that may return");
    net.run(250);
    assert!(net.leader().is_some_and(|l| l != leader), "no leader 250 ms later");
    net.start(leader, &[1, 2, 3]);
    net.run(1_000);
    assert_eq!(net.voters(), [1, 2, 3].into());
}

/// A member that has started again is none that leaves, though its last notice was just before.
#[test]
fn a_voter_that_started_again_is_not_taken_for_one_that_leaves() {
    let mut net = Net::founded(1..=3);
    let leader = net.leader().unwrap();
    let other = (1..=3).find(|m| *m != leader).unwrap();
    assert_eq!(net.leave(other), 0);
    net.run(100);
    net.start(other, &[1, 2, 3]);
    net.run(1_000);
    net.start(4, &[1, 2, 3]);
    net.run(1_000);
    assert_eq!(net.voters(), [1, 2, 3, 4].into());
}

/// Machines with empty disks that were each other's seeds took themselves for the first ones.
#[test]
fn a_second_group_is_not_founded_by_members_that_lost_their_disks() {
    let mut net = Net::founded(1..=5);
    let leader = net.leader().unwrap();
    let lost: Vec<u64> = (1..=5).filter(|m| *m != leader).take(2).collect();
    let seeds = [lost[0], lost[1], 6];
    for machine in &lost {
        net.stop(*machine);
        net.disks.remove(machine);
    }
    for machine in seeds {
        net.start(machine, &seeds);
    }
    net.run(5_000);
    let leaders = net.nodes.values().filter(|r| r.is_leader()).count();
    assert_eq!(leaders, 1, "the three machines have founded a group");
}

/// A member that was killed before its group was founded was then told that it is not the first.
#[test]
fn a_member_that_starts_again_before_the_group_is_founded_still_founds_it() {
    let mut net = Net::empty();
    for machine in 1..=2 {
        net.start_with(machine, &[1, 2, 3], true);
    }
    net.run(1_000);
    net.stop(1);
    net.start(1, &[1, 2, 3]);
    net.start_with(3, &[1, 2, 3], true);
    net.run(3_000);
    assert_eq!(net.voters(), [1, 2, 3].into());
}

/// A member that was away while all others were replaced asked only those that were gone for votes.
#[test]
fn a_returning_voter_whose_members_were_all_replaced_joins_anew() {
    let mut net = Net::founded(1..=3);
    net.stop(3);
    for (old, new) in [(0, 4), (1, 5), (2, 6)] {
        net.start(new, &[1, 2, 3]);
        net.run(4_000);
        net.leave(old);
        net.run(1_000);
    }
    assert_eq!(net.voters(), [4, 5, 6].into());
    net.start(3, &[6, 4]);
    net.run(4_000);
    assert_eq!(net.voters(), [3, 4, 5, 6].into());
}

/// What a member that is gone had not acknowledged was due again at once, for ever.
#[test]
fn reports_to_a_member_that_is_gone_wake_nobody() {
    let (lives, gone) = (address(1), address(2));
    let now = Timestamp::from_micros(1_000_000);
    let mut last = 0;
    let mut next = || {
        last += 1;
        ExchangeId(last)
    };
    let mut outbox = Outbox::default();
    outbox.push(now, Evidence::Survived(Vec::new()));
    assert_eq!(outbox.take_due(now, [lives, gone], &mut next).len(), 2);
    assert!(outbox.acknowledged(ExchangeId(1)) && outbox.failed(now, ExchangeId(2)));
    let later = now + Duration::from_secs(1);
    assert!(outbox.take_due(later, [lives], &mut next).is_empty());
    assert_eq!(outbox.next_wake(), None);
}

/// A new member whose answers come a little later than those of a majority had never caught up as
/// long as each answer found newer records committed.
#[test]
fn a_new_member_slower_than_the_majority_gets_its_vote_under_writes() {
    let mut group = Group::leader(3);
    group.hello(7);
    group.run(200, &[2, 3]);
    for _ in 0..200 {
        let behind = group.replica.last().index;
        let actions = group.replica.propose(group.now, Command::Noop).unwrap().1;
        for action in &actions {
            if let Action::Write { id, .. } = action {
                group.written = id.0;
            }
        }
        group.run(50, &[2, 3]);
        if group.replica.members().all.contains_key(&MemberId(7)) {
            let (term, sent, matched) = (group.replica.term(), group.now, true);
            group.reply(7, term, ReplicaBody::Appended { matched, end: behind, sent });
        }
    }
    assert!(group.voters().contains(&7), "10 s of writes, one record behind: {:?}", group.voters());
}
