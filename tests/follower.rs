//! A process changes to newer configurations only and knows whether its own one is confirmed as the
//! newest; control members accept only changes that all live processes support.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use dotterelpin::control::config::{Change, Config, Edit, Revised};
use dotterelpin::control::replica::{LogIndex, MemberId, ReplicaSettings, Stored};
use dotterelpin::control::state::{Applied, ChangeReply, Command, State};
use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput};
use dotterelpin::link::message::{
    Beat, ControlReply, ControlRequest, Endpoints, Envelope, Heartbeat, Proof, Reply, Request,
    Seen, Update,
};
use dotterelpin::model::{
    BootId, Capacity, EndpointKind, EndpointState, ExchangeId, Fence, InboundId, Load, Revision,
    Timestamp,
};
use dotterelpin::registry::view::View;
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::{Input, Output, Role};

const MEMBERS: u8 = 3;

fn address(member: u8) -> SocketAddr {
    ([10, 0, 0, member], 7000).into()
}

fn seconds(count: u64) -> Timestamp {
    Timestamp::from_micros(count * 1_000_000)
}

fn change(base: u64) -> Change {
    let value = (1_000 + base).to_string().into();
    let edit = Edit::Set { name: "call.deadline_ms".into(), value };
    let id = format!("change-{base}");
    Change { id: id.into(), base: Revision(base), author: "op".into(), edit }
}

fn config_at(revision: u64) -> Config {
    let edit = |config: Config, base| config.edited(&change(base).edit).unwrap();
    (0..revision).fold(Config::default(), edit)
}

fn settings() -> FollowerSettings {
    FollowerSettings {
        name: "entry-0".into(),
        role: "entry".into(),
        domain: "brno-a".into(),
        boot: BootId(1),
        address: None,
        members: (0..MEMBERS).map(address).collect(),
        routes: false,
        endpoints: false,
    }
}

/// A follower with the open exchanges of its last heartbeats.
struct Fixture {
    follower: Follower,
    open: Vec<(ExchangeId, SocketAddr, Heartbeat)>,
    last: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { follower: Follower::new(settings()), open: Vec::new(), last: 0 }
    }

    fn wake(&mut self, now: Timestamp) {
        let last = &mut self.last;
        let outputs = self.follower.wake::<()>(now, None, None, &mut || {
            *last += 1;
            ExchangeId(*last)
        });
        self.open.clear();
        for output in outputs {
            let Output::Open { exchange, peer, envelope } = output else { continue };
            let Request::Control(ControlRequest::Heartbeat(heartbeat)) = envelope.body else {
                continue;
            };
            self.open.push((exchange, peer, *heartbeat));
        }
    }

    fn answer(&mut self, now: Timestamp, member: u8, proof: Option<Proof>, update: Option<Update>) {
        self.answer_as(now, member, BootId(0), proof, update);
    }

    /// Answers the heartbeat to a member that runs under this boot.
    fn answer_as(
        &mut self,
        now: Timestamp,
        member: u8,
        epoch: BootId,
        proof: Option<Proof>,
        update: Option<Update>,
    ) {
        let seen = Seen { epoch, ..Seen::default() };
        self.answer_with(now, member, Beat { proof, config: update, seen, ..empty_beat() });
    }

    fn answer_with(&mut self, now: Timestamp, member: u8, beat: Beat) {
        let found = self.open.iter().find(|(_, peer, _)| *peer == address(member));
        let (exchange, _, _) = found.expect("a heartbeat is open");
        self.follower.reply(now, *exchange, &Reply::Control(ControlReply::Beat(beat)));
    }
}

fn empty_beat() -> Beat {
    Beat {
        member: "control".into(),
        proof: None,
        config: None,
        seen: Seen::default(),
        endpoints: None,
        orders: None,
        quarantine: None,
        routing: None,
        reports: None,
    }
}

fn endpoint(name: &str) -> EndpointState {
    EndpointState {
        name: name.into(),
        address: address(100),
        domain: "brno-a".into(),
        boot: BootId(1),
        sequence: 1,
        kind: EndpointKind::Decode,
        pool: "cs-summary".into(),
        url: "http://10.0.1.1:8000".into(),
        capacity: Capacity { slots: 20, pieces: 60, piece_tokens: 2000 },
        load: Load::default(),
        draining: false,
        fence: Fence(0),
        software: "".into(),
    }
}

fn proof(member: u8, highest: u64, epoch: u64, voters: &[u8]) -> Option<Proof> {
    Some(Proof {
        member: address(member),
        highest: Revision(highest),
        document: 0,
        epoch,
        voters: voters.iter().copied().map(address).collect(),
    })
}

