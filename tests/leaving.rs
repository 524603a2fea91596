//! Shutdown: a process that receives SIGTERM completes its open calls and refuses new ones.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use common::{Answer, Fleet, Streamed, call, open_stream, wait_for};

/// Tokens of each stream, which takes about five seconds at [`SLOW`].
const TOKENS: u32 = 100;
const SLOW: &[&str] = &["--token-us", "50000", "--batch-us", "0"];
const FAST: &[&str] = &["--token-us", "1000", "--batch-us", "0"];
const TIMETABLE: &str = "/services/classroom/timetable";
const TAP: &str = "/services/classroom/tap";
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens streams, each read on a thread, and returns once each has its first token.
fn start_streams(url: &str, count: usize) -> Vec<JoinHandle<eyre::Result<Streamed>>> {
    let open = |i: usize| {
        let (sender, started) = std::sync::mpsc::channel();
        let url = url.to_string();
        let read = std::thread::spawn(move || {
            let mut stream = open_stream(&url, &format!("Lesson plan {i}"), TOKENS)?;
            let first = stream.next_event()?.unwrap_or_default();
            let _ = sender.send(());
            let mut streamed = stream.read_all()?;
            let event: serde_json::Value = serde_json::from_str(&first)?;
            let text = event["choices"][0]["text"].as_str().unwrap_or_default().to_string();
            streamed.text.insert_str(0, &text);
            Ok(streamed)
        });
        started.recv_timeout(Duration::from_secs(10)).expect("no first token within 10 s");
        read
    };
    (0..count).map(open).collect()
}

fn expect_complete(streams: Vec<JoinHandle<eyre::Result<Streamed>>>) {
    for stream in streams {
        let streamed = stream.join().unwrap().unwrap();
        assert!(streamed.done, "the stream was cut off: {streamed:?}");
        assert_eq!(streamed.text.split_whitespace().count(), TOKENS as usize, "{streamed:?}");
    }
}

/// Sends calls one after another on a thread, until an answer matches `until` or a call fails.
///
/// Returns each key with its result; a transport error is a call that was cut off.
fn start_load(
    url: &str,
    method: &'static str,
    path: &'static str,
    name: &'static str,
    until: impl Fn(&Answer) -> bool + Send + 'static,
) -> JoinHandle<Vec<(String, eyre::Result<Answer>)>> {
    let url = url.to_string();
    std::thread::spawn(move || {
        let mut answers = Vec::new();
        for i in 0..100_000 {
            let key = format!("{name}-{i}");
            let headers = [("idempotency-key", key.as_str())];
            let answer = call(&url, method, path, &headers, &key);
            let stop = answer.as_ref().map_or(true, &until);
            answers.push((key, answer));
            if stop {
                break;
            }
        }
        answers
    })
}

fn is_draining(answer: &Answer) -> bool {
    answer.body.contains("draining")
}

#[test]
fn entry_finishes_streams_and_refuses_new_calls() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    fleet.engine("decode", "brno-a", SLOW).unwrap();
    fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let url = fleet.entries[0].url.clone();
    let streams = start_streams(&url, 8);
    let load: Vec<_> =
        (0..3).map(|_| start_load(&url, "GET", TIMETABLE, "get", is_draining)).collect();
    fleet.entries[0].process.signal("-TERM").unwrap();
    let ready = format!("http://{}/ready", fleet.entries[0].pages);
    wait_for(Duration::from_secs(5), || {
        eyre::ensure!(ureq::get(&ready).call().is_err(), "/ready still succeeds");
        Ok(())
    })
    .unwrap();
    for thread in load {
        for (key, answer) in thread.join().unwrap() {
            let answer = answer.unwrap_or_else(|e| panic!("{key} was cut off: {e:#}"));
            if answer.status != 200 {
                assert_eq!((answer.status, answer.ran.as_deref()), (503, Some("no")), "{answer:?}");
                assert!(answer.retry_after.is_some(), "503 without retry-after: {answer:?}");
            }
        }
    }
    expect_complete(streams);
    assert_eq!(fleet.entries[0].process.exit_within(EXIT_TIMEOUT), Some(0));
}

