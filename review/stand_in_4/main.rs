//! Stand-ins for the cases of this folder's review: model runners, clients and an operator, and the
//! start of the project's own processes. It uses the standard library only.
//!
//! `stand-in-4 CASE FOLDER` plays a case and writes `record.txt` into the folder; it exits with 1 if
//! the rule was broken, with 0 if it held and with 2 if the case couldn't run. `stand-in-4 runner ...`
//! is one model runner.

mod cases;
mod fleet;
mod http;
mod runner;

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["runner", rest @ ..] => runner::main(rest),
        [case, folder] => cases::main(case, folder),
        _ => {
            eprintln!("usage: stand-in-4 CASE FOLDER");
            ExitCode::from(2)
        }
    }
}
