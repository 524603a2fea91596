//! Control members know which software version began which stream, and which versions the endpoints
//! of a service have reported lately; they lose both with their process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelpin::control::config::Revised;
use dotterelpin::control::origins::{
    Correction, Evidence, MAX_ORIGINS, ORIGIN_TTL, Origin, OriginRecord, Origins,
};
use dotterelpin::control::replica::{Entry, MemberId, ReplicaSettings, Snapshot, Stored};
use dotterelpin::control::state::State;
use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput};
use dotterelpin::link::message::{
    ControlReply, ControlRequest, Envelope, Heartbeat, ProcessState, Reply, Request,
};
use dotterelpin::model::{
    BootId, Capacity, EndpointKind, EndpointState, Fence, InboundId, Load, Timestamp,
};
use dotterelpin::report::observation::Observation;
use dotterelpin::role::{Input, Output, Role};

const SERVICE: &str = "cs-summary";

fn second(count: u64) -> Timestamp {
    Timestamp::from_micros(count * 1_000_000)
}

fn origin(call: &str, software: &str) -> Origin {
    Origin { call: call.into(), service: SERVICE.into(), software: software.into() }
}

/// Lists one version at each second of a range, its end included.
fn list(origins: &mut Origins, from: u64, to: u64, software: &str) {
    (from..=to).for_each(|n| origins.listed(second(n), SERVICE, software));
}

fn only(origins: &Origins, at: u64) -> Option<Box<str>> {
    origins.only(second(at), SERVICE)
}

#[test]
fn first_record_of_a_call_is_kept_whoever_sends_it_again() {
    let mut origins = Origins::default();
    let first = vec![origin("a", "v1"), origin("a", "v2"), origin("b", "v2")];
    assert_eq!(origins.record(second(1), first), 2);
    assert_eq!(origins.record(second(20), vec![origin("a", "v2"), origin("b", "v2")]), 0);
    assert_eq!(origins.find(second(20), "a"), Some(&origin("a", "v1")));
    assert_eq!(origins.find(second(20), "b"), Some(&origin("b", "v2")));
    assert_eq!(origins.find(second(20), "c"), None);
    assert_eq!(origins.age(second(20), "a"), Some(Duration::from_secs(19)));
}

#[test]
fn origin_expires_after_its_first_record_and_may_then_be_recorded_anew() {
    let mut origins = Origins::default();
    origins.record(second(1), vec![origin("a", "v1")]);
    origins.record(second(25), vec![origin("a", "v1"), origin("b", "v2")]);
    let last = Timestamp::from_micros((second(1) + ORIGIN_TTL).as_micros() - 1);
    assert_eq!(origins.find(last, "a"), Some(&origin("a", "v1")));
    assert_eq!(origins.find(second(1) + ORIGIN_TTL, "a"), None);
    assert_eq!(origins.age(second(1) + ORIGIN_TTL, "a"), None);
    assert_eq!(origins.find(second(31), "b"), Some(&origin("b", "v2")));
    assert_eq!(origins.record(second(31), vec![origin("a", "v3")]), 1);
    assert_eq!(origins.find(second(31), "a"), Some(&origin("a", "v3")));
    assert_eq!(origins.count(), 2);
    origins.record(second(61), Vec::new());
    assert_eq!(origins.count(), 0, "expected no expired origin in memory");
}

#[test]
fn number_of_origins_is_bounded_and_the_oldest_ones_are_removed_first() {
    let mut origins = Origins::default();
    let numbered = |n: usize| origin(&format!("c-{n}"), "v1");
    let recorded = origins.record(second(1), (0..MAX_ORIGINS + 10).map(numbered).collect());
    assert_eq!((recorded, origins.count()), (MAX_ORIGINS + 10, MAX_ORIGINS));
    assert_eq!(origins.find(second(1), "c-9"), None);
    assert_eq!(origins.find(second(1), "c-10"), Some(&numbered(10)));
    // A call that is known already removes no other one.
    assert_eq!(origins.record(second(2), vec![numbered(10)]), 0);
    assert_eq!(origins.find(second(2), "c-10"), Some(&numbered(10)));
    assert_eq!(origins.record(second(2), vec![numbered(9)]), 1);
    assert_eq!(origins.find(second(2), "c-10"), None);
    assert_eq!(origins.count(), MAX_ORIGINS);
}

