//! Rollouts: the artifact that each pool is to load, and the steps that have been applied.

use std::collections::BTreeMap;

use eyre::ensure;
use serde::{Deserialize, Serialize};

use crate::model::{Fence, Timestamp};

/// The maximum number of declarations that are kept for each pool.
const MAX_HISTORY: usize = 20;

/// Declares the artifact that a pool is to load; a rollback declares the previous one again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCommand {
    /// Identifies the declaration, so that a resend is recognised.
    pub id: Box<str>,
    /// The operator who declares the rollout.
    pub author: Box<str>,
    /// The time of the declaration by the operator's clock.
    pub at: Timestamp,
    /// The name of the pool.
    pub pool: Box<str>,
    /// The artifact that all its endpoints are to load, such as `model:cs-summary@7`.
    pub artifact: Box<str>,
    /// The minimum number of endpoints of each kind that accept work at any time.
    pub floor: u32,
    /// The maximum number of endpoints that are drained for the rollout at once.
    pub parallel: u32,
}

/// A declared rollout and whether it was stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The fence, which is the index of the declaration in the log.
    pub number: Fence,
    /// The declaration.
    pub command: RolloutCommand,
    /// Why the rollout was stopped; `None` while it is not.
    pub stopped: Option<Box<str>>,
}

/// One step of a rollout at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepCommand {
    /// The fence of the rollout.
    pub rollout: Fence,
    /// The name of the pool.
    pub pool: Box<str>,
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// The fence of the last order or step for this endpoint alone when the step was planned.
    pub after: Fence,
    /// The time of the plan by the leader's clock.
    pub at: Timestamp,
    /// The step to apply.
    pub step: Step,
}

/// The kind of a step at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Drain the endpoint.
    Drain,
    /// Load the artifact of the rollout.
    Load,
    /// Undrain the endpoint.
    Undrain,
    /// Stop the rollout of the pool.
    Stop {
        /// The reason, which names the endpoint and the failed order.
        why: Box<str>,
    },
}

/// The rollouts of all pools.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Rollouts {
    pools: BTreeMap<Box<str>, Vec<Rollout>>,
    /// Endpoints that are drained for a rollout, by pool, with the time of their last step.
    held: BTreeMap<Box<str>, BTreeMap<Box<str>, Timestamp>>,
}

impl Rollouts {
    /// Returns the newest rollout of a pool.
    pub fn current(&self, pool: &str) -> Option<&Rollout> {
        self.pools.get(pool).and_then(|r| r.last())
    }

    /// Returns whether an endpoint is drained for a rollout.
    pub fn holds(&self, pool: &str, endpoint: &str) -> bool {
        self.held.get(pool).is_some_and(|h| h.contains_key(endpoint))
    }

    /// Returns the endpoints of a pool that are drained for a rollout, with the time of their last
    /// step.
    pub fn held(&self, pool: &str) -> impl Iterator<Item = (&Box<str>, &Timestamp)> {
        self.held.get(pool).into_iter().flatten()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (&Box<str>, &[Rollout])> {
        self.pools.iter().map(|(pool, history)| (pool, &**history))
    }

    pub(super) fn declare(&mut self, number: Fence, command: &RolloutCommand) -> eyre::Result<()> {
        ensure!(!command.id.trim().is_empty(), "a rollout needs a change id");
        ensure!(!command.author.trim().is_empty(), "a rollout needs an author");
        ensure!(!command.pool.trim().is_empty(), "a rollout names no pool");
        ensure!(!command.artifact.trim().is_empty(), "a rollout names nothing to load");
        ensure!(command.parallel > 0, "a rollout that loads 0 endpoints at once never ends");
        let history = self.pools.entry(command.pool.clone()).or_default();
        history.push(Rollout { number, command: command.clone(), stopped: None });
        if history.len() > MAX_HISTORY {
            history.remove(0);
        }
        Ok(())
    }

    /// Applies a step and returns the artifact that it orders the endpoint to load, `Some(None)` if
    /// it orders no load, or `None` if the step does not apply any more or exceeds the limit of
    /// drained endpoints.
    pub(super) fn step(&mut self, command: &StepCommand) -> Option<Option<Box<str>>> {
        let rollout = self.pools.get_mut(&command.pool)?.last_mut()?;
        if rollout.number != command.rollout {
            return None;
        }
        let held = self.held.entry(command.pool.clone()).or_default();
        let holds = held.contains_key(&command.endpoint);
        let is_active = rollout.stopped.is_none();
        match &command.step {
            Step::Drain if is_active && !holds => {
                if held.len() >= rollout.command.parallel as usize {
                    return None;
                }
                held.insert(command.endpoint.clone(), command.at);
                Some(None)
            }
            Step::Load if is_active && holds => {
                held.insert(command.endpoint.clone(), command.at);
                Some(Some(rollout.command.artifact.clone()))
            }
            Step::Undrain if holds => {
                held.remove(&command.endpoint);
                Some(None)
            }
            Step::Stop { why } if is_active => {
                rollout.stopped = Some(why.clone());
                Some(None)
            }
            _ => None,
        }
    }
}
