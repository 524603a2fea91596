//! Orders of operators to endpoints, fenced by their index in the log.

pub mod plan;
pub mod rollout;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use eyre::{ensure, eyre};
use serde::{Deserialize, Serialize};

use super::state::Command;
use crate::link::message::Order;
use crate::model::{EndpointKind, EndpointState, Fence, Timestamp};
use rollout::{Rollout, RolloutCommand, Rollouts, StepCommand};

/// The maximum number of change ids whose results are kept, so that a resend gets the first result.
const MAX_RESULTS: usize = 10_000;

/// The endpoints that an order applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Target {
    /// One endpoint.
    Endpoint(Box<str>),
    /// All endpoints of a pool, also those that join later.
    Pool(Box<str>),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Endpoint(name) => write!(f, "endpoint:{name}"),
            Target::Pool(name) => write!(f, "pool:{name}"),
        }
    }
}

impl FromStr for Target {
    type Err = eyre::Report;

    /// Parses `endpoint:NAME` or `pool:NAME`.
    ///
    /// ```
    /// use dotterelpin::control::orders::Target;
    ///
    /// let target: Target = "pool:cs-summary".parse().unwrap();
    /// assert_eq!(target, Target::Pool("cs-summary".into()));
    /// assert!("cs-summary".parse::<Target>().is_err());
    /// ```
    fn from_str(text: &str) -> eyre::Result<Target> {
        let (kind, name) = text
            .split_once(':')
            .ok_or_else(|| eyre!("target {text:?} is not of the form \"KIND:NAME\""))?;
        ensure!(!name.is_empty(), "target {text:?} has an empty name");
        match kind {
            "endpoint" => Ok(Target::Endpoint(name.into())),
            "pool" => Ok(Target::Pool(name.into())),
            _ => Err(eyre!("target {text:?} is unknown: expected endpoint: or pool:")),
        }
    }
}

/// An order of an operator; its fence is its index in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCommand {
    /// Identifies the order, so that a resend is recognised.
    pub id: Box<str>,
    /// The operator who gives the order.
    pub author: Box<str>,
    /// The time of the order by the operator's clock.
    pub at: Timestamp,
    /// The endpoints that the order applies to.
    pub target: Target,
    /// The order to carry out.
    pub order: Order,
}

/// The result of an order or a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// Accepted with this fence; it applies until one with a higher fence replaces it.
    Accepted(Fence),
    /// Invalid, with the reason.
    Refused(Box<str>),
}

/// The desired state of an endpoint, with the fence of the last order for it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Desired {
    /// The highest fence of the orders that apply to the endpoint; 0 without any.
    pub fence: Fence,
    /// The artifact that it is to load, if one was ordered.
    pub artifact: Option<Box<str>>,
    /// The role that it is to have, if one was ordered.
    pub kind: Option<EndpointKind>,
    /// Whether it is to accept no new work.
    pub draining: bool,
}

/// The orders of an endpoint that a member sends to its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderUpdate {
    /// The highest fence for the endpoint in the member's log, committed or not.
    pub mark: Fence,
    /// The state desired by the committed orders, if the agent has not reported its fence yet.
    pub desired: Option<Desired>,
}

/// The progress of the orders that an agent reports.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct OrderReport {
    /// The fence of the last order that was carried out.
    pub fence: Fence,
    /// The artifact that the endpoint has loaded, if the agent knows it.
    pub artifact: Option<Box<str>>,
    /// The fence of the order that failed permanently, and the reason.
    pub failed: Option<(Fence, Box<str>)>,
}

/// A desired value with the fence of the order that set it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Fenced<T> {
    fence: Fence,
    value: T,
}

/// The desired values for one target, with the fence of the last order for it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct TargetOrders {
    fence: Fence,
    artifact: Option<Fenced<Box<str>>>,
    kind: Option<Fenced<EndpointKind>>,
    draining: Option<Fenced<bool>>,
}

/// The combined effect of all orders and rollouts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Orders {
    targets: BTreeMap<Target, TargetOrders>,
    rollouts: Rollouts,
    results: BTreeMap<Box<str>, OrderReply>,
    ids: VecDeque<Box<str>>,
}

impl Orders {
    /// Applies an order with its fence; a resend returns the first result.
    pub fn order(&mut self, fence: Fence, command: &OrderCommand) -> OrderReply {
        if let Some(reply) = self.results.get(&command.id) {
            return reply.clone();
        }
        let reply = match check_order(command) {
            Ok(()) => {
                self.set(fence, &command.target, &command.order);
                OrderReply::Accepted(fence)
            }
            Err(error) => OrderReply::Refused(format!("{error:#}").into()),
        };
        self.record_result(&command.id, reply)
    }