/// What a member may get to know of one stream, in any order.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Its disk, which has the origin alone.
    Disk,
    /// Its disk, which has the origin and the correction.
    CorrectedDisk,
    /// A gateway's record from before the correction.
    Record,
    /// A gateway's correction.
    Correction,
}

/// Returns all orders of some steps.
fn orders(steps: &[Step]) -> Vec<Vec<Step>> {
    if steps.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for at in 0..steps.len() {
        let mut rest = steps.to_vec();
        let first = rest.remove(at);
        all.extend(orders(&rest).into_iter().map(|order| [vec![first], order].concat()));
    }
    all
}

/// Fails if an older record brings back a version that was corrected, in any order of what comes from
/// the disk, from gateways and with heartbeats.
#[test]
fn corrected_origin_comes_back_with_an_older_record() {
    for corrected in [Some("v2"), None] {
        let correction = Correction { call: "a".into(), software: corrected.map(Into::into) };
        let steps = [Step::Disk, Step::CorrectedDisk, Step::Record, Step::Correction];
        for order in orders(&steps) {
            let mut origins = Origins::default();
            for (at, step) in order.iter().enumerate() {
                let now = second(1 + at as u64);
                let old = OriginRecord::Origin(origin("a", "v1"));
                match step {
                    Step::Disk => origins.restore(now, vec![old]),
                    Step::CorrectedDisk => {
                        let correction = OriginRecord::Correction(correction.clone());
                        origins.restore(now, vec![correction, old]);
                    }
                    Step::Record => _ = origins.record(now, vec![origin("a", "v1")]),
                    Step::Correction => _ = origins.correct(now, &correction),
                }
                let begun = order[..=at].iter().any(|s| !matches!(s, Step::Disk | Step::Record));
                if begun {
                    let found = origins.find(now, "a").map(|o| &*o.software);
                    let is_alone = order[..=at].iter().all(|s| matches!(s, Step::Correction));
                    let known = corrected.filter(|_| !is_alone);
                    assert_eq!(found, known, "{order:?} until {at}");
                }
            }
        }
    }
}

#[test]
fn contradicting_corrections_leave_a_version_known() {
    let correction = |v: &str| Correction { call: "a".into(), software: Some(v.into()) };
    let mut origins = Origins::default();
    origins.record(second(1), vec![origin("a", "v1")]);
    assert!(origins.correct(second(1), &correction("v2")));
    assert!(!origins.correct(second(1), &correction("v2")));
    assert!(origins.correct(second(1), &correction("v3")));
    assert_eq!(origins.evidence(second(1), "a"), Some(Evidence::Unknowable));
    assert!(!origins.correct(second(1), &correction("v2")));
    assert_eq!(origins.find(second(1), "a"), None);
}

/// A gateway that runs on knows better than the disk, which may lack its correction.
#[test]
fn record_of_a_gateway_replaces_one_of_the_disk() {
    let mut origins = Origins::default();
    origins.restore(second(1), vec![OriginRecord::Origin(origin("a", "v1"))]);
    assert_eq!(origins.evidence(second(1), "a"), Some(Evidence::Restored));
    origins.record(second(2), vec![origin("a", "v2")]);
    assert_eq!(origins.evidence(second(2), "a"), Some(Evidence::Sent));
    assert_eq!(origins.find(second(2), "a"), Some(&origin("a", "v2")));
    let unsaved = [OriginRecord::Origin(origin("a", "v2"))];
    assert_eq!(origins.save_service(second(2), SERVICE), unsaved);
}

#[test]
fn only_version_is_known_once_the_member_has_listened_for_the_whole_ttl() {
    let mut origins = Origins::default();
    assert_eq!(only(&origins, 100), None);
    list(&mut origins, 1, 30, "v1");
    assert_eq!(only(&origins, 30), None);
    list(&mut origins, 31, 31, "v1");
    assert_eq!(only(&origins, 31).as_deref(), Some("v1"));
    assert_eq!(origins.only(second(31), "other"), None);
    origins.listed(second(31), "other", "v7");
    assert_eq!(only(&origins, 31).as_deref(), Some("v1"));
    assert_eq!(origins.only(second(31), "other").as_deref(), Some("v7"));
}