#[test]
fn idle_entry_delivers_its_refusals_before_it_exits() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    for _ in 0..5 {
        let url = fleet.entries[0].url.clone();
        let load: Vec<_> =
            (0..4).map(|_| start_load(&url, "GET", TIMETABLE, "get", is_draining)).collect();
        std::thread::sleep(Duration::from_millis(100));
        fleet.entries[0].process.signal("-TERM").unwrap();
        for thread in load {
            for (key, answer) in thread.join().unwrap() {
                answer.unwrap_or_else(|e| panic!("{key} was cut off: {e:#}"));
            }
        }
        assert_eq!(fleet.entries[0].process.exit_within(EXIT_TIMEOUT), Some(0));
        fleet.entries[0].process.restart().unwrap();
        fleet.wait_ready().unwrap();
    }
}

#[test]
fn agent_drains_while_control_is_unreachable() {
    let mut fleet = Fleet::new(1).unwrap();
    // Placement by load would avoid the draining endpoint, because it is busy.
    fleet.entry_with("brno-a", &["--placement", "round-robin"]).unwrap();
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    let draining = fleet.engine("decode", "brno-a", SLOW).unwrap();
    fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let set = ["config", "set", "config.serve_unconfirmed", "1", "--author", "test"];
    fleet.tool_text(&set).unwrap();
    let url = fleet.entries[0].url.clone();
    let streams = start_streams(&url, 6);
    let other = fleet.engine("decode", "brno-b", FAST).unwrap();
    fleet.wait_ready().unwrap();
    fleet.controls[0].signal("-STOP").unwrap();
    fleet.endpoints[draining].agent.signal("-TERM").unwrap();
    let ready = format!("http://{}/ready", fleet.endpoints[draining].pages);
    wait_for(Duration::from_secs(3), || {
        eyre::ensure!(ureq::get(&ready).call().is_err(), "/ready still succeeds");
        Ok(())
    })
    .unwrap();
    for i in 0..20 {
        let streamed = fleet.stream(0, &format!("New plan {i}"), 5).unwrap();
        assert!(streamed.done, "stream {i} was cut off: {streamed:?}");
        if i % 2 == 0 {
            // One more placement shifts the round robin, so that it reaches both decode endpoints.
            assert_eq!(fleet.call(0, "GET", TIMETABLE, &[], "").unwrap().status, 200);
        }
    }
    fleet.endpoints[draining].agent.expect_log("reason=draining");
    assert_eq!(fleet.endpoints[other].counts().unwrap()["tokens"], 100);
    expect_complete(streams);
    assert_eq!(fleet.endpoints[draining].counts().unwrap()["tokens"], 6 * TOKENS);
    assert_eq!(
        fleet.endpoints[0].counts().unwrap()["prefills"],
        26,
        "expected one prefill a stream"
    );
    assert_eq!(fleet.endpoints[draining].agent.exit_within(EXIT_TIMEOUT), Some(0));
    fleet.controls[0].signal("-CONT").unwrap();
}

#[test]
fn agents_restarted_during_taps_cut_off_no_call() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    let one = fleet.service("brno-a", &[]).unwrap();
    let two = fleet.service("brno-b", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let url = fleet.entries[0].url.clone();
    static STOP: AtomicBool = AtomicBool::new(false);
    let load: Vec<_> = ["a", "b"]
        .map(|name| start_load(&url, "POST", TAP, name, |_| STOP.load(Ordering::SeqCst)))
        .into();
    for endpoint in [one, two, one, two] {
        let agent = &mut fleet.endpoints[endpoint].agent;
        agent.signal("-TERM").unwrap();
        assert_eq!(agent.exit_within(EXIT_TIMEOUT), Some(0));
        agent.restart().unwrap();
        wait_for(Duration::from_secs(10), || {
            let status: serde_json::Value =
                serde_json::from_str(&fleet.tool_text(&["--json", "status"])?)?;
            let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
            let accepting = endpoints.iter().filter(|e| e["draining"] == false).count();
            eyre::ensure!(accepting == 2, "{accepting} of 2 endpoints accept work");
            Ok(())
        })
        .unwrap();
        fleet.wait_ready().unwrap();
    }
    STOP.store(true, Ordering::SeqCst);
    for thread in load {
        for (key, answer) in thread.join().unwrap() {
            let answer = answer.unwrap_or_else(|e| panic!("{key} was cut off: {e:#}"));
            assert_eq!(answer.status, 200, "{key}: {answer:?}");
        }
    }
}

