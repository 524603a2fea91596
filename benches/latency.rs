//! Measures the latency that the system adds to a call, its token throughput and its idle cost.
//!
//! `cargo build --release --bins --examples && cargo bench --bench latency [-- PART...]`, with the
//! parts latency, tokens, memory and idle. It drives release-built processes on loopback.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::{CREDENTIAL, Fleet, Process, Streamed, open_stream};
use eyre::{WrapErr, ensure, eyre};
use hdrhistogram::Histogram;

/// Turns off admission, which would refuse calls that the stand-ins can't finish in time; only the
/// path of a call is measured.
const ENTRY_FLAGS: &[&str] = &["--placement", "round-robin"];
/// Threads that send requests.
const SENDERS: u64 = 48;
/// How long requests are sent at each rate.
const RATE_DURATION: Duration = Duration::from_secs(5);
/// Requests per second.
const RATES: [u64; 2] = [100, 500];
/// How long an idle process is observed.
const IDLE_DURATION: Duration = Duration::from_secs(5);
/// Clock ticks per second in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> eyre::Result<()> {
    let parts: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let wanted = |name: &str| parts.is_empty() || parts.iter().any(|p| p == name);
    if wanted("latency") {
        latency()?;
    }
    if wanted("tokens") {
        tokens(1)?;
        tokens(8)?;
    }
    if wanted("memory") {
        memory()?;
    }
    if wanted("idle") {
        idle()?;
    }
    Ok(())
}

/// Compares calls through entry and agent with calls made directly to the stand-in.
fn latency() -> eyre::Result<()> {
    let mut fleet = Fleet::new(1)?;
    fleet.entry_with("brno-a", ENTRY_FLAGS)?;
    fleet.service("brno-a", &["--work-ms", "0", "--slots", "400"])?;
    fleet.wait_ready()?;
    let entry = fleet.entries[0].url.clone();
    let direct = fleet.endpoints[0].url.clone();
    println!(
        "{:<28} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7}",
        "call", "rate/s", "min ms", "p50 ms", "p99 ms", "max ms", "failed"
    );
    for rate in RATES {
        let url = format!("{direct}/timetable");
        print_row("look-up, stand-in alone", rate, &send_at(rate, &url, false)?);
        let url = format!("{entry}/services/classroom/timetable");
        print_row("look-up, entry + agent", rate, &send_at(rate, &url, false)?);
        let url = format!("{direct}/tap");
        print_row("tap, stand-in alone", rate, &send_at(rate, &url, true)?);
        let url = format!("{entry}/services/classroom/tap");
        print_row("keyed tap, entry + agent", rate, &send_at(rate, &url, true)?);
    }
    Ok(())
}

struct Sample {
    micros: Histogram<u64>,
    failed: u64,
}

fn print_row(name: &str, rate: u64, sample: &Sample) {
    let at = |quantile: f64| sample.micros.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name:<28} {rate:>6} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>7}",
        at(0.0),
        at(0.5),
        at(0.99),
        at(1.0),
        sample.failed
    );
}

/// Sends at a fixed rate, and measures each latency from when the request was due.
fn send_at(rate: u64, url: &str, tap: bool) -> eyre::Result<Sample> {
    let total = rate * RATE_DURATION.as_secs();
    let next = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let agent = config.new_agent();
    let start = Instant::now() + Duration::from_millis(100);
    let senders: Vec<_> = (0..SENDERS)
        .map(|_| {
            let (next, failed, url) = (next.clone(), failed.clone(), url.to_string());
            let agent = agent.clone();
            std::thread::spawn(move || -> eyre::Result<Histogram<u64>> {
                let mut micros = Histogram::new(3)?;
                loop {
                    let index = next.fetch_add(1, Ordering::SeqCst);
                    if index >= total {
                        return Ok(micros);
                    }
                    let due = start + Duration::from_secs(1) * index as u32 / rate as u32;
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    if !send(&agent, &url, tap, index) {
                        failed.fetch_add(1, Ordering::SeqCst);
                    }
                    micros.record(due.elapsed().as_micros() as u64)?;
                }
            })
        })
        .collect();
    let mut micros = Histogram::new(3)?;
    for sender in senders {
        micros.add(sender.join().map_err(|_| eyre!("a sender thread panicked"))??)?;
    }
    Ok(Sample { micros, failed: failed.load(Ordering::SeqCst) })
}

