//! A control member whose settings change finds its group at the members that they name; these have
//! no vote for that, and found no group.

mod replica_net;

use std::collections::BTreeSet;

use dotterelpin::control::replica::{LogIndex, ReplicaInput};
use dotterelpin::control::state::Command;
use replica_net::{Net, address};

/// Tells the replica of a machine which members its settings name now.
fn name(net: &mut Net, machine: u64, seeds: &[u64]) {
    let addresses = seeds.iter().map(|s| address(*s)).collect();
    let node = net.nodes.get_mut(&machine).unwrap();
    let actions = node.step(net.now, ReplicaInput::Members(addresses));
    net.execute(machine, actions);
}

#[test]
fn new_member_whose_seeds_are_gone_finds_no_group_by_new_settings() {
    let mut net = Net::founded(1..=3);
    net.start(7, &[8, 9]);
    net.run(3_000);
    assert_eq!(net.voters(), [1, 2, 3].into());
    name(&mut net, 7, &[2, 8]);
    net.run(2_000);
    assert_eq!(net.voters(), [1, 2, 3, 7].into());
}

/// The process runs on meanwhile, cut off.
#[test]
fn voter_that_was_cut_off_while_all_others_were_replaced_stays_out() {
    let mut net = Net::founded(1..=3);
    let away = net.nodes.remove(&3).unwrap();
    for (old, new) in [(0, 4), (1, 5), (2, 6)] {
        net.start(new, &[1, 2]);
        net.run(4_000);
        net.leave(old);
        net.run(1_000);
    }
    assert_eq!(net.voters(), [4, 5, 6].into());
    net.nodes.insert(3, away);
    net.run(4_000);
    assert_eq!(net.voters(), [4, 5, 6].into(), "all members that it knows are gone");
    name(&mut net, 3, &[6, 1]);
    net.run(4_000);
    assert_eq!(net.voters(), [3, 4, 5, 6].into());
}

#[test]
fn members_that_only_new_settings_name_found_a_group() {
    let mut net = Net::empty();
    net.start_with(1, &[1, 5, 6], true);
    // Their answers come before those of the founders.
    for machine in [2, 3] {
        net.start_with(machine, &[1, 5, 6], true);
    }
    net.run(1_000);
    name(&mut net, 1, &[1, 2, 3]);
    net.run(5_000);
    assert_eq!(net.leader(), None, "members 5 and 6 of the first settings aren't there");
    for machine in [5, 6] {
        net.start_with(machine, &[1, 5, 6], true);
    }
    net.run(5_000);
    assert_eq!(net.nodes.values().filter(|r| r.is_leader()).count(), 1);
    let leader = &net.nodes[&net.leader().unwrap()];
    let Command::Members(founded) = &leader.record(LogIndex(1)).unwrap().command else { panic!() };
    let addresses: BTreeSet<_> = founded.all.values().map(|m| m.address).collect();
    assert_eq!(addresses, [1, 5, 6].map(address).into());
}

#[test]
fn members_that_new_settings_name_have_votes() {
    let mut net = Net::founded(1..=3);
    for machine in [8, 9] {
        net.start(machine, &[8, 9]);
    }
    for machine in 1..=3 {
        name(&mut net, machine, &[1, 8, 9]);
    }
    net.run(1_000);
    assert_eq!(net.voters(), [1, 2, 3].into());
    net.stop(2);
    net.stop(3);
    net.run(5_000);
    assert_eq!(net.leader(), None, "one of three voters is left");
}
