//! What endpoints say in their answers about further requests to them, which governs at once what
//! this gateway sends there.

use std::time::Duration;

use super::answer;
use super::fleet::{EndpointKey, Job, Said};
use super::limit::Limit;
use super::protocol::{AnswerInfo, LimitNotice, RefusalInfo};
use super::reason::EndReason;
use super::{CallerId, Gateway, PeerId};
use crate::model::{EndpointKind, Timestamp};
use crate::report::observation::Observation;
use crate::role::Output;

/// The maximum time for which a refusal closes an endpoint.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// The percentage of a backoff over which the gateways that got it are spread when they return.
const REOPEN_SPREAD_PERCENT: u32 = 10;

/// What one start of an endpoint has said in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notices {
    /// Whether it leaves: it gets no new request, whatever is listed, and ends what it runs.
    pub leaving: bool,
    /// The backoff that it has asked for last, within `MAX_BACKOFF`.
    backoff: Duration,
    /// Until when it gets no request because it has requested a backoff.
    pub closed_until: Timestamp,
    /// How many requests it takes from all gateways together.
    pub limit: Limit,
}

impl Notices {
    /// Records a backoff that it has asked for, and returns whether that is a change. The `draw`
    /// decides how long after that time it is reopened. A shorter backoff does not end an earlier one
    /// sooner.
    pub fn requested_backoff(&mut self, now: Timestamp, backoff: Duration, draw: u64) -> bool {
        let backoff = backoff.min(MAX_BACKOFF);
        let changed = !self.is_backing_off(now) || self.backoff != backoff;
        let spread = backoff * REOPEN_SPREAD_PERCENT / 100;
        let late = draw % (spread.as_micros() as u64 + 1);
        self.backoff = backoff;
        self.closed_until = self.closed_until.max(now + backoff + Duration::from_micros(late));
        changed
    }

    /// Returns whether it gets no request now because it has requested a backoff.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.closed_until
    }

    /// Returns whether it has said nothing against new requests now.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.keeps_reservations(now) && self.limit.is_open(now)
    }

    /// Returns whether a call that has reserved its place there may still be sent now.
    pub fn keeps_reservations(&self, now: Timestamp) -> bool {
        !self.leaving && !self.is_backing_off(now)
    }

    /// Returns when it gets requests again.
    pub fn reopens(&self, now: Timestamp) -> Timestamp {
        self.closed_until.max(self.limit.next_open(now))
    }
}

/// Why no endpoint is left for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// Those that could take it leave.
    Leaving,
    /// Those that could take it back off, the first of them until the given time.
    BackingOff(Timestamp),
}

/// The refusal of a call for which no endpoint is left, and the reason for logs.
type ClosedRefusal = (RefusalInfo, EndReason);

impl Gateway {
    /// Applies what the head of an answer says about further requests to its endpoint.
    pub(super) fn apply_notices(&mut self, now: Timestamp, peer: PeerId, info: &AnswerInfo) {
        if info.leaving {
            self.notice_leaving(now, peer);
        }
        if let Some(backoff) = info.backoff {
            self.notice_backoff(now, peer, backoff);
        }
        self.notice_limit(now, peer, info);
    }

    fn notice_limit(&mut self, now: Timestamp, peer: PeerId, info: &AnswerInfo) {
        let Some(conn) = self.fleet.conn(peer) else { return };
        let (job, age) = (conn.job, now - conn.since);
        let to_call =
            matches!(job, Job::Call(_)) && self.job_id(job) == info.id.as_deref().unwrap_or("-");
        let gateways = self.follower.sharers(now);
        let draw = if info.limit == LimitNotice::Absent { 0 } else { self.draw() };
        let said = Said { notice: info.limit, to_call };
        let Some(endpoint) = self.fleet.limited(now, peer, &said, gateways, draw) else { return };
        let (name, service) = (endpoint.name.clone(), endpoint.pool.clone());
        let rate = endpoint.notices.limit.rate().map_or(-1.0, |r| f64::from(r.0) / 1_000.0);
        log::info!(
            "step=limit endpoint={name} id={} source={} rate={rate} gateways={gateways} age_ms={}",
            self.job_id(job),
            job.name(),
            age.as_millis(),
        );
        self.outputs.push(Output::Observe(Observation::Limit { service }));
        self.capacity_freed = true;
    }

    pub(super) fn notice_leaving(&mut self, now: Timestamp, peer: PeerId) {
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

    fn notice_backoff(&mut self, now: Timestamp, peer: PeerId, backoff: Duration) {
        let draw = self.draw();
        let Some(conn) = self.fleet.conn(peer) else { return };
        let job = conn.job;
        let Some(endpoint) = self.fleet.backs_off(now, peer, backoff, draw) else { return };
        let (name, service) = (endpoint.name.clone(), endpoint.pool.clone());
        let closed = endpoint.notices.closed_until - now;
        log::info!(
            "step=backoff endpoint={name} id={} source={} ms={} closed_ms={}",
            self.job_id(job),
            job.name(),
            backoff.as_millis(),
            closed.as_millis(),
        );
        self.outputs.push(Output::Observe(Observation::Backoff { service }));
        self.capacity_freed = true;
    }

    /// Returns the id of the call that a connection is used for, or `-`.
    fn job_id(&self, job: Job) -> &str {
        match job {
            Job::Call(caller) | Job::Hold(caller) => {
                self.calls.get(&caller).map_or("-", |call| &call.info.id)
            }
            Job::Idle | Job::Report | Job::Free | Job::Late => "-",
        }
    }

    /// Returns whether a call that has reserved its place at an endpoint may still be sent there.
    pub(super) fn keeps_reservations(&self, now: Timestamp, endpoint: EndpointKey) -> bool {
        self.fleet.get(endpoint).is_some_and(|e| e.notices.keeps_reservations(now))
    }

    /// Returns the refusal of a call that can't end before this gateway does, or for which no endpoint
    /// is left because of what they have said; `None` while one may still take it.
    pub(super) fn closed_refusal(&self, now: Timestamp, caller: CallerId) -> Option<ClosedRefusal> {
        let call = self.calls.get(&caller)?;
        if !self.can_end(now, caller) {
            return Some((answer::shutting_down(), EndReason::ShuttingDown));
        }
        let kind = self.is_engine_call(caller).then_some(EndpointKind::Decode);
        let closed = self.fleet.closed(now, call.choice(), kind)?;
        Some(match closed {
            Closed::Leaving => (answer::no_endpoint(), EndReason::NoEndpoint),
            Closed::BackingOff(until) => (answer::backing_off(until - now), EndReason::BackingOff),
        })
    }
}
