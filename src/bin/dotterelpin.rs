//! The operators' tool.

use std::process::ExitCode;

use dotterelpin::cli::tool;

fn main() -> ExitCode {
    match tool::run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
