//! UNASKED: a runner runs a request with a changed content, when another runner has handed out a
//! handle with wrong bytes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::Verdict;
use super::client::{Ask, ask};
use super::fleet::Fleet;
use super::record::Record;
use super::runner::{Runner, Traits, Troubles};

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r","host":"ficu95.example","pathPrefix":"/lohu930/","type":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"huvo11a","maxAttempts":1,"sticky":true,"resumable":false,"targetGapMs":300}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacityTokens":33466,"kvBytes":163840,"linkMbps":850000.0,"kvRetentionS":0.5,"roleSwitchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
const REQUESTS: usize = 600;
const INTERVAL: Duration = Duration::from_millis(50);

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(record, 1)?;
    fleet.configure(record, CONFIGURATION)?;
    let mut runners = Vec::new();
    for (number, stage) in (0_u8..).zip(["prefill", "decode", "decode", "decode"]) {
        let traits = Traits {
            id: format!("i-{number}"),
            service: "huvo11a".into(),
            version: "v1".into(),
            stage: stage.into(),
            events: 10,
            pause: Duration::from_millis(20),
            prefill: Duration::from_millis(30),
            full_each: 0,
        };
        let wrong_handles = trouble && stage == "prefill";
        let troubles = Troubles { wrong_handles, ..Troubles::default() };
        runners.push(Runner::start(record, traits, troubles, 101 + number, fleet.apis())?);
    }
    fleet.wait_ready(record)?;
    std::thread::sleep(Duration::from_secs(3));
    let served = Arc::new(Mutex::new(0));
    let mut threads = Vec::new();
    for number in 0..REQUESTS {
        let to = fleet.frontend(0);
        let (served, record) = (served.clone(), record.clone());
        threads.push(std::thread::spawn(move || {
            let request =
                Ask { id: format!("{number:08x}"), path: "/lohu930/2f".into(), ..Ask::default() };
            let got = ask(to, &request);
            record.line(&format!(
                "client {} status {} events {} whole {}",
                request.id,
                got.status,
                got.events.len(),
                got.whole
            ));
            *served.lock().unwrap_or_else(PoisonError::into_inner) += usize::from(got.whole);
        }));
        std::thread::sleep(INTERVAL);
    }
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    runners.iter().for_each(|runner| runner.end());
    let changed: Vec<String> = runners.iter().flat_map(|r| r.changed()).collect();
    let served = *served.lock().unwrap_or_else(PoisonError::into_inner);
    record.line(&format!("requests {REQUESTS}, served whole {served}"));
    record.line(&format!("ran with a changed content: {changed:?}"));
    if served < REQUESTS / 2 {
        return Err(format!("only {served} requests were served"));
    }
    Ok(if changed.is_empty() { Verdict::Held } else { Verdict::Broken })
}