fn send(agent: &ureq::Agent, url: &str, tap: bool, index: u64) -> bool {
    let bearer = format!("Bearer {CREDENTIAL}");
    let unique = Instant::now();
    let sent = if tap {
        let key = format!("{index}-{unique:?}");
        agent
            .post(url)
            .header("authorization", bearer)
            .header("idempotency-key", key)
            .send(format!("pupil-{index}"))
    } else {
        agent.get(url).header("authorization", bearer).call()
    };
    sent.is_ok_and(|mut r| r.status() == 200 && r.body_mut().read_to_vec().is_ok())
}

/// Measures throughput and memory with many streams through one entry and one agent.
fn tokens(event_tokens: u32) -> eyre::Result<()> {
    let mut fleet = Fleet::new(1)?;
    fleet.entry_with("brno-a", ENTRY_FLAGS)?;
    let mut flags = vec!["--slots", "1100", "--pieces", "4000", "--batch-us", "0"];
    flags.extend(["--prefill-rate", "2000000", "--export-ms", "20000"]);
    fleet.engine("prefill", "brno-a", &flags)?;
    let event_text = event_tokens.to_string();
    flags.extend(["--event-tokens", &event_text]);
    fleet.engine("decode", "brno-a", &flags)?;
    fleet.wait_ready()?;
    fleet.tool_text(&["config", "set", "call.deadline_ms", "60000", "--author", "bench"])?;
    fleet.tool_text(&["config", "watch"])?;
    println!("tokens in each event of the engine: {event_tokens}");
    println!(
        "{:>8} {:>10} {:>12} {:>14} {:>12} {:>14} {:>10} {:>6}",
        "streams",
        "tokens/s",
        "entry cores",
        "tokens/s/core",
        "agent cores",
        "entry MB",
        "agent MB",
        "whole"
    );
    for streams in [100, 300, 1_000] {
        stream_round(&fleet, streams, event_tokens)?;
    }
    Ok(())
}

fn stream_round(fleet: &Fleet, streams: u32, event_tokens: u32) -> eyre::Result<()> {
    let (entry, agent) = (&fleet.entries[0], &fleet.endpoints[1].agent);
    let url = entry.url.clone();
    let readers: Vec<_> = (0..streams)
        .map(|index| {
            let url = url.clone();
            let read = move || -> eyre::Result<Streamed> {
                std::thread::sleep(Duration::from_millis(u64::from(index % 100) * 5));
                let stream = open_stream(&url, &format!("plan {index}"), 1_000 * event_tokens)?;
                stream.read_all()
            };
            std::thread::Builder::new().stack_size(256 << 10).spawn(read)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));
    let token_count = || -> eyre::Result<u64> {
        fleet.endpoints[1].counts()?["tokens"]
            .as_u64()
            .ok_or_else(|| eyre!("the engine's counts have no number \"tokens\""))
    };
    let (start, first) = (Instant::now(), token_count()?);
    let (entry_first, agent_first) =
        (processor_seconds(&entry.process)?, processor_seconds(agent)?);
    std::thread::sleep(Duration::from_secs(4));
    let span = start.elapsed().as_secs_f64();
    let rate = (token_count()? - first) as f64 / span;
    let entry_cores = (processor_seconds(&entry.process)? - entry_first) / span;
    let agent_cores = (processor_seconds(agent)? - agent_first) / span;
    let (entry_mb, agent_mb) = (resident_mb(&entry.process)?, resident_mb(agent)?);
    let mut complete = 0;
    let mut early = BTreeMap::<String, u32>::new();
    for reader in readers {
        let streamed = reader?.join().map_err(|_| eyre!("a reader thread panicked"))?;
        match failure_reason(streamed, 1_000 * event_tokens)? {
            None => complete += 1,
            Some(reason) => *early.entry(reason).or_default() += 1,
        }
    }
    println!(
        "{streams:>8} {rate:>10.0} {entry_cores:>12.2} {:>14.0} {agent_cores:>12.2} {entry_mb:>14.1} {agent_mb:>10.1} {complete:>6}",
        rate / entry_cores.max(0.01)
    );
    for (reason, count) in early {
        println!("         {count} ended early: {reason}");
    }
    Ok(())
}

