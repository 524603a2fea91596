//! What a gateway learns of the speed of endpoints, and what it tells the leader of that.

use std::time::Duration;

use crate::control::dispatch::Candidate;
use crate::gateway::call::{Attempt, Call};
use crate::gateway::fleet::EndpointKey;
use crate::gateway::place::locality::named_crossing;
use crate::gateway::place::step_under_load;
use crate::gateway::{CallerId, Gateway};
use crate::model::Timestamp;

/// The maximum number of endpoints in one request to the leader.
const MAX_CANDIDATES: usize = 64;
/// One call of a plain service, as an amount of work in thousandths.
const ONE_CALL: u64 = 1_000;

/// How often slow endpoints are logged.
const SLOW_INTERVAL: Duration = Duration::from_secs(10);
/// The maximum number of slow endpoints in the log each time.
const MAX_SLOW: usize = 8;
/// The percentage of the usual speed up to which an endpoint is logged as slow.
const SLOW_PERCENT: u32 = 64;

impl Gateway {
    /// Logs the slowest endpoints from time to time.
    pub(in crate::gateway) fn log_slow(&mut self, now: Timestamp) {
        if now < self.next_slow_log {
            return;
        }
        self.next_slow_log = now + SLOW_INTERVAL;
        for (percent, endpoint, estimate) in self.fleet.slow(now, SLOW_PERCENT, MAX_SLOW) {
            log::info!(
                "step=slow endpoint={} service={} percent={percent} age_ms={} spread={}",
                endpoint.name,
                endpoint.pool,
                estimate.age.as_millis(),
                estimate.spread,
            );
        }
    }

    /// Learns the speed of the endpoint of a plain call that is answered. Answers with an error are
    /// quicker than others and say nothing of it.
    pub(in crate::gateway) fn learn_service_time(&mut self, now: Timestamp, call: &mut Call) {
        let is_plain = call.info.work.is_none();
        let Some(attempt) = call.attempt().filter(|_| is_plain) else { return };
        let took = now - attempt.since;
        if let Some(endpoint) = self.fleet.get_mut(attempt.endpoint) {
            endpoint.learn(now, ONE_CALL, took);
            let spill = self.spills.entry(endpoint.pool.clone()).or_default();
            spill.answered(now, endpoint.local, took);
        }
    }

    /// Learns the speed of the decode endpoint that has sent events of a call.
    pub(in crate::gateway) fn learn_step_time(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        events: usize,
    ) {
        let Some(shape) = self.shape(caller) else { return };
        let Some(call) = self.calls.get_mut(&caller).filter(|c| c.info.work.is_some()) else {
            return;
        };
        let Some(attempt) = call.attempt() else { return };
        let (key, measured) = (attempt.endpoint, attempt.pace.received(now, events as u32));
        let (Some(measured), Some(endpoint)) = (measured, self.fleet.get_mut(key)) else { return };
        let used = endpoint.all_usage(now);
        let step = step_under_load(used.slots, shape.slots, used.tokens, shape.tokens);
        endpoint.learn(now, u64::from(measured.events) * step, measured.took);
    }

    /// Learns the speed of a prefill endpoint from a prefill that has succeeded: it has prefilled
    /// the prompts ahead in the same time.
    pub(in crate::gateway) fn learn_prefill_time(&mut self, now: Timestamp, attempt: &Attempt) {
        let work = u64::from(attempt.usage.tokens) + u64::from(attempt.ahead);
        if let Some(endpoint) = self.fleet.get_mut(attempt.endpoint) {
            endpoint.learn(now, work, now - attempt.since);
        }
    }

    /// Returns the endpoints as they are named to the leader, with what was learned of their speed
    /// since they were last named.
    pub(in crate::gateway) fn candidates(
        &mut self,
        now: Timestamp,
        open: &[(EndpointKey, bool)],
    ) -> Vec<Candidate> {
        let crossing = named_crossing(self.settings.domains);
        let crossing = crossing.map(|time| u32::try_from(time.as_micros()).unwrap_or(u32::MAX));
        let named = open.iter().filter_map(|(key, local)| {
            let endpoint = self.fleet.get_mut(*key)?;
            let (name, speed) = (endpoint.name.clone(), endpoint.take_news(now));
            let crossing = crossing.filter(|_| !local);
            Some(Candidate { speed, crossing, ..Candidate::new(&name, *local) })
        });
        named.take(MAX_CANDIDATES).collect()
    }
}
