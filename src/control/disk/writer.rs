//! The thread that executes the writes that the control role requests.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use eyre::WrapErr;

use super::{Files, Writes};
use crate::control::replica::WriteId;
use crate::control::{DiskEffect, DiskInput};
use crate::role::{Adapter, DriverHandle};

/// The duration from which a write, with its sync, is logged as slow.
const SLOW_WRITE: Duration = Duration::from_millis(500);
/// The time between two attempts to write to a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The outcome of an attempt to execute the next write.
#[derive(Debug)]
pub enum Attempt {
    /// No write waits.
    Idle,
    /// All writes up to this one are synced.
    Synced(WriteId),
    /// The disk is full, with the error message; the write waits for the next attempt.
    Stalled(Box<str>),
}

/// Executes writes on the files in their order.
pub struct Writer {
    files: Files,
    writes: Writes,
}

impl Writer {
    /// Creates a writer without any waiting write.
    pub fn new(files: Files) -> Writer {
        Writer { files, writes: Writes::default() }
    }

    /// Adds a write behind those that wait.
    pub fn push(&mut self, write: DiskEffect) {
        self.writes.push(write);
    }

    /// Executes the next write. Only a full disk allows another attempt: any error is final.
    pub fn execute_next(&mut self) -> eyre::Result<Attempt> {
        let Some(write) = self.writes.take_next() else { return Ok(Attempt::Idle) };
        match self.files.execute(&write) {
            Ok(id) => Ok(Attempt::Synced(id)),
            Err(error) if is_disk_full(&error) => {
                self.files.truncate_tail()?;
                self.writes.put_back(write);
                Ok(Attempt::Stalled(format!("{error:#}").into()))
            }
            Err(error) => Err(error),
        }
    }
}

/// Passes the writes that the control role requests to the disk thread.
pub struct Disk {
    queue: Sender<DiskEffect>,
}

impl Disk {
    /// Starts the disk thread, which reports results to the role.
    pub fn start(files: Files, role: DriverHandle<DiskInput>) -> eyre::Result<Disk> {
        let (queue, effects) = channel();
        let run = move || {
            if let Err(error) = execute_all(Writer::new(files), &effects, &role) {
                role.local(DiskInput::Failed(format!("{error:#}").into()));
            }
        };
        std::thread::Builder::new().name("disk".into()).spawn(run).wrap_err("start disk thread")?;
        Ok(Disk { queue })
    }
}

impl Adapter<DiskEffect> for Disk {
    fn execute(&mut self, effect: DiskEffect) {
        let _ = self.queue.send(effect);
    }
}

/// Executes the requested writes; as long as the disk is full, they are retried. Any other error is
/// final.
fn execute_all(
    mut writer: Writer,
    effects: &Receiver<DiskEffect>,
    role: &DriverHandle<DiskInput>,
) -> eyre::Result<()> {
    loop {
        effects.try_iter().for_each(|e| writer.push(e));
        let since = Instant::now();
        let attempt = writer.execute_next()?;
        if since.elapsed() >= SLOW_WRITE {
            let ms = since.elapsed().as_millis();
            log::warn!("step=slow-write ms={ms}");
        }
        match attempt {
            Attempt::Idle => {
                let Ok(effect) = effects.recv() else { return Ok(()) };
                writer.push(effect);
            }
            Attempt::Synced(id) => role.local(DiskInput::Synced(id)),
            Attempt::Stalled(error) => {
                role.local(DiskInput::Stalled(error));
                std::thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}

fn is_disk_full(error: &eyre::Report) -> bool {
    use std::io::ErrorKind::{QuotaExceeded, StorageFull};
    let kind = error.root_cause().downcast_ref::<std::io::Error>().map(std::io::Error::kind);
    matches!(kind, Some(StorageFull | QuotaExceeded))
}
