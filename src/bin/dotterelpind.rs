//! The daemon.

use std::process::ExitCode;

use dotterelpin::cli::start;

fn main() -> ExitCode {
    start::main("dotterelpind", || None)
}
