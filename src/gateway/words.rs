//! What endpoints say in their answers about further requests to them, which governs at once what
//! this gateway sends there.

use std::time::Duration;

use super::answer;
use super::fleet::{EndpointKey, Job};
use super::protocol::{AnswerInfo, RefusalInfo};
use super::reason::EndReason;
use super::{CallerId, Gateway, PeerId};
use crate::model::{EndpointKind, Timestamp};
use crate::report::observation::Observation;
use crate::role::Output;

/// The maximum time for which a refusal closes an endpoint.
const MAX_REST: Duration = Duration::from_secs(60);
/// The percentage of a rest time over which the gateways that got it are spread when they return.
const REOPEN_SPREAD_PERCENT: u32 = 10;

/// What one start of an endpoint has said in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Words {
    /// Whether it leaves: it gets no new request, whatever is listed, and ends what it runs.
    pub leaving: bool,
    /// The rest time that it has asked for last, within `MAX_REST`.
    rest: Duration,
    /// Until when it gets no request because it has asked for rest.
    pub closed_until: Timestamp,
}

impl Words {
    /// Records a rest time that it has asked for, and returns whether that is a change. The `draw`
    /// decides how long after that time it is reopened. A shorter rest does not end an earlier one
    /// sooner.
    pub fn asked_for_rest(&mut self, now: Timestamp, rest: Duration, draw: u64) -> bool {
        let rest = rest.min(MAX_REST);
        let changed = !self.is_resting(now) || self.rest != rest;
        let spread = rest * REOPEN_SPREAD_PERCENT / 100;
        let late = draw % (spread.as_micros() as u64 + 1);
        self.rest = rest;
        self.closed_until = self.closed_until.max(now + rest + Duration::from_micros(late));
        changed
    }

    /// Returns whether it gets no request now because it has asked for rest.
    pub fn is_resting(&self, now: Timestamp) -> bool {
        now < self.closed_until
    }

    /// Returns whether it has said nothing against new requests now.
    pub fn is_welcome(&self, now: Timestamp) -> bool {
        !self.leaving && !self.is_resting(now)
    }
}

/// Why no endpoint is left for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// Those that could take it leave.
    Leaving,
    /// Those that could take it rest, the first of them until the given time.
    Resting(Timestamp),
}

/// The refusal of a call for which no endpoint is left, and the reason for logs.
type Unwelcome = (RefusalInfo, EndReason);

impl Gateway {
    /// Applies what the head of an answer says about further requests to its endpoint.
    pub(super) fn heed(&mut self, now: Timestamp, peer: PeerId, info: &AnswerInfo) {
        if info.leaving {
            self.heed_leaving(now, peer);
        }
        if let Some(rest) = info.rest {
            self.heed_rest(now, peer, rest);
        }
    }

    fn heed_leaving(&mut self, now: Timestamp, peer: PeerId) {
        let Some(conn) = self.fleet.conn(peer) else { return };
        let (job, age) = (conn.job, now - conn.since);
        let Some(endpoint) = self.fleet.leaves(peer) else { return };
        let (name, service) = (endpoint.name.clone(), endpoint.pool.clone());
        log::info!(
            "step=leaving endpoint={name} id={} source={} age_ms={}",
            self.job_id(job),
            job.name(),
            age.as_millis(),
        );
        self.outputs.push(Output::Observe(Observation::Leaving { service }));
        // Calls that wait for it go elsewhere or are refused.
        self.capacity_freed = true;
    }

    fn heed_rest(&mut self, now: Timestamp, peer: PeerId, rest: Duration) {
        let draw = self.draw();
        let Some(conn) = self.fleet.conn(peer) else { return };
        let job = conn.job;
        let Some(endpoint) = self.fleet.rests(now, peer, rest, draw) else { return };
        let (name, service) = (endpoint.name.clone(), endpoint.pool.clone());
        let closed = endpoint.words.closed_until - now;
        log::info!(
            "step=rest endpoint={name} id={} source={} ms={} closed_ms={}",
            self.job_id(job),
            job.name(),
            rest.as_millis(),
            closed.as_millis(),
        );
        self.outputs.push(Output::Observe(Observation::Rest { service }));
        self.capacity_freed = true;
    }

    /// Returns the id of the call that a connection is used for, or `-`.
    fn job_id(&self, job: Job) -> &str {
        match job {
            Job::Call(caller) | Job::Hold(caller) => {
                self.calls.get(&caller).map_or("-", |call| &call.info.id)
            }
            Job::Idle | Job::Report | Job::Free => "-",
        }
    }

    /// Returns whether an endpoint has said nothing against new requests now.
    pub(super) fn is_welcome(&self, now: Timestamp, endpoint: EndpointKey) -> bool {
        self.fleet.get(endpoint).is_some_and(|e| e.words.is_welcome(now))
    }

    /// Returns the refusal of a call for which no endpoint is left because of what they have said;
    /// `None` while one may still take it.
    pub(super) fn unwelcome(&self, now: Timestamp, caller: CallerId) -> Option<Unwelcome> {
        let call = self.calls.get(&caller)?;
        let kind = self.is_engine_call(caller).then_some(EndpointKind::Decode);
        let closed = self.fleet.closed(now, call.choice(), kind)?;
        Some(match closed {
            Closed::Leaving => (answer::no_endpoint(), EndReason::NoEndpoint),
            Closed::Resting(until) => (answer::resting(until - now), EndReason::Resting),
        })
    }
}
