//! A gateway finds control again when its settings name other members, whatever became of those that
//! it knew.

mod gateway_fixture;
mod recorded_lines;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::agent::{Agent, AgentSettings};
use dotterelpin::control::routing::{Document, RoutingUpdate};
use dotterelpin::gateway::{Gateway, GatewaySettings};
use dotterelpin::h1::{CallerId, HttpInput, Purpose};
use dotterelpin::link::message::{
    Beat, ControlReply, ControlRequest, Endpoints, Envelope, Proof, Reply, Request, Seen,
};
use dotterelpin::model::{BootId, EndpointKind, EndpointState, ExchangeId, Revision, Timestamp};
use dotterelpin::registry::FollowerSettings;
use dotterelpin::registry::view::View;
use dotterelpin::role::{Input, Output, Role};
use gateway_fixture::{Fixture, PLAIN, budget_terms, endpoint, protocol, request, table};
use recorded_lines::{line, lines, number, record, value};

/// The time within which a process that can reach control finds it, in milliseconds.
const FIND_MS: u64 = 2_000;
/// The time that a step of the simulation takes, in milliseconds.
const TICK_MS: u64 = 20;

fn address(member: u8) -> SocketAddr {
    ([10, 0, 0, member], 7000).into()
}

/// Returns addresses as they are logged.
fn named(members: &[u8]) -> String {
    let addresses = members.iter().map(|m| address(*m).to_string());
    addresses.collect::<Vec<_>>().join(",")
}

/// What a member of control answers.
#[derive(Clone)]
struct Answer {
    epoch: u64,
    voters: Vec<u8>,
    version: u64,
    leader: Option<u8>,
    endpoints: Vec<EndpointState>,
}

/// A gateway, and the members of control that it can reach.
struct World {
    gateway: Gateway,
    now: Timestamp,
    members: BTreeMap<SocketAddr, Answer>,
    open: Vec<(ExchangeId, SocketAddr, u64)>,
    /// How often each member was asked.
    asked: BTreeMap<SocketAddr, usize>,
    last_caller: u64,
}

impl World {
    /// Creates a gateway whose settings name members, with a table of version 1 and endpoints.
    fn new(seeds: &[u8]) -> World {
        let follower = FollowerSettings {
            name: "gateway-1".into(),
            role: "gateway".into(),
            domain: "a".into(),
            boot: BootId(7),
            address: None,
            members: seeds.iter().copied().map(address).collect(),
            endpoints: true,
            routes: true,
        };
        let settings = GatewaySettings {
            follower,
            budget: budget_terms(),
            domains: Default::default(),
            grace: Duration::from_secs(8),
        };
        let mut newer = table();
        newer.version = 2;
        World {
            gateway: Gateway::new(settings, Box::new(protocol(vec![table(), newer]))),
            now: Timestamp::from_micros(1_000_000_000),
            members: BTreeMap::new(),
            open: Vec::new(),
            asked: BTreeMap::new(),
            last_caller: 0,
        }
    }

    /// Lets these members, and no others, answer with a list of voters and a table.
    fn serve(&mut self, members: &[u8], epoch: u64, voters: &[u8], version: u64) {
        let endpoints = vec![endpoint("p1", EndpointKind::Service, PLAIN)];
        let answer = Answer { epoch, voters: voters.to_vec(), version, leader: None, endpoints };
        self.members = members.iter().map(|m| (address(*m), answer.clone())).collect();
    }

    fn name(&mut self, seeds: &[u8]) {
        let addresses = seeds.iter().copied().map(address).collect();
        self.step(Input::Members { addresses });
    }

    fn step(&mut self, input: Input<HttpInput>) {
        for output in self.gateway.step(self.now, input) {
            let Output::Open { exchange, peer, envelope } = output else { continue };
            let Request::Control(ControlRequest::Heartbeat(beat)) = envelope.body else { continue };
            *self.asked.entry(peer).or_default() += 1;
            let version = beat.routing.map_or(0, |seen| seen.version);
            self.open.push((exchange, peer, version));
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.now = self.now + Duration::from_millis(TICK_MS);
            if self.gateway.next_wake().is_some_and(|at| at <= self.now) {
                self.step(Input::Wake);
            }
            for (exchange, peer, seen) in std::mem::take(&mut self.open) {
                let Some(answer) = self.members.get(&peer).cloned() else { continue };
                let body = Reply::Control(ControlReply::Beat(beat(peer, &answer, seen)));
                let envelope = Envelope { revised: Default::default(), body };
                self.step(Input::Reply { exchange, envelope });
            }
        }
    }

