//! Records the log lines of the test's thread, on which roles are stepped.

#![allow(dead_code)]

use std::cell::RefCell;
use std::sync::Once;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct ThreadLog;

impl log::Log for ThreadLog {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
        }
    }

    fn flush(&self) {}
}

/// Records the lines of this thread from now on.
pub fn record() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&ThreadLog).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.with_borrow_mut(Vec::clear);
}

/// Returns the lines of a step since [`record`].
pub fn lines(step: &str) -> Vec<String> {
    let start = format!("step={step} ");
    let of_step = |l: &&String| l.starts_with(&start);
    LINES.with_borrow(|lines| lines.iter().filter(of_step).cloned().collect())
}

/// Returns the only line of a step since [`record`].
pub fn line(step: &str) -> String {
    let found = lines(step);
    assert_eq!(found.len(), 1, "expected one line step={step}, found {found:?}");
    found[0].clone()
}

/// Returns the value of a field without quotes.
pub fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let start = format!(" {key}=");
    let (_, rest) = line.split_once(&start).unwrap_or_else(|| panic!("no {key} in: {line}"));
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap(),
        None => rest.split(' ').next().unwrap(),
    }
}

/// Returns the value of a field as a number.
pub fn number(line: &str, key: &str) -> u64 {
    value(line, key).parse().unwrap_or_else(|_| panic!("{key} is no number in: {line}"))
}
