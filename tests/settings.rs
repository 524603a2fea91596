//! Errors of settings name the flag, the value and the allowed values.

mod common;

use std::cell::RefCell;
use std::process::Command;

use common::{free_tcp, program};
use dotterelpin::cli::settings::{DaemonArgs, Settings};
use dotterelpin::control::config::Setting;

const ENTRY: &[(&str, &str)] = &[
    ("roles", "entry"),
    ("name", "entry-1"),
    ("domain", "brno-a"),
    ("listen", "127.0.0.1:7000"),
    ("members", "127.0.0.1:7001,127.0.0.1:7002"),
    ("keys", "/nowhere/keys"),
    ("callers", "127.0.0.1:8000"),
    ("tenants", "/nowhere/tenants"),
];

type Changes<'a> = &'a [(&'a str, &'a str)];

/// Parses the settings of an entry with some flags replaced; an empty value drops a flag.
fn parse_with(changes: Changes) -> Result<Settings, String> {
    let mut flags: Vec<(&str, &str)> =
        ENTRY.iter().copied().filter(|(f, _)| changes.iter().all(|(c, _)| c != f)).collect();
    flags.extend(changes.iter().copied().filter(|(_, value)| !value.is_empty()));
    let words: Vec<String> =
        flags.iter().flat_map(|(flag, value)| [format!("--{flag}"), value.to_string()]).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = <DaemonArgs as argh::FromArgs>::from_args(&["dotterelpind"], &words).unwrap();
    Settings::try_from(args).map_err(|e| e.to_string())
}

#[test]
fn each_invalid_setting_is_reported_with_its_allowed_values() {
    assert!(parse_with(&[]).is_ok());
    let agent = [("callers", ""), ("tenants", "")];
    let long = "n".repeat(65);
    let table: &[(Changes, &[&str])] = &[
        (&[("roles", "")], &["--roles: missing", "DOTTERELPIN_ROLES"]),
        (&[("roles", "entry,waiter")], &["--roles: \"waiter\"", "entry, agent, control"]),
        (
            &[("roles", "entry,agent"), ("pages", "127.0.0.1:8001")],
            &["--roles: agent goes with no"],
        ),
        (&[("roles", "agent,control"), ("data", "/d"), agent[0], agent[1]], &["--roles: agent"]),
        (&[("roles", "agent"), agent[0], agent[1]], &["--pages: missing", "announcements"]),
        (&[("roles", "control"), agent[0], agent[1]], &["--data: missing, and role control"]),
        (&[("placement", "best")], &["--placement: \"best\"", "round-robin, least-reported"]),
        (&[("name", "")], &["--name: missing"]),
        (&[("name", "two words")], &["--name: \"two words\"", "letters, digits"]),
        (&[("name", &long)], &["--name: ", "1 to 64"]),
        (&[("domain", "a=b")], &["--domain: \"a=b\""]),
        (&[("listen", "localhost")], &["--listen: \"localhost\"", "IP:PORT"]),
        (&[("listen", "127.0.0.1:0")], &["--listen: \"127.0.0.1:0\""]),
        (&[("listen", "127.0.0.1:70000")], &["--listen: \"127.0.0.1:70000\""]),
        (&[("listen", "0.0.0.0:7000")], &["--advertise: missing"]),
        (&[("advertise", "0.0.0.0:7000")], &["--advertise: \"0.0.0.0:7000\""]),
        (&[("members", "")], &["--members: missing"]),
        (&[("members", "127.0.0.1:1,,")], &["--members: \"\""]),
        (&[("members", "127.0.0.1:1,127.0.0.1:1")], &["--members: ", "each address once"]),
        (&[("losses", "16")], &["--losses: \"16\"", "0 to 15"]),
        (&[("losses", "-1")], &["--losses: \"-1\""]),
        (&[("bootstrap", "yes")], &["--bootstrap: \"yes\"", "true, false"]),
        (&[("keys", "")], &["--keys: missing"]),
        (&[("data", "/d")], &["--data: given, but only role control"]),
        (&[("callers", "")], &["--callers: missing, and role entry"]),
        (&[("callers", "8000")], &["--callers: \"8000\""]),
        (&[("tenants", "")], &["--tenants: missing"]),
        (&[("pages", "127.0.0.1:8000")], &["--pages: the same address as --callers"]),
        (&[("max-calls", "0")], &["--max-calls: \"0\"", "1 to 1000000"]),
        (&[("max-calls", "many")], &["--max-calls: \"many\""]),
        (&[("max-connections", "-1")], &["--max-connections: \"-1\""]),
        (&[("grace", "0")], &["--grace: \"0\"", "more than 0 seconds"]),
        (&[("grace", "0.5")], &["--grace: \"0.5\"", "1 to 3600 seconds"]),
        (&[("grace", "3601")], &["--grace: \"3601\"", "1 to 3600 seconds"]),
        (&[("log", "loud")], &["--log: \"loud\"", "error, warn, info, debug, trace"]),
        (&[("log-format", "xml")], &["--log-format: \"xml\"", "text, json"]),
    ];
    for (changes, expected) in table {
        let error = parse_with(changes).expect_err(&format!("{changes:?} was accepted"));
        for text in *expected {
            assert!(error.contains(text), "{changes:?}: {error:?} lacks {text:?}");
        }
    }
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let error = parse_with(&[("name", ""), ("listen", "x"), ("log", "y"), ("max-calls", "z")]);
    let error = error.expect_err("four invalid settings were accepted");
    assert_eq!(error.lines().count(), 4, "expected one line a setting: {error}");
}

