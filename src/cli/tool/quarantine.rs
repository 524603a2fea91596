//! Contents suspected of crashing endpoints.

use argh::FromArgs;
use eyre::eyre;
use serde_json::json;

use super::client::Client;
use super::{Failure, ToolError};
use crate::control::quarantine::{Fingerprint, Suspect};
use crate::control::state::Command;
use crate::model::Timestamp;

/// Shows contents under suspicion, or clears one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArgs {
    /// fingerprint of the content to clear, so that it may run again
    #[argh(option)]
    pub clear: Option<String>,
}

/// Runs the subcommand.
pub fn run(client: &Client, args: &QuarantineArgs, json: bool) -> Result<(), ToolError> {
    let status = client.status()?;
    let Some(wanted) = &args.clear else {
        for (fingerprint, suspect) in &status.suspects {
            print(fingerprint, suspect, json);
        }
        return Ok(());
    };
    let found = status.suspects.iter().find(|(f, _)| f.to_string() == *wanted);
    let Some((fingerprint, _)) = found else {
        let error = eyre!("no content under suspicion has the fingerprint {wanted}");
        let error = ToolError::new(Failure::Refused, error);
        return Err(error.hint("`dotterelpin quarantine` lists them"));
    };
    client.propose(Command::Clear { fingerprint: *fingerprint })?;
    println!("cleared: {fingerprint}");
    Ok(())
}

fn print(fingerprint: &Fingerprint, suspect: &Suspect, json: bool) {
    let now = Timestamp::from_system();
    let left = suspect.until.filter(|u| *u > now).map(|u| (u - now).as_secs());
    let endpoints: Vec<&str> = suspect.crashes.iter().map(|(e, _)| &**e).collect();
    if json {
        let line = json!({
            "fingerprint": fingerprint.to_string(), "endpoints": endpoints, "refused_s": left,
        });
        println!("{line}");
        return;
    }
    let state = left.map_or("suspect".to_string(), |s| format!("refused for {s} s more"));
    println!("content {fingerprint} {state}, crashed {}", endpoints.join(", "));
}