#[test]
fn none_of_two_versions_is_the_only_one_until_the_ttl_of_the_first_has_passed() {
    let mut origins = Origins::default();
    list(&mut origins, 1, 40, "v1");
    assert_eq!(only(&origins, 40).as_deref(), Some("v1"));
    list(&mut origins, 40, 69, "v2");
    assert_eq!(only(&origins, 40), None);
    assert_eq!(only(&origins, 69), None);
    list(&mut origins, 70, 70, "v2");
    assert_eq!(only(&origins, 70).as_deref(), Some("v2"));
    // An endpoint that reports no version has another one than all others.
    list(&mut origins, 71, 71, "");
    assert_eq!(only(&origins, 71), None);
}

#[test]
fn endpoints_without_versions_count_as_one_version() {
    let mut origins = Origins::default();
    list(&mut origins, 1, 31, "");
    assert_eq!(only(&origins, 31).as_deref(), Some(""));
}

/// A member that was suspended or cut off hears the versions again one after the other.
#[test]
fn interruption_of_all_listings_begins_a_new_history() {
    let mut origins = Origins::default();
    list(&mut origins, 1, 40, "v1");
    list(&mut origins, 43, 43, "v1");
    assert_eq!(only(&origins, 46).as_deref(), Some("v1"));
    assert_eq!(only(&origins, 47), None, "expected no answer while nothing is heard");
    list(&mut origins, 90, 119, "v2");
    assert_eq!(only(&origins, 90), None);
    assert_eq!(only(&origins, 119), None);
    list(&mut origins, 120, 120, "v2");
    assert_eq!(only(&origins, 120).as_deref(), Some("v2"));
}

fn address(member: u8) -> SocketAddr {
    ([10, 0, 0, member], 7000).into()
}

fn endpoint(name: &str, software: &str) -> EndpointState {
    EndpointState {
        name: name.into(),
        address: address(100),
        domain: "brno-a".into(),
        boot: BootId(7),
        sequence: 0,
        kind: EndpointKind::Decode,
        pool: SERVICE.into(),
        url: "http://10.0.0.100:7000".into(),
        capacity: Capacity { slots: 8, pieces: 60, piece_tokens: 500 },
        load: Load::default(),
        draining: false,
        fence: Fence(0),
        software: software.into(),
    }
}

/// One control member; its disk syncs at once.
struct Member {
    control: Control,
    now: Timestamp,
    recorded: usize,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
}

impl Member {
    /// Starts a member of a group of this size. Alone it leads; the others of a group are silent.
    fn start(size: u8, now: Timestamp) -> Member {
        let mut member = Member::with_disk(size, now, None, vec![Entry::Owner(MemberId(1))]);
        member.step(Input::Wake);
        assert_eq!(member.control.replica().is_leader(), size == 1);
        member
    }

    /// Starts a member from what is on its disk.
    fn with_disk(
        size: u8,
        now: Timestamp,
        snapshot: Option<Arc<Snapshot>>,
        entries: Vec<Entry>,
    ) -> Member {
        let members = (0..size).map(address).collect();
        let settings = ControlSettings {
            name: "control-0".into(),
            domain: "brno-a".into(),
            boot: BootId(now.as_micros()),
            replica: ReplicaSettings::new(address(0), members, 1),
            grace: Duration::from_secs(8),
        };
        let stored = Stored::replay(snapshot.clone(), entries.clone()).unwrap();
        let control = Control::new(settings, stored).unwrap();
        Member { control, now, recorded: 0, snapshot, entries }
    }

    /// Loses the memory of a member that is alone, and starts it from its disk until it leads.
    fn restart(self) -> Member {
        let now = self.now + Duration::from_secs(1);
        let mut member = Member::with_disk(1, now, self.snapshot, self.entries);
        for _ in 0..50 {
            member.now = member.now + Duration::from_millis(100);
            member.step(Input::Wake);
            if member.control.replica().is_leader() {
                return member;
            }
        }
        panic!("expected the member to lead");
    }

