//! Prints a control member's view of processes, endpoints and rollouts.

use argh::FromArgs;
use serde_json::{Value, json};

use super::ToolError;
use crate::link::message::{OrderStatus, Status};
use crate::model::EndpointState;

/// Shows processes, endpoints and rollouts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Shows endpoints with their orders.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub struct EndpointsArgs {}

/// Prints the full status, or one JSON object.
pub fn print_status(status: &Status, json: bool) -> Result<(), ToolError> {
    if json {
        println!("{}", status_json(status));
        return Ok(());
    }
    println!("member {} leader {}", status.member, status.leader.as_deref().unwrap_or("unknown"));
    println!("configuration {}", status.config.revised());
    for (process, age) in &status.processes {
        println!(
            "process {} role {} domain {} revision {} heard {} ms ago",
            process.name,
            process.role,
            process.domain,
            process.revised,
            age.as_millis()
        );
    }
    print_endpoints(status, false)?;
    for rollout in &status.rollouts {
        let stopped = rollout.stopped.as_ref().map_or(String::new(), |s| format!(" stopped: {s}"));
        let command = &rollout.command;
        println!(
            "rollout {} pool {} artifact {} floor {} parallel {}{stopped}",
            rollout.number, command.pool, command.artifact, command.floor, command.parallel
        );
    }
    println!("causes in quarantine {}", status.quarantine.len());
    for account in &status.accounts {
        let units = |thousandths: u64| thousandths / 1_000;
        println!(
            "account {} rate {} bucket {} level {} held {} gateways {}",
            account.account,
            units(account.limit.rate),
            units(account.limit.size),
            account.level / 1_000,
            units(account.held),
            account.gateways
        );
    }
    Ok(())
}

fn status_json(status: &Status) -> Value {
    let processes: Vec<Value> = status
        .processes
        .iter()
        .map(|(p, age)| {
            json!({
                "name": p.name, "role": p.role, "domain": p.domain,
                "revision": p.revised.revision.0, "age_ms": age.as_millis() as u64,
            })
        })
        .collect();
    json!({
        "member": status.member,
        "leader": status.leader,
        "revision": status.config.revision.0,
        "processes": processes,
        "endpoints": status.endpoints,
        "orders": status.orders,
        "rollouts": status.rollouts,
        "quarantine": status.quarantine.len(),
        "accounts": status.accounts,
    })
}

/// Prints each endpoint with its orders and the progress that its agent reports.
pub fn print_endpoints(status: &Status, json: bool) -> Result<(), ToolError> {
    for endpoint in &status.endpoints {
        let orders = status.orders.iter().find(|o| o.endpoint == endpoint.name);
        if json {
            println!("{}", json!({ "endpoint": endpoint, "orders": orders }));
        } else {
            println!("{}{}", describe(endpoint), orders.map_or(String::new(), describe_orders));
        }
    }
    Ok(())
}

fn describe(endpoint: &EndpointState) -> String {
    format!(
        "endpoint {} {} pool {} domain {} slots {}/{} pieces {}/{}{}",
        endpoint.name,
        endpoint.kind.as_str(),
        endpoint.pool,
        endpoint.domain,
        endpoint.load.slots,
        endpoint.capacity.slots,
        endpoint.load.pieces,
        endpoint.capacity.pieces,
        if endpoint.draining { " draining" } else { "" }
    )
}

fn describe_orders(orders: &OrderStatus) -> String {
    let (desired, report) = (&orders.desired, &orders.report);
    let name = |artifact: &Option<Box<str>>| artifact.as_deref().unwrap_or("none").to_string();
    let failed =
        report.failed.as_ref().map_or(String::new(), |(f, why)| format!(" failed {f}: {why}"));
    format!(
        " order {} carried out {} artifact {} wanted {}{failed}",
        desired.fence,
        report.fence,
        name(&report.artifact),
        name(&desired.artifact)
    )
}