    /// Declares the artifact that a pool is to load, in place of an earlier declaration; a resend
    /// returns the first result.
    pub fn rollout(&mut self, fence: Fence, command: &RolloutCommand) -> OrderReply {
        if let Some(reply) = self.results.get(&command.id) {
            return reply.clone();
        }
        let reply = match self.rollouts.declare(fence, command) {
            Ok(()) => OrderReply::Accepted(fence),
            Err(error) => OrderReply::Refused(format!("{error:#}").into()),
        };
        self.record_result(&command.id, reply)
    }

    /// Applies one step of a rollout unless another order or step for the endpoint was applied
    /// since it was planned; returns whether the step was applied.
    pub fn step(&mut self, fence: Fence, command: &StepCommand) -> bool {
        let target = Target::Endpoint(command.endpoint.clone());
        let at = self.targets.get(&target).map_or(Fence(0), |p| p.fence);
        if at != command.after {
            return false;
        }
        let Some(load) = self.rollouts.step(command) else { return false };
        let parts = self.targets.entry(target).or_default();
        parts.fence = fence;
        if let Some(value) = load {
            parts.artifact = Some(Fenced { fence, value });
        }
        true
    }

    /// Returns the desired state of an endpoint of a pool.
    pub fn desired(&self, endpoint: &str, pool: &str) -> Desired {
        let own = self.targets.get(&Target::Endpoint(endpoint.into()));
        let shared = self.targets.get(&Target::Pool(pool.into()));
        let both = || [own, shared].into_iter().flatten();
        let artifact = both().filter_map(|p| p.artifact.as_ref()).max_by_key(|p| p.fence);
        let kind = both().filter_map(|p| p.kind.as_ref()).max_by_key(|p| p.fence);
        let draining = both().filter_map(|p| p.draining.as_ref()).max_by_key(|p| p.fence);
        Desired {
            fence: both().map(|p| p.fence).max().unwrap_or_default(),
            artifact: artifact.map(|p| p.value.clone()),
            kind: kind.map(|p| p.value),
            draining: draining.is_some_and(|p| p.value) || self.rollouts.holds(pool, endpoint),
        }
    }

    /// Returns the fence of the last order or step for this endpoint alone; 0 without any.
    pub fn last(&self, endpoint: &str) -> Fence {
        let target = Target::Endpoint(endpoint.into());
        self.targets.get(&target).map_or(Fence(0), |p| p.fence)
    }

    /// Returns the fence of the last load that was ordered for this endpoint alone; 0 without any.
    pub fn last_load(&self, endpoint: &str) -> Fence {
        let parts = self.targets.get(&Target::Endpoint(endpoint.into()));
        parts.and_then(|p| p.artifact.as_ref()).map_or(Fence(0), |p| p.fence)
    }

    /// Returns the pools with their declarations, oldest first.
    pub fn rollouts(&self) -> impl Iterator<Item = (&Box<str>, &[Rollout])> {
        self.rollouts.all()
    }

    /// Returns the rollouts, with the endpoints that they hold drained.
    pub fn rollout_state(&self) -> &Rollouts {
        &self.rollouts
    }

    fn set(&mut self, fence: Fence, target: &Target, order: &Order) {
        let parts = self.targets.entry(target.clone()).or_default();
        parts.fence = fence;
        match order {
            Order::Load { artifact } => {
                parts.artifact = Some(Fenced { fence, value: artifact.clone() });
            }
            Order::Role { kind } => parts.kind = Some(Fenced { fence, value: *kind }),
            Order::Drain => parts.draining = Some(Fenced { fence, value: true }),
            Order::Undrain => parts.draining = Some(Fenced { fence, value: false }),
        }
    }

    fn record_result(&mut self, id: &str, reply: OrderReply) -> OrderReply {
        self.results.insert(id.into(), reply.clone());
        self.ids.push_back(id.into());
        if self.ids.len() > MAX_RESULTS
            && let Some(oldest) = self.ids.pop_front()
        {
            self.results.remove(&oldest);
        }
        reply
    }
}

/// Returns whether a command gives an endpoint a new fence.
pub fn concerns(command: &Command, endpoint: &EndpointState) -> bool {
    match command {
        Command::Order(order) => match &order.target {
            Target::Endpoint(name) => *name == endpoint.name,
            Target::Pool(pool) => *pool == endpoint.pool,
        },
        Command::Step(step) => step.endpoint == endpoint.name,
        _ => false,
    }
}

fn check_order(command: &OrderCommand) -> eyre::Result<()> {
    ensure!(!command.id.trim().is_empty(), "an order needs a change id");
    ensure!(!command.author.trim().is_empty(), "an order needs an author");
    if let Order::Load { artifact } = &command.order {
        ensure!(!artifact.trim().is_empty(), "the order names nothing to load");
    }
    let pool = matches!(command.target, Target::Pool(_));
    let drains = matches!(command.order, Order::Drain | Order::Undrain);
    ensure!(
        !pool || drains,
        "a whole pool is loaded by a rollout, and roles are changed one endpoint at a time"
    );
    Ok(())
}