#[test]
fn every_flag_has_an_environment_variable() {
    let requested = RefCell::new(Vec::new());
    let _ = DaemonArgs::default().with_environment(|name| {
        requested.borrow_mut().push(name.to_string());
        None
    });
    let help = Command::new(program("dotterelpind")).arg("--help").output().unwrap();
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    let flags = help.lines().filter_map(|l| l.trim().strip_prefix("--"));
    let flags = flags.filter_map(|l| l.split([' ', ',']).next()).filter(|f| *f != "help");
    let expected: Vec<String> =
        flags.map(|f| format!("DOTTERELPIN_{}", f.to_uppercase().replace('-', "_"))).collect();
    assert!(expected.len() >= 15, "expected at least 15 flags in --help: {help}");
    let requested = requested.into_inner();
    for name in expected {
        assert!(requested.contains(&name), "{name} is not among the variables read: {requested:?}");
    }
}

/// Runs the daemon with settings that it must reject and returns its standard error.
fn run_rejected(flags: &[&str]) -> String {
    let output = Command::new(program("dotterelpind")).args(flags).output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{flags:?} was accepted");
    text
}

#[test]
fn daemon_reports_missing_files_and_addresses_in_use() {
    let folder = std::env::temp_dir().join(format!("dotterelpin-settings-{}", std::process::id()));
    let keys = folder.join("keys");
    dotterelpin::link::tls::make_keys(&keys).unwrap();
    let tenants = folder.join("tenants");
    let listen = common::free_udp().unwrap().to_string();
    let callers = free_tcp().unwrap().to_string();
    let flags = |keys: &str, callers: &str| -> Vec<String> {
        let pairs = [
            ("--roles", "entry"),
            ("--name", "entry-1"),
            ("--domain", "brno-a"),
            ("--listen", &listen),
            ("--members", "127.0.0.1:9"),
            ("--keys", keys),
            ("--callers", callers),
            ("--tenants", tenants.to_str().unwrap()),
        ];
        pairs.iter().flat_map(|(f, v)| [f.to_string(), v.to_string()]).collect()
    };
    let run =
        |flags: Vec<String>| run_rejected(&flags.iter().map(String::as_str).collect::<Vec<_>>());

    let error = run(flags("/nowhere", &callers));
    assert!(
        error.contains("--keys") && error.contains("/nowhere/ca.pem"),
        "expected --keys and its missing file: {error}"
    );
    assert!(
        error.contains("--tenants") && error.contains("tenants"),
        "expected --tenants and its missing file: {error}"
    );

    std::fs::write(&tenants, "tabulka not-a-hash\n").unwrap();
    let error = run(flags(keys.to_str().unwrap(), &callers));
    assert!(
        error.contains("--tenants") && error.contains("line 1"),
        "expected --tenants and the line: {error}"
    );

    std::fs::write(&tenants, "").unwrap();
    let _occupied = std::net::TcpListener::bind(&callers).unwrap();
    let error = run(flags(keys.to_str().unwrap(), &callers));
    assert!(
        error.contains("--callers") && error.contains("in use"),
        "expected --callers in use: {error}"
    );
    let _udp = std::net::UdpSocket::bind(&listen).unwrap();
    let error = run(flags(keys.to_str().unwrap(), &callers));
    assert!(
        error.contains("--listen") && error.contains("in use"),
        "expected --listen in use: {error}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn json_log_format_writes_json_lines() {
    let mut fleet = common::Fleet::new(1).unwrap();
    fleet.entry_with("brno-a", &["--log-format", "json"]).unwrap();
    fleet.wait_ready().unwrap();
    fleet.entries[0].process.expect_log("\"step\":\"refuse\"");
    let log = fleet.entries[0].process.log();
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|l| serde_json::from_str(l).unwrap_or_else(|e| panic!("{l}: {e}")))
        .collect();
    let start = lines.iter().find(|l| l["step"] == "start").expect("no log line with step=start");
    assert_eq!(start["name"], "entry-0");
    let refusal =
        lines.iter().find(|l| l["step"] == "refuse").expect("no log line with step=refuse");
    assert!(
        refusal["call"].is_string() && refusal["message"].is_string(),
        "call or message is no string: {refusal}"
    );
}

#[test]
fn operations_page_lists_every_flag_setting_and_metric() {
    let page = include_str!("../docs/OPERATIONS.md");
    let _ = DaemonArgs::default().with_environment(|name| {
        let flag = name.trim_start_matches("DOTTERELPIN_").to_lowercase().replace('_', "-");
        assert!(page.contains(&format!("`--{flag}`")), "OPERATIONS.md does not list --{flag}");
        None
    });
    for setting in Setting::all() {
        let row = format!("`{}` |", setting.as_str());
        assert!(page.contains(&row), "OPERATIONS.md does not list {}", setting.as_str());
        let value = setting.built_in().to_string();
        let line = page.lines().find(|l| l.contains(&row)).unwrap_or_default();
        assert!(line.contains(&format!("| {value} |")), "expected the default {value} in {line:?}");
    }
    let metrics = dotterelpin::report::metrics::Metrics::new().unwrap();
    metrics.steps("entry");
    for line in metrics.text().unwrap().lines().filter_map(|l| l.strip_prefix("# HELP ")) {
        let name = line.split(' ').next().unwrap_or_default();
        let name = name.trim_start_matches("dotterelpin_");
        assert!(page.contains(&format!("`{name}`")), "OPERATIONS.md does not list {name}");
    }
}
