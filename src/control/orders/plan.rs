//! Plans the next steps of the rollouts, as a pure function of the log, the registry and the time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rollout::{Rollout, Step, StepCommand};
use super::{OrderReport, Orders};
use crate::model::{EndpointKind, EndpointState, Timestamp};

/// How long after its last step an endpoint that disconnected during a load may still be loading.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(660);

/// A live endpoint and the last report of its agent.
type Live<'a> = (&'a EndpointState, &'a OrderReport);

/// Returns the steps that the leader proposes now, for each pool at most one drain of each kind of
/// endpoint.
///
/// Each step is checked again when it is applied: it takes effect only if no other order or step
/// for its endpoint was applied since, and never drains more endpoints at once than the rollout
/// allows.
pub fn plan<'a>(
    orders: &Orders,
    live: impl Iterator<Item = Live<'a>>,
    now: Timestamp,
) -> Vec<StepCommand> {
    let mut pools: BTreeMap<&str, Vec<Live<'a>>> = BTreeMap::new();
    for endpoint in live {
        pools.entry(&endpoint.0.pool).or_default().push(endpoint);
    }
    let mut steps = Vec::new();
    for (pool, history) in orders.rollouts() {
        let Some(rollout) = history.last() else { continue };
        let members = pools.remove(&**pool).unwrap_or_default();
        steps.extend(Plan { orders, rollout, members, now }.steps());
    }
    steps
}

/// The state that the steps of one pool are planned from.
struct Plan<'a> {
    orders: &'a Orders,
    rollout: &'a Rollout,
    members: Vec<Live<'a>>,
    now: Timestamp,
}

impl Plan<'_> {
    fn steps(&self) -> Vec<StepCommand> {
        if let Some(stop) = self.stop() {
            return vec![stop];
        }
        let mut steps: Vec<_> = self.members.iter().filter_map(|m| self.next(m)).collect();
        steps.extend(self.release_missing());
        if self.rollout.stopped.is_none() {
            steps.extend(self.drain(EndpointKind::Prefill));
            steps.extend(self.drain(EndpointKind::Decode));
            steps.extend(self.drain(EndpointKind::Service));
        }
        steps
    }

    fn command(&self, endpoint: &str, step: Step) -> StepCommand {
        StepCommand {
            rollout: self.rollout.number,
            pool: self.rollout.command.pool.clone(),
            endpoint: endpoint.into(),
            after: self.orders.last(endpoint),
            at: self.now,
            step,
        }
    }

    fn holds(&self, endpoint: &str) -> bool {
        self.orders.rollout_state().holds(&self.rollout.command.pool, endpoint)
    }

    /// Returns whether a load was ordered for the endpoint since this rollout was declared.
    fn is_load_ordered(&self, endpoint: &EndpointState) -> bool {
        self.orders.last_load(&endpoint.name) > self.rollout.number
    }

    /// Returns whether the agent reports that the endpoint has loaded the artifact of the rollout.
    fn is_done(&self, (endpoint, report): &Live<'_>) -> bool {
        let has = report.artifact.as_ref() == Some(&self.rollout.command.artifact);
        has && report.fence >= self.orders.last_load(&endpoint.name)
    }

    /// Returns the step that stops the rollout, if a load of it has failed permanently.
    fn stop(&self) -> Option<StepCommand> {
        if self.rollout.stopped.is_some() {
            return None;
        }
        let failed = |(endpoint, report): &Live<'_>| {
            let (fence, why) = report.failed.clone()?;
            let own = self.holds(&endpoint.name) && fence > self.rollout.number;
            own.then(|| format!("{}: order {fence} failed: {why}", endpoint.name).into())
                .map(|why| self.command(&endpoint.name, Step::Stop { why }))
        };
        self.members.iter().find_map(failed)
    }

    /// Returns the next step at an endpoint that is drained for the rollout, if one is due.
    fn next(&self, member: &Live<'_>) -> Option<StepCommand> {
        let (endpoint, report) = member;
        if !self.holds(&endpoint.name) {
            return None;
        }
        let step = if self.is_done(member) || self.is_overridden(endpoint) {
            Step::Undrain
        } else if self.rollout.stopped.is_some() {
            // An endpoint without a load order is undrained; one whose load failed stays drained.
            (!self.is_load_ordered(endpoint)).then_some(Step::Undrain)?
        } else if self.is_load_ordered(endpoint) {
            return None;
        } else {
            // The load waits until the drain is reported and all work at the endpoint has ended.
            let reported = report.fence >= self.orders.last(&endpoint.name);
            let idle = reported && endpoint.draining && endpoint.load.slots == 0;
            idle.then_some(Step::Load)?
        };
        Some(self.command(&endpoint.name, step))
    }

    /// Returns the steps that release endpoints which disconnected during the rollout, once they
    /// have surely stopped loading.
    fn release_missing(&self) -> Vec<StepCommand> {
        let held = self.orders.rollout_state().held(&self.rollout.command.pool);
        let missing = held.filter(|(name, at)| {
            let alive = self.members.iter().any(|(e, _)| e.name == **name);
            !alive && self.now - **at >= MAX_LOAD_DURATION
        });
        missing.map(|(name, _)| self.command(name, Step::Undrain)).collect()
    }

    /// Returns the step that drains one more endpoint of a kind, if the rollout's floor allows it.
    fn drain(&self, kind: EndpointKind) -> Option<StepCommand> {
        let same = || self.members.iter().filter(|(e, _)| e.kind == kind);
        let serving = same().filter(|m| self.is_serving(m)).count();
        let floor = self.rollout.command.floor as usize;
        let due = same().find(|member| {
            let (endpoint, _) = member;
            let others = serving - usize::from(self.is_serving(member));
            !self.holds(&endpoint.name)
                && !self.is_done(member)
                && !self.is_overridden(endpoint)
                && (others >= floor || self.is_drained(endpoint))
        });
        due.map(|(endpoint, _)| self.command(&endpoint.name, Step::Drain))
    }

    /// Returns whether orders drain the endpoint and its agent reports that it is draining.
    fn is_drained(&self, endpoint: &EndpointState) -> bool {
        endpoint.draining && self.orders.desired(&endpoint.name, &endpoint.pool).draining
    }

    /// Returns whether the endpoint is known to accept work, now and after all orders.
    ///
    /// An agent that has not reported its last order may still be carrying out an earlier one,
    /// which may be a drain.
    fn is_serving(&self, (endpoint, report): &Live<'_>) -> bool {
        let last = self.orders.last(&endpoint.name);
        let failed = report.failed.as_ref().is_some_and(|(fence, _)| *fence >= last);
        let reported = report.fence >= last || failed;
        let drained = self.orders.desired(&endpoint.name, &endpoint.pool).draining;
        reported && !endpoint.draining && !drained
    }

    /// Returns whether an operator has since ordered another artifact for this endpoint.
    fn is_overridden(&self, endpoint: &EndpointState) -> bool {
        let loaded = self.orders.last_load(&endpoint.name);
        loaded > self.rollout.number
            && self.orders.desired(&endpoint.name, &endpoint.pool).artifact.as_ref()
                != Some(&self.rollout.command.artifact)
    }
}
