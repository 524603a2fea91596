//! Experiment: runners whose side answers have no end.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::versions::{config, ms};

pub fn run(
    repository: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> Result<Option<String>, String> {
    let count: u8 = std::env::var("RUNNERS").ok().and_then(|d| d.parse().ok()).unwrap_or(50);
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
    let controls = fleet.controls();
    for n in 0..count {
        let kind = Kind {
            id: format!("i-{n}"),
            service: "huvo11a".into(),
            address: fleet.app(41 + n),
            zone: "brno-a".into(),
            version: "v1".into(),
            stage: Some(if n % 7 == 0 { "prefill" } else { "decode" }),
            slots: 12,
            events: 20,
            pace: Duration::from_millis(50),
            first_beat: Duration::ZERO,
            endless: trouble && n % 20 != 0 && n % 20 != 1,
        };
        Runner::start(kind, &controls, record);
    }
    if fleet.publish(&config(3), Duration::from_secs(10)) != 200 {
        return Err("the configuration was not acknowledged".into());
    }
    if !fleet.wait_ready(&["edge-1"], Duration::from_secs(15)) {
        return Err("the gateway is not ready".into());
    }
    ms(1_500);
    let to = fleet.frontend("edge-1");
    let mut most = 0;
    for n in 0..400u64 {
        std::thread::spawn(move || {
            client::stream(to, "ficu95.example", "/pufi791/x", &format!("a{n:04}"), 14_000)
        });
        ms(40);
        let pid = fleet.pid("edge-1").unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let rss = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .unwrap_or("0")
            .trim()
            .trim_end_matches(" kB")
            .parse::<u64>()
            .unwrap_or(0);
        if rss > most + 2_000 {
            most = rss;
            record.line(&format!("rss {rss} kB"));
        }
    }
    record.line(&format!("most {most}"));
    println!("most {most} kB");
    Ok(None)
}
