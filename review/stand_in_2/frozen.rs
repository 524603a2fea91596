//! A gateway stands still for three seconds, in which a runner starts again in place, under its id, with
//! another software version: the gateway goes on there with the streams that the former start began.

use std::time::Duration;

use crate::client::{self, Stream};
use crate::engines::{Engine, Work, config, frontends};
use crate::fleet::{Fleet, STABLE};
use crate::record::Record;
use crate::{BROKEN, HELD, UNABLE};

const NET: u8 = 64;
const WORK: Work = Work { events: 60, gap_ms: 100 };
const STREAMS: usize = 18;
/// The window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// How long the gateway stands still.
const FREEZE: Duration = Duration::from_millis(3_000);
/// How long after its beginning the runner ends, and how long it is down.
const RUNNER_AT: Duration = Duration::from_millis(500);
const RUNNER_DOWN: Duration = Duration::from_millis(1_000);

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new("frozen", NET, 3, 2);
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
    let mut engines: Vec<Engine> = (1u8..=4)
        .zip(stages)
        .map(|(n, stage)| Engine::new(fleet, NET, n, stage, "v1", WORK))
        .collect();
    engines.iter_mut().for_each(|e| e.start());
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return UNABLE;
    }
    // The gateways may spend their retry budget by their uptime.
    std::thread::sleep(STABLE + BUDGET_WINDOW);
    let machines = frontends(fleet);
    record.line("clients open streams at edge-1");
    let begun: Vec<_> = (0..STREAMS)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(20));
            let machines = machines.clone();
            std::thread::spawn(move || client::play(&machines, &format!("s{n}"), 1))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    if trouble {
        record.line("edge-1 stands still");
        fleet.edge[0].signal("-STOP");
        std::thread::sleep(RUNNER_AT);
        record.line("runner i-2 ends");
        engines[1].kill();
        engines[1].upgrade("v2");
        std::thread::sleep(RUNNER_DOWN);
        engines[1].start();
        record.line("runner i-2 starts again in place, with version v2");
        std::thread::sleep(FREEZE - RUNNER_AT - RUNNER_DOWN);
        fleet.edge[0].signal("-CONT");
        record.line("edge-1 goes on");
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
