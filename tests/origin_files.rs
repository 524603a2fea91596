//! The files of origins on a member's disk: kills, losses of power, damage and full disks.

mod crashing_folder;

use std::io::{self, Read, Write};
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::time::Duration;

use crashing_folder::{CrashingFolder, Survival};
use dotterelpin::control::disk::origins::{MAX_SEGMENT_BYTES, OriginFiles, OriginWriter};
use dotterelpin::control::disk::{DataFile, DataFolder};
use dotterelpin::control::origins::{
    Correction, MAX_ORIGINS, ORIGIN_TTL, Origin, OriginLog, OriginRecord,
};
use dotterelpin::model::Timestamp;

const NOW: Timestamp = Timestamp::from_micros(1_000_000);

fn record(number: usize) -> OriginRecord {
    let call = format!("c-{number}").into();
    if number % 5 == 4 {
        return OriginRecord::Correction(Correction { call, software: Some("v2".into()) });
    }
    OriginRecord::Origin(Origin { call, service: "cs-summary".into(), software: "v1".into() })
}

fn records(numbers: std::ops::Range<usize>) -> Vec<OriginRecord> {
    numbers.map(record).collect()
}

fn open(folder: &CrashingFolder) -> (Vec<OriginRecord>, OriginFiles) {
    OriginFiles::open_folder(Box::new(folder.clone())).unwrap()
}

/// Returns a folder with these numbers of synced records.
fn written(numbers: std::ops::Range<usize>) -> CrashingFolder {
    let folder = CrashingFolder::default();
    let (_, mut files) = open(&folder);
    files.append(NOW, &records(numbers)).unwrap();
    files.sync().unwrap();
    folder
}

/// Replaces the content of a file.
fn set_content(folder: &CrashingFolder, name: &str, bytes: &[u8]) {
    folder.create(name).unwrap().write_all(bytes).unwrap();
}

#[test]
fn records_outlast_a_kill_without_a_sync() {
    let folder = written(0..10);
    let (_, mut files) = open(&folder);
    files.append(NOW, &records(10..12)).unwrap();
    assert!(!files.is_synced());
    drop(files);
    assert_eq!(open(&folder).0, records(0..12));
}

/// Fails if a torn or damaged record costs more than itself and those after it.
#[test]
fn damaged_record_loses_the_records_before_it() {
    let whole = written(0..10).read("origins.0").unwrap().unwrap();
    let first = written(0..1).read("origins.0").unwrap().unwrap().len();
    for at in first..whole.len() {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x20;
        for bytes in [&whole[..at], &damaged] {
            let folder = CrashingFolder::default();
            set_content(&folder, "origins.0", bytes);
            let (found, mut files) = open(&folder);
            assert!(!found.is_empty(), "byte {at}");
            assert_eq!(found, records(0..found.len()), "byte {at}");
            assert!(found.len() < 10, "byte {at}");
            files.append(NOW, &records(20..22)).unwrap();
            assert_eq!(open(&folder).0, [found, records(20..22)].concat(), "byte {at}");
        }
    }
}

#[test]
fn file_with_an_unreadable_header_stops_the_member() {
    for bytes in [&b""[..], b"dtr", &[0xff; 100]] {
        let folder = CrashingFolder::default();
        set_content(&folder, "origins.0", bytes);
        set_content(&folder, "origins.1", bytes);
        let (found, mut files) = open(&folder);
        assert!(found.is_empty());
        files.append(NOW, &records(0..3)).unwrap();
        assert_eq!(open(&folder).0, records(0..3));
    }
}

/// Fails if a record is removed while a stream that it names may be taken up, or the files grow.
#[test]
fn segments_lose_young_records_or_grow_without_bound() {
    let folder = CrashingFolder::default();
    let (_, mut files) = open(&folder);
    for second in 0..200 {
        let now = NOW + Duration::from_secs(second as u64);
        files.append(now, &records(second * 10..second * 10 + 10)).unwrap();
        let (found, _) = open(&folder.copy());
        let ttl = ORIGIN_TTL.as_secs() as usize;
        let young = records(second.saturating_sub(ttl) * 10..second * 10 + 10);
        assert!(found.ends_with(&young), "second {second}: {} records", found.len());
        assert!(found.len() <= 20 * (ttl + 1), "second {second}: {} records", found.len());
    }
}

#[test]
fn segments_exceed_their_size() {
    let folder = CrashingFolder::default();
    let (_, mut files) = open(&folder);
    for batch in 0..6 {
        files.append(NOW, &records(batch * 100_000..(batch + 1) * 100_000)).unwrap();
        for name in ["origins.0", "origins.1"] {
            let length = folder.read(name).unwrap().map_or(0, |bytes| bytes.len());
            assert!(length <= MAX_SEGMENT_BYTES, "{name} has {length} bytes");
        }
    }
    let (found, _) = open(&folder);
    assert!(found.len() > 100_000 && found.ends_with(&records(500_000..600_000)));
}

