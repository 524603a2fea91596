//! The main function of daemons: parses the command line, checks the settings and runs the roles.

use std::path::Path;
use std::process::ExitCode;

use argh::FromArgs;

use super::daemon::{self, Protocols};
use super::settings::{DaemonArgs, Settings, SettingsError};
use crate::report::start_log;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Runs a daemon until it has stopped; `protocols` is called once the settings are checked.
pub fn main(program: &str, protocols: impl FnOnce() -> Option<Protocols>) -> ExitCode {
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
    let settings = match check_settings(args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let log = start_log(&settings.log, settings.format);
    match log.and_then(|_log| daemon::run(settings, protocols())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Completes the flags from the environment and then from the settings file, and checks all
/// settings. Flags take precedence over the environment, which takes precedence over the file.
fn check_settings(args: DaemonArgs) -> Result<Settings, SettingsError> {
    let mut args = args.with_environment(|name| std::env::var(name).ok());
    if let Some(path) = args.settings.clone() {
        args = args.with_file(&read(Path::new(&path))?)?;
    }
    Settings::try_from(args).and_then(|s| s.check_files().map(|()| s))
}

fn read(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |e: std::io::Error| format!("--settings: {}: {e}", path.display());
    std::fs::read_to_string(path).map_err(|e| SettingsError(vec![unreadable(e)]))
}
