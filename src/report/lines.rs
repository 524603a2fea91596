//! Log lines on standard output, bounded in number and memory, without ever blocking who logs.

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

/// Lines that may wait for standard output.
const MAX_WAITING: usize = 8_192;
/// Lines of one module in a window; what is above is counted and left out.
const MAX_LINES: u32 = 2_000;
/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The most bytes that are written at once.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// How long lines are gathered before they are written together.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// How often the end of the log is tried where the queue is full.
const SHUTDOWN_TRIES: u32 = 100;
/// The pause between two of these tries.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(5);

/// What goes to the thread that writes.
enum Message {
    Line(Vec<u8>),
    Stop,
}

/// How many lines a module has written in its window, and how many were left out.
#[derive(Debug)]
struct Count {
    from: Instant,
    lines: u32,
    left_out: u64,
}

/// Bounds the lines of each module in a window.
#[derive(Debug, Default)]
pub struct LineLimit {
    counts: BTreeMap<Box<str>, Count>,
}

impl LineLimit {
    /// Counts a line of a module; returns whether it is written, and how many of the window before
    /// were left out.
    pub fn admit(&mut self, module: &str, now: Instant) -> (bool, u64) {
        let fresh = || Count { from: now, lines: 0, left_out: 0 };
        if !self.counts.contains_key(module) {
            self.counts.insert(module.into(), fresh());
        }
        let Some(count) = self.counts.get_mut(module) else { return (true, 0) };
        let mut before = 0;
        if now.duration_since(count.from) >= WINDOW {
            before = count.left_out;
            *count = fresh();
        }
        if count.lines >= MAX_LINES {
            count.left_out += 1;
            return (false, before);
        }
        count.lines += 1;
        (true, before)
    }
}

/// Writes lines through a bounded queue.
pub struct LineWriter {
    queue: SyncSender<Message>,
    format: FormatFunction,
    limit: Mutex<LineLimit>,
    /// Lines that found the queue full.
    dropped: AtomicU64,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl LineWriter {
    /// Starts the thread that writes to standard output.
    pub fn start(format: FormatFunction) -> eyre::Result<LineWriter> {
        LineWriter::start_to(format, std::io::stdout())
    }

    /// Starts the thread that writes to an output.
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

    /// Queues a line; returns whether there was room.
    fn send(&self, line: Vec<u8>) -> bool {
        match self.queue.try_send(Message::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Tells how many lines found no room; returns whether nothing is left to tell.
    fn report_dropped(&self) -> bool {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut now = DeferredNow::new();
        let reported = dropped == 0
            || self.queue_notice(&mut now, "all", dropped, "standard output was not read");
        if !reported {
            // It is told with the next line that finds room.
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        reported
    }

    /// Queues a line on what was left out; returns whether there was room.
    fn queue_notice(&self, now: &mut DeferredNow, module: &str, lost: u64, why: &str) -> bool {
        let time = now.format_rfc3339();
        let line = format!(
            "time={time} level=warn module=dotterelpin::report step=log left_out={lost} \
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
        // An output that is not read does not hold up the end of the process.
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
            eprintln!("error: the log thread has panicked");
        }
    }
}

/// Writes lines together until it is told to stop.
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
        // There is no other place to tell that the log can't be written.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() || stopping {
            return;
        }
        batch.clear();
    }
}
