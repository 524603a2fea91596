//! A gateway is dark while a release begins: its streams are taken up at another gateway.

use std::time::{Duration, Instant};

use crate::client::{self, Stream};
use crate::engines::{Engine, Work, config, frontends};
use crate::fleet::{Fleet, STABLE};
use crate::record::Record;
use crate::{BROKEN, HELD, UNABLE};

const NET: u8 = 63;
const WORK: Work = Work { events: 60, gap_ms: 100 };
const STREAMS: usize = 18;
const NEW: usize = 8;
/// How long the gateway is dark, as the sheet says for node_kill with power.
const DARK: Duration = Duration::from_millis(3_500);
/// How long after the loss of power the release begins.
const RELEASE: Duration = Duration::from_millis(1_000);

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new("origins", NET, 3, 2);
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
    std::thread::sleep(STABLE);
    let machines = frontends(fleet);
    let open = |n: usize, first: usize| {
        // The platform sends no new connection to a machine that isn't ready.
        let machines = match first {
            0 => vec![machines[0], machines[1], machines[1]],
            _ => vec![machines[1]],
        };
        std::thread::spawn(move || client::play(&machines, &format!("s{n}"), 2))
    };
    record.line("clients open streams at edge-1");
    let begun: Vec<_> = (0..STREAMS)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(20));
            open(n, 0)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));
    if trouble {
        record.line("edge-1 loses power: it is dark for 3.5 s");
        fleet.edge[0].signal("-STOP");
    }
    let dark = Instant::now();
    std::thread::sleep(RELEASE);
    record.line("the release begins: runner i-5 with version v2 starts and reports");
    let mut new = Engine::new(fleet, NET, 5, "decode", "v2", WORK);
    let from = new.logged();
    new.start();
    if !new.wait_for("heartbeat 1 acknowledged", from, Duration::from_secs(3)) {
        return UNABLE;
    }
    std::thread::sleep(DARK.saturating_sub(dark.elapsed()));
    if trouble {
        fleet.edge[0].kill();
        record.line("edge-1 starts again; clients take their streams up at edge-2");
        fleet.edge[0].start();
    }
    let later: Vec<_> = (0..NEW)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(50));
            open(100 + n, 1)
        })
        .collect();
    let played: Vec<Stream> = begun.into_iter().filter_map(|t| t.join().ok()).collect();
    let later: Vec<Stream> = later.into_iter().filter_map(|t| t.join().ok()).collect();
    played.iter().chain(&later).for_each(|s| s.log(record));
    let cut: Vec<&Stream> = played.iter().filter(|s| s.is_cut()).collect();
    let on = cut.iter().filter(|s| s.goes_on()).count();
    let begin = later.iter().filter(|s| s.tries[0].events > 0).count();
    record.line(&format!(
        "taken up: {}, of which {on} go on; new: {NEW}, of which {begin} begin",
        cut.len()
    ));
    if !trouble {
        return if cut.is_empty() && begin * 2 > NEW { HELD } else { UNABLE };
    }
    if cut.len() < 12 || begin == 0 {
        return UNABLE;
    }
    if on * NEW * 2 < begin * cut.len() { BROKEN } else { HELD }
}