/// Appends batches of records, at intervals that make segments change; returns how many records are
/// synced, and how many were written.
fn append_all(folder: &CrashingFolder) -> (usize, usize) {
    let (mut synced, mut last) = (0, 0);
    let Ok((_, mut files)) = OriginFiles::open_folder(Box::new(folder.clone())) else {
        return (synced, last);
    };
    for batch in 0..6 {
        let now = NOW + Duration::from_secs(12 * batch as u64);
        if files.append(now, &records(batch * 4..batch * 4 + 4)).is_err() {
            break;
        }
        last = batch * 4 + 4;
        if batch % 2 == 1 && files.sync().is_ok() {
            synced = last;
        }
    }
    (synced, last)
}

/// Returns the numbers of the records that were found, which must be some that follow one another.
fn numbers(found: &[OriginRecord], told: &str) -> std::ops::Range<usize> {
    let first = (0..24).find(|n| found.first() == Some(&record(*n))).unwrap_or(0);
    let range = first..first + found.len();
    assert_eq!(found, records(range.clone()), "{told}");
    range
}

/// Fails if a kill or a loss of power at any operation loses records that it must leave, brings back
/// others than those written, or leaves files that can't be opened.
#[test]
fn crash_at_any_operation_loses_synced_origins() {
    let steps = {
        let folder = CrashingFolder::default();
        append_all(&folder);
        folder.steps()
    };
    for step in 0..=steps {
        let endings = Survival::all().into_iter().map(Some).chain([None]);
        for ending in endings {
            let folder = CrashingFolder::default();
            folder.kill_at(step);
            let (synced, last) = append_all(&folder);
            let kept = ending.map_or(last, |_| synced);
            ending.into_iter().for_each(|survival| folder.lose_power(survival));
            folder.restart();
            let told = format!("step {step}, {ending:?}, {kept} records must be left");
            let found = numbers(&open(&folder).0, &told);
            assert!(found.end >= kept, "{told}: {found:?}");
            // Records of the last 30 s come 12 s apart, four at a time.
            assert!(found.start <= kept.saturating_sub(8), "{told}: {found:?}");
        }
    }
}

/// Fails if a full disk costs more than the records that it does not take.
#[test]
fn full_disk_loses_origins_that_were_written_before_or_after() {
    let folder = written(0..10);
    let (_, mut files) = open(&folder);
    let full = folder.steps();
    folder.fill(full..full + 1);
    assert!(files.append(NOW, &records(50..54)).is_err());
    files.append(NOW, &records(10..12)).unwrap();
    assert_eq!(open(&folder).0, records(0..12));
}

/// A folder whose files never finish a write.
struct StalledFolder(CrashingFolder);

struct StalledFile;

impl Read for StalledFile {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Ok(0)
    }
}

impl Write for StalledFile {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl DataFile for StalledFile {
    fn length(&self) -> io::Result<u64> {
        Ok(0)
    }

    fn truncate(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl DataFolder for StalledFolder {
    fn path(&self, name: &str) -> PathBuf {
        self.0.path(name)
    }

    fn open(&self, _: &str) -> io::Result<Box<dyn DataFile>> {
        Ok(Box::new(StalledFile))
    }

    fn create(&self, _: &str) -> io::Result<Box<dyn DataFile>> {
        Ok(Box::new(StalledFile))
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Fails if a disk that never finishes a write holds up the role that hands over origins.
#[test]
fn stalled_disk_holds_up_the_role() {
    let folder = Box::new(StalledFolder(CrashingFolder::default()));
    let (_, files) = OriginFiles::open_folder(folder).unwrap();
    let mut writer = OriginWriter::start(files).unwrap();
    let (done, is_done) = channel();
    std::thread::spawn(move || {
        (0..500).for_each(|batch| writer.append(records(batch * 1_000..(batch + 1) * 1_000)));
        done.send(writer.waiting()).unwrap();
    });
    let waiting = is_done.recv_timeout(Duration::from_secs(20)).expect("no wait for the disk");
    assert!(waiting <= MAX_ORIGINS, "{waiting} records wait");
}

/// Fails if the thread of origins does not write what it got before it ends.
#[test]
fn writer_loses_what_it_was_given() {
    let folder = CrashingFolder::default();
    let (_, files) = open(&folder);
    let mut writer = OriginWriter::start(files).unwrap();
    for batch in 0..5 {
        writer.append(records(batch * 2..batch * 2 + 2));
        std::thread::sleep(Duration::from_millis(3));
    }
    drop(writer);
    let is_written = || open(&folder.copy()).0 == records(0..10);
    let attempts = (0..500).map(|_| {
        std::thread::sleep(Duration::from_millis(10));
        is_written()
    });
    assert!(attempts.into_iter().any(|written| written));
}
