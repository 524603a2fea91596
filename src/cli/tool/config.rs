//! Shows and changes the configuration, and watches a change come into force.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::eyre;
use serde_json::json;

use super::client::Client;
use super::{Failure, ToolError, announce_id, author};
use crate::control::config::{Change, Edit, Exception, Scope};
use crate::control::state::{Applied, ChangeReply, Command};
use crate::link::message::Status;
use crate::model::Revision;

/// How often `config watch` fetches the status.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Shows and changes the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// what to do
    #[argh(subcommand)]
    pub task: ConfigTask,
}

/// The subcommands of `config`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigTask {
    /// Show the configuration.
    Show(ShowArgs),
    /// Set a default.
    Set(SetArgs),
    /// Add an exception.
    Except(ExceptArgs),
    /// Drop an exception.
    Drop(DropArgs),
    /// Show the last accepted changes.
    History(HistoryArgs),
    /// Wait until all processes have a revision in force.
    Watch(WatchArgs),
}

/// Shows the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {}

/// Shows the last accepted changes, oldest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

/// Sets a default for the whole fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetArgs {
    /// the setting
    #[argh(positional)]
    pub name: String,
    /// the value
    #[argh(positional)]
    pub value: String,
    /// author; DOTTERELPIN_AUTHOR or USER if not given
    #[argh(option)]
    pub author: Option<String>,
    /// revision that the change is based on; the newest if not given
    #[argh(option)]
    pub base: Option<u64>,
    /// id of the change, to send the same change again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Adds an exception with a written reason.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "except")]
pub struct ExceptArgs {
    /// what it applies to: tenant:NAME, pool:NAME or class:NAME
    #[argh(positional)]
    pub scope: String,
    /// the setting
    #[argh(positional)]
    pub name: String,
    /// the value
    #[argh(positional)]
    pub value: String,
    /// author; DOTTERELPIN_AUTHOR or USER if not given
    #[argh(option)]
    pub author: Option<String>,
    /// reason for the exception
    #[argh(option)]
    pub reason: String,
    /// revision that the change is based on; the newest if not given
    #[argh(option)]
    pub base: Option<u64>,
    /// id of the change, to send the same change again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Drops an exception.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drop")]
pub struct DropArgs {
    /// what it applies to: tenant:NAME, pool:NAME or class:NAME
    #[argh(positional)]
    pub scope: String,
    /// the setting
    #[argh(positional)]
    pub name: String,
    /// author; DOTTERELPIN_AUTHOR or USER if not given
    #[argh(option)]
    pub author: Option<String>,
    /// revision that the change is based on; the newest if not given
    #[argh(option)]
    pub base: Option<u64>,
    /// id of the change, to send the same change again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Waits until all live processes have a revision in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// the revision; the newest if not given
    #[argh(option)]
    pub revision: Option<u64>,
    /// seconds to wait
    #[argh(option, default = "8")]
    pub timeout: u64,
}

/// The author, the base revision and the id of a change, as given by flags.
struct ChangeSource<'a> {
    author: &'a Option<String>,
    base: Option<u64>,
    id: &'a Option<String>,
}

/// Runs a subcommand of `config`.
pub fn run(client: &Client, args: &ConfigArgs, json: bool) -> Result<(), ToolError> {
    match &args.task {
        ConfigTask::Show(_) => print_config(&client.status()?, json),
        ConfigTask::History(_) => print_history(&client.status()?, json),
        ConfigTask::Watch(watch) => self::watch(client, watch, json),
        ConfigTask::Set(set) => {
            let edit = Edit::Set { name: text(&set.name), value: text(&set.value) };
            let source = ChangeSource { author: &set.author, base: set.base, id: &set.id };
            change(client, edit, source, json)
        }
        ConfigTask::Except(except) => {
            let exception = Exception {
                value: text(&except.value),
                author: author(&except.author)?.into(),
                reason: text(&except.reason),
            };
            let edit =
                Edit::Except { scope: scope(&except.scope)?, name: text(&except.name), exception };
            let source = ChangeSource { author: &except.author, base: except.base, id: &except.id };
            change(client, edit, source, json)
        }
        ConfigTask::Drop(drop) => {
            let edit = Edit::Drop { scope: scope(&drop.scope)?, name: text(&drop.name) };
            let source = ChangeSource { author: &drop.author, base: drop.base, id: &drop.id };
            change(client, edit, source, json)
        }
    }
}

fn text(text: &str) -> Box<str> {
    text.into()
}

fn scope(text: &str) -> Result<Scope, ToolError> {
    text.parse().map_err(|e| ToolError::new(Failure::Usage, e))
}