#[test]
fn control_answers_pending_requests_before_it_exits() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    let service = fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let url = fleet.entries[0].url.clone();
    let load: Vec<_> =
        ["c", "d"].map(|name| start_load(&url, "POST", TAP, name, |a| a.status != 200)).into();
    std::thread::sleep(Duration::from_millis(300));
    fleet.controls[0].signal("-TERM").unwrap();
    assert_eq!(fleet.controls[0].exit_within(EXIT_TIMEOUT), Some(0));
    let answers: Vec<_> = load.into_iter().map(|thread| thread.join().unwrap()).collect();
    let counts = fleet.endpoints[service].counts().unwrap();
    for answers in answers {
        for (key, answer) in answers {
            let answer = answer.unwrap_or_else(|e| panic!("{key} was cut off: {e:#}"));
            let ran = counts[key.as_str()].as_u64().unwrap_or(0);
            match (answer.status, answer.ran.as_deref()) {
                (200, _) => assert_eq!(ran, 1, "{key}: {answer:?}"),
                (503, Some("no")) => assert_eq!(ran, 0, "{key}: {answer:?}"),
                // Without a control member, an entry cannot know of earlier attempts with the key.
                (503, Some("maybe")) => assert!(ran <= 1, "{key}: {answer:?}"),
                _ => panic!("{key}: {answer:?}"),
            }
            assert!(answer.status == 200 || answer.retry_after.is_some(), "{key}: {answer:?}");
        }
    }
}

#[test]
fn control_stops_only_once_accepted_commands_are_on_disk() {
    use assert_matches::assert_matches;
    use dotterelpin::control::replica::{MemberId, ReplicaSettings, Stored};
    use dotterelpin::control::state::Command;
    use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput};
    use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
    use dotterelpin::model::{BootId, InboundId, Timestamp};
    use dotterelpin::role::{Input, Output, Role};

    let address = "127.0.0.1:1".parse().unwrap();
    let replica = ReplicaSettings::new(address, vec![address], 1);
    let grace = Duration::from_secs(8);
    let settings = ControlSettings {
        name: "c".into(),
        domain: "brno-a".into(),
        boot: BootId(1),
        replica,
        grace,
    };
    let mut control = Control::new(settings, Stored::new(MemberId(1))).unwrap();
    let mut now = Timestamp::from_micros(1);
    let writes = |outputs: &[Output<DiskEffect>]| {
        let write = |output: &Output<DiskEffect>| match output {
            Output::Effect(DiskEffect::Append { id, .. } | DiskEffect::Replace { id, .. }) => {
                Some(Input::Local(DiskInput::Synced(*id)))
            }
            _ => None,
        };
        outputs.iter().filter_map(write).collect::<Vec<_>>()
    };
    while !control.replica().is_leader() {
        now = now + Duration::from_millis(100);
        let mut pending = writes(&control.step(now, Input::Wake));
        while let Some(synced) = pending.pop() {
            pending.extend(writes(&control.step(now, synced)));
        }
    }
    let propose = |inbound| {
        let body = Request::Control(ControlRequest::Propose(Command::Noop));
        let envelope = Envelope { revised: Default::default(), body };
        Input::Request { inbound: InboundId(inbound), envelope }
    };
    let accepted = control.step(now, propose(1));
    let stopping = control.step(now, Input::Shutdown { since: now });
    assert!(stopping.is_empty(), "stopped before its command was on disk: {stopping:?}");
    let refused = control.step(now, propose(2));
    assert_matches!(&refused[..], [Output::Reply { envelope, .. }]
        if matches!(envelope.body, Reply::Control(ControlReply::NotLeader { .. })));
    let mut outputs = Vec::new();
    for synced in writes(&accepted) {
        outputs.extend(control.step(now, synced));
    }
    assert_matches!(&outputs[..], [.., Output::Reply { .. }, Output::Stopped]);
}

