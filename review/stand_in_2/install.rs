//! A core machine that has lost its disk is killed once while it installs the snapshot that the leader
//! sends it.

use std::time::{Duration, Instant};

use crate::fleet::{CATCH_UP, Fleet, RECOVERY, STABLE, exists};
use crate::record::Record;
use crate::{BROKEN, HELD, UNABLE};

/// Configurations that are sent before the loss of the disk, so that the log begins with a snapshot.
const CHANGES: u64 = 60;
/// Routes of a configuration, as `big_config` adds them.
const ROUTES: usize = 350;

fn config(version: u64) -> String {
    let route = |n: usize| {
        format!(
            "{{\"name\":\"r-{n}\",\"host\":\"h{n}.example\",\"pathPrefix\":\"/p{n}/v{version}/\",\
             \"type\":\"idempotent\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":2,\
             \"service\":\"portal\",\"maxAttempts\":2,\"sticky\":false,\"resumable\":false,\
             \"targetGapMs\":0}}"
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"portal\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new("install", 61, 3, 0);
    let code = play(record, trouble, &mut fleet);
    fleet.end();
    code
}

fn play(record: &Record, trouble: bool, fleet: &mut Fleet) -> i32 {
    fleet.start_all();
    for version in 1..=CHANGES {
        if !fleet.publish(record, &config(version), Duration::from_secs(15)) {
            return UNABLE;
        }
        if version == 1 {
            fleet.core.iter().for_each(|m| m.no_bootstrap());
        }
    }
    if !exists(&fleet.core[0].data().join("snapshot")) {
        record.line("the log was not compacted");
        return UNABLE;
    }
    record.line("core-3 loses its disk and starts again");
    let machine = &mut fleet.core[2];
    machine.kill();
    machine.wipe();
    machine.start();
    if trouble {
        let snapshot = machine.data().join("snapshot");
        let begin = Instant::now();
        while !exists(&snapshot) {
            if begin.elapsed() > Duration::from_secs(15) {
                record.line("core-3 got no snapshot");
                return UNABLE;
            }
        }
        machine.strike();
        machine.kill();
        let partial = exists(&machine.data().join("journal.partial"));
        record
            .line(&format!("core-3 is killed while it joins; journal.partial is there: {partial}"));
        std::thread::sleep(Duration::from_millis(500));
        machine.start();
        record.line("core-3 starts again");
    }
    std::thread::sleep(STABLE + CATCH_UP);
    fleet.core[2].revive(record);
    let last = CHANGES + 1;
    if !fleet.publish(record, &config(last), Duration::from_secs(4)) {
        return UNABLE;
    }
    std::thread::sleep(Duration::from_secs(1));
    record.line("core-3 is stopped and started in turn");
    fleet.core[2].stop();
    fleet.core[2].start();
    let begin = Instant::now();
    while begin.elapsed() < STABLE + CATCH_UP {
        std::thread::sleep(Duration::from_millis(500));
        fleet.core[2].revive(record);
    }
    record.line("core-1 is lost for good; the loss of one machine is to be borne");
    fleet.core[0].kill();
    let begin = Instant::now();
    let mut found = None;
    while begin.elapsed() < RECOVERY + STABLE && found != Some(last) {
        fleet.core[2].revive(record);
        found = fleet.describe(Duration::from_millis(1_500));
    }
    let exits = fleet.core[2].exits;
    record.line(&format!(
        "acknowledged: {last}; read back: {found:?}; core-3 ended by itself {exits} times"
    ));
    if found == Some(last) { HELD } else { BROKEN }
}
