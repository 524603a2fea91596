//! The main function of daemons: parses the command line, checks the settings and runs the roles.

use std::process::ExitCode;

use argh::FromArgs;

use super::daemon::{self, Protocols};
use super::reload::Reloader;
use super::settings::{DaemonArgs, Settings, SettingsError};
use super::source::Source;
use crate::report::start_log;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Runs a daemon until it has stopped; `protocols` is called once the settings are checked.
pub fn main(program: &str, protocols: impl FnOnce() -> Option<Protocols>) -> ExitCode {
    // A signal that arrives while the settings are read must not end the process; it is handled once
    // the roles run.
    let signals = match daemon::signals() {
        Ok(signals) => signals,
        Err(error) => return failure(&error),
    };
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match DaemonArgs::from_args(&[program], words.get(1..).unwrap_or_default()) {
        Ok(args) => args,
        Err(exit) => {
            if exit.status.is_ok() {
                println!("{}", exit.output);
                return ExitCode::SUCCESS;
            }
            eprintln!("{}", exit.output);
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let source = Source::new(args);
    let (settings, reloader) = match read_settings(source) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let log = start_log(&settings.log, settings.format);
    match log.and_then(|_log| daemon::run(settings, reloader, protocols(), signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

fn failure(error: &eyre::Report) -> ExitCode {
    eprintln!("error: {error:#}");
    ExitCode::FAILURE
}

/// Reads and checks all settings; what reads them again is returned with them, if there is a file.
fn read_settings(source: Source) -> Result<(Settings, Option<Reloader>), SettingsError> {
    let text = source.read()?;
    let settings = source.check(&text)?;
    let reloader = source.path().is_some().then(|| Reloader::new(source.clone(), text));
    Ok((settings, reloader.transpose()?))
}
