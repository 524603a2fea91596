//! Experiment: processes that are told to stop soon after their start.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::record::Record;
use crate::versions::ms;

pub fn run(repository: &Path, record: &Arc<Record>, _: bool) -> Result<Option<String>, String> {
    for delay in [0u64, 2, 5, 10, 20, 40, 80, 160, 320, 640, 1500] {
        let mut fleet = Fleet::new(repository).map_err(|e| e.to_string())?;
        let names = ["core-1", "core-2", "core-3", "edge-1"];
        for (at, name) in names.into_iter().enumerate() {
            fleet.add(name, if at == 3 { "gateway" } else { "control" }, 11 + at as u8);
        }
        fleet.seeds = ["core-1", "core-2", "core-3"].map(String::from).to_vec();
        for name in names {
            fleet.start(name, true).map_err(|e| format!("{name}: {e}"))?;
        }
        ms(delay);
        names.iter().for_each(|n| fleet.signal(n, "-TERM"));
        let since = std::time::Instant::now();
        for name in names {
            let ended =
                fleet.wait_end(name, Duration::from_millis(8_000).saturating_sub(since.elapsed()));
            record.line(&format!(
                "delay {delay} {name} ended={ended} after {} ms",
                since.elapsed().as_millis()
            ));
            if !ended {
                println!("{delay} {name} did not end");
            }
        }
    }
    Ok(None)
}
