//! What endpoints say in their answers about further requests to them, which governs at once what
//! this gateway sends there.

use super::answer;
use super::fleet::{EndpointKey, Job};
use super::protocol::{AnswerInfo, RefusalInfo};
use super::{CallerId, Gateway, PeerId};
use crate::model::{EndpointKind, Timestamp};
use crate::report::observation::Observation;
use crate::role::Output;

/// What one start of an endpoint has said in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Words {
    /// Whether it leaves: it gets no new request, whatever is listed, and ends what it runs.
    pub leaving: bool,
}

impl Gateway {
    /// Applies what the head of an answer says about further requests to its endpoint.
    pub(super) fn heed(&mut self, now: Timestamp, peer: PeerId, info: &AnswerInfo) {
        if info.leaving {
            self.heed_leaving(now, peer);
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

    /// Returns the id of the call that a connection is used for, or `-`.
    fn job_id(&self, job: Job) -> &str {
        match job {
            Job::Call(caller) | Job::Hold(caller) => {
                self.calls.get(&caller).map_or("-", |call| &call.info.id)
            }
            Job::Idle | Job::Report | Job::Free => "-",
        }
    }

    /// Returns whether an endpoint has said nothing against new requests.
    pub(super) fn is_welcome(&self, endpoint: EndpointKey) -> bool {
        self.fleet.get(endpoint).is_some_and(|e| !e.words.leaving)
    }

    /// Returns the refusal of a call for which no endpoint is left because of what they have said;
    /// `None` while one may still take it.
    pub(super) fn unwelcome(&self, caller: CallerId) -> Option<RefusalInfo> {
        let call = self.calls.get(&caller)?;
        let kind = self.is_engine_call(caller).then_some(EndpointKind::Decode);
        self.fleet.has_left(call.choice(), kind).then(answer::no_endpoint)
    }
}
