//! Checks of settings and configurations without starting anything.

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use serde::Deserialize;
use serde_json::{Value, json};

use super::super::settings::{DaemonArgs, Settings, SettingsError};
use super::{Failure, ToolError};
use crate::control::config::{Config, Edit, Exception};

/// Checks settings of a daemon, or a configuration file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// what to check
    #[argh(subcommand)]
    pub task: CheckTask,
}

/// The subcommands of `check`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CheckTask {
    /// Check flags and environment variables of a daemon.
    Settings(SettingsArgs),
    /// Check a configuration in the form of `config show --json`.
    Config(FileArgs),
}

/// Checks the flags of a daemon, with their environment variables and files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArgs {
    /// the daemon's flags, after two hyphens
    #[argh(positional, greedy)]
    pub flags: Vec<String>,
}

/// Checks a configuration file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct FileArgs {
    /// the file
    #[argh(positional)]
    pub file: String,
}

/// Runs the subcommand.
pub fn run(args: &CheckArgs, json: bool) -> Result<(), ToolError> {
    let errors = match &args.task {
        CheckTask::Settings(settings) => check_settings(&settings.flags)?,
        CheckTask::Config(file) => check_config(&file.file)?,
    };
    if json {
        println!("{}", json!({ "errors": errors }));
    }
    if errors.is_empty() {
        if !json {
            println!("no errors");
        }
        return Ok(());
    }
    Err(ToolError::new(Failure::Failed, eyre!(errors.join("\n"))))
}

fn check_settings(flags: &[String]) -> Result<Vec<String>, ToolError> {
    let flags: Vec<&str> = flags.iter().map(String::as_str).filter(|f| *f != "--").collect();
    let args = DaemonArgs::from_args(&["dotterelpind"], &flags)
        .map_err(|e| ToolError::new(Failure::Usage, eyre!(e.output)))?;
    let args = args.with_environment(|name| std::env::var(name).ok());
    let checked = Settings::try_from(args).and_then(|s| s.check_files());
    Ok(checked.err().map_or_else(Vec::new, |SettingsError(errors)| errors))
}

/// A configuration in the form that `config show --json` prints.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigFile {
    #[serde(default, rename = "revision")]
    _revision: u64,
    #[serde(default)]
    defaults: std::collections::BTreeMap<Box<str>, Value>,
    #[serde(default)]
    exceptions: Vec<ExceptionLine>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExceptionLine {
    scope: String,
    name: Box<str>,
    value: Value,
    author: Box<str>,
    reason: Box<str>,
}

fn check_config(file: &str) -> Result<Vec<String>, ToolError> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("read {file}"))?;
    let config: ConfigFile =
        serde_json::from_str(&text).wrap_err_with(|| format!("parse {file}"))?;
    let mut errors = Vec::new();
    for (name, value) in config.defaults {
        let edit = Edit::Set { name, value: value_text(&value) };
        check_edit(&mut errors, "defaults", &edit);
    }
    for line in config.exceptions {
        let scope = match line.scope.parse() {
            Ok(scope) => scope,
            Err(error) => {
                errors.push(format!("exceptions: {error:#}"));
                continue;
            }
        };
        let exception =
            Exception { value: value_text(&line.value), author: line.author, reason: line.reason };
        check_edit(&mut errors, &line.scope, &Edit::Except { scope, name: line.name, exception });
    }
    Ok(errors)
}

fn value_text(value: &Value) -> Box<str> {
    value.as_str().map_or_else(|| value.to_string().into(), Into::into)
}

fn check_edit(errors: &mut Vec<String>, place: &str, edit: &Edit) {
    if let Err(error) = Config::default().edited(edit) {
        errors.push(format!("{place}: {error:#}"));
    }
}
