//! A follower keeps the newest list of voters that was proved when those who proved it lose their votes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::link::message::{Beat, ControlNotice, ControlReply, Proof, Reply, Seen};
use dotterelpin::model::{BootId, ExchangeId, Revision, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::Output;

/// The time between two heartbeats to one member.
const INTERVAL: Duration = Duration::from_millis(500);

fn member(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn addresses(members: &[u8]) -> Vec<SocketAddr> {
    members.iter().map(|m| member(*m)).collect()
}

/// A follower whose settings name member 7 alone, and the heartbeats that it has sent last.
struct World {
    follower: Follower,
    now: Timestamp,
    open: Vec<(ExchangeId, SocketAddr)>,
    last: u64,
}

impl World {
    fn new() -> World {
        let follower = Follower::new(FollowerSettings {
            name: "gateway-0".into(),
            role: "gateway".into(),
            domain: "brno-a".into(),
            boot: BootId(1),
            address: None,
            members: addresses(&[7]),
            endpoints: false,
            routes: true,
        });
        World { follower, now: Timestamp::from_micros(1_000_000), open: Vec::new(), last: 0 }
    }

    fn wake(&mut self) {
        self.now = self.now + INTERVAL;
        let last = &mut self.last;
        let outputs = self.follower.wake::<()>(self.now, None, None, &mut || {
            *last += 1;
            ExchangeId(*last)
        });
        let open = outputs.into_iter().filter_map(|o| match o {
            Output::Open { exchange, peer, .. } => Some((exchange, peer)),
            _ => None,
        });
        self.open = open.collect();
    }

    /// Lets a member answer, with its list of voters if it has a vote.
    fn answer(&mut self, at: u8, list: Option<(u64, &[u8])>) {
        let proof = list.map(|(epoch, voters)| {
            let voters = addresses(voters);
            Proof { member: member(at), highest: Revision(0), document: 0, epoch, voters }
        });
        let beat = Beat {
            member: "control".into(),
            proof,
            config: None,
            seen: Seen::default(),
            endpoints: None,
            orders: None,
            quarantine: None,
            routing: None,
            reports: None,
        };
        let found = self.open.iter().find(|(_, peer)| *peer == member(at));
        let (exchange, _) = found.expect("a heartbeat is open");
        self.follower.reply(self.now, *exchange, &Reply::Control(ControlReply::Beat(beat)));
    }

    fn asked(&self) -> BTreeSet<SocketAddr> {
        self.follower.members().collect()
    }
}

#[test]
fn older_list_does_not_replace_a_newer_one_whose_voters_have_no_vote_for_now() {
    let mut world = World::new();
    let notice = ControlNotice::new("gateway".into(), 9, addresses(&[1, 2, 3])).unwrap();
    world.follower.noticed(world.now, &notice);
    world.wake();
    [1, 2, 3].into_iter().for_each(|m| world.answer(m, Some((9, &[1, 2, 3]))));
    world.answer(7, Some((5, &[7, 8, 9])));
    assert_eq!(world.follower.voters(), addresses(&[1, 2, 3]));
    world.wake();
    [1, 2, 3].into_iter().for_each(|m| world.answer(m, None));
    world.answer(7, Some((5, &[7, 8, 9])));
    assert!(
        world.asked().is_superset(&addresses(&[1, 2, 3]).into_iter().collect()),
        "asked: {:?}",
        world.asked()
    );
    assert_eq!(world.follower.voters(), addresses(&[1, 2, 3]));
    let older = ControlNotice::new("gateway".into(), 6, addresses(&[11])).unwrap();
    world.follower.noticed(world.now, &older);
    assert!(!world.asked().contains(&member(11)), "an older notice counts for nothing");
}