    /// Advances the time, with an announcement of an endpoint at the end.
    fn announce_after(&mut self, millis: u64, software: &str) {
        self.now = self.now + Duration::from_millis(millis);
        self.step(Input::Wake);
        self.request(ControlRequest::Announce(Box::new(endpoint("d1", software))));
    }

    fn step(&mut self, input: Input<DiskInput>) -> Vec<ControlReply> {
        let mut replies = Vec::new();
        for output in self.control.step(self.now, input) {
            match output {
                Output::Effect(DiskEffect::Append { id, entries }) => {
                    self.entries.extend(entries);
                    replies.extend(self.step(Input::Local(DiskInput::Synced(id))));
                }
                Output::Effect(DiskEffect::Replace { id, snapshot, entries }) => {
                    (self.snapshot, self.entries) = (Some(snapshot), entries);
                    replies.extend(self.step(Input::Local(DiskInput::Synced(id))));
                }
                Output::Reply { envelope, .. } => {
                    if let Reply::Control(reply) = envelope.body {
                        replies.push(reply);
                    }
                }
                Output::Observe(Observation::Origins { recorded, .. }) => self.recorded += recorded,
                _ => {}
            }
        }
        replies
    }

    fn request(&mut self, request: ControlRequest) -> ControlReply {
        let envelope = Envelope { revised: Revised::default(), body: Request::Control(request) };
        self.step(Input::Request { inbound: InboundId(1), envelope }).remove(0)
    }

    fn record(&mut self, call: &str, software: &str) {
        let request = ControlRequest::RecordOrigins(vec![origin(call, software)]);
        assert_eq!(self.request(request), ControlReply::OriginsRecorded);
    }

    /// Returns the version that began the stream of a call, and the only version of the service.
    fn find(&mut self, call: Option<&str>) -> (Option<Box<str>>, Option<Box<str>>) {
        let call = call.map(Into::into);
        match self.request(ControlRequest::FindOrigin { call, service: SERVICE.into() }) {
            ControlReply::OriginFound { software, only, .. } => (software, only),
            other => panic!("expected the answer to FindOrigin, found {other:?}"),
        }
    }

    fn heartbeat(&mut self, endpoint: EndpointState) {
        let process = ProcessState {
            name: endpoint.name.clone(),
            role: "agent".into(),
            domain: endpoint.domain.clone(),
            boot: endpoint.boot,
            revised: Revised::default(),
        };
        let heartbeat = Box::new(Heartbeat::of_endpoint(process, endpoint));
        self.request(ControlRequest::Heartbeat(heartbeat));
    }

    /// Passes a second at a time; at each one an endpoint announces itself.
    fn announce_until(&mut self, until: Timestamp, software: &str) {
        while self.now < until {
            self.now = self.now + Duration::from_secs(1);
            self.step(Input::Wake);
            self.request(ControlRequest::Announce(Box::new(endpoint("d1", software))));
        }
    }
}

#[test]
fn member_that_does_not_lead_answers_from_its_records_and_loses_them_with_its_process() {
    let mut member = Member::start(3, second(1));
    assert_eq!(member.find(Some("a")), (None, None));
    member.record("a", "v1");
    member.record("a", "v2");
    assert_eq!(member.recorded, 1);
    assert_eq!(member.find(Some("a")), (Some("v1".into()), None));
    assert_eq!(member.find(Some("b")), (None, None));
    assert_eq!(member.find(None), (None, None));
    let mut member = Member::start(3, second(2));
    assert_eq!(member.find(Some("a")), (None, None));
    member.record("a", "v1");
    assert_eq!(member.find(Some("a")), (Some("v1".into()), None));
}

#[test]
fn origin_of_another_service_is_not_an_answer() {
    let mut member = Member::start(1, second(1));
    let foreign = Origin { service: "other".into(), ..origin("a", "v1") };
    member.request(ControlRequest::RecordOrigins(vec![foreign]));
    assert_eq!(member.find(Some("a")), (None, None));
}

