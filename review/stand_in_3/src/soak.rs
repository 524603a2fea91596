//! Experiment: random disruptions of a small deployment, and what clients and runners may never see.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::versions::ms;

const HOST: &str = "ficu95.example";

/// A small generator of random numbers.
struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

fn config(version: u64, more: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, rest: &str| {
        format!("{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{prefix}/\",\"type\":\"{kind}\",\"priority\":1,\"service\":\"{service}\",{rest}}}")
    };
    let plain = "\"timeoutMs\":1200,\"targetLatencyMs\":150,\"maxAttempts\":2";
    let once = "\"timeoutMs\":1200,\"targetLatencyMs\":150,\"maxAttempts\":1";
    let stream = "\"timeoutMs\":14000,\"targetLatencyMs\":900,\"targetGapMs\":300,\"sticky\":true,\"maxAttempts\":2,\"resumable\":true";
    let stream_once = "\"timeoutMs\":14000,\"targetLatencyMs\":900,\"targetGapMs\":300,\"sticky\":true,\"maxAttempts\":1,\"resumable\":false";
    let mut routes = vec![
        route("r-get", "get1", "idempotent", "wuno96b", plain),
        route("r-tap", "tap1", "non_idempotent", "wuno96b", once),
        route("r-sum", "sum1", "streaming", "huvo11a", stream),
        route("r-les", "les1", "streaming", "huvo11a", stream_once),
    ];
    if more {
        routes.push(route("r-more", "more1", "idempotent", "wuno96b", plain));
    }
    format!("{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConnections\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\"kvCapacityTokens\":33466,\"kvBytes\":163840,\"linkMbps\":850000.0,\"kvRetentionS\":0.5,\"roleSwitchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}", routes.join(","))
}