#[test]
fn member_that_has_started_anew_is_returned_once() {
    let mut f = Fixture::new();
    assert_eq!(f.follower.take_restarted(), []);
    f.wake(seconds(1));
    f.answer_as(seconds(1), 0, BootId(5), None, None);
    f.answer_as(seconds(1), 2, BootId(6), None, None);
    assert_eq!(f.follower.take_restarted(), [address(0), address(2)]);
    assert_eq!(f.follower.take_restarted(), []);
    f.wake(seconds(2));
    f.answer_as(seconds(2), 0, BootId(5), None, None);
    f.answer_as(seconds(2), 2, BootId(9), None, None);
    f.wake(seconds(3));
    f.answer_as(seconds(3), 2, BootId(9), None, None);
    assert_eq!(f.follower.take_restarted(), [address(2)]);
    f.wake(seconds(4));
    f.answer_as(seconds(4), 1, BootId(5), None, None);
    assert_eq!(f.follower.take_restarted(), [address(1)]);
}

#[test]
fn members_are_those_of_the_settings_and_all_voters() {
    let mut f = Fixture::new();
    let members = |f: &Fixture| f.follower.members().collect::<Vec<_>>();
    assert_eq!(members(&f), [0, 1, 2].map(address));
    f.wake(seconds(1));
    f.answer(seconds(1), 0, proof(0, 0, 3, &[0, 1, 3]), None);
    assert_eq!(members(&f), [0, 1, 2, 3].map(address));
    f.wake(seconds(2));
    f.answer_as(seconds(2), 3, BootId(4), None, None);
    assert!(f.follower.take_restarted().contains(&address(3)));
    f.answer(seconds(2), 0, proof(0, 0, 4, &[0, 1]), None);
    assert_eq!(members(&f), [0, 1, 2].map(address));
}

/// The settings named three members that were replaced later: they count as silent for ever, so the
/// lists that they once sent were used again.
#[test]
fn lists_of_members_that_were_replaced_are_not_used() {
    let mut f = Fixture::new();
    let mut list = View::default();
    list.set(&endpoint("gone-endpoint"));
    let seen = Seen { digest: list.digest(), ..Seen::default() };
    let all = Endpoints::All(vec![endpoint("gone-endpoint")]);
    f.wake(seconds(1));
    for member in 0..3 {
        let proof = proof(member, 0, 3, &[0, 1, 2, 3, 4, 5]);
        let endpoints = Some(all.clone());
        f.answer_with(seconds(1), member, Beat { proof, seen, endpoints, ..empty_beat() });
    }
    assert_eq!(f.follower.changed_endpoints(seconds(1)).map(|e| e.len()), Some(1));
    for second in 2..20 {
        f.wake(seconds(second));
        for member in 3..6 {
            f.answer(seconds(second), member, proof(member, 0, 6, &[3, 4, 5]), None);
        }
    }
    assert!(f.follower.is_confirmed(seconds(19)));
    assert_eq!(f.follower.changed_endpoints(seconds(19)).map(|e| e.len()), Some(0));
    assert_eq!(f.follower.voters(), [3, 4, 5].map(address));
}

/// A leader had a list of its own when it was lost, which was never committed; the next list has the
/// same number, and the one that is gone hid it.
#[test]
fn a_list_of_voters_that_was_never_committed_hides_no_voter() {
    let mut f = Fixture::new();
    f.wake(seconds(1));
    for member in 0..2 {
        f.answer(seconds(1), member, proof(member, 0, 3, &[0, 1, 2, 3]), None);
    }
    f.answer(seconds(1), 2, proof(2, 0, 4, &[0, 1, 2]), None);
    for second in 2..20 {
        f.wake(seconds(second));
        // Member 0 is lost, too, later.
        for member in if second < 10 { vec![0, 1] } else { vec![1] } {
            f.answer(seconds(second), member, proof(member, 0, 4, &[0, 1, 3]), None);
        }
        if f.open.iter().any(|(_, peer, _)| *peer == address(3)) {
            f.answer(seconds(second), 3, proof(3, 0, 4, &[0, 1, 3]), None);
        }
    }
    assert_eq!(f.follower.voters(), [0, 1, 3].map(address));
    assert!(f.follower.is_confirmed(seconds(19)));
}