/// Fails if a control member ends without a reply to a proposal that has not been committed, or says
/// that it was refused.
#[test]
fn proposal_that_does_not_commit_gets_no_reply_when_its_member_ends() {
    use assert_matches::assert_matches;
    use dotterelpin::control::replica::{MemberId, ReplicaSettings, Stored};
    use dotterelpin::control::state::Command;
    use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput};
    use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
    use dotterelpin::model::{BootId, InboundId, Timestamp};
    use dotterelpin::role::{Input, Output, Role};

    let grace = Duration::from_secs(8);
    let address = "127.0.0.1:1".parse().unwrap();
    let replica = ReplicaSettings::new(address, vec![address], 1);
    let settings = ControlSettings {
        name: "c".into(),
        domain: "brno-a".into(),
        boot: BootId(1),
        replica,
        grace,
    };
    // The process was signalled so long ago when control is told, since other roles go first.
    for told_after in [0, 3_000, 7_600] {
        let mut control = Control::new(settings.clone(), Stored::new(MemberId(1))).unwrap();
        let mut now = Timestamp::from_micros(60_000_000);
        while !control.replica().is_leader() {
            now = now + Duration::from_millis(100);
            for output in control.step(now, Input::Wake) {
                let Output::Effect(DiskEffect::Append { id, .. }) = output else { continue };
                control.step(now, Input::Local(DiskInput::Synced(id)));
            }
        }
        let body = Request::Control(ControlRequest::Propose(Command::Noop));
        let envelope = Envelope { revised: Default::default(), body };
        control.step(now, Input::Request { inbound: InboundId(1), envelope });
        let since = Timestamp::from_micros(now.as_micros() - told_after * 1_000);
        let mut outputs = control.step(now, Input::Shutdown { since });
        let due = since + (grace - grace / 16);
        while !outputs.iter().any(|o| matches!(o, Output::Stopped)) {
            assert!(now < due, "not stopped {:?} after the signal", now - since);
            now = control.next_wake().unwrap().max(now + Duration::from_millis(1)).min(due);
            outputs = control.step(now, Input::Wake);
        }
        assert_matches!(&outputs[..], [.., Output::Reply { envelope, .. }, Output::Stopped]
            if matches!(envelope.body, Reply::Control(ControlReply::Interrupted { .. })));
        assert!(now == due.max(since + Duration::from_millis(told_after)), "too early");
    }
}

