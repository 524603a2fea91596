//! The `dotterelpin` command, with which operators show and control a fleet.

use std::process::ExitCode;

use dotterelpin::cli::tool::{self, Failure, ToolArgs};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let flags = words.get(1..).unwrap_or_default();
    let args = match <ToolArgs as argh::FromArgs>::from_args(&["dotterelpin"], flags) {
        Ok(args) => args,
        Err(exit) => {
            if exit.status.is_ok() {
                println!("{}", exit.output);
                return ExitCode::SUCCESS;
            }
            eprintln!("{}", exit.output);
            return ExitCode::from(Failure::Usage as u8);
        }
    };
    match tool::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.failure as u8)
        }
    }
}