#[test]
fn majority_of_voters_confirms_for_three_seconds() {
    let mut f = Fixture::new();
    f.wake(seconds(1));
    f.answer(seconds(1), 0, proof(0, 0, 3, &[0, 1, 2]), None);
    assert!(!f.follower.is_confirmed(seconds(1)));
    f.answer(seconds(1), 1, proof(1, 0, 3, &[0, 1, 2]), None);
    assert!(f.follower.is_confirmed(seconds(1)));
    assert!(!f.follower.is_confirmed(seconds(4)));
}

#[test]
fn process_that_was_never_confirmed_serves_nothing_whatever_the_setting_says() {
    let name = "config.serve_unconfirmed".into();
    let edit = Edit::Set { name, value: "1".into() };
    let serve_on = Config::default().edited(&edit).unwrap();
    let mut f = Fixture::new();
    f.wake(seconds(1));
    f.answer(seconds(1), 0, proof(0, 1, 3, &[0, 1, 2]), Some(Update::Whole(serve_on)));
    assert!(!f.follower.may_serve(seconds(1)));
    f.answer(seconds(1), 1, proof(1, 1, 3, &[0, 1, 2]), None);
    assert!(f.follower.may_serve(seconds(1)));
    assert!(!f.follower.is_confirmed(seconds(60)));
    assert!(f.follower.may_serve(seconds(60)));
    // Without the setting it stops serving as soon as the confirmation expires.
    let mut f = Fixture::new();
    f.wake(seconds(1));
    f.answer(seconds(1), 0, proof(0, 0, 3, &[0, 1, 2]), None);
    f.answer(seconds(1), 1, proof(1, 0, 3, &[0, 1, 2]), None);
    assert!(f.follower.may_serve(seconds(3)));
    assert!(!f.follower.may_serve(seconds(60)));
}

#[test]
fn member_without_a_vote_or_with_a_newer_change_does_not_confirm() {
    let mut f = Fixture::new();
    f.wake(seconds(1));
    f.answer(seconds(1), 0, proof(0, 0, 3, &[0, 1, 2]), None);
    f.answer(seconds(1), 1, None, None);
    f.answer(seconds(1), 2, proof(2, 1, 3, &[0, 1, 2]), None);
    assert!(!f.follower.is_confirmed(seconds(1)));
}

#[test]
fn newest_list_of_voters_decides_what_a_majority_is() {
    let mut f = Fixture::new();
    f.wake(seconds(1));
    f.answer(seconds(1), 0, proof(0, 0, 3, &[0, 1, 2]), None);
    // Member 1 has a newer list, in which members 3 and 4 vote, whom this process can't reach.
    f.answer(seconds(1), 1, proof(1, 0, 5, &[0, 1, 2, 3, 4]), None);
    assert!(!f.follower.is_confirmed(seconds(1)));
}

#[test]
fn revision_that_no_log_reaches_is_not_confirmed() {
    let mut f = Fixture::new();
    f.wake(seconds(1));
    f.answer(seconds(1), 0, None, Some(Update::Whole(config_at(5))));
    f.wake(seconds(2));
    for member in 0..MEMBERS {
        f.answer(seconds(2), member, proof(member, 2, 3, &[0, 1, 2]), None);
    }
    assert!(!f.follower.is_confirmed(seconds(2)));
}

#[test]
fn revision_never_decreases_and_an_update_that_does_not_fit_requests_the_full_configuration() {
    let mut f = Fixture::new();
    f.wake(seconds(1));
    let changes = |from: u64, to: u64| Update::Changes {
        changes: (from..to).map(change).collect(),
        revised: config_at(to).revised(),
    };
    f.answer(seconds(1), 0, None, Some(changes(0, 4)));
    assert_eq!(f.follower.revised(), config_at(4).revised());
    // Another member sends the same changes and later ones, a third one an older configuration.
    f.answer(seconds(1), 1, None, Some(changes(0, 6)));
    f.answer(seconds(1), 2, None, Some(Update::Whole(config_at(3))));
    assert_eq!(f.follower.revised(), config_at(6).revised());
    f.wake(seconds(2));
    assert!(f.open.iter().all(|(_, _, heartbeat)| !heartbeat.full_config));
    f.answer(seconds(2), 0, None, Some(changes(8, 9)));
    assert_eq!(f.follower.revised(), config_at(6).revised());
    f.wake(seconds(3));
    assert!(f.open.iter().any(|(_, _, heartbeat)| heartbeat.full_config));
    f.answer(seconds(3), 1, None, Some(Update::Whole(config_at(9))));
    assert_eq!(f.follower.revised(), config_at(9).revised());
    f.wake(seconds(4));
    assert!(f.open.iter().all(|(_, _, heartbeat)| !heartbeat.full_config));
}

