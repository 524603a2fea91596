//! The command-line tool: its output, its exit codes, and the keys that it needs.

mod common;

use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};

use common::{Fleet, program, wait_for};
use serde_json::Value;

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn changes_and_orders_exit_with_distinct_codes() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();

    let set = ["config", "set", "call.deadline_ms", "9000", "--author", "jana", "--id", "one"];
    let first = fleet.tool(&set).unwrap();
    assert_eq!(exit_code(&first), 0, "{first:?}");
    assert!(stderr(&first).contains("--id one --base 0"), "expected the id and base: {first:?}");
    // The same change repeated with its id and base returns the first result.
    let again = fleet.tool(&[&set[..], &["--base", "0"]].concat()).unwrap();
    assert_eq!((exit_code(&again), &again.stdout), (0, &first.stdout));
    // Another change on the same base is refused, and its error names the winner.
    let racing = ["config", "set", "call.deadline_ms", "8000", "--author", "petr", "--base", "0"];
    let lost = fleet.tool(&racing).unwrap();
    assert_eq!(exit_code(&lost), 3, "{lost:?}");
    assert!(
        stderr(&lost).contains("jana") && stderr(&lost).contains("next:"),
        "expected the winner and a next step: {lost:?}"
    );

    let usage: &[&[&str]] = &[
        &["config", "except", "room:1", "call.deadline_ms", "1", "--reason", "r", "--author", "a"],
        &["order", "service-1", "fly", "high", "--author", "a"],
        &["order", "service-1", "role", "cook", "--author", "a"],
        &["no-such-task"],
        &["config", "set", "call.deadline_ms"],
        &["keys"],
    ];
    for args in usage {
        assert_eq!(exit_code(&fleet.tool(args).unwrap()), 2, "{args:?}");
    }
    let refused: &[&[&str]] = &[
        &["config", "set", "no.such.setting", "1", "--author", "a"],
        &["config", "set", "call.deadline_ms", "soon", "--author", "a"],
        &["config", "drop", "tenant:t", "call.deadline_ms", "--author", "a"],
        &[
            "config",
            "except",
            "tenant:t",
            "call.deadline_ms",
            "1",
            "--reason",
            " ",
            "--author",
            "a",
        ],
        &["quarantine", "--clear", "00"],
    ];
    for args in refused {
        let output = fleet.tool(args).unwrap();
        assert_eq!(exit_code(&output), 3, "{args:?}: {}", stderr(&output));
    }

    let except = ["config", "except", "tenant:tabulka", "call.deadline_ms", "7000"];
    let reason = ["--reason", "slow network", "--author", "jana"];
    fleet.tool_text(&[&except[..], &reason[..]].concat()).unwrap();
    let watch = fleet.tool_text(&["config", "watch"]).unwrap();
    for name in ["control-0", "entry-0", "service-1"] {
        assert!(watch.contains(name), "{name} is missing in {watch}");
    }
    let history = fleet.tool_text(&["config", "history"]).unwrap();
    assert!(history.contains("slow network") && history.lines().count() == 2, "{history}");
    let shown = fleet.tool_text(&["--json", "config", "show"]).unwrap();
    let shown: Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(shown["revision"], 2);
    let file = fleet.folder.join("config.json");
    std::fs::write(&file, shown.to_string()).unwrap();
    fleet.tool_text(&["check", "config", file.to_str().unwrap()]).unwrap();

    let drained = fleet.tool(&["drain", "service-1", "--author", "jana"]).unwrap();
    assert_eq!(exit_code(&drained), 0, "{drained:?}");
    wait_for(std::time::Duration::from_secs(10), || {
        let endpoints = fleet.tool_text(&["endpoints"])?;
        eyre::ensure!(endpoints.contains("draining"), "{endpoints}");
        Ok(())
    })
    .unwrap();
    let status = fleet.tool_text(&["--json", "status"]).unwrap();
    let status: Value = serde_json::from_str(&status).unwrap();
    assert_eq!(status["endpoints"][0]["name"], "service-1");
    fleet.tool_text(&["quarantine"]).unwrap();
}

