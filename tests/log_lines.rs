//! The log writer never blocks the threads that log, bounds its memory, and counts dropped lines.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use dotterelpin::report::lines::{LineLimit, LineWriter};
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;

/// An output whose writes block until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<GateState>, Condvar)>);

/// Whether the output is open, and the bytes written to it.
type GateState = (bool, Vec<u8>);

impl Gate {
    fn open(&self) {
        self.0.0.lock().unwrap().0 = true;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.0.lock().unwrap().1.clone()).unwrap()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut state = self.0.0.lock().unwrap();
        while !state.0 {
            state = self.0.1.wait(state).unwrap();
        }
        state.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn plain(
    out: &mut dyn Write,
    _now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    write!(out, "{}", record.args())
}

fn line(writer: &LineWriter, module: &str, number: usize) {
    let args = format_args!("line {number}").to_string();
    writer
        .write(
            &mut DeferredNow::new(),
            &log::Record::builder().args(format_args!("{args}")).module_path(Some(module)).build(),
        )
        .unwrap();
}

#[test]
fn lines_are_written_in_order_and_the_last_ones_before_shutdown() {
    let gate = Gate::default();
    gate.open();
    let writer = LineWriter::start_to(plain, gate.clone()).unwrap();
    (0..100).for_each(|n| line(&writer, "a", n));
    writer.shutdown();
    let expected: String = (0..100).map(|n| format!("line {n}\n")).collect();
    assert_eq!(gate.text(), expected);
}

/// An output that keeps the first 8 KiB of each write and loses the rest, as some readers do.
#[derive(Clone, Default)]
struct ShortReader(Arc<Mutex<Vec<u8>>>);

impl Write for ShortReader {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend(bytes.iter().take(8 << 10));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Fails if a burst of lines goes out in one write, of which some readers keep only the start.
#[test]
fn lines_of_a_burst_are_lost_by_a_reader_of_short_writes() {
    let output = ShortReader::default();
    let writer = LineWriter::start_to(plain, output.clone()).unwrap();
    (0..2_000).for_each(|n| line(&writer, "a", n));
    writer.shutdown();
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let expected: String = (0..2_000).map(|n| format!("line {n}\n")).collect();
    assert_eq!(text, expected);
}

#[test]
fn stalled_output_blocks_no_logger_and_lost_lines_are_counted() {
    let gate = Gate::default();
    let writer = LineWriter::start_to(plain, gate.clone()).unwrap();
    for module in 0..20 {
        (0..2_000).for_each(|n| line(&writer, &format!("m{module}"), n));
    }
    gate.open();
    let mut logged = 40_000;
    while !gate.text().contains("why=\"standard output was not read\"") {
        line(&writer, "after", logged);
        logged += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    writer.shutdown();
    let text = gate.text();
    let written = text.lines().filter(|l| l.starts_with("line")).count();
    let left_out = |l: &str| l.split("left_out=").nth(1)?.split(' ').next()?.parse::<usize>().ok();
    let lost: usize = text.lines().filter_map(left_out).sum();
    assert_eq!(written + lost, logged, "expected each line to be written or counted as dropped");
    // Kept lines are bounded by the queue, in lines, and by one batch, in bytes.
    let shortest = "line 0\n".len();
    let max_written = 8_192 + (64 << 10) / shortest + (logged - 40_000);
    assert!(written <= max_written, "expected at most {max_written} lines, got {written}");
}

#[test]
fn lines_over_the_limit_of_a_module_are_dropped_and_counted() {
    let mut limit = LineLimit::default();
    let start = Instant::now();
    let within = |n: u32| start + Duration::from_micros(u64::from(n) * 100);
    let written = (0..5_000).filter(|n| limit.admit("loud", within(*n)).0).count();
    assert_eq!(written, 2_000);
    assert_eq!(limit.admit("calm", within(5_000)), (true, 0));
    let later = start + Duration::from_millis(1_001);
    assert_eq!(limit.admit("loud", later), (true, 3_000));
    assert_eq!(limit.admit("loud", later), (true, 0));
}
