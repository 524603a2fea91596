//! The log and the files of a control member stay small whatever the size of its records, and a
//! start needs little more memory than the records.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dotterelpin::control::replica::{
    Entry, LogIndex, MemberId, Members, Position, Record, ReplicaSettings, Snapshot, WriteId,
};
use dotterelpin::control::routing::Document;
use dotterelpin::control::state::{Applied, Command};
use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput, disk};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
use dotterelpin::model::{BootId, InboundId, Timestamp};
use dotterelpin::role::{Input, Output, Role};

const OWNER: MemberId = MemberId(7);
/// A tenth of the disk of a control member.
const MAX_FILE_BYTES: u64 = (128 << 20) / 10;

/// The folder that a child process of a test starts on.
const FOLDER_VARIABLE: &str = "DOTTERELPIN_TEST_FOLDER";

/// Returns a figure of this process's memory in bytes, by its name in `/proc/self/status`.
fn memory(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap();
    line.trim_start_matches(':').trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
}

/// A temporary folder that is removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let unique = format!("dotterelpin-log-size-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }

    /// Returns the bytes of all files.
    fn bytes(&self) -> u64 {
        let files = std::fs::read_dir(&self.0).unwrap();
        files.map(|f| f.unwrap().metadata().unwrap().len()).sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The only member of a group, on a real disk.
struct Member {
    control: Control,
    files: disk::Files,
    now: Timestamp,
    /// The largest size of the folder so far.
    largest: u64,
    applied: usize,
}

impl Member {
    fn start(folder: &Folder) -> Member {
        let (stored, files) = disk::open(&folder.0, OWNER).unwrap();
        let control = Control::new(settings(), stored).unwrap();
        let now = Timestamp::from_micros(1_000_000);
        let mut member = Member { control, files, now, largest: 0, applied: 0 };
        for _ in 0..50 {
            member.now = member.now + Duration::from_millis(100);
            member.step(folder, Input::Wake);
        }
        assert!(member.control.replica().is_leader());
        member
    }

    fn step(&mut self, folder: &Folder, input: Input<DiskInput>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.control.step(self.now, input) {
                match output {
                    Output::Effect(DiskEffect::Append { id, entries }) => {
                        self.files.append(&entries).unwrap();
                        inputs.push_back(Input::Local(DiskInput::Synced(id)));
                    }
                    Output::Effect(DiskEffect::Replace { id, snapshot, entries }) => {
                        let before = folder.bytes();
                        self.files.replace(&snapshot, &entries).unwrap();
                        // The new files are written beside the old ones.
                        self.largest = self.largest.max(before + folder.bytes());
                        inputs.push_back(Input::Local(DiskInput::Synced(id)));
                    }
                    Output::Reply { envelope, .. } => {
                        let published = matches!(
                            envelope.body,
                            Reply::Control(ControlReply::Applied(Applied::Published(_)))
                        );
                        self.applied += usize::from(published);
                    }
                    _ => {}
                }
            }
        }
        self.largest = self.largest.max(folder.bytes());
    }

    fn publish(&mut self, folder: &Folder, version: u64, bytes: usize) {
        let text = vec![b'r'; bytes].into();
        let command = Command::Publish(Document { version, text });
        let body = Request::Control(ControlRequest::Propose(command));
        let envelope = Envelope { revised: Default::default(), body };
        self.now = self.now + Duration::from_millis(1);
        self.step(folder, Input::Request { inbound: InboundId(version), envelope });
    }
}

fn settings() -> ControlSettings {
    let address: SocketAddr = ([10, 0, 0, 1], 7000).into();
    ControlSettings {
        name: "control-0".into(),
        domain: "brno-a".into(),
        boot: BootId(1),
        replica: ReplicaSettings::new(address, vec![address], 1),
        grace: Duration::from_secs(8),
    }
}

#[test]
fn large_documents_do_not_fill_the_disk() {
    for (name, bytes, count) in [("385-kb", 385_000, 120), ("1-mb", 1_040_000, 50)] {
        let folder = Folder::new(name);
        let mut member = Member::start(&folder);
        for version in 1..=count {
            member.publish(&folder, version, bytes);
        }
        assert_eq!(member.applied, count as usize);
        let largest = member.largest;
        assert!(largest <= MAX_FILE_BYTES, "{count} changes of {bytes} bytes: {largest} bytes");
        drop(member);
        let member = Member::start(&folder);
        let document = member.control.state().routing.document().cloned().unwrap();
        assert_eq!((document.version, document.text.len()), (count, bytes));
    }
}

/// A snapshot of a large state is not written again for each small step of the log.
#[test]
fn small_records_are_not_compacted_one_by_one() {
    let folder = Folder::new("small");
    let mut member = Member::start(&folder);
    member.publish(&folder, 1, 1_000_000);
    for version in 2..=1_000 {
        member.publish(&folder, version, 1_000);
    }
    assert!(member.control.replica().snapshot().is_none(), "2 MB of records are no reason");
    assert_eq!(member.applied, 1_000);
}

fn append(id: u64, index: u64) -> DiskEffect {
    let record = Record { index: LogIndex(index), term: 1, command: Command::Noop };
    DiskEffect::Append { id: WriteId(id), entries: vec![Entry::Append(record)] }
}

