//! Stand-ins and scripts of the review's cases: `review-stand-in-3 CASE REPOSITORY RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod early_stop;
mod endless;
mod fields;
mod fleet;
mod head_case;
mod http;
mod record;
mod runner;
mod soak;
mod versions;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, repository, record] = &words[..] else {
        eprintln!("usage: review-stand-in-3 CASE REPOSITORY RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (repository, path) = (PathBuf::from(repository), PathBuf::from(record));
    let record = std::sync::Arc::new(record::Record::new());
    let result = match case.as_str() {
        "versions" => versions::run(&repository, &record, trouble),
        "stop" => early_stop::run(&repository, &record, trouble),
        "fields" => fields::run(&repository, &record, trouble),
        "soak" => soak::run(&repository, &record, trouble),
        "endless" => endless::run(&repository, &record, trouble),
        "head" => head_case::run(&repository, &record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match result {
        Ok(None) => (0, "the rule held".to_string()),
        Ok(Some(why)) => (1, format!("the rule was broken: {why}")),
        Err(why) => (2, format!("the case couldn't run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    if let Err(error) = record.write(&path) {
        eprintln!("{}: {error}", path.display());
        exit(2);
    }
    exit(code);
}
