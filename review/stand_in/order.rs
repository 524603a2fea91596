//! ORDER: streams hold events of two software versions, once another writer has repeated the first
//! heartbeat of each runner with `version` missing.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::Verdict;
use super::client::{Ask, ask};
use super::fleet::Fleet;
use super::record::Record;
use super::runner::{Runner, Traits, Troubles};

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r","host":"ficu95.example","pathPrefix":"/pufi791/","type":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"huvo11a","maxAttempts":2,"sticky":true,"resumable":true,"targetGapMs":300}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacityTokens":33466,"kvBytes":163840,"linkMbps":850000.0,"kvRetentionS":0.5,"roleSwitchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
/// How many streams are begun, and taken up again once.
const STREAMS: usize = 60;
/// After how many events a client's connection breaks.
const BREAKS_AFTER: usize = 5;
/// How many mixed streams break the rule: more than two.
const ALLOWED: usize = 2;

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(record, 2)?;
    fleet.configure(record, CONFIGURATION)?;
    let mut runners = Vec::new();
    let shapes = [
        ("v1", "prefill"),
        ("v1", "decode"),
        ("v1", "decode"),
        ("v1", "decode"),
        ("v2", "decode"),
        ("v2", "decode"),
    ];
    for (number, (version, stage)) in (0_u8..).zip(shapes) {
        let traits = Traits {
            id: format!("i-{number}"),
            service: "huvo11a".into(),
            version: version.into(),
            stage: stage.into(),
            events: 20,
            pause: Duration::from_millis(40),
            prefill: Duration::from_millis(30),
            full_each: 0,
        };
        let troubles = Troubles { incomplete_copy: trouble, ..Troubles::default() };
        runners.push(Runner::start(record, traits, troubles, 101 + number, fleet.apis())?);
    }
    fleet.wait_ready(record)?;
    // All runners have sent several whole heartbeats by then.
    std::thread::sleep(Duration::from_secs(5));
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (first, second) = (fleet.frontend(number), fleet.frontend(number + 1));
        let (results, record) = (results.clone(), record.clone());
        threads.push(std::thread::spawn(move || {
            let begun = Ask {
                id: format!("{number:08x}a"),
                path: "/pufi791/2f".into(),
                leaves_after: BREAKS_AFTER,
                ..Ask::default()
            };
            let start = ask(first, &begun);
            record.line(&format!("{} status {} events {:?}", begun.id, start.status, start.events));
            std::thread::sleep(Duration::from_millis(400));
            let last = start.events.len() as u64;
            let again = Ask {
                id: format!("{number:08x}b"),
                resumes: Some((last, begun.id.clone())),
                leaves_after: 0,
                ..begun.clone()
            };
            let rest = ask(second, &again);
            record.line(&format!(
                "{} status {} whole {} events {:?}",
                again.id, rest.status, rest.whole, rest.events
            ));
            let all = start.events.iter().chain(&rest.events);
            let of = |version: &str| all.clone().any(|e| e.contains(&format!("data: {version} ")));
            let mixed = of("v1") && of("v2");
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            results.push((begun.id, mixed, last > 0, !rest.events.is_empty()));
        }));
        std::thread::sleep(Duration::from_millis(100));
    }
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    runners.iter().for_each(|runner| runner.end());
    let results = results.lock().unwrap_or_else(PoisonError::into_inner);
    let count =
        |test: fn(&(String, bool, bool, bool)) -> bool| results.iter().filter(|r| test(r)).count();
    let (begun, resumed, mixed) = (count(|r| r.2), count(|r| r.3), count(|r| r.1));
    record
        .line(&format!("streams begun {begun}, taken up again {resumed}, of two versions {mixed}"));
    if begun < STREAMS / 2 {
        return Err(format!("only {begun} streams have begun"));
    }
    Ok(if mixed > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