fn replace(id: u64, last: u64) -> DiskEffect {
    let position = Position { term: 1, index: LogIndex(last) };
    let snapshot = Snapshot { position, members: Members::default(), state: vec![1, 2, 3] }.into();
    let vote = Entry::Vote { term: 1, candidate: Some(OWNER) };
    let entries = vec![Entry::Owner(OWNER), vote, Entry::Base(position)];
    DiskEffect::Replace { id: WriteId(id), snapshot, entries }
}

/// Writes that waited for a full disk were kept in memory without a bound, and the same append was
/// tried for ever in front of the new journal that includes it.
#[test]
fn a_full_disk_frees_itself_by_a_snapshot() {
    let folder = Folder::new("full");
    let (_, mut files) = disk::open(&folder.0, OWNER).unwrap();
    let mut writes = disk::Writes::default();
    let early = [append(1, 1), append(2, 2), replace(3, 2), append(4, 3), replace(5, 3)];
    early.into_iter().for_each(|w| writes.push(w));
    writes.push(append(6, 4));
    writes.push(append(7, 5));
    // The disk has no space for the first two appends, which are merged.
    let write = writes.take_next().unwrap();
    writes.put_back(write);
    let ids: Vec<u64> = std::iter::from_fn(|| writes.take_next())
        .map(|write| files.execute(&write).unwrap().0)
        .collect();
    assert_eq!(ids, [5, 7], "the newest journal, then the appends after it");
    let (stored, _) = disk::open(&folder.0, OWNER).unwrap();
    assert_eq!(stored.snapshot.map(|s| s.position.index.0), Some(3));
    assert_eq!(stored.records.iter().map(|r| r.index.0).collect::<Vec<_>>(), [4, 5]);
}

/// Without a new journal, a write that found no space keeps its place.
#[test]
fn appends_that_found_no_space_are_written_in_order() {
    let mut writes = disk::Writes::default();
    writes.push(append(1, 1));
    let write = writes.take_next().unwrap();
    writes.push(append(2, 2));
    writes.put_back(write);
    let Some(DiskEffect::Append { id, entries }) = writes.take_next() else { panic!("no append") };
    assert_eq!((id, entries.len()), (WriteId(2), 2));
    assert!(writes.take_next().is_none());
}

/// Writes a journal of an earlier release, which was not compacted by its bytes.
fn long_journal(folder: &Folder, bytes: usize, count: u64) {
    let (_, mut files) = disk::open(&folder.0, OWNER).unwrap();
    for index in 1..=count {
        let document = Document { version: index, text: vec![b'r'; bytes].into() };
        let command = Command::Publish(document);
        let record = Record { index: LogIndex(index), term: 1, command };
        files.append(&[Entry::Append(record)]).unwrap();
    }
}

/// The size and the number of the records of a long journal.
const LONG: (usize, u64) = (385_000, 60);

/// Starts on a folder in this process and reports the memory that this needs at most.
fn start_and_report(folder: &Path) {
    let before = memory("VmRSS");
    let (stored, _files) = disk::open(folder, OWNER).unwrap();
    assert_eq!(stored.records.len(), LONG.1 as usize);
    println!("needed={}", memory("VmHWM") - before);
}

#[test]
fn a_start_needs_little_more_memory_than_the_records() {
    if let Some(folder) = std::env::var_os(FOLDER_VARIABLE) {
        start_and_report(Path::new(&folder));
        return;
    }
    let folder = Folder::new("start");
    long_journal(&folder, LONG.0, LONG.1);
    // The peak of a process of its own, since other tests run in this one.
    let mut child = std::process::Command::new(std::env::current_exe().unwrap());
    child.args(["--exact", "a_start_needs_little_more_memory_than_the_records", "--nocapture"]);
    let output = child.env(FOLDER_VARIABLE, &folder.0).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let needed = text.lines().find_map(|l| l.split_once("needed=")).map(|(_, n)| n);
    let needed: usize = needed.unwrap_or_else(|| panic!("no report in {text}")).parse().unwrap();
    let records = LONG.0 * LONG.1 as usize;
    assert!(needed <= records + records / 5, "{needed} bytes for {records} of records");
}

/// A file that was left behind, or that could not be completed, fills the disk.
#[test]
fn no_incomplete_file_stays_on_the_disk() {
    let folder = Folder::new("partial");
    drop(disk::open(&folder.0, OWNER).unwrap());
    let left = ["journal.partial", "snapshot.partial"].map(|name| folder.0.join(name));
    for path in &left {
        std::fs::write(path, vec![0; 1_000]).unwrap();
    }
    let (_, mut files) = disk::open(&folder.0, OWNER).unwrap();
    assert!(left.iter().all(|path| !path.exists()), "files of a killed process are left");
    // A folder in the place of the snapshot lets the replacement fail.
    std::fs::create_dir(folder.0.join("snapshot")).unwrap();
    let snapshot = Snapshot {
        position: Default::default(),
        members: Default::default(),
        state: vec![1; 1_000],
    };
    assert!(files.replace(&snapshot, &[Entry::Owner(OWNER)]).is_err());
    assert!(left.iter().all(|path| !path.exists()), "the file of a failed write is left");
}
