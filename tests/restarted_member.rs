//! A control member restarts while endpoints announce themselves all the time: its list must come to
//! match at each process that follows it. Otherwise the process stops trusting the list, and drops
//! the endpoints that announce themselves to that member alone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::config::Revised;
use dotterelpin::link::message::{Beat, ControlReply, ControlRequest, Heartbeat, Reply, Request};
use dotterelpin::model::{
    BootId, Capacity, EndpointKind, EndpointState, ExchangeId, Fence, Load, Timestamp,
};
use dotterelpin::registry::{Follower, FollowerSettings, Registry};
use dotterelpin::role::Output;

const MEMBERS: usize = 3;
const ENDPOINTS: usize = 12;
const STEP_MS: u64 = 50;
const ANNOUNCE_MS: u64 = 1_200;
/// What dies while the first member restarts.
const DEAD: usize = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + millis * 1_000)
}

fn address(member: usize) -> SocketAddr {
    ([10, 0, 0, member as u8], 7000).into()
}

fn name(endpoint: usize) -> Box<str> {
    format!("e{endpoint:02}").into()
}

fn state(endpoint: usize, sequence: u64) -> EndpointState {
    EndpointState {
        name: name(endpoint),
        address: ([10, 0, 1, endpoint as u8], 7000).into(),
        domain: "brno-a".into(),
        boot: BootId(1),
        sequence,
        kind: EndpointKind::Service,
        pool: "portal".into(),
        url: "".into(),
        capacity: Capacity { slots: 6, pieces: 0, piece_tokens: 0 },
        load: Load::default(),
        draining: false,
        fence: Fence(0),
        software: "v1".into(),
    }
}

/// Members whose registries hear the endpoints that announce themselves there, and a follower.
struct World {
    members: Vec<Registry>,
    follower: Follower,
    exchanges: u64,
    known: BTreeSet<Box<str>>,
}

impl World {
    fn new() -> World {
        let settings = FollowerSettings {
            name: "gateway-0".into(),
            role: "gateway".into(),
            domain: "brno-a".into(),
            boot: BootId(7),
            address: None,
            members: (0..MEMBERS).map(address).collect(),
            endpoints: true,
            routes: false,
        };
        World {
            members: (0..MEMBERS).map(|m| Registry::new(BootId(m as u64 + 1))).collect(),
            follower: Follower::new(settings),
            exchanges: 0,
            known: BTreeSet::new(),
        }
    }

    /// Lets each living endpoint announce itself to its member, in turn.
    fn announce(&mut self, millis: u64, is_dead: bool) {
        for endpoint in (0..ENDPOINTS).filter(|e| !is_dead || *e != DEAD) {
            let offset = endpoint as u64 * 100;
            if (millis + offset).is_multiple_of(ANNOUNCE_MS) {
                let sequence = (millis + offset) / ANNOUNCE_MS;
                let member = &mut self.members[endpoint % MEMBERS];
                member.announce(at(millis), state(endpoint, sequence), Revised::default());
            }
        }
        self.members.iter_mut().for_each(|m| m.expire(at(millis)));
    }

    /// Exchanges the heartbeats that are due.
    fn follow(&mut self, millis: u64) {
        let exchanges = &mut self.exchanges;
        let outputs = self.follower.wake::<()>(at(millis), None, None, &mut || {
            *exchanges += 1;
            ExchangeId(*exchanges)
        });
        for output in outputs {
            let Output::Open { exchange, peer, envelope } = output else { continue };
            let Request::Control(ControlRequest::Heartbeat(heartbeat)) = envelope.body else {
                continue;
            };
            let member = (0..MEMBERS).find(|m| address(*m) == peer).unwrap();
            let beat = self.beat(millis, member, &heartbeat);
            let reply = Reply::Control(ControlReply::Beat(beat));
            self.follower.reply(at(millis), exchange, &reply);
        }
        if let Some(listed) = self.follower.changed_endpoints(at(millis)) {
            self.known = BTreeMap::into_keys(listed).collect();
        }
    }

    fn beat(&mut self, millis: u64, member: usize, heartbeat: &Heartbeat) -> Beat {
        let member = &mut self.members[member];
        member.heartbeat(at(millis), heartbeat.clone());
        let buckets = &heartbeat.full_buckets;
        Beat {
            member: "control".into(),
            proof: None,
            config: None,
            seen: member.seen(),
            endpoints: member.endpoint_update(at(millis), heartbeat.seen, buckets),
            orders: None,
            quarantine: None,
            routing: None,
            reports: None,
        }
    }
}

#[test]
fn endpoints_of_a_restarted_member_stay_listed_and_the_dead_one_does_not() {
    let mut w = World::new();
    for millis in (0..40_000).step_by(STEP_MS as usize) {
        if millis == 10_000 {
            w.members[0] = Registry::new(BootId(100));
        }
        w.announce(millis, millis >= 10_000);
        w.follow(millis);
        if millis < 2_000 {
            continue;
        }
        for endpoint in (0..ENDPOINTS).filter(|e| *e != DEAD) {
            assert!(w.known.contains(&name(endpoint)), "e{endpoint:02} was dropped at {millis} ms");
        }
        let gone = Duration::from_millis(millis) >= Duration::from_secs(18);
        assert!(!gone || !w.known.contains(&name(DEAD)), "e{DEAD:02} is listed at {millis} ms");
    }
}
