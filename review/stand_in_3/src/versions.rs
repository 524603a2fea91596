//! A runner starts again in place with a newer software version, takes streams before its first
//! heartbeat has reached the gateway, and crashes a few seconds later.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::runner::{Kind, Runner};

const HOST: &str = "ficu95.example";
/// How long the runner is down.
const DOWN_MS: u64 = 60;
/// When its first heartbeat arrives after its start: "a heartbeat may arrive seconds late".
const FIRST_BEAT_MS: u64 = 1_000;

/// Returns a configuration with one streaming route that may be resumed.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-sum\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/pufi791/\",\"type\":\"streaming\",\"timeoutMs\":14000,\
         \"targetLatencyMs\":900,\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":2,\
         \"sticky\":true,\"resumable\":true,\"targetGapMs\":300}}],\"services\":[{{\
         \"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConnections\":150,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\"kvCapacityTokens\":33466,\
         \"kvBytes\":163840,\"linkMbps\":850000.0,\"moves\":true,\"backups\":true,\"stride\":11,\
         \"most\":12,\"kvRetentionS\":0.5,\"roleSwitchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

pub fn ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

pub fn run(
    repository: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> Result<Option<String>, String> {
    let mut fleet = Fleet::new(repository).map_err(|e| e.to_string())?;
    for (at, name) in ["core-1", "core-2", "core-3"].into_iter().enumerate() {
        fleet.add(name, "control", 11 + at as u8);
    }
    fleet.add("edge-1", "gateway", 21);
    fleet.seeds = ["core-1", "core-2", "core-3"].map(String::from).to_vec();
    for name in ["core-1", "core-2", "core-3", "edge-1"] {
        fleet.start(name, true).map_err(|e| format!("{name}: {e}"))?;
    }
    ms(1_500);
    let kind = |id: &str, number: u8, version: &str, stage: &'static str| Kind {
        id: id.into(),
        service: "huvo11a".into(),
        address: fleet.app(number),
        zone: "brno-a".into(),
        version: version.into(),
        stage: Some(stage),
        slots: 12,
        events: 100,
        pace: Duration::from_millis(50),
        first_beat: Duration::ZERO,
        endless: false,
    };
    let controls = fleet.controls();
    let start = |kind: Kind| Runner::start(kind, &controls, record);
    let _prefill = start(kind("i-p", 41, "v1", "prefill"));
    let first = start(kind("i-1", 42, "v1", "decode"));
    let _second = start(kind("i-2", 43, "v1", "decode"));
    if fleet.publish(&config(3), Duration::from_secs(10)) != 200 {
        return Err("the configuration was not acknowledged".into());
    }
    if !fleet.wait_ready(&["edge-1"], Duration::from_secs(15)) {
        return Err("the gateway is not ready".into());
    }
    ms(1_500);
    let to = fleet.frontend("edge-1");
    let begin = |number: u64| {
        let record = record.clone();
        std::thread::spawn(move || {
            let id = format!("a{number:04}");
            let got = client::stream(to, HOST, "/pufi791/x", &id, 14_000);
            let last = got.events.last().map_or(0, |(n, _)| *n);
            let versions = versions(&got);
            record.line(&format!(
                "answer id={id} status={} events={} last={last} complete={} versions={versions:?} {}",
                got.status,
                got.events.len(),
                got.complete,
                got.error
            ));
            got
        })
    };
    let warm = begin(1);
    let got = warm.join().map_err(|_| "a client failed")?;
    if !got.complete {
        return Err(format!("a stream in calm was not answered: {} {}", got.status, got.error));
    }
    ms(500);
    let mut again = None;
    if trouble {
        first.crash();
        ms(DOWN_MS);
        let late = Duration::from_millis(FIRST_BEAT_MS);
        again = Some(start(Kind { first_beat: late, ..kind("i-1", 42, "v2", "decode") }));
    }
    let streams: Vec<_> = (0..16)
        .map(|n| {
            let stream = begin(100 + n);
            ms(60);
            stream
        })
        .collect();
    ms(2_500);
    if let Some(again) = &again {
        again.crash();
        // It is back after some seconds, as before.
        ms(1_500);
        again_starts(&controls, record, kind("i-1", 42, "v2", "decode"));
    }
    let mut mixed = Vec::new();
    let mut whole = 0;
    for stream in streams {
        let got = stream.join().map_err(|_| "a client failed")?;
        whole += u32::from(got.complete);
        if versions(&got).len() > 1 {
            mixed.push(got.id.clone());
        }
    }
    record.line(&format!("whole={whole} of 16, mixed={mixed:?}"));
    if !trouble && whole < 16 {
        return Err("not all streams were whole in calm".into());
    }
    let broken = mixed.len() > 2;
    Ok(broken.then(|| format!("{} streams hold events of two versions: {mixed:?}", mixed.len())))
}

fn again_starts(controls: &[std::net::SocketAddr], record: &Arc<Record>, kind: Kind) {
    let _runs_on = Runner::start(kind, controls, record);
}

fn versions(got: &client::Stream) -> BTreeSet<String> {
    let version = |(_, data): &(u64, String)| data.split(' ').next().unwrap_or("").to_string();
    got.events.iter().map(version).collect()
}