    /// Returns the line of a call that no route is for.
    fn refusal(&mut self) -> String {
        self.last_caller += 1;
        let id = format!("call-{}", self.last_caller);
        let fields = [("Host", "h"), ("Call-Id", &*id), ("Patience-Ms", "14000")];
        let request = request("POST", "/no-such-route", &fields, b"body");
        let (caller, purpose) = (CallerId(self.last_caller), Purpose::Calls);
        self.step(Input::Local(HttpInput::Request { caller, purpose, request }));
        lines("end").pop().unwrap()
    }

    /// Asserts that a majority has just confirmed a table.
    fn assert_confirmed(&mut self, version: u64) {
        let line = self.refusal();
        assert_eq!((number(&line, "status"), number(&line, "table")), (404, version), "{line}");
        assert!(number(&line, "confirmed_ms") < FIND_MS, "{line}");
    }
}

fn beat(member: SocketAddr, answer: &Answer, seen: u64) -> Beat {
    let text = (answer.version - 1).to_string().into_bytes().into();
    let document = Document { version: answer.version, text };
    let mut list = View::default();
    for endpoint in &answer.endpoints {
        list.set(endpoint);
    }
    Beat {
        member: "control".into(),
        proof: Some(Proof {
            member,
            highest: Revision(0),
            document: answer.version,
            epoch: answer.epoch,
            voters: answer.voters.iter().copied().map(address).collect(),
        }),
        config: None,
        seen: Seen { digest: list.digest(), ..Seen::default() },
        endpoints: Some(Endpoints::All(answer.endpoints.clone())),
        orders: None,
        quarantine: None,
        routing: Some(Box::new(RoutingUpdate {
            document: (answer.version > seen).then_some(document),
            deregistered: Vec::new(),
            gateways: 1,
            leader: answer.leader.map(address),
        })),
        reports: None,
    }
}

/// A gateway that knows members 1 to 3, while members 4 to 6 have taken their places.
fn cut_off() -> World {
    record();
    let mut world = World::new(&[1, 2, 3]);
    world.serve(&[1, 2, 3], 3, &[1, 2, 3], 1);
    world.run(2_000);
    world.assert_confirmed(1);
    world.serve(&[4, 5, 6], 9, &[4, 5, 6], 2);
    world.run(20_000);
    assert_eq!(lines("control-lost").len(), 1);
    world
}

#[test]
fn gateway_whose_members_were_all_replaced_ignores_its_new_settings() {
    let mut world = cut_off();
    world.name(&[4, 5, 6]);
    world.run(FIND_MS);
    world.assert_confirmed(2);
    let found = line("control-found");
    assert_eq!(number(&found, "epoch"), 9);
    assert!(number(&found, "unproven_ms") >= 20_000, "{found}");
    let changes = lines("follow");
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(value(&changes[0], "reason"), "settings");
    assert_eq!(value(&changes[0], "added"), named(&[4, 5, 6]));
    assert_eq!(value(&changes[0], "dropped"), "-", "they still have votes, as far as is known");
    assert!(changes[1].contains("reason=voters epoch=9 added=-"), "{}", changes[1]);
    assert_eq!(value(&changes[1], "dropped"), named(&[1, 2, 3]));
}

/// One contact is enough: it names the others.
#[test]
fn gateway_with_one_new_contact_finds_no_majority() {
    let mut world = cut_off();
    world.name(&[2, 3, 5]);
    world.run(FIND_MS);
    world.assert_confirmed(2);
}

/// Settings that name members which are gone, or which were removed and know an old list only.
#[test]
fn stale_contacts_take_its_majority_from_a_gateway() {
    record();
    let mut world = World::new(&[1, 2, 3]);
    world.serve(&[1, 2, 3], 9, &[1, 2, 3], 2);
    world.run(2_000);
    let current = world.members[&address(1)].clone();
    let old = Answer { epoch: 5, voters: vec![7, 8, 9], version: 1, ..current };
    world.members.insert(address(8), old);
    world.name(&[7, 8]);
    for _ in 0..20 {
        world.run(500);
        world.assert_confirmed(2);
    }
    assert_eq!(lines("control-lost").len(), 0);
    assert_eq!(
        lines("follow").len(),
        1,
        "the voters are asked on, and the old list isn't followed"
    );
}

