//! The operators' tool: one file for each group of subcommands.

mod check;
mod client;
mod config;
mod exit;
mod keys;
mod orders;
mod quarantine;
mod status;

use argh::FromArgs;
use eyre::eyre;

pub use exit::{Failure, ToolError};

use client::Client;

/// Shows and controls a fleet of dotterelpin processes.
///
/// Exit codes: 0 done, 1 failed, 2 invalid use, 3 refused, 4 not reached or result unknown.
#[derive(Debug, FromArgs)]
pub struct ToolArgs {
    /// addresses of control members, separated by commas (DOTTERELPIN_MEMBERS)
    #[argh(option)]
    pub members: Option<String>,
    /// folder of the fleet key (DOTTERELPIN_KEYS)
    #[argh(option)]
    pub keys: Option<String>,
    /// print JSON for programs
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub task: Task,
}

/// The subcommands of the tool.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Task {
    /// Create keys and credentials.
    Keys(keys::KeysArgs),
    /// Check settings or a configuration without starting anything.
    Check(check::CheckArgs),
    /// Show processes, endpoints and rollouts.
    Status(status::StatusArgs),
    /// Show and change the configuration.
    Config(config::ConfigArgs),
    /// Show endpoints with their orders.
    Endpoints(status::EndpointsArgs),
    /// Take endpoints out of use.
    Drain(orders::DrainArgs),
    /// Take endpoints into use again.
    Undrain(orders::UndrainArgs),
    /// Order endpoints to load something or to change their role.
    Order(orders::OrderArgs),
    /// Load something at all endpoints of a pool, a few at a time.
    Rollout(orders::RolloutArgs),
    /// Show and clear contents under suspicion.
    Quarantine(quarantine::QuarantineArgs),
}

/// Runs the tool.
pub fn run(args: ToolArgs) -> Result<(), ToolError> {
    let client = || Client::new(&args);
    let json = args.json;
    match &args.task {
        Task::Keys(keys) => keys::run(keys, json),
        Task::Check(check) => check::run(check, json),
        Task::Status(_) => status::print_status(&client()?.status()?, json),
        Task::Config(config) => config::run(&client()?, config, json),
        Task::Endpoints(_) => status::print_endpoints(&client()?.status()?, json),
        Task::Drain(drain) => orders::drain(&client()?, drain, json),
        Task::Undrain(undrain) => orders::undrain(&client()?, undrain, json),
        Task::Order(order) => orders::order(&client()?, order, json),
        Task::Rollout(rollout) => orders::rollout(&client()?, rollout, json),
        Task::Quarantine(quarantine) => quarantine::run(&client()?, quarantine, json),
    }
}

/// Returns the author of a command: the flag, DOTTERELPIN_AUTHOR or USER.
fn author(flag: &Option<String>) -> Result<String, ToolError> {
    let given = flag.clone();
    let given = given.or_else(|| std::env::var("DOTTERELPIN_AUTHOR").ok());
    let given = given.or_else(|| std::env::var("USER").ok());
    given.filter(|a| !a.trim().is_empty()).ok_or_else(|| {
        let error = eyre!("--author: missing, and neither DOTTERELPIN_AUTHOR nor USER is set");
        ToolError::new(Failure::Usage, error)
    })
}

/// Returns the id of a command, and prints it before anything is sent, so that the command can be
/// sent again safely in any case.
fn announce_id(flag: &Option<String>, author: &str, resend: &str) -> String {
    let made = || format!("{author}-{}", crate::model::Timestamp::from_system().as_micros());
    let id = flag.clone().unwrap_or_else(made);
    eprintln!("sending {id}; to send it again safely, add --id {id}{resend}");
    id
}
