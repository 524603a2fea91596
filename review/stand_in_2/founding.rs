//! All core machines are killed as the system starts for the first time, and are back within a second.

use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::record::Record;
use crate::{BROKEN, HELD, UNABLE, engines};

/// How long the operator sends the first configuration.
const LIMIT: Duration = Duration::from_secs(40);

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mut fleet = Fleet::new("founding", 65, 3, 1);
    let code = play(record, trouble, &mut fleet);
    fleet.end();
    code
}

fn play(record: &Record, trouble: bool, fleet: &mut Fleet) -> i32 {
    record.line("all machines start for the first time");
    fleet.start_all();
    if trouble {
        let begin = Instant::now();
        let after = std::env::var("KILL_MS").ok().and_then(|t| t.parse().ok());
        if let Some(after) = after {
            std::thread::sleep(Duration::from_millis(after));
            fleet.core.iter_mut().for_each(|m| m.strike());
        }
        let mut left: Vec<usize> = (0..fleet.core.len()).filter(|_| after.is_none()).collect();
        while !left.is_empty() {
            if begin.elapsed() > Duration::from_secs(5) {
                return UNABLE;
            }
            left.retain(|n| {
                let journal = fleet.core[*n].data().join("journal");
                let begun = std::fs::metadata(journal).is_ok_and(|m| m.len() > 0);
                if begun {
                    fleet.core[*n].strike();
                }
                !begun
            });
        }
        fleet.core.iter_mut().for_each(|m| m.kill());
        record.line(&format!(
            "all core machines are killed after {} ms",
            begin.elapsed().as_millis()
        ));
        std::thread::sleep(Duration::from_millis(800));
        for machine in &mut fleet.core {
            machine.no_bootstrap();
            machine.start();
        }
        record.line("they start again, with their disks");
    }
    let begin = Instant::now();
    let published = fleet.publish(record, &engines::config(1), LIMIT);
    record.line(&format!(
        "the first configuration is acknowledged: {published}, after {} ms",
        begin.elapsed().as_millis()
    ));
    if published { HELD } else { BROKEN }
}