/// Returns why an answer is incomplete, or `None` if it is complete.
///
/// Fails if an answer has its end mark but not the expected number of tokens.
fn failure_reason(streamed: eyre::Result<Streamed>, tokens: u32) -> eyre::Result<Option<String>> {
    let streamed = match streamed {
        Ok(streamed) => streamed,
        Err(error) => return Ok(Some(format!("{error}"))),
    };
    if let Some(error) = streamed.error {
        return Ok(Some(error["error"]["message"].to_string()));
    }
    if !streamed.done {
        return Ok(Some("the connection broke".into()));
    }
    let received = streamed.text.split_whitespace().count();
    ensure!(
        received == tokens as usize,
        "answer with an end mark: expected {tokens} tokens, got {received}"
    );
    Ok(None)
}

/// Measures the memory of streams that each receive two tokens per second.
fn memory() -> eyre::Result<()> {
    println!("{:>8} {:>10} {:>10}", "streams", "entry MB", "agent MB");
    for streams in [0, 100, 300, 1_000] {
        let mut fleet = Fleet::new(1)?;
        fleet.entry_with("brno-a", ENTRY_FLAGS)?;
        let mut flags = vec!["--slots", "1100", "--pieces", "4000", "--batch-us", "0"];
        flags.extend(["--prefill-rate", "2000000", "--export-ms", "20000"]);
        fleet.engine("prefill", "brno-a", &flags)?;
        flags.extend(["--token-us", "500000"]);
        fleet.engine("decode", "brno-a", &flags)?;
        fleet.wait_ready()?;
        let url = &fleet.entries[0].url;
        let mut open = Vec::new();
        for index in 0..streams {
            open.push(open_stream(url, &format!("plan {index}"), 200)?);
        }
        std::thread::sleep(Duration::from_secs(2));
        let (entry, agent) = (&fleet.entries[0].process, &fleet.endpoints[1].agent);
        println!("{streams:>8} {:>10.1} {:>10.1}", resident_mb(entry)?, resident_mb(agent)?);
    }
    Ok(())
}

/// Measures processor time and memory of processes without calls.
fn idle() -> eyre::Result<()> {
    let mut fleet = Fleet::new(1)?;
    fleet.entry_with("brno-a", ENTRY_FLAGS)?;
    fleet.service("brno-a", &[])?;
    fleet.wait_ready()?;
    println!("{:<10} {:>12} {:>12}", "idle", "% of a core", "resident MB");
    let rows = [
        ("control", &fleet.controls[0]),
        ("entry", &fleet.entries[0].process),
        ("agent", &fleet.endpoints[0].agent),
    ];
    let mut first = Vec::new();
    for (_, process) in rows {
        first.push(processor_seconds(process)?);
    }
    std::thread::sleep(IDLE_DURATION);
    for ((name, process), before) in rows.into_iter().zip(first) {
        let share = (processor_seconds(process)? - before) / IDLE_DURATION.as_secs_f64();
        println!("{name:<10} {:>12.2} {:>12.1}", share * 100.0, resident_mb(process)?);
    }
    Ok(())
}

/// Returns the processor time of a process in seconds.
fn processor_seconds(process: &Process) -> eyre::Result<f64> {
    let path = format!("/proc/{}/stat", process.id());
    let text = std::fs::read_to_string(&path).wrap_err_with(|| path.clone())?;
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    ensure!(
        fields.len() > 12,
        "{path}: expected more than 12 fields after the name, got {}",
        fields.len()
    );
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_mb(process: &Process) -> eyre::Result<f64> {
    let path = format!("/proc/{}/status", process.id());
    let text = std::fs::read_to_string(&path).wrap_err_with(|| path.clone())?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()).unwrap_or("0");
    Ok(kilobytes.parse::<f64>()? / 1_024.0)
}