#[test]
fn agent_refuses_work_until_its_orders_are_known_and_while_draining() {
    use dotterelpin::agent::engine::EngineInput;
    use dotterelpin::agent::{Agent, AgentSettings};
    use dotterelpin::control::orders::{Desired, OrderUpdate};
    use dotterelpin::link::message::{
        AgentReply, AgentRequest, Beat, ControlReply, Envelope, Proof, Reply, Request, Seen,
    };
    use dotterelpin::model::{
        Announcement, BootId, CallId, Capacity, Class, EndpointKind, Fence, InboundId, Ran,
        RefusalReason, RequestId, Revision, Timestamp,
    };
    use dotterelpin::registry::FollowerSettings;
    use dotterelpin::role::{Input, Output, Role};

    let members: Vec<std::net::SocketAddr> = (1..4).map(|i| ([10, 0, 0, i], 7000).into()).collect();
    let follower = FollowerSettings {
        name: "decode-1".into(),
        role: "agent".into(),
        domain: "brno-a".into(),
        boot: BootId(7),
        address: None,
        members: members.clone(),
        routes: false,
        endpoints: false,
    };
    let address = ([10, 0, 1, 1], 7000).into();
    let settings = AgentSettings { follower, address, grace: Duration::from_secs(8) };
    let announcement = Announcement {
        url: "http://10.0.1.1:8000".into(),
        kind: EndpointKind::Decode,
        pool: "cs-summary".into(),
        capacity: Capacity { slots: 20, pieces: 60, piece_tokens: 2000 },
        fenced: false,
        artifact: None,
        boot: BootId(1),
        software: "".into(),
    };
    let mut agent = Agent::new(settings.clone());
    let now = Timestamp::from_micros(1_000_000);
    agent.step(now, Input::Local(EngineInput::Announced(announcement.clone())));
    let beats: Vec<_> = agent
        .step(now, Input::Wake)
        .into_iter()
        .filter_map(|o| match o {
            Output::Open { exchange, peer, .. } => Some((exchange, peer)),
            _ => None,
        })
        .collect();
    assert_eq!(beats.len(), 3);
    let mut count = 0;
    let mut reserve = |agent: &mut Agent| {
        count += 1;
        let request = RequestId { owner: BootId(2), call: CallId(count), attempt: 1 };
        let lease = Duration::from_secs(1);
        let body = Request::Agent(AgentRequest::Reserve {
            request,
            class: Class::Batch,
            tokens: 100,
            software: "".into(),
            lease,
        });
        let envelope = Envelope { revised: Default::default(), body };
        let outputs = agent.step(now, Input::Request { inbound: InboundId(count), envelope });
        outputs.into_iter().find_map(|o| match o {
            Output::Reply { envelope, .. } => match envelope.body {
                Reply::Agent(AgentReply::Refused(r)) => Some((r.reason, r.ran)),
                _ => None,
            },
            _ => None,
        })
    };
    let apply_reply = |agent: &mut Agent, at: usize, mark: u64, desired: Option<Desired>| {
        let (exchange, member) = beats[at];
        let proof =
            Proof { member, highest: Revision(0), document: 0, epoch: 0, voters: members.clone() };
        let beat = Beat {
            member: "control".into(),
            proof: Some(proof),
            config: None,
            seen: Seen::default(),
            endpoints: None,
            orders: Some(OrderUpdate { mark: Fence(mark), desired }),
            quarantine: None,
            routing: None,
            reports: None,
        };
        let body = Reply::Control(ControlReply::Beat(beat));
        let envelope = Envelope { revised: Default::default(), body };
        agent.step(now, Input::Reply { exchange, envelope });
    };
    let unknown = Some((RefusalReason::NoConfig, Ran::No));
    assert_eq!(reserve(&mut agent), unknown, "no member has answered");
    let earlier = Desired { fence: Fence(3), ..Desired::default() };
    apply_reply(&mut agent, 0, 3, Some(earlier));
    assert_eq!(reserve(&mut agent), unknown, "one of three members has answered");
    apply_reply(&mut agent, 1, 5, None);
    assert_eq!(reserve(&mut agent), unknown, "the highest fence is known, but not its order");
    let drain = Desired { fence: Fence(5), draining: true, ..Desired::default() };
    apply_reply(&mut agent, 2, 5, Some(drain));
    assert_eq!(reserve(&mut agent), Some((RefusalReason::Draining, Ran::No)));

    // A member that is cut off may report a fence that was never committed.
    let mut agent = Agent::new(settings);
    agent.step(now, Input::Local(EngineInput::Announced(announcement)));
    agent.step(now, Input::Wake);
    let committed = Desired { fence: Fence(3), ..Desired::default() };
    apply_reply(&mut agent, 0, 9, Some(committed.clone()));
    apply_reply(&mut agent, 1, 3, Some(committed.clone()));
    assert_eq!(reserve(&mut agent), unknown, "the higher fence may be committed");
    apply_reply(&mut agent, 2, 3, Some(committed));
    assert_eq!(reserve(&mut agent), None, "a majority reports the lower fence");
}

