//! Reads the settings file again, and passes on the control members that it names.

use std::fmt;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use eyre::WrapErr;

use super::settings::{DaemonArgs, SettingsError};
use super::source::Source;

/// How often the settings file is read without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The settings of the control members, which take effect at once.
const MEMBER_SETTINGS: [&str; 2] = ["members", "members_port"];

/// What the last reading of the settings file has led to.
#[derive(Debug, PartialEq, Eq)]
pub enum Reading {
    /// The file is as it was when it was last read.
    Same,
    /// The file can't be read or is not valid; the settings stay as they were.
    Invalid(SettingsError),
    /// The settings have changed.
    Changed {
        /// The control members, if they are others than before.
        members: Option<Vec<SocketAddr>>,
        /// The names of other settings that have changed, which take effect at the next start.
        others: Vec<&'static str>,
    },
}

impl fmt::Display for Reading {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reading::Same => f.write_str("outcome=same"),
            Reading::Invalid(error) => {
                write!(f, "outcome=invalid error={:?}", error.0.join("; "))
            }
            Reading::Changed { members, others } => {
                let members = members.iter().flatten().map(SocketAddr::to_string);
                let members: Vec<String> = members.collect();
                write!(f, "outcome=changed members={}", joined(&members))?;
                write!(f, " at_restart={}", joined(others))
            }
        }
    }
}

fn joined<T: std::borrow::Borrow<str>>(words: &[T]) -> String {
    if words.is_empty() { "-".into() } else { words.join(",") }
}

/// The settings of a running process, and what its settings file last contained.
pub struct Reloader {
    source: Source,
    /// The last content that was read; `None` if the file could not be read.
    text: Option<String>,
    /// Why that content was refused, if it was.
    refused: Option<SettingsError>,
    /// The last valid settings.
    args: DaemonArgs,
    members: Vec<SocketAddr>,
}

impl Reloader {
    /// Takes what a process was started with: the text of its settings file and its members.
    ///
    /// Fails if the text is not valid.
    pub fn new(source: Source, text: String) -> Result<Reloader, SettingsError> {
        let args = source.args(&text)?;
        let members = source.check(&text)?.members;
        Ok(Reloader { source, text: Some(text), refused: None, args, members })
    }

    /// Reads the file, and checks it as at the start if it has changed, or if it was refused: a file
    /// that it names may be readable by now.
    pub fn read(&mut self) -> Reading {
        let read = self.source.read();
        let is_same = read.as_ref().ok() == self.text.as_ref();
        if is_same && self.refused.is_none() {
            return Reading::Same;
        }
        self.text = read.as_ref().ok().cloned();
        let before = self.refused.take();
        read.and_then(|text| self.apply(&text)).unwrap_or_else(|error| {
            let is_known = is_same && before.as_ref() == Some(&error);
            self.refused = Some(error.clone());
            if is_known { Reading::Same } else { Reading::Invalid(error) }
        })
    }

    fn apply(&mut self, text: &str) -> Result<Reading, SettingsError> {
        let members = self.source.check(text)?.members;
        let args = self.source.args(text)?;
        let others = self.args.changed_to(&args);
        let others = others.into_iter().filter(|name| !MEMBER_SETTINGS.contains(name)).collect();
        self.args = args;
        let changed = members != self.members;
        self.members = members.clone();
        Ok(Reading::Changed { members: changed.then_some(members), others })
    }
}

/// Starts the thread that reads the settings file at each signal, and once each `CHECK_INTERVAL`
/// without one, until the sender of signals is gone.
pub fn start(
    mut reloader: Reloader,
    signals: Receiver<()>,
    pass_on: impl Fn(Vec<SocketAddr>) + Send + 'static,
) -> eyre::Result<()> {
    let watch = move || {
        loop {
            let signal = match signals.recv_timeout(CHECK_INTERVAL) {
                Ok(()) => true,
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let reading = reloader.read();
            log_reading(signal, &reading);
            if let Reading::Changed { members: Some(members), .. } = reading {
                pass_on(members);
            }
        }
    };
    std::thread::Builder::new().name("settings".into()).spawn(watch).wrap_err("start thread")?;
    Ok(())
}

fn log_reading(signal: bool, reading: &Reading) {
    match reading {
        Reading::Same if !signal => {}
        Reading::Invalid(_) => log::error!("step=settings {reading} signal={signal}"),
        _ => log::info!("step=settings {reading} signal={signal}"),
    }
}
