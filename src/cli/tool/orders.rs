//! Orders to endpoints: drain, load, role and rollout.

use argh::FromArgs;
use eyre::eyre;
use serde_json::json;

use super::client::Client;
use super::{Failure, ToolError, announce_id, author};
use crate::control::orders::rollout::RolloutCommand;
use crate::control::orders::{OrderCommand, OrderReply, Target};
use crate::control::state::{Applied, Command};
use crate::link::message::Order;
use crate::model::{EndpointKind, Timestamp};

/// Takes endpoints out of use: they accept no new work and finish the work that they have.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the endpoint, or pool:NAME
    #[argh(positional)]
    pub target: String,
    /// author; DOTTERELPIN_AUTHOR or USER if not given
    #[argh(option)]
    pub author: Option<String>,
    /// id of the order, to send the same order again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Takes endpoints into use again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
    /// the endpoint, or pool:NAME
    #[argh(positional)]
    pub target: String,
    /// author; DOTTERELPIN_AUTHOR or USER if not given
    #[argh(option)]
    pub author: Option<String>,
    /// id of the order, to send the same order again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Orders endpoints to load something or to change their role.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "order")]
pub struct OrderArgs {
    /// the endpoint, or pool:NAME
    #[argh(positional)]
    pub target: String,
    /// load or role
    #[argh(positional)]
    pub what: String,
    /// what to load, such as model:cs-summary@7, or the role: prefill or decode
    #[argh(positional)]
    pub value: String,
    /// author; DOTTERELPIN_AUTHOR or USER if not given
    #[argh(option)]
    pub author: Option<String>,
    /// id of the order, to send the same order again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Loads something at all endpoints of a pool, a few at a time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct RolloutArgs {
    /// the pool
    #[argh(positional)]
    pub pool: String,
    /// what to load, such as model:cs-summary@7; naming the previous one rolls back
    #[argh(positional)]
    pub artifact: String,
    /// endpoints of each kind that accept work at any time
    #[argh(option, default = "1")]
    pub floor: u32,
    /// endpoints that load at the same time
    #[argh(option, default = "1")]
    pub parallel: u32,
    /// author; DOTTERELPIN_AUTHOR or USER if not given
    #[argh(option)]
    pub author: Option<String>,
    /// id of the rollout, to send the same rollout again safely
    #[argh(option)]
    pub id: Option<String>,
}

/// Sends an order to drain endpoints.
pub fn drain(client: &Client, args: &DrainArgs, json: bool) -> Result<(), ToolError> {
    let target = target(&args.target)?;
    send_order(client, target, Order::Drain, &args.author, &args.id, json)
}

/// Sends an order to end a drain.
pub fn undrain(client: &Client, args: &UndrainArgs, json: bool) -> Result<(), ToolError> {
    let target = target(&args.target)?;
    send_order(client, target, Order::Undrain, &args.author, &args.id, json)
}

/// Sends an order to load an artifact or to change the role.
pub fn order(client: &Client, args: &OrderArgs, json: bool) -> Result<(), ToolError> {
    let order = match (args.what.as_str(), args.value.as_str()) {
        ("load", artifact) => Order::Load { artifact: artifact.into() },
        ("role", "prefill") => Order::Role { kind: EndpointKind::Prefill },
        ("role", "decode") => Order::Role { kind: EndpointKind::Decode },
        ("role", value) => return Err(usage(format!("role {value:?} is not prefill or decode"))),
        (what, _) => return Err(usage(format!("order {what:?} is not load or role"))),
    };
    send_order(client, target(&args.target)?, order, &args.author, &args.id, json)
}

/// Starts a rollout in a pool.
pub fn rollout(client: &Client, args: &RolloutArgs, json: bool) -> Result<(), ToolError> {
    let author = author(&args.author)?;
    let id = announce_id(&args.id, &author, "");
    let command = Command::Rollout(RolloutCommand {
        id: id.as_str().into(),
        author: author.into(),
        at: Timestamp::from_system(),
        pool: args.pool.as_str().into(),
        artifact: args.artifact.as_str().into(),
        floor: args.floor,
        parallel: args.parallel,
    });
    send(client, command, &id, json)
}

fn usage(text: String) -> ToolError {
    ToolError::new(Failure::Usage, eyre!(text))
}

/// Parses a target; a name without a prefix is that of an endpoint.
fn target(text: &str) -> Result<Target, ToolError> {
    if text.contains(':') {
        return text.parse().map_err(|e| ToolError::new(Failure::Usage, e));
    }
    Ok(Target::Endpoint(text.into()))
}

fn send_order(
    client: &Client,
    target: Target,
    order: Order,
    by: &Option<String>,
    id: &Option<String>,
    json: bool,
) -> Result<(), ToolError> {
    let author = author(by)?;
    if let Target::Endpoint(name) = &target {
        let known = client.status()?.endpoints.iter().any(|e| e.name == *name);
        if !known {
            eprintln!(
                "note: no live endpoint has the name {name}; the order applies once it appears"
            );
        }
    }
    let id = announce_id(id, &author, "");
    let command = Command::Order(OrderCommand {
        id: id.as_str().into(),
        author: author.into(),
        at: Timestamp::from_system(),
        target,
        order,
    });
    send(client, command, &id, json)
}

fn send(client: &Client, command: Command, id: &str, json: bool) -> Result<(), ToolError> {
    let reply = client.propose(command).map_err(|error| {
        let hint = format!("the result is unknown: send the same order again with --id {id}");
        if error.failure == Failure::Refused { error } else { error.hint(hint) }
    })?;
    match reply {
        Applied::Ordered(OrderReply::Accepted(fence)) if json => {
            println!("{}", json!({ "fence": fence.0, "id": id }));
            Ok(())
        }
        Applied::Ordered(OrderReply::Accepted(fence)) => {
            println!(
                "accepted: number {fence}, order {id}; `dotterelpin endpoints` shows progress"
            );
            Ok(())
        }
        Applied::Ordered(OrderReply::Refused(why)) => {
            Err(ToolError::new(Failure::Refused, eyre!("refused: {why}")))
        }
        other => Err(eyre!("control answered {other:?} to an order").into()),
    }
}
