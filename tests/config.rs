//! Changes of the configuration with real processes: an accepted change comes into force everywhere
//! and is never reverted, whichever control members crash, stop or lose their disks.

mod common;

use std::time::Duration;

use common::{Fleet, wait_for};
use eyre::{WrapErr, ensure, eyre};
use serde_json::Value;

/// How long a change may take to be accepted, or to be in force in one place.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An operator who sends each change again until it is answered.
struct Operator<'a> {
    fleet: &'a Fleet,
    revision: u64,
}

impl Operator<'_> {
    fn set(&mut self, value: u64) -> eyre::Result<()> {
        let (id, base) = (format!("change-{value}"), self.revision.to_string());
        let text = wait_for(WAIT_TIMEOUT, || {
            self.fleet.tool_text(&[
                "--json",
                "config",
                "set",
                "call.deadline_ms",
                &value.to_string(),
                "--author",
                "ops",
                "--id",
                &id,
                "--base",
                &base,
            ])
        })?;
        let reply: Value = serde_json::from_str(&text)?;
        ensure!(reply["revision"] == self.revision + 1, "{id} on base {base}: {reply}");
        self.revision += 1;
        Ok(())
    }

    /// Checks that the last change is in force in all processes, control members included.
    fn check_in_force(&self, processes: usize, value: u64) -> eyre::Result<()> {
        wait_for(WAIT_TIMEOUT, || {
            let status = status(self.fleet)?;
            let revisions: Vec<u64> = status["processes"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|p| p["revision"].as_u64())
                .collect();
            ensure!(revisions.len() >= processes, "fewer than {processes} processes: {status}");
            ensure!(
                revisions.iter().all(|r| *r == self.revision),
                "a process has another revision: {status}"
            );
            Ok(())
        })?;
        for member in &self.fleet.members {
            wait_for(WAIT_TIMEOUT, || {
                let address = member.to_string();
                let text =
                    self.fleet.tool_text(&["--members", &address, "--json", "config", "show"])?;
                let config: Value = serde_json::from_str(&text)?;
                ensure!(
                    config["revision"] == self.revision,
                    "another revision at {address}: {config}"
                );
                let found = &config["defaults"]["call.deadline_ms"];
                ensure!(
                    found.as_str() == Some(&*value.to_string()),
                    "not {value} at {address}: {config}"
                );
                Ok(())
            })?;
        }
        Ok(())
    }
}

fn status(fleet: &Fleet) -> eyre::Result<Value> {
    serde_json::from_str(&fleet.tool_text(&["--json", "status"])?).wrap_err("parse status")
}

fn leader(fleet: &Fleet) -> eyre::Result<usize> {
    wait_for(WAIT_TIMEOUT, || {
        let status = status(fleet)?;
        let leader = status["leader"].as_str().ok_or_else(|| eyre!("no leader: {status}"))?;
        let found = fleet.members.iter().position(|m| m.to_string() == leader);
        found.ok_or_else(|| eyre!("the leader {leader} is not a member"))
    })
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(3).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.entry("brno-b").unwrap();
    fleet.wait_ready().unwrap();
    fleet
}

#[test]
fn killed_leader_loses_no_accepted_change() {
    let mut fleet = fleet();
    let mut revision = 0;
    for round in 0..3u64 {
        let at = leader(&fleet).unwrap();
        let mut operator = Operator { fleet: &fleet, revision };
        for change in 0..4 {
            operator.set(10_000 + round * 10 + change).unwrap();
        }
        revision = operator.revision;
        fleet.controls[at].kill();
        let mut operator = Operator { fleet: &fleet, revision };
        operator.set(10_000 + round * 10 + 5).unwrap();
        revision = operator.revision;
        fleet.controls[at].restart().unwrap();
    }
    let operator = Operator { fleet: &fleet, revision };
    operator.check_in_force(3, 10_025).unwrap();
}

/// A leader that was stopped for longer than its lease still considers itself the leader when it
/// resumes, but must not restore the older configuration that it knows.
#[test]
fn stopped_leader_that_resumes_reverts_nothing() {
    let fleet = fleet();
    let at = leader(&fleet).unwrap();
    let mut operator = Operator { fleet: &fleet, revision: 0 };
    operator.set(20_000).unwrap();
    fleet.controls[at].signal("-STOP").unwrap();
    let end = std::time::Instant::now() + Duration::from_secs(10);
    let mut value = 20_000;
    while std::time::Instant::now() < end {
        value += 1;
        operator.set(value).unwrap();
    }
    fleet.controls[at].signal("-CONT").unwrap();
    value += 1;
    operator.set(value).unwrap();
    operator.check_in_force(3, value).unwrap();
}

#[test]
fn all_members_restarted_at_once_keep_the_configuration() {
    let mut fleet = fleet();
    let mut operator = Operator { fleet: &fleet, revision: 0 };
    operator.set(30_000).unwrap();
    for control in &mut fleet.controls {
        control.kill();
    }
    for control in &mut fleet.controls {
        control.restart().unwrap();
    }
    let mut operator = Operator { fleet: &fleet, revision: 1 };
    operator.set(30_001).unwrap();
    operator.check_in_force(3, 30_001).unwrap();
}

#[test]
fn lost_disk_is_repaired_and_a_second_one_may_follow() {
    let mut fleet = fleet();
    let mut revision = 0;
    for round in 0..2usize {
        let value = 40_000 + round as u64 * 10;
        let mut operator = Operator { fleet: &fleet, revision };
        operator.set(value).unwrap();
        revision = operator.revision;
        fleet.controls[round].kill();
        std::fs::remove_dir_all(fleet.folder.join(format!("data-{round}"))).unwrap();
        let before = fleet.controls[round].log().len();
        fleet.controls[round].restart().unwrap();
        let mut operator = Operator { fleet: &fleet, revision };
        operator.set(value + 1).unwrap();
        revision = operator.revision;
        operator.check_in_force(3, value + 1).unwrap();
        // The repair ends when the new member has a vote.
        wait_for(WAIT_TIMEOUT, || {
            let log = fleet.controls[round].log();
            ensure!(log[before..].contains("voter=true"), "no vote yet: {}", &log[before..]);
            Ok(())
        })
        .unwrap();
    }
}

#[test]
fn resend_gets_the_first_result_and_a_race_has_one_winner() {
    let fleet = fleet();
    let mut operator = Operator { fleet: &fleet, revision: 0 };
    operator.set(50_000).unwrap();
    operator.set(50_001).unwrap();
    // The first change is sent again on its old base, after a later one was accepted.
    operator.revision = 0;
    operator.set(50_000).unwrap();
    let late = fleet
        .tool(&[
            "config",
            "set",
            "retry.attempts",
            "2",
            "--author",
            "ops2",
            "--id",
            "late",
            "--base",
            "0",
        ])
        .unwrap();
    assert!(!late.status.success());
    let text = String::from_utf8_lossy(&late.stderr);
    assert!(
        text.contains("change-50000"),
        "the accepted change is not named in the refusal: {text}"
    );
}
