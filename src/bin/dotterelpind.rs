//! The daemon.

use std::process::ExitCode;

use dotterelpin::cli::daemon;
use dotterelpin::cli::settings::{DaemonArgs, Settings};
use dotterelpin::report::start_log;

/// The exit code for settings that are wrong.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    let args = args.with_environment(|name| std::env::var(name).ok());
    let settings = match Settings::try_from(args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let result = start_log(&settings.log).and_then(|_log| daemon::run(settings));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
