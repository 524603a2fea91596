//! Logs and the small pages of a process.

pub mod pages;

use eyre::WrapErr;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};

/// Starts the log on standard error, with one line of `key=value` for each event.
pub fn start_log(level: &str) -> eyre::Result<LoggerHandle> {
    Logger::try_with_str(level)
        .wrap_err("parse log level")?
        .format(line)
        .start()
        .wrap_err("start log")
}

fn line(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_ascii_lowercase();
    let module = record.module_path().unwrap_or("main");
    write!(writer, "time={time} level={level} module={module} {}", record.args())
}