#[test]
fn members_and_leader_restarted_during_taps_lose_no_call() {
    let mut fleet = Fleet::new(3).unwrap();
    fleet.entry("brno-a").unwrap();
    let service = fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let url = fleet.entries[0].url.clone();
    static STOP: AtomicBool = AtomicBool::new(false);
    let load: Vec<_> = ["e", "f"]
        .map(|name| start_load(&url, "POST", TAP, name, |_| STOP.load(Ordering::SeqCst)))
        .into();
    for member in 0..3 {
        std::thread::sleep(Duration::from_millis(500));
        fleet.controls[member].signal("-TERM").unwrap();
        assert_eq!(fleet.controls[member].exit_within(EXIT_TIMEOUT), Some(0));
        fleet.controls[member].restart().unwrap();
        std::thread::sleep(Duration::from_secs(2));
    }
    STOP.store(true, Ordering::SeqCst);
    let counts = |fleet: &Fleet| fleet.endpoints[service].counts().unwrap();
    for thread in load {
        for (key, answer) in thread.join().unwrap() {
            let answer = answer.unwrap_or_else(|e| panic!("{key} was cut off: {e:#}"));
            assert_eq!(answer.status, 200, "{key}: {answer:?}");
            assert_eq!(counts(&fleet)[&key], 1, "{key}");
        }
    }
}

/// Fails if a process whose callers read slowly, or whose runs outlast its grace period, does not
/// answer the others and end before it is killed.
#[test]
fn run_or_slow_reader_keeps_an_entry_until_it_is_killed() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry_with("brno-a", &["--grace", "3"]).unwrap();
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    fleet.engine("decode", "brno-a", SLOW).unwrap();
    fleet.wait_ready().unwrap();
    let url = fleet.entries[0].url.clone();
    // This caller reads nothing.
    let _unread = open_stream(&url, "Lesson plan 1", TOKENS).unwrap();
    let mut stream = open_stream(&url, "Lesson plan 2", TOKENS).unwrap();
    assert!(stream.next_event().unwrap().is_some());
    fleet.entries[0].process.signal("-TERM").unwrap();
    let begin = std::time::Instant::now();
    let mut last = String::new();
    while let Some(event) = stream.next_event().unwrap() {
        last = event;
    }
    assert!(last.contains("\"ran\":\"maybe\""), "the last event is {last}");
    assert_eq!(fleet.entries[0].process.exit_within(EXIT_TIMEOUT), Some(0));
    assert!(begin.elapsed() < Duration::from_secs(3), "it took {:?}", begin.elapsed());
    let log = fleet.entries[0].process.log();
    assert!(log.contains("step=stop"), "the last log lines are missing: {log}");
    assert_eq!(log.matches("at=grace-end").count(), 2, "{log}");
    wait_for(Duration::from_secs(2), || {
        let status: serde_json::Value =
            serde_json::from_str(&fleet.tool_text(&["--json", "status"])?)?;
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        let held = endpoints.iter().filter(|e| e["load"]["slots"].as_u64() != Some(0)).count();
        eyre::ensure!(held == 0, "an engine keeps memory: {status}");
        Ok(())
    })
    .unwrap();
}