#[test]
fn state_stays_small_after_many_changes_and_keeps_the_last_ones() {
    let mut state = State::default();
    for base in 0..20_000 {
        let applied = state.apply(LogIndex(base + 1), &Command::Change(change(base)));
        assert_eq!(applied, Applied::Changed(ChangeReply::Accepted(Revision(base + 1))));
    }
    let bytes = state.encode().unwrap();
    assert!(bytes.len() < 512 << 10, "the encoded state has {} bytes", bytes.len());
    let mut state = State::decode(&bytes).unwrap();
    let resent = state.apply(LogIndex(20_001), &Command::Change(change(15_000)));
    assert_eq!(resent, Applied::Changed(ChangeReply::Accepted(Revision(15_001))));
    // A change whose result is no longer kept is refused rather than applied twice.
    let expired = state.apply(LogIndex(20_002), &Command::Change(change(10)));
    assert_matches!(expired, Applied::Changed(ChangeReply::Conflict { .. }));
    assert_eq!(state.config.revision, Revision(20_000));
}

/// A group of one control member, whose disk syncs at once.
struct LoneMember {
    control: Control,
    now: Timestamp,
}

impl LoneMember {
    fn new() -> LoneMember {
        let settings = ControlSettings {
            name: "control-0".into(),
            domain: "brno-a".into(),
            boot: BootId(1),
            replica: ReplicaSettings::new(address(0), vec![address(0)], 1),
            grace: Duration::from_secs(8),
        };
        let control = Control::new(settings, Stored::new(MemberId(1))).unwrap();
        let mut lone = LoneMember { control, now: seconds(1) };
        lone.step(Input::Wake);
        assert!(lone.control.replica().is_leader());
        lone
    }

    /// Executes an input and the syncs that follow from it; returns all replies.
    fn step(&mut self, input: Input<DiskInput>) -> Vec<ControlReply> {
        let mut replies = Vec::new();
        for output in self.control.step(self.now, input) {
            match output {
                Output::Effect(DiskEffect::Append { id, .. } | DiskEffect::Replace { id, .. }) => {
                    replies.extend(self.step(Input::Local(DiskInput::Synced(id))))
                }
                Output::Reply { envelope, .. } => {
                    if let Reply::Control(reply) = envelope.body {
                        replies.push(reply);
                    }
                }
                _ => {}
            }
        }
        replies
    }

    fn request(&mut self, request: ControlRequest) -> Vec<ControlReply> {
        let envelope = Envelope { revised: Revised::default(), body: Request::Control(request) };
        self.step(Input::Request { inbound: InboundId(1), envelope })
    }

    fn propose(&mut self, change: Change) -> ControlReply {
        self.request(ControlRequest::Propose(Command::Change(change))).remove(0)
    }
}

#[test]
fn setting_that_a_live_process_does_not_support_is_refused_and_names_it() {
    let mut lone = LoneMember::new();
    let mut f = Fixture::new();
    f.wake(lone.now);
    let heartbeat = Heartbeat { schema: 0, ..f.open[0].2.clone() };
    lone.request(ControlRequest::Heartbeat(Box::new(heartbeat)));
    let refused = lone.propose(change(0));
    assert_matches!(
        refused,
        ControlReply::Applied(Applied::Changed(ChangeReply::Refused(why)))
            if why.contains("entry-0 (entry)")
    );
    // Once the process has expired, the same change is accepted.
    lone.now = lone.now + Duration::from_secs(60);
    lone.step(Input::Wake);
    let accepted = lone.propose(change(0));
    let first = ControlReply::Applied(Applied::Changed(ChangeReply::Accepted(Revision(1))));
    assert_eq!(accepted, first);
    assert_eq!(lone.propose(change(0)), first);
}

#[test]
fn invalid_changes_are_refused_with_a_reason() {
    let mut lone = LoneMember::new();
    let edits = [
        (Edit::Set { name: "no.such".into(), value: "1".into() }, "unknown"),
        (Edit::Set { name: "retry.attempts".into(), value: "11".into() }, "1 to 10"),
        (Edit::Drop { scope: "tenant:x".parse().unwrap(), name: "retry.attempts".into() }, "no"),
    ];
    for (at, (edit, part)) in edits.into_iter().enumerate() {
        let bad = Change { id: format!("bad-{at}").into(), edit, ..change(0) };
        assert_matches!(
            lone.propose(bad),
            ControlReply::Applied(Applied::Changed(ChangeReply::Refused(why)))
                if why.contains(part)
        );
    }
    assert_eq!(lone.control.state().config.revision, Revision(0));
}
