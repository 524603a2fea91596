//! Rollouts: what each pool shall have loaded, and the next steps towards it.

use std::collections::BTreeMap;

use eyre::ensure;
use serde::{Deserialize, Serialize};

use crate::model::{Fence, Timestamp};

/// How many declarations are kept for each pool.
const MAX_HISTORY: usize = 20;

/// Declares what a pool shall have loaded; the former artifact again is a rollback.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCommand {
    /// Names the change, so that a resend is known as such.
    pub id: Box<str>,
    /// Who asks.
    pub author: Box<str>,
    /// When, by the operator's clock.
    pub at: Timestamp,
    /// The pool.
    pub pool: Box<str>,
    /// What all its endpoints shall have loaded, such as `model:cs-summary@7`.
    pub artifact: Box<str>,
    /// How many endpoints of each kind take work at any time.
    pub floor: u32,
    /// How many endpoints load at once.
    pub parallel: u32,
}

/// A declaration with its number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Its place in the log.
    pub number: Fence,
    /// What was declared.
    pub command: RolloutCommand,
    /// Why it has stopped, if it has.
    pub stopped: Option<Box<str>>,
}

/// One step of a rollout at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepCommand {
    /// The rollout.
    pub rollout: Fence,
    /// The pool.
    pub pool: Box<str>,
    /// The endpoint.
    pub endpoint: Box<str>,
    /// The last number of the endpoint when the step was planned.
    pub after: Fence,
    /// When it was planned, by the leader's clock.
    pub at: Timestamp,
    /// The step.
    pub step: Step,
}

/// What a rollout does at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Take it out of work.
    Drain,
    /// Load the artifact.
    Load,
    /// Take it into work again.
    Undrain,
    /// Stop the rollout.
    Stop {
        /// Why.
        why: Box<str>,
    },
}

/// The rollouts of all pools.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Rollouts {
    pools: BTreeMap<Box<str>, Vec<Rollout>>,
    /// Endpoints out of work for a rollout, by pool, with the time of the last step.
    held: BTreeMap<Box<str>, BTreeMap<Box<str>, Timestamp>>,
}

impl Rollouts {
    /// Returns the declaration that stands for a pool.
    pub fn current(&self, pool: &str) -> Option<&Rollout> {
        self.pools.get(pool).and_then(|r| r.last())
    }

    /// Returns whether an endpoint is out of work for a rollout.
    pub fn holds(&self, pool: &str, endpoint: &str) -> bool {
        self.held.get(pool).is_some_and(|h| h.contains_key(endpoint))
    }

    /// Returns the endpoints of a pool that are out of work for a rollout.
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

    /// Takes a step; returns what the endpoint shall load, or `None` if the step comes too late.
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