/// Fails if control, which stops after the entry of its process, does not fit into the same grace
/// period.
#[test]
fn control_outlasts_the_grace_period_after_the_entry_of_its_process() {
    let mut fleet = Fleet::new(1).unwrap();
    let entry = fleet.entry_in_control(&["--grace", "3"]).unwrap();
    let service = fleet.service("brno-a", &["--work-ms", "9000"]).unwrap();
    fleet.wait_ready().unwrap();
    let url = fleet.entries[entry].url.clone();
    let caller = std::thread::spawn(move || {
        call(&url, "POST", TAP, &[("idempotency-key", "tap-1")], "pupil-7")
    });
    wait_for(Duration::from_secs(10), || {
        let counts = fleet.endpoints[service].counts()?;
        eyre::ensure!(counts["pupil-7"] == 1, "counts: {counts}");
        Ok(())
    })
    .unwrap();
    fleet.entries[entry].process.signal("-TERM").unwrap();
    let begin = std::time::Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    fleet.entries[entry].process.signal("-TERM").unwrap();
    assert_eq!(fleet.entries[entry].process.exit_within(EXIT_TIMEOUT), Some(0));
    assert!(begin.elapsed() < Duration::from_secs(3), "it took {:?}", begin.elapsed());
    let answer = caller.join().unwrap().expect("the call was cut off");
    assert_eq!((answer.status, answer.ran.as_deref()), (503, Some("maybe")), "{answer:?}");
}

/// Fails if a process that is signalled a second after its start, before it knows a configuration,
/// does not end, or cuts off a call.
#[test]
fn entry_that_has_just_started_ignores_the_signal() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.controls[0].kill();
    fleet.entry_with("brno-a", &["--grace", "3"]).unwrap();
    std::thread::sleep(Duration::from_secs(1));
    let answer = fleet.call(0, "GET", TIMETABLE, &[], "").unwrap();
    assert_eq!((answer.status, answer.ran.as_deref()), (503, Some("no")), "{answer:?}");
    fleet.entries[0].process.signal("-TERM").unwrap();
    let begin = std::time::Instant::now();
    let answer = fleet.call(0, "GET", TIMETABLE, &[], "").unwrap();
    assert_eq!((answer.status, answer.ran.as_deref()), (503, Some("no")), "{answer:?}");
    assert_eq!(fleet.entries[0].process.exit_within(EXIT_TIMEOUT), Some(0));
    assert!(begin.elapsed() < Duration::from_secs(3), "it took {:?}", begin.elapsed());
}

/// Fails if a caller that sends its content slowly gets no answer when the entry ends.
#[test]
fn caller_that_sends_slowly_gets_no_answer_from_an_entry_that_ends() {
    use std::io::{Read, Write};

    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry_with("brno-a", &["--grace", "3"]).unwrap();
    fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let address = fleet.entries[0].url.trim_start_matches("http://").to_string();
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(EXIT_TIMEOUT)).unwrap();
    let head = format!("POST {TAP} HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(b"pupil").unwrap();
    std::thread::sleep(Duration::from_millis(200));
    fleet.entries[0].process.signal("-TERM").unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("\"ran\":\"no\""), "{answer:?}");
    assert_eq!(fleet.entries[0].process.exit_within(EXIT_TIMEOUT), Some(0));
}

/// Fails if a caller that does not read its answers keeps an entry running until it is killed.
#[test]
fn caller_that_reads_nothing_keeps_an_entry_until_it_is_killed() {
    use std::io::Write;

    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry_with("brno-a", &["--grace", "3"]).unwrap();
    fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let handout = fleet.call(0, "GET", "/services/classroom/handout", &[], "").unwrap();
    assert!(handout.body.len() > 1 << 20, "{} {}", handout.status, handout.body.len());
    let address = fleet.entries[0].url.trim_start_matches("http://").to_string();
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let request = format!(
        "GET /services/classroom/handout HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\r\n",
        common::CREDENTIAL
    );
    stream.write_all(request.repeat(40).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    fleet.entries[0].process.signal("-TERM").unwrap();
    let begin = std::time::Instant::now();
    assert_eq!(fleet.entries[0].process.exit_within(EXIT_TIMEOUT), Some(0));
    assert!(begin.elapsed() < Duration::from_secs(3), "it took {:?}", begin.elapsed());
    fleet.entries[0].process.expect_log("step=connections open=1");
    fleet.entries[0].process.expect_log("step=stop");
}
