//! The stand-ins of the cases 6 to 10: `review-2 CASE RECORD`. Without `TROUBLE=0` the disruption of the
//! case is played.

mod client;
mod engines;
mod fleet;
mod founding;
mod frozen;
mod http;
mod install;
mod origins;
mod reborn;
mod record;
mod runner;

use record::Record;

/// The exit codes.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const UNABLE: i32 = 2;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).is_some_and(|w| w == "runner") {
        std::process::exit(runner::run(&words[2..]));
    }
    let [_, case, path] = &words[..] else { std::process::exit(UNABLE) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(path);
    let code = match case.as_str() {
        "origins" => origins::run(&record, trouble),
        "frozen" => frozen::run(&record, trouble),
        "founding" => founding::run(&record, trouble),
        "reborn" => reborn::run(&record, trouble),
        "install" => install::run(&record, trouble),
        _ => UNABLE,
    };
    record.line(match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code);
}
