//! Log lines on standard output, bounded in number and memory; logging never blocks the caller.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};

/// The maximum number of lines queued for standard output.
const MAX_WAITING: usize = 8_192;
/// The maximum number of lines of one module per window; further lines are counted and dropped.
const MAX_LINES: u32 = 2_000;
/// The length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The size in bytes at which a batch of lines is written.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// The most bytes of one write; some readers of standard output keep no more than 8 KiB of one.
const MAX_WRITE_BYTES: usize = 4 << 10;
/// How long lines are collected before they are written in one batch.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// The number of attempts to queue the stop message of the log while the queue is full.
const SHUTDOWN_TRIES: u32 = 100;
/// The delay between two of these attempts.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(5);

/// A message to the thread that writes lines.
enum Message {
    Line(Vec<u8>),
    Stop,
}

/// The lines that a module has written and those that were dropped in its present window.
#[derive(Debug)]
struct Count {
    from: Instant,
    lines: u32,
    dropped: u64,
}

/// Limits the lines of each module per window.
#[derive(Debug, Default)]
pub struct LineLimit {
    counts: BTreeMap<Box<str>, Count>,
}

impl LineLimit {
    /// Counts a line of a module; returns whether it is to be written, and at the first line of a
    /// window how many lines were dropped in the previous one.
    pub fn admit(&mut self, module: &str, now: Instant) -> (bool, u64) {
        let fresh = || Count { from: now, lines: 0, dropped: 0 };
        if !self.counts.contains_key(module) {
            self.counts.insert(module.into(), fresh());
        }
        let Some(count) = self.counts.get_mut(module) else { return (true, 0) };
        let mut before = 0;
        if now.duration_since(count.from) >= WINDOW {
            before = count.dropped;
            *count = fresh();
        }
        if count.lines >= MAX_LINES {
            count.dropped += 1;
            return (false, before);
        }
        count.lines += 1;
        (true, before)
    }
}

/// A log writer that sends lines to a writing thread through a bounded queue.
pub struct LineWriter {
    queue: SyncSender<Message>,
    format: FormatFunction,
    limit: Mutex<LineLimit>,
    /// The number of dropped lines that no log line has reported yet.
    dropped: AtomicU64,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl LineWriter {
    /// Starts the thread that writes to standard output.
    pub fn start(format: FormatFunction) -> eyre::Result<LineWriter> {
        LineWriter::start_to(format, std::io::stdout())
    }

    /// Starts the thread that writes to the given output.
    pub fn start_to(
        format: FormatFunction,
        output: impl Write + Send + 'static,
    ) -> eyre::Result<LineWriter> {
        let (queue, lines) = sync_channel(MAX_WAITING);
        let thread = std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&lines, output))
            .wrap_err("start log thread")?;
        Ok(LineWriter {
            queue,
            format,
            limit: Mutex::default(),
            dropped: AtomicU64::new(0),
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Queues a line; returns false if the queue is full or closed.
    fn send(&self, line: Vec<u8>) -> bool {
        match self.queue.try_send(Message::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Queues a line that reports the dropped lines; returns whether none remain unreported.
    fn report_dropped(&self) -> bool {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut now = DeferredNow::new();
        let reported = dropped == 0
            || self.queue_notice(&mut now, "all", dropped, "standard output was not read");
        if !reported {
            // The count is reported before the next line that can be queued.
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        reported
    }

    /// Queues a line that reports a number of dropped lines; returns whether it was queued.
    fn queue_notice(&self, now: &mut DeferredNow, module: &str, dropped: u64, why: &str) -> bool {
        let time = now.format_rfc3339();
        let line = format!(
            "time={time} level=warn module=dotterelpin::report step=log left_out={dropped} \
             of={module} why=\"{why}\"\n"
        );
        self.send(line.into_bytes())
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        let module = record.module_path().unwrap_or("main");
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let (admitted, before) = limit.admit(module, Instant::now());
        drop(limit);
        if before > 0 && !self.queue_notice(now, module, before, "too many lines in a second") {
            self.dropped.fetch_add(before, Ordering::Relaxed);
        }
        if !admitted {
            return Ok(());
        }
        self.report_dropped();
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if !self.send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn shutdown(&self) {
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        // The attempts are bounded, so that a blocked output can't delay the end of the process for
        // long.
        let ended = (0..SHUTDOWN_TRIES).any(|_| {
            let done = self.report_dropped() && self.queue.try_send(Message::Stop).is_ok();
            if !done {
                std::thread::sleep(SHUTDOWN_DELAY);
            }
            done
        });
        if ended
            && let Some(thread) = thread
            && thread.join().is_err()
        {
            eprintln!("error: the log thread has panicked; log lines may be missing");
        }
    }
}

/// Writes lines in batches until it receives the stop message.
fn write_lines(lines: &Receiver<Message>, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        let mut next = Some(first);
        let mut stopping = false;
        if matches!(next, Some(Message::Line(_))) {
            std::thread::sleep(GATHER_TIME);
        }
        while let Some(message) = next {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Stop => stopping = true,
            }
            next = (batch.len() < MAX_BATCH_BYTES).then(|| lines.try_recv().ok()).flatten();
        }
        // A failed write ends the thread silently, because there is no other place to report it.
        if write_batch(&batch, &mut output).is_err() || stopping {
            return;
        }
        batch.clear();
    }
}

/// Writes a batch in writes of whole lines, each of at most [`MAX_WRITE_BYTES`] unless one line is
/// longer.
fn write_batch(batch: &[u8], output: &mut impl Write) -> std::io::Result<()> {
    let mut rest = batch;
    while !rest.is_empty() {
        let (part, next) = rest.split_at(whole_lines(rest));
        output.write_all(part)?;
        output.flush()?;
        rest = next;
    }
    Ok(())
}

/// Returns how many bytes of a batch the next write takes: whole lines, as many as fit.
fn whole_lines(batch: &[u8]) -> usize {
    let line_end = |byte: &u8| *byte == b'\n';
    let Some((first, rest)) = batch.split_at_checked(MAX_WRITE_BYTES) else { return batch.len() };
    match first.iter().rposition(line_end) {
        Some(last) => last + 1,
        // The first line alone is longer than a write should be.
        None => rest.iter().position(line_end).map_or(batch.len(), |at| first.len() + at + 1),
    }
}
