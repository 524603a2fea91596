//! A daemon whose settings file names other control members asks these, with and without a signal,
//! and takes nothing from a file that it can't read.

mod common;

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use common::{Answer, Fleet, Process, call, free_tcp, free_udp, program, wait_for};

/// How long a daemon on a busy machine may take to follow new settings.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(15);
/// How long to wait for a daemon to do what it must not do.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// An entry that has its settings from a file, beside a fleet of one control member.
struct Entry {
    fleet: Fleet,
    process: Process,
    url: String,
    file: PathBuf,
    text: String,
}

impl Entry {
    /// Starts an entry whose file names a member that doesn't exist.
    fn new() -> Entry {
        let entry = Entry::start(|file, text| std::fs::write(file, text).unwrap());
        entry.process.expect_log("step=control-lost");
        entry
    }

    /// Starts an entry after its file was made by `make` from a text that names a member that
    /// doesn't exist.
    fn start(make: impl FnOnce(&Path, &str)) -> Entry {
        let fleet = Fleet::new(1).unwrap();
        let (callers, listen) = (free_tcp().unwrap(), free_udp().unwrap());
        let path = |name: &str| fleet.folder.join(name).display().to_string();
        let mut text = String::new();
        let fields = [
            ("roles", "entry".to_string()),
            ("name", "entry-0".into()),
            ("domain", "brno-a".into()),
            ("listen", listen.to_string()),
            ("keys", path("keys")),
            ("callers", callers.to_string()),
            ("tenants", path("tenants")),
        ];
        fields.iter().for_each(|(name, value)| writeln!(text, "{name} = '{value}'").unwrap());
        let file = fleet.folder.join("entry.toml");
        make(&file, &with_member(&text, free_udp().unwrap()));
        let flags = ["--settings".into(), file.display().to_string()];
        let process =
            Process::start(&program("dotterelpind"), &flags, "entry-0", &fleet.folder).unwrap();
        Entry { fleet, process, url: format!("http://{callers}"), file, text }
    }

    /// Returns the content of a file that names the member of the fleet.
    fn newer(&self) -> String {
        with_member(&self.text, self.fleet.members[0])
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    fn call(&self) -> eyre::Result<Answer> {
        call(&self.url, "GET", "/services/no-such-pool/x", &[], "")
    }

    /// Waits until the entry has a configuration, so that it refuses a call for another reason.
    fn expect_control(&self) {
        let found = || {
            let answer = self.call()?;
            eyre::ensure!(answer.body.contains("no-endpoint"), "{}", answer.body);
            Ok(())
        };
        wait_for(FOLLOW_TIMEOUT, found).unwrap();
    }
}

fn with_member(text: &str, member: SocketAddr) -> String {
    format!("{text}members = ['{member}']\n")
}

#[test]
fn settings_file_that_names_new_members_is_ignored_after_a_signal() {
    let entry = Entry::new();
    entry.write(&entry.newer());
    entry.process.signal("-HUP").unwrap();
    entry.expect_control();
    let settings = entry.fleet.members[0].to_string();
    entry.process.expect_log(&format!("step=follow reason=settings added={settings}"));
}

#[test]
fn settings_file_that_names_new_members_is_ignored_without_a_signal() {
    let entry = Entry::new();
    entry.write(&entry.newer());
    entry.expect_control();
}

#[test]
fn half_written_settings_file_changes_something_or_ends_the_process() {
    let entry = Entry::new();
    let whole = entry.newer();
    for cut in [0, whole.len() / 2, whole.len() - 4] {
        entry.write(&whole[..cut]);
        entry.process.signal("-HUP").unwrap();
    }
    entry.process.expect_log("step=settings outcome=invalid");
    std::thread::sleep(QUIET_TIME);
    let invalid = entry.process.log().matches("step=settings outcome=invalid").count();
    assert!((1..=6).contains(&invalid), "expected a line for each change, got {invalid}");
    assert!(entry.call().unwrap().body.contains("no-config"));
    entry.write(&whole);
    entry.expect_control();
}

#[test]
fn other_settings_that_change_are_logged_as_needing_a_restart() {
    let entry = Entry::new();
    entry.write(&entry.newer().replace("brno-a", "brno-b"));
    entry.process.signal("-HUP").unwrap();
    entry.process.expect_log("at_restart=domain");
    entry.expect_control();
}

/// The file is a pipe, so that the process waits for its settings when the signal arrives.
#[test]
fn signal_before_the_settings_are_read_ends_the_process() {
    let make = |file: &Path, _: &str| {
        assert!(Command::new("mkfifo").arg(file).status().unwrap().success());
    };
    let entry = Entry::start(make);
    // The pipe opens once the process reads it.
    let mut pipe = std::fs::File::options().write(true).open(&entry.file).unwrap();
    entry.process.signal("-HUP").unwrap();
    std::io::Write::write_all(&mut pipe, entry.newer().as_bytes()).unwrap();
    std::fs::remove_file(&entry.file).unwrap();
    entry.write(&entry.newer());
    drop(pipe);
    entry.process.expect_log("step=settings outcome=same signal=true");
    entry.expect_control();
}
