//! A runner starts again in place, under its id, with another software version, and crashes a little
//! later: streams that it began go on at runners of the former version.

use std::time::Duration;

use crate::client::{self, Stream};
use crate::engines::{Engine, Work, config, frontends};
use crate::fleet::{Fleet, STABLE};
use crate::record::Record;
use crate::{BROKEN, HELD, UNABLE};

const NET: u8 = 62;
const WORK: Work = Work { events: 60, gap_ms: 100 };
const STREAMS: usize = 24;

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new("reborn", NET, 3, 2);
    let code = play(record, trouble, &mut fleet);
    fleet.end();
    code
}

fn play(record: &Record, trouble: bool, fleet: &mut Fleet) -> i32 {
    fleet.start_all();
    if !fleet.publish(record, &config(1), Duration::from_secs(15)) {
        return UNABLE;
    }
    let stages = ["prefill", "decode", "decode", "decode"];
    let numbers = 1u8..=4;
    let mut engines: Vec<Engine> = numbers
        .zip(stages)
        .map(|(n, stage)| Engine::new(fleet, NET, n, stage, "v1", WORK))
        .collect();
    engines.iter_mut().for_each(|e| e.start());
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return UNABLE;
    }
    std::thread::sleep(STABLE);
    let machines = frontends(fleet);
    let probe = client::play(&machines, "probe", 0);
    probe.log(record);
    if !probe.tries.first().is_some_and(|t| t.complete) {
        return UNABLE;
    }
    if trouble {
        let from = engines[1].logged();
        record.line("runner i-2 crashes and starts again in place, with version v2");
        engines[1].kill();
        engines[1].upgrade("v2");
        engines[1].start();
        engines[1].wait_for("listens", from, Duration::from_secs(2));
    }
    record.line("clients open streams");
    let open = |n: usize| {
        let mut machines = machines.clone();
        machines.rotate_left(n % 2);
        std::thread::spawn(move || client::play(&machines, &format!("s{n}"), 1))
    };
    let begun: Vec<_> = (0..STREAMS)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(10));
            open(n)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(2_000));
    if trouble {
        record.line("runner i-2 crashes; it is back after 2 s");
        engines[1].kill();
        std::thread::sleep(Duration::from_secs(2));
        engines[1].start();
    }
    let played: Vec<Stream> = begun.into_iter().filter_map(|t| t.join().ok()).collect();
    played.iter().for_each(|s| s.log(record));
    let mixed = played.iter().filter(|s| s.is_mixed()).count();
    let complete = played.iter().filter(|s| s.tries.iter().any(|t| t.complete)).count();
    record.line(&format!(
        "{complete} of {STREAMS} streams complete; {mixed} hold events of two versions"
    ));
    if complete * 2 < STREAMS {
        return UNABLE;
    }
    if mixed > 2 { BROKEN } else { HELD }
}
