//! Logs, metrics and the HTTP pages of a process.

pub mod clients;
mod factory;
pub mod lines;
pub mod metrics;
pub mod observation;
pub mod pages;

use eyre::WrapErr;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use lines::LineWriter;
use serde_json::{Map, Value};

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` with quotes where needed.
    Text,
    /// One JSON object for each line.
    Json,
}

/// Starts the log on standard output, with one line for each event.
pub fn start_log(level: &str, format: LogFormat) -> eyre::Result<LoggerHandle> {
    let line = match format {
        LogFormat::Text => text_line,
        LogFormat::Json => json_line,
    };
    // Libraries are limited to warnings, because they also log the causes of errors that this
    // program logs itself.
    let writer = LineWriter::start(line)?;
    Logger::try_with_str(format!("warn, dotterelpin={level}, dotterelpind={level}"))
        .wrap_err("parse log level")?
        .log_to_writer(Box::new(writer))
        .start()
        .wrap_err("start log")
}

fn text_line(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level().as_str().to_ascii_lowercase();
    let module = record.module_path().unwrap_or("main");
    // A line break inside a message would look like the start of another log line.
    let text = record.args().to_string().replace('\n', "\\n");
    write!(writer, "time={time} level={level} module={module} {text}")
}

fn json_line(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let mut line = Map::new();
    line.insert("time".into(), now.format_rfc3339().to_string().into());
    line.insert("level".into(), record.level().as_str().to_ascii_lowercase().into());
    line.insert("module".into(), record.module_path().unwrap_or("main").into());
    let rest = read_fields(&record.args().to_string(), &mut line);
    if !rest.is_empty() {
        line.insert("message".into(), rest.into());
    }
    write!(writer, "{}", Value::Object(line))
}

/// Moves the `key=value` fields of a line into `fields` and returns the remaining words.
fn read_fields(text: &str, fields: &mut Map<String, Value>) -> String {
    let mut words = Vec::new();
    let mut rest = text.trim_start();
    while !rest.is_empty() {
        let end = rest.find([' ', '=']).unwrap_or(rest.len());
        let is_field = end > 0 && rest[end..].starts_with('=');
        if !is_field {
            let end = rest.find(' ').unwrap_or(rest.len());
            words.push(&rest[..end]);
            rest = rest[end..].trim_start();
            continue;
        }
        let (key, value) = (&rest[..end], &rest[end + 1..]);
        let mut values = serde_json::Deserializer::from_str(value).into_iter::<String>();
        let quoted = value.starts_with('"').then(|| values.next().and_then(Result::ok)).flatten();
        let length = match &quoted {
            Some(_) => values.byte_offset(),
            None => value.find(' ').unwrap_or(value.len()),
        };
        let plain = quoted.unwrap_or_else(|| value[..length].to_string());
        fields.insert(key.into(), plain.into());
        rest = value[length..].trim_start();
    }
    words.join(" ")
}