/// One plain request over a connection that may be kept.
fn ask(
    conn: &mut Option<BufReader<TcpStream>>,
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
) -> std::io::Result<(u16, bool, String)> {
    if conn.is_none() {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
        stream.set_nodelay(true)?;
        *conn = Some(BufReader::new(stream));
    }
    let mut reader = conn.take().expect("a connection");
    let body = if method == "POST" { "Content-Length: 3\r\n\r\nabc" } else { "\r\n" };
    let text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDotterelpin-Attempt-Id: {id}\r\nDotterelpin-Deadline-Ms: 2500\r\n{body}");
    reader.get_mut().write_all(text.as_bytes())?;
    let head = http::read_head(&mut reader)?.ok_or_else(|| std::io::Error::other("closed"))?;
    let body = http::read_body(&mut reader, &head)?;
    if head.get("connection").is_none_or(|c| c != "close") {
        *conn = Some(reader);
    }
    Ok((
        head.status(),
        head.get("dotterelpin-server-stamp").is_some(),
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

pub fn run(
    repository: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> Result<Option<String>, String> {
    let number = |name: &str, other: u64| {
        std::env::var(name).ok().and_then(|d| d.parse().ok()).unwrap_or(other)
    };
    let mut rng = Rng(number("SEED", 7).wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let seconds = number("SECONDS_LONG", 80);
    let mut fleet = Fleet::new(repository).map_err(|e| e.to_string())?;
    let cores = ["core-1", "core-2", "core-3"];
    let edges = ["edge-1", "edge-2", "edge-3"];
    for (at, name) in cores.into_iter().enumerate() {
        fleet.add(name, "control", 11 + at as u8);
    }
    for (at, name) in edges.into_iter().enumerate() {
        fleet.add(name, "gateway", 21 + at as u8);
    }
    fleet.seeds = cores.map(String::from).to_vec();
    for name in cores.iter().chain(&edges) {
        fleet.start(name, true).map_err(|e| format!("{name}: {e}"))?;
    }
    ms(1_500);
    let controls = fleet.controls();
    let kind = |id: String, number: u8, stage: Option<&'static str>| Kind {
        id,
        service: if stage.is_some() { "huvo11a" } else { "wuno96b" }.into(),
        address: fleet.app(number),
        zone: "brno-a".into(),
        version: "v1".into(),
        stage,
        slots: if stage.is_some() { 12 } else { 6 },
        events: 40,
        pace: Duration::from_millis(if stage.is_some() { 40 } else { 20 }),
        first_beat: Duration::ZERO,
        endless: false,
    };
    let mut kinds = Vec::new();
    for n in 0..4u8 {
        kinds.push(kind(format!("p-{n}"), 41 + n, None));
    }
    for n in 0..7u8 {
        kinds.push(kind(format!("e-{n}"), 51 + n, Some(if n < 2 { "prefill" } else { "decode" })));
    }
    let mut runners: Vec<Arc<Runner>> =
        kinds.iter().map(|k| Runner::start(k.clone(), &controls, record)).collect();
    if fleet.publish(&config(1, false), Duration::from_secs(10)) != 200 {
        return Err("the configuration was not acknowledged".into());
    }
    if !fleet.wait_ready(&edges, Duration::from_secs(15)) {
        return Err("the gateways are not ready".into());
    }
    ms(1_000);
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let faults: Arc<Mutex<Vec<String>>> = Arc::default();
    // Ids of requests that may run once, and were answered that they have not run.
    let refused: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let fronts: Vec<SocketAddr> = edges.iter().map(|e| fleet.frontend(e)).collect();
    let clients: Vec<_> = (0..28u64)
        .map(|c| {
            let (stop, sent, faults, refused) =
                (stop.clone(), sent.clone(), faults.clone(), refused.clone());
            let (fronts, record, served) = (fronts.clone(), record.clone(), served.clone());
            std::thread::spawn(move || {
                let mut rng = Rng((c + 3).wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
                let mut conn = None;
                let mut at = 0;
                let mut n = 0u64;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let id = format!("c{c:02}n{n:06}");
                    let fault = |text: String| {
                        record.line(&format!("FAULT {text}"));
                        faults.lock().unwrap().push(text);
                    };
                    if conn.is_none() {
                        at = rng.next(fronts.len() as u64) as usize;
                    }
                    sent.lock().unwrap().insert(id.clone());
                    if c % 4 < 2 {
                        let (method, path) =
                            if c % 2 == 0 { ("POST", "/tap1/a") } else { ("GET", "/get1/a") };
                        match ask(&mut conn, fronts[at], method, path, &id) {
                            Ok((status, stamped, body)) => {
                                if status == 200 {
                                    served.fetch_add(1, Ordering::SeqCst);
                                    if !stamped || !body.starts_with(&format!("answer to {id} of "))
                                    {
                                        fault(format!(
                                            "MIXED id={id} stamped={stamped} body={body:?}"
                                        ));
                                    }
                                } else if [408, 421, 429, 503].contains(&status) {
                                    if method == "POST" {
                                        refused.lock().unwrap().push((id, status));
                                    }
                                    ms(50);
                                } else if (400..500).contains(&status) {
                                    fault(format!("DENIED id={id} status={status} {body:?}"));
                                }
                            }
                            Err(_) => ms(50),
                        }
                        ms(rng.next(60));
                    } else {
                        let path = if c % 4 == 2 { "/sum1/a" } else { "/les1/a" };
                        let to = fronts[rng.next(fronts.len() as u64) as usize];
                        let got = client::stream(to, HOST, path, &id, 14_000);
                        let order = got.events.iter().zip(1..).all(|((n, _), want)| *n == want);
                        if !order || got.complete && got.events.len() != 40 {
                            fault(format!(
                                "ORDER id={id} complete={} events={:?}",
                                got.complete,
                                got.events.iter().map(|e| e.0).collect::<Vec<_>>()
                            ));
                        }
                        if got.complete {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                        if [408, 421, 429, 503].contains(&got.status) && c % 4 == 3 {
                            refused.lock().unwrap().push((id, got.status));
                        }
                        ms(100 + rng.next(400));
                    }
                }
            })
        })
        .collect();
    let since = Instant::now();
    let mut version = 1;
    let mut next_core = Instant::now();
    while since.elapsed() < Duration::from_secs(seconds) {
        ms(300 + rng.next(1_200));
        if !trouble {
            continue;
        }
        let edge = edges[rng.next(3) as usize];
        let core = cores[rng.next(3) as usize];
        let say = |text: String| record.line(&format!("trouble {text}"));
        match rng.next(9) {
            0 => {
                say(format!("kill {edge}"));
                fleet.kill(edge);
                ms(100 + rng.next(900));
                fleet.start(edge, false).map_err(|e| e.to_string())?;
            }
            1 => {
                let wait = 300 + rng.next(2_500);
                say(format!("stop {edge} for {wait} ms"));
                fleet.signal(edge, "-STOP");
                ms(wait);
                fleet.signal(edge, "-CONT");
            }
            2 => {
                say(format!("term {edge}"));
                fleet.signal(edge, "-TERM");
                if !fleet.wait_end(edge, Duration::from_secs(8)) {
                    faults.lock().unwrap().push(format!("HANG {edge} did not end"));
                }
                fleet.kill(edge);
                fleet.start(edge, false).map_err(|e| e.to_string())?;
            }
            3 if next_core <= Instant::now() => {
                let wait = 300 + rng.next(2_500);
                say(format!("stop {core} for {wait} ms"));
                fleet.signal(core, "-STOP");
                ms(wait);
                fleet.signal(core, "-CONT");
                next_core = Instant::now() + Duration::from_secs(5);
            }
            4 if next_core <= Instant::now() => {
                say(format!("kill {core}"));
                fleet.kill(core);
                ms(rng.next(2_000));
                fleet.start(core, false).map_err(|e| e.to_string())?;
                next_core = Instant::now() + Duration::from_secs(5);
            }
            5 if next_core <= Instant::now() => {
                say("kill all cores".into());
                cores.iter().for_each(|c| fleet.kill(c));
                ms(rng.next(900));
                for c in cores {
                    fleet.start(c, false).map_err(|e| e.to_string())?;
                }
                next_core = Instant::now() + Duration::from_secs(6);
            }
            6 | 7 => {
                let at = rng.next(runners.len() as u64) as usize;
                runners[at].crash();
                ms(20 + rng.next(600));
                let mut kind = kinds[at].clone();
                if rng.next(2) == 0 {
                    kind.id = format!("{}x{}", kind.id, rng.next(1_000));
                    kinds[at] = kind.clone();
                }
                runners[at] = Runner::start(kind, &controls, record);
            }
            _ => {
                version += 1 + rng.next(3);
                let status =
                    fleet.publish(&config(version, rng.next(2) == 0), Duration::from_secs(3));
                say(format!("config {version}: {status}"));
                if status == 200 {
                    ms(50);
                    for to in fleet.controls() {
                        if let Ok((200, text)) =
                            http::call(to, "GET", "/config/describe", "", Duration::from_secs(1))
                        {
                            if !text.contains(&format!("{{\"version\":{version},")) {
                                faults.lock().unwrap().push(format!(
                                    "CONFIG {to} answers {} after {version}",
                                    &text[..30]
                                ));
                            }
                        }
                    }
                }
            }
        }
        for name in cores.iter().chain(&edges) {
            if fleet.has_ended(name) {
                faults.lock().unwrap().push(format!("END {name} has ended by itself"));
                fleet.kill(name);
                fleet.start(name, false).map_err(|e| e.to_string())?;
            }
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    ms(1_500);
    let runs = record.runs.lock().unwrap().clone();
    let mut found = faults.lock().unwrap().clone();
    let is_once = |id: &str| id[1..3].parse::<u64>().is_ok_and(|c| c % 4 == 0 || c % 4 == 3);
    for (id, count) in &runs {
        if *count > 1 && is_once(id) {
            found.push(format!("TWICE id={id} ran {count} times"));
        }
        if !sent.lock().unwrap().contains(id) {
            found.push(format!("UNASKED id={id}"));
        }
    }
    for (id, status) in refused.lock().unwrap().iter() {
        if runs.contains_key(id) {
            found.push(format!("REFUSED id={id} status={status} has run"));
        }
    }
    println!(
        "served {} of {}, {} refused, folder {}",
        served.load(Ordering::SeqCst),
        sent.lock().unwrap().len(),
        refused.lock().unwrap().len(),
        fleet.folder.display()
    );
    found.iter().for_each(|f| println!("{f}"));
    Ok((!found.is_empty()).then(|| found.join("; ")))
}
