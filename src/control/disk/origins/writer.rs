//! The thread that writes origins, and the bounded queue before it.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::WrapErr;

use super::OriginFiles;
use crate::control::origins::{MAX_ORIGINS, OriginLog, OriginRecord};
use crate::model::Timestamp;

/// The maximum number of records that wait for the disk; further ones are lost.
const MAX_WAITING: usize = MAX_ORIGINS;
/// The minimum time between two syncs, which the journal's compete with.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Passes origins to the thread that writes them.
#[derive(Debug)]
pub struct OriginWriter {
    queue: Arc<Queue>,
}

/// The records that wait for the disk.
#[derive(Debug, Default)]
struct Queue {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Waiting {
    records: Vec<OriginRecord>,
    /// How many records found the queue full.
    lost: usize,
    is_closed: bool,
}

impl OriginWriter {
    /// Starts the thread, which ends after the writer is dropped.
    pub fn start(files: OriginFiles) -> eyre::Result<OriginWriter> {
        let queue = Arc::new(Queue::default());
        let taken = queue.clone();
        let thread = std::thread::Builder::new().name("origins".into());
        thread.spawn(move || write_all(files, &taken)).wrap_err("start origins thread")?;
        Ok(OriginWriter { queue })
    }

    /// Returns the number of records that wait for the disk.
    pub fn waiting(&self) -> usize {
        self.queue.lock().records.len()
    }
}

impl OriginLog for OriginWriter {
    fn append(&mut self, records: Vec<OriginRecord>) {
        let mut waiting = self.queue.lock();
        let room = MAX_WAITING - waiting.records.len();
        waiting.lost += records.len().saturating_sub(room);
        waiting.records.extend(records.into_iter().take(room));
        self.queue.changed.notify_one();
    }
}

impl Drop for OriginWriter {
    fn drop(&mut self) {
        self.queue.lock().is_closed = true;
        self.queue.changed.notify_one();
    }
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what waits, after the wait for something to do: for `limit` at most, if there is one.
    fn take(&self, limit: Option<Duration>) -> Waiting {
        let mut waiting = self.lock();
        let is_idle = |w: &mut Waiting| w.records.is_empty() && !w.is_closed;
        waiting = match limit {
            None => {
                self.changed.wait_while(waiting, is_idle).unwrap_or_else(PoisonError::into_inner)
            }
            Some(limit) => {
                let waited = self.changed.wait_timeout_while(waiting, limit, is_idle);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
        };
        let is_closed = waiting.is_closed;
        Waiting { is_closed, ..std::mem::take(&mut *waiting) }
    }
}

/// Writes records until the queue is closed. While writes fail, their records are lost.
fn write_all(mut files: OriginFiles, queue: &Queue) {
    let mut synced = Timestamp::default();
    let mut is_failing = false;
    loop {
        let until_sync = (synced + SYNC_INTERVAL) - Timestamp::from_steady();
        let taken = queue.take((!files.is_synced()).then_some(until_sync));
        if taken.lost > 0 {
            log::warn!("step=save-origins lost={} the disk is too slow", taken.lost);
        }
        let now = Timestamp::from_steady();
        let mut written = files.append(now, &taken.records);
        let is_due = taken.is_closed || now - synced >= SYNC_INTERVAL;
        if is_due && !files.is_synced() {
            written = written.and(files.sync());
            synced = Timestamp::from_steady();
        }
        // A failure lasts until records were written again.
        if written.is_err() || !taken.records.is_empty() {
            log_change(&written, is_failing);
            is_failing = written.is_err();
        }
        if taken.is_closed {
            return;
        }
    }
}

/// Logs that the disk takes origins no more, or again.
fn log_change(written: &eyre::Result<()>, was_failing: bool) {
    match written {
        Err(error) if !was_failing => log::error!(
            "step=save-origins error={error:#}; origins are lost until a write succeeds"
        ),
        Ok(()) if was_failing => log::info!("step=save-origins the disk takes origins again"),
        _ => {}
    }
}
