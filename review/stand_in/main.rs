//! Stand-ins of clients, runners, the operator and the platform for the scripts in `review/`.
//!
//! `stand-in CASE FOLDER` starts the project's own programs on loopback addresses, plays one case
//! and writes `record.txt` into the folder. It exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod client;
mod crash;
mod fleet;
mod http;
mod order;
mod record;
mod runner;
mod twice;
mod unasked;

use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match record::Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let played = match case.as_str() {
        "crash" => crash::play(&record, trouble),
        "order" => order::play(&record, trouble),
        "unasked" => unasked::play(&record, trouble),
        "twice" => twice::play(&record, trouble),
        other => Err(format!("no case {other}")),
    };
    let (code, text) = match played {
        Ok(Verdict::Held) => (0, "the rule held".to_string()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_string()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&format!("verdict: {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
