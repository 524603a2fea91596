//! The daemon.

use std::process::ExitCode;

use argh::FromArgs;
use dotterelpin::cli::daemon;
use dotterelpin::cli::settings::{DaemonArgs, Settings};
use dotterelpin::report::start_log;

/// The exit code for settings that are wrong.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match DaemonArgs::from_args(&["dotterelpind"], words.get(1..).unwrap_or_default()) {
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
    let args = args.with_environment(|name| std::env::var(name).ok());
    let checked = Settings::try_from(args).and_then(|s| s.check_files().map(|()| s));
    let settings = match checked {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let result = start_log(&settings.log, settings.format).and_then(|_log| daemon::run(settings));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
