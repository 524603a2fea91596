//! Streams whose software version was noted by a list of endpoints that was out of date.
//!
//! An endpoint may start again in place with another version, and get streams before the list names its
//! new start. They are noted with the former version until then. An old start has ended when a newer one
//! is listed, so a stream that still runs, or an attempt that still waits for its first event, over a
//! connection to its address is of the newer one; of those that broke off before, nobody can tell.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::control::origins::{Correction, Origin};
use crate::gateway::answer;
use crate::gateway::call::{Call, Stage};
use crate::gateway::fleet::EndpointKey;
use crate::gateway::reason::EndReason;
use crate::gateway::{CallerId, Gateway, PeerId};
use crate::model::Timestamp;
use crate::report::observation::WasteCause;

/// How long a start of an endpoint may get requests before it is listed.
const UNLISTED_TIME: Duration = Duration::from_millis(3_000);

/// A stream that began over a connection whose start no answer has named.
#[derive(Debug)]
pub(in crate::gateway) struct Unproven {
    caller: CallerId,
    origin: Origin,
    endpoint: EndpointKey,
    peer: PeerId,
    /// When the connection was opened.
    opened: Timestamp,
}

impl Gateway {
    /// Keeps a stream that has just begun until it is certain that its start is the listed one.
    pub(in crate::gateway) fn note_unproven(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        origin: Origin,
    ) {
        self.unproven.retain(|stream| now - stream.opened < UNLISTED_TIME);
        let attempt = self.calls.get_mut(&caller).and_then(Call::attempt);
        let Some((peer, endpoint)) = attempt.map(|a| (a.peer, a.endpoint)) else { return };
        let Some(opened) = self.fleet.unproven_since(peer) else { return };
        self.unproven.push(Unproven { caller, origin, endpoint, peer, opened });
    }

    /// Corrects the versions of the streams that endpoints may have begun whose newer starts have just
    /// been listed.
    pub(in crate::gateway) fn correct_versions(
        &mut self,
        now: Timestamp,
        restarted: &BTreeSet<EndpointKey>,
    ) {
        if restarted.is_empty() {
            return;
        }
        self.correct_attempts(now, restarted);
        let doubtful = |stream: &mut Unproven| {
            restarted.contains(&stream.endpoint) && now - stream.opened < UNLISTED_TIME
        };
        let streams: Vec<Unproven> = self.unproven.extract_if(.., doubtful).collect();
        for stream in streams {
            self.correct_version(now, stream);
        }
    }

    /// Corrects the versions of the attempts that were sent before a newer start of their endpoint was
    /// listed, and whose streams have not begun.
    fn correct_attempts(&mut self, now: Timestamp, restarted: &BTreeSet<EndpointKey>) {
        for call in self.calls.values_mut().filter(|call| call.software.is_none()) {
            let Stage::Run { attempt, .. } = &mut call.stage else { continue };
            let opened = self.fleet.unproven_since(attempt.peer);
            let is_doubtful = opened.is_some_and(|at| now - at < UNLISTED_TIME);
            if !is_doubtful || !restarted.contains(&attempt.endpoint) {
                continue;
            }
            let Some(endpoint) = self.fleet.get(attempt.endpoint) else { continue };
            if attempt.software == endpoint.software {
                continue;
            }
            log::warn!(
                "step=correct-attempt id={} endpoint={} noted={} listed={}",
                call.info.id,
                endpoint.name,
                attempt.software,
                endpoint.software,
            );
            attempt.software = endpoint.software.clone();
        }
    }

    fn correct_version(&mut self, now: Timestamp, stream: Unproven) {
        let Some(endpoint) = self.fleet.get(stream.endpoint) else { return };
        let software = endpoint.software.clone();
        if software == stream.origin.software {
            return;
        }
        let call = self.calls.get_mut(&stream.caller).filter(|c| c.info.id == stream.origin.call);
        let goes_on = call.is_some();
        let mut runs = false;
        if let Some(call) = call
            && let Stage::Run { attempt, .. } = &mut call.stage
            && attempt.peer == stream.peer
        {
            runs = true;
            attempt.software = software.clone();
            call.software = Some(software.clone());
        }
        log::warn!(
            "step=correct-version id={} endpoint={} noted={} listed={software} runs={runs}",
            stream.origin.call,
            endpoint.name,
            stream.origin.software,
        );
        let software = runs.then_some(software);
        let correction = Correction { call: stream.origin.call, software };
        self.origins.correct(now, &correction);
        self.follower.correct_origin(now, correction);
        if goes_on && !runs {
            self.stop_call(now, stream.caller, WasteCause::Failed);
            self.conclude(now, stream.caller, answer::unknown_origin(), EndReason::UnknownOrigin);
        }
    }
}
