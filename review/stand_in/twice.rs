//! TWICE and REFUSED: a request that may run once runs twice, or is refused though it has run, when
//! the answer to a request for a reservation comes a second time.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::Verdict;
use super::client::{Ask, ask};
use super::fleet::Fleet;
use super::record::Record;
use super::runner::{Runner, Traits, Troubles, ran_twice};

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r","host":"ficu95.example","pathPrefix":"/lohu930/","type":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"huvo11a","maxAttempts":2,"sticky":true,"resumable":false,"targetGapMs":300}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacityTokens":33466,"kvBytes":163840,"linkMbps":850000.0,"kvRetentionS":0.5,"roleSwitchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
const REQUESTS: usize = 600;
const INTERVAL: Duration = Duration::from_millis(50);
/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

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
            prefill: Duration::from_millis(120),
            full_each: 6,
        };
        // Two of four runners: a share of 0.5.
        let garbles = trouble && (number == 1 || number == 2);
        let troubles = Troubles { extra_answers: garbles, ..Troubles::default() };
        runners.push(Runner::start(record, traits, troubles, 101 + number, fleet.apis())?);
    }
    fleet.wait_ready(record)?;
    std::thread::sleep(Duration::from_secs(3));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for number in 0..REQUESTS {
        let to = fleet.frontend(0);
        let (statuses, record) = (statuses.clone(), record.clone());
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
            let mut statuses = statuses.lock().unwrap_or_else(PoisonError::into_inner);
            statuses.push((request.id, got.status, got.whole));
        }));
        std::thread::sleep(INTERVAL);
    }
    for thread in threads {
        thread.join().map_err(|_| "a client failed")?;
    }
    runners.iter().for_each(|runner| runner.end());
    let twice = ran_twice(&runners);
    let ran: BTreeSet<String> = runners.iter().flat_map(|r| r.ran()).collect();
    let statuses = statuses.lock().unwrap_or_else(PoisonError::into_inner);
    let served = statuses.iter().filter(|(_, _, whole)| *whole).count();
    let false_promise =
        |(id, status, _): &&(String, u16, bool)| PROMISES.contains(status) && ran.contains(id);
    let refused: Vec<&String> =
        statuses.iter().filter(false_promise).map(|(id, _, _)| id).collect();
    record.line(&format!("requests {REQUESTS}, served whole {served}"));
    record.line(&format!("ran twice: {twice:?}"));
    record.line(&format!("refused as not run, and have run: {refused:?}"));
    if served < REQUESTS / 2 {
        return Err(format!("only {served} requests were served"));
    }
    let broken = !twice.is_empty() || !refused.is_empty();
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