#[test]
fn operator_requests_with_a_process_key_are_refused() {
    let fleet = Fleet::new(1).unwrap();
    wait_for(std::time::Duration::from_secs(10), || fleet.tool_text(&["status"])).unwrap();
    let keys = fleet.folder.join("stolen");
    std::fs::create_dir(&keys).unwrap();
    for (from, to) in
        [("ca.pem", "ca.pem"), ("process.pem", "operator.pem"), ("process.key", "operator.key")]
    {
        std::fs::copy(fleet.folder.join("keys").join(from), keys.join(to)).unwrap();
    }
    let run =
        |args: &[&str]| fleet.tool(&[&["--keys", keys.to_str().unwrap()], args].concat()).unwrap();
    let set = ["config", "set", "call.deadline_ms", "9000", "--author", "eva", "--base", "0"];
    for args in [&["status"][..], &set[..]] {
        let output = run(args);
        assert_eq!(exit_code(&output), 3, "{args:?}: {}", stderr(&output));
        assert!(stderr(&output).contains("operators' key"), "{}", stderr(&output));
    }
    fleet.controls[0].expect_log("step=permit peer=127.0.0.1");
    assert!(fleet.tool_text(&["config", "show"]).unwrap().contains("revision 0"));
}

#[test]
fn foreign_keys_are_refused_and_logged() {
    let fleet = Fleet::new(1).unwrap();
    wait_for(std::time::Duration::from_secs(10), || fleet.tool_text(&["status"])).unwrap();
    let foreign = fleet.folder.join("foreign");
    fleet.tool_text(&["keys", foreign.to_str().unwrap()]).unwrap();
    let output = fleet.tool(&["--keys", foreign.to_str().unwrap(), "status"]).unwrap();
    assert_eq!(exit_code(&output), 4, "{}", stderr(&output));
    let error = stderr(&output);
    assert!(
        error.contains("step=") && error.contains("peer=") && error.contains("next:"),
        "expected the step, the peer and a next step: {error}"
    );
    fleet.controls[0].expect_log("step=accept peer=127.0.0.1");
    // Existing keys are not overwritten, and only their owner may read them.
    let again = fleet.tool(&["keys", foreign.to_str().unwrap()]).unwrap();
    assert_eq!(exit_code(&again), 1, "{again:?}");
    for name in ["process.key", "operator.key"] {
        let mode = std::fs::metadata(foreign.join(name)).unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{name}");
    }
}

#[test]
fn local_commands_work_without_a_fleet() {
    let run = |args: &[&str]| Command::new(program("dotterelpin")).args(args).output().unwrap();
    let credential = run(&["--json", "keys", "tenant", "tabulka"]);
    let created: Value = serde_json::from_slice(&credential.stdout).unwrap();
    let tenants: dotterelpin::entry::check::Tenants =
        created["line"].as_str().unwrap().parse().unwrap();
    assert_eq!(tenants.find(created["credential"].as_str().unwrap()), Some("tabulka"));
    assert_eq!(exit_code(&run(&["keys", "tenant", "two words"])), 2);
    assert_eq!(exit_code(&run(&["--help"])), 0);
    assert_eq!(
        exit_code(&run(&["status"])),
        2,
        "status without --members and --keys is a usage error"
    );

    let checked = run(&["check", "settings", "--", "--roles", "cook", "--listen", "x"]);
    let error = stderr(&checked);
    assert_eq!(exit_code(&checked), 1, "{error}");
    for flag in ["--roles: \"cook\"", "--listen: \"x\"", "--name: missing", "--keys: missing"] {
        assert!(error.contains(flag), "{flag} is missing in {error}");
    }
    let file = std::env::temp_dir().join(format!("dotterelpin-config-{}", std::process::id()));
    let invalid = r#"{"defaults": {"no.such": "1", "call.token_ms": "soon"},
        "exceptions": [{"scope": "tenant:t", "name": "call.token_ms", "value": 5,
                        "author": "a", "reason": ""}]}"#;
    std::fs::write(&file, invalid).unwrap();
    let checked = run(&["check", "config", file.to_str().unwrap()]);
    let error = stderr(&checked);
    std::fs::remove_file(file).unwrap();
    assert_eq!(exit_code(&checked), 1, "{error}");
    for text in ["no.such", "call.token_ms", "written reason"] {
        assert!(error.contains(text), "{text} is missing in {error}");
    }
}
