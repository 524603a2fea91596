//! Starts a small fleet on loopback and checks its main guarantees end to end.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{Fleet, wait_for};
use eyre::{WrapErr, ensure};

fn main() -> eyre::Result<()> {
    let started = Instant::now();
    let mut fleet = Fleet::new(1).wrap_err("start control")?;
    fleet.entry("brno-a")?;
    fleet.entry("brno-b")?;
    for domain in ["brno-a", "brno-b"] {
        fleet.engine("prefill", domain, &[])?;
        fleet.engine("decode", domain, &[])?;
    }
    let service = fleet.service("zlin-c", &[])?;
    fleet.wait_ready().wrap_err("wait for the fleet")?;
    println!("fleet: 1 control, 2 entries, 2 prefill, 2 decode, 1 service");

    show_summary(&fleet)?;
    show_tap(&fleet, service)?;
    show_change(&fleet)?;
    println!("{}", fleet.tool_text(&["status"])?);
    println!("demo passed in {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

fn show_summary(fleet: &Fleet) -> eyre::Result<()> {
    let streamed = fleet.stream(0, "Lesson plan: fractions with apples and pears.", 40)?;
    ensure!(streamed.done, "expected a stream with an end mark, got {streamed:?}");
    let tokens = streamed.text.split_whitespace().count();
    ensure!(tokens == 40, "expected a stream of 40 tokens, got {tokens}");
    ensure!(streamed.parts > 1, "expected a stream of several parts, got {}", streamed.parts);
    println!(
        "summary: 40 tokens in {} parts, through prefill, transfer and decode",
        streamed.parts
    );
    Ok(())
}

fn show_tap(fleet: &Fleet, service: usize) -> eyre::Result<()> {
    let key = [("idempotency-key", "tap-1")];
    let first = fleet.call(0, "POST", "/services/classroom/tap", &key, "pupil-7")?;
    ensure!(first.status == 200, "first tap: expected status 200, got {first:?}");
    let second = wait_for(std::time::Duration::from_secs(5), || {
        let second = fleet.call(1, "POST", "/services/classroom/tap", &key, "pupil-7")?;
        ensure!(second.status == 200, "second tap: expected status 200, got {second:?}");
        Ok(second)
    })?;
    ensure!(
        first.body == second.body,
        "expected the first answer {first:?} for the second tap, got {second:?}"
    );
    let counts = fleet.endpoints[service].counts()?;
    ensure!(counts["pupil-7"] == 1, "expected one run of the tap, got {counts}");
    println!("tap: sent twice with one key, run once, answer {}", second.body);
    Ok(())
}

fn show_change(fleet: &Fleet) -> eyre::Result<()> {
    let set = ["config", "set", "call.deadline_ms", "30000", "--author", "demo"];
    print!("change: {}", fleet.tool_text(&set)?);
    print!("{}", fleet.tool_text(&["config", "watch"])?);
    Ok(())
}
