//! The daemon that runs the roles of one process.

use std::process::ExitCode;

use dotterelpin::cli::start;

fn main() -> ExitCode {
    start::main("dotterelpind", || None)
}
