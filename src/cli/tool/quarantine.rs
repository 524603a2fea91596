//! What is in quarantine because it crashed endpoints.

use argh::FromArgs;
use eyre::eyre;
use serde_json::json;

use super::client::Client;
use super::{Failure, ToolError};
use crate::control::quarantine::{Cause, Entry, Stage};
use crate::control::state::Command;
use crate::model::Timestamp;

/// Shows what is in quarantine, or clears one cause.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArgs {
    /// cause to clear, such as part-5c1e..., so that calls with it run again
    #[argh(option)]
    pub clear: Option<String>,
}

/// Runs the subcommand.
pub fn run(client: &Client, args: &QuarantineArgs, json: bool) -> Result<(), ToolError> {
    let status = client.status()?;
    let Some(wanted) = &args.clear else {
        for (cause, entry) in &status.quarantine {
            print(*cause, entry, json);
        }
        return Ok(());
    };
    let found = status.quarantine.iter().find(|(cause, _)| cause.to_string() == *wanted);
    let Some((cause, _)) = found else {
        let error = ToolError::new(Failure::Refused, eyre!("{wanted} is not in quarantine"));
        return Err(error.hint("`dotterelpin quarantine` lists what is"));
    };
    client.propose(Command::Clear { cause: *cause })?;
    println!("cleared: {cause}");
    Ok(())
}

fn print(cause: Cause, entry: &Entry, json: bool) {
    let now = Timestamp::from_system();
    let left = match entry.stage {
        Stage::Refused { until } => Some((until - now).as_secs()),
        Stage::Probing | Stage::Suspected => None,
    };
    let crashes: Vec<String> = entry.crashes.iter().map(ToString::to_string).collect();
    if json {
        let line = json!({
            "cause": cause.to_string(),
            "verdicts": entry.verdicts,
            "crashes": crashes,
            "refused_s": left,
            "suspected": entry.stage == Stage::Suspected,
        });
        println!("{line}");
        return;
    }
    let state = match (left, entry.stage) {
        (Some(seconds), _) => format!("refused for {seconds} s more"),
        (None, Stage::Suspected) => "suspected, gets single probes".into(),
        (None, _) => "gets single probes".into(),
    };
    println!("{cause} {state}, blocked {} times, crashed {}", entry.verdicts, crashes.join(", "));
}