#[test]
fn address_that_only_old_settings_name_is_asked_for_ever() {
    record();
    let mut world = World::new(&[1, 2, 3, 4]);
    world.serve(&[1, 2, 3], 9, &[1, 2, 3], 1);
    world.run(2_000);
    assert!(world.asked[&address(4)] >= 2);
    world.name(&[1, 5]);
    world.run(1_000);
    let asked = world.asked.clone();
    world.run(5_000);
    assert_eq!(world.asked[&address(4)], asked[&address(4)], "member 4 is named no more");
    for member in [1, 2, 3, 5] {
        let asked_now = world.asked[&address(member)];
        assert!(asked_now > asked[&address(member)] + 5, "member {member} is asked on");
    }
    world.assert_confirmed(1);
}

/// Endpoints and table stay in use while all new contacts are silent.
#[test]
fn gateway_forgets_its_table_when_its_settings_change() {
    record();
    let mut world = World::new(&[1, 2, 3]);
    world.serve(&[1, 2, 3], 9, &[1, 2, 3], 1);
    world.run(2_000);
    world.serve(&[], 9, &[], 1);
    world.name(&[5, 6]);
    world.run(1_000);
    assert_eq!(lines("endpoints").len(), 1, "the list of endpoints stays as it was");
    assert_eq!(number(&world.refusal(), "table"), 1);
}

/// Endpoints announce themselves to the leader; lists of new members are empty until they lead.
#[test]
fn gateway_cut_off_from_the_leader_forgets_its_endpoints() {
    record();
    let mut world = World::new(&[1, 2, 3]);
    world.serve(&[1, 2, 3], 3, &[1, 2, 3], 1);
    world.members.values_mut().for_each(|m| m.leader = Some(1));
    world.run(2_000);
    assert_eq!(lines("endpoints").len(), 1);
    world.serve(&[4, 5], 9, &[1, 4, 5], 1);
    for member in world.members.values_mut() {
        (member.leader, member.endpoints) = (Some(1), Vec::new());
    }
    world.name(&[1, 4, 5]);
    world.run(20_000);
    world.assert_confirmed(1);
    assert_eq!(lines("endpoints").len(), 1, "{:?}", lines("endpoints"));
    // The next leader knows which endpoints there are.
    world.members.values_mut().for_each(|m| m.leader = Some(4));
    world.run(1_000);
    assert!(lines("endpoints")[1].contains("listed=0"), "{:?}", lines("endpoints"));
}

#[test]
fn agent_ignores_new_settings() {
    let follower = FollowerSettings {
        name: "decode-1".into(),
        role: "agent".into(),
        domain: "a".into(),
        boot: BootId(7),
        address: None,
        members: vec![address(1)],
        endpoints: false,
        routes: false,
    };
    let settings = AgentSettings { follower, address: address(9), grace: Duration::from_secs(8) };
    let mut agent = Agent::new(settings);
    let now = Timestamp::from_micros(1_000_000_000);
    agent.step(now, Input::Members { addresses: vec![address(4), address(5)] });
    let outputs = agent.step(now, Input::Wake);
    let peer = |o: &Output<_>| match o {
        Output::Open { peer, .. } => Some(*peer),
        _ => None,
    };
    let peers: Vec<SocketAddr> = outputs.iter().filter_map(peer).collect();
    assert_eq!(peers, [4, 5].map(address));
}

#[test]
fn call_in_progress_is_lost_when_the_settings_change() {
    let mut f = Fixture::ready();
    f.call(1, "/pay/a", &[]);
    let sent = f.take_sent();
    let hung_up = f.hung_up.len();
    f.step(Input::Local(HttpInput::Reload));
    f.step(Input::Members { addresses: vec![address(4)] });
    f.advance(300);
    assert_eq!(f.hung_up.len(), hung_up);
    assert!(!f.closed_idle && f.closed_all.is_empty());
    f.answer(&sent, 200, &[], "paid");
    assert_eq!(f.answers[&1].status, 200);
    assert!(f.is_ready());
    f.call(2, "/pay/b", &[]);
    assert!(f.has_sent(), "endpoints are listed as before");
}