fn change(client: &Client, edit: Edit, source: ChangeSource, json: bool) -> Result<(), ToolError> {
    let author = author(source.author)?;
    let base = match source.base {
        Some(base) => Revision(base),
        None => client.status()?.config.revision,
    };
    let id = announce_id(source.id, &author, &format!(" --base {base}"));
    let change = Change { id: id.as_str().into(), base, author: author.into(), edit };
    let reply = client.propose(Command::Change(change)).map_err(|error| {
        let hint = format!(
            "the result is unknown: send the same change again with --id {id} --base {base}"
        );
        if error.failure == Failure::Refused { error } else { error.hint(hint) }
    })?;
    match reply {
        Applied::Changed(ChangeReply::Accepted(revision)) => {
            if json {
                println!("{}", json!({ "revision": revision.0, "id": id }));
            } else {
                println!("accepted: revision {revision}, change {id}");
            }
            Ok(())
        }
        Applied::Changed(ChangeReply::Conflict { current, winner }) => {
            let winner = winner.map_or_else(String::new, |w| format!(": {}", describe(&w)));
            let error = eyre!(
                "refused: the revision is {current}, not {base}; another change was first{winner}"
            );
            let error = ToolError::new(Failure::Refused, error);
            Err(error.hint(
                "check `dotterelpin config show`, then send the change again with a new --id",
            ))
        }
        Applied::Changed(ChangeReply::Refused(why)) => {
            Err(ToolError::new(Failure::Refused, eyre!("refused: {why}")))
        }
        other => Err(eyre!("control answered {other:?} to a change").into()),
    }
}

fn describe(change: &Change) -> String {
    let edit = match &change.edit {
        Edit::Set { name, value } => format!("set {name} = {value}"),
        Edit::Except { scope, name, exception } => {
            format!("except {scope} {name} = {} (reason: {})", exception.value, exception.reason)
        }
        Edit::Drop { scope, name } => format!("drop {scope} {name}"),
    };
    format!("{edit} by {} as {}", change.author, change.id)
}

fn print_history(status: &Status, json: bool) -> Result<(), ToolError> {
    for change in &status.history {
        let revision = Revision(change.base.0 + 1);
        if json {
            let line = json!({
                "revision": revision.0, "id": change.id, "author": change.author,
                "edit": format!("{:?}", change.edit),
            });
            println!("{line}");
        } else {
            println!("revision {revision}: {}", describe(change));
        }
    }
    Ok(())
}

/// Prints each process once it has the revision in force, until all have or the time is over.
fn watch(client: &Client, args: &WatchArgs, json: bool) -> Result<(), ToolError> {
    let start = Instant::now();
    let until = start + Duration::from_secs(args.timeout);
    let target = match args.revision {
        Some(revision) => Revision(revision),
        None => client.status()?.config.revision,
    };
    let mut seen = BTreeSet::new();
    loop {
        let status = client.status()?;
        let mut behind = Vec::new();
        for (process, _) in &status.processes {
            let name = format!("{} ({})", process.name, process.role);
            if process.revised.revision < target {
                behind.push(format!("{name} at {}", process.revised.revision));
            } else if seen.insert(name.clone()) {
                let after = start.elapsed().as_millis() as u64;
                if json {
                    let line = json!({
                        "process": process.name, "role": process.role, "after_ms": after,
                        "revision": process.revised.revision.0,
                    });
                    println!("{line}");
                } else {
                    println!("in force: {} {name} after {after} ms", process.revised);
                }
            }
        }
        if behind.is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            let error = eyre!("revision {target} is not in force at {}", behind.join(", "));
            let error = ToolError::new(Failure::Failed, error);
            return Err(error.hint("search the logs of these processes for step=config"));
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn print_config(status: &Status, json: bool) -> Result<(), ToolError> {
    let config = &status.config;
    if json {
        let exceptions: Vec<_> = config
            .exceptions
            .iter()
            .map(|((scope, name), e)| {
                json!({ "scope": scope.to_string(), "name": name, "value": e.value,
                        "author": e.author, "reason": e.reason })
            })
            .collect();
        let line = json!({
            "revision": config.revision.0, "defaults": config.defaults, "exceptions": exceptions,
        });
        println!("{line}");
        return Ok(());
    }
    println!("revision {}", config.revised());
    for (name, value) in &config.defaults {
        println!("default {name} = {value}");
    }
    for ((scope, name), e) in &config.exceptions {
        println!("exception {scope} {name} = {} ({}: {})", e.value, e.author, e.reason);
    }
    Ok(())
}