#[test]
fn leader_names_the_only_version_from_announcements_and_heartbeats_of_endpoints() {
    let mut member = Member::start(1, second(1));
    member.announce_until(second(2), "v1");
    assert_eq!(member.find(None), (None, None), "it has listened for less than 1.5 s");
    member.announce_until(second(3), "v1");
    assert_eq!(member.find(None), (None, Some("v1".into())), "the group has had no other version");
    member.announce_until(second(32), "v1");
    assert_eq!(member.find(None), (None, Some("v1".into())));
    member.record("a", "v0");
    assert_eq!(member.find(Some("a")), (Some("v0".into()), Some("v1".into())));
    member.heartbeat(endpoint("d2", "v2"));
    assert_eq!(member.find(None), (None, None));
    member.announce_until(second(61), "v1");
    assert_eq!(member.find(None), (None, None));
    member.announce_until(second(62), "v1");
    assert_eq!(member.find(None), (None, Some("v1".into())));
}

/// An endpoint without an agent announces itself to one member, which passes that on to the leader
/// only. So any other member may hear of just one of two versions.
#[test]
fn member_that_does_not_lead_names_no_only_version() {
    let mut member = Member::start(3, second(1));
    member.announce_until(second(60), "v1");
    assert!(!member.control.replica().is_leader());
    assert_eq!(member.find(None), (None, None));
    member.record("a", "v2");
    assert_eq!(member.find(Some("a")), (Some("v2".into()), None));
}

/// All processes lose power and come back: callers resume streams of which no process knows the
/// origin, at the version that the service has had all the time.
#[test]
fn only_version_outlives_the_memory_of_all_members() {
    let mut member = Member::start(1, second(1));
    member.announce_until(second(40), "v1");
    let mut member = member.restart();
    member.announce_after(1_400, "v1");
    assert_eq!(member.find(Some("a")), (None, None), "it may not have heard all endpoints yet");
    member.announce_after(1_200, "v1");
    assert_eq!(member.find(Some("a")), (None, Some("v1".into())));
}

/// Fails if a stream of a version that has left, or that is not heard of yet, goes on at another.
#[test]
fn record_of_two_versions_names_none_until_one_has_been_gone_for_the_whole_ttl() {
    let mut member = Member::start(1, second(1));
    member.announce_until(second(40), "v1");
    member.announce_after(100, "v2");
    let mut member = member.restart();
    for _ in 0..28 {
        member.announce_after(1_000, "v2");
        assert_eq!(member.find(Some("a")), (None, None), "at {:?}", member.now);
    }
    let mut member = member.restart();
    let led = member.now;
    while member.find(None) == (None, None) {
        member.announce_after(1_000, "v2");
    }
    let waited = member.now - led;
    assert_eq!(member.find(None), (None, Some("v2".into())));
    assert!((30..=33).contains(&waited.as_secs()), "expected 30 s, found {waited:?}");
    let mut member = member.restart();
    (0..3).for_each(|_| member.announce_after(1_000, "v2"));
    assert_eq!(member.find(None), (None, Some("v2".into())), "v1 is no longer recorded");
}

#[test]
fn version_that_is_new_after_the_restart_is_not_the_only_one() {
    let mut member = Member::start(1, second(1));
    member.announce_until(second(40), "v1");
    let mut member = member.restart();
    (0..3).for_each(|_| member.announce_after(1_000, "v2"));
    assert_eq!(member.find(None), (None, None), "the record names v1");
}

/// A log that began under an earlier release has no record of the versions that were served then.
#[test]
fn group_without_a_record_names_no_version_until_its_leader_has_listened_for_the_ttl() {
    let mut member = Member::start(1, second(1)).restart();
    let led = member.now;
    while member.find(None) == (None, None) {
        member.announce_after(1_000, "v2");
    }
    let waited = member.now - led;
    assert!((30..=33).contains(&waited.as_secs()), "expected 30 s, found {waited:?}");
}

#[test]
fn snapshot_of_an_earlier_release_has_no_versions() {
    let mut state = State::default();
    let encoded = state.encode().unwrap();
    assert_eq!(State::decode(&encoded[..encoded.len() - 2]).unwrap(), state);
    state.versions.set(SERVICE, ["v1".into()].into());
    assert_eq!(State::decode(&state.encode().unwrap()).unwrap(), state);
    assert!(State::decode(&encoded[..encoded.len() - 3]).is_err());
}
