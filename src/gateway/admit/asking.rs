//! When the leader is asked for capacity, and what it orders calls by.

use std::time::Duration;

use super::super::call::{Call, Stage};
use super::super::{BackoffKey, CallerId, Gateway};
use super::{share, wait_end};
use crate::control::dispatch::waiting::WaitingCall;
use crate::model::Timestamp;

/// How long the leader is not asked again for capacity in a service after it found none.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(40);
/// The same for urgent calls: few of them wait, and the leader keeps freed capacity for them that is
/// idle until they ask.
const URGENT_BACKOFF: Duration = Duration::from_millis(10);

impl Gateway {
    /// Returns whether the leader is not asked for capacity now, because it had none at the last
    /// request. After the pause, one call asks for all that wait.
    pub(in crate::gateway) fn is_capacity_short(&self, now: Timestamp, key: &BackoffKey) -> bool {
        let Some(until) = self.capacity_backoff.get(key) else { return false };
        let asks =
            |call: &Call| matches!(call.stage, Stage::Room { .. }) && backoff_key(call) == *key;
        now < *until || self.calls.values().any(asks)
    }

    /// Returns when the next pause of an urgent kind of call is over.
    pub(in crate::gateway) fn next_urgent(&self, now: Timestamp) -> Timestamp {
        let urgent = self.capacity_backoff.iter().filter(|((_, rank, _), _)| rank.is_urgent());
        let ends = urgent.map(|(_, until)| *until).filter(|until| *until > now);
        ends.min().unwrap_or(Timestamp::MAX)
    }

    /// Removes the pauses that are over, since their keys name software versions that come and go.
    pub(in crate::gateway) fn forget_backoffs(&mut self, now: Timestamp) {
        self.capacity_backoff.retain(|_, until| now < *until);
    }

    /// Sends no request for capacity for some time, for calls of a key of which one got none.
    pub(in crate::gateway) fn back_off_capacity(&mut self, now: Timestamp, key: BackoffKey) {
        let (_, rank, _) = &key;
        let pause = if rank.is_urgent() { URGENT_BACKOFF } else { NO_CAPACITY_BACKOFF };
        if rank.is_urgent() {
            self.next_start = self.next_start.min(now + pause);
        }
        self.capacity_backoff.insert(key, now + pause);
    }
}

/// Returns for which calls the leader is not asked again after it found no capacity for a call.
pub(in crate::gateway) fn backoff_key(call: &Call) -> BackoffKey {
    (call.service.clone(), call.rank(), call.software.clone())
}

/// Returns what the leader orders a call by.
pub(in crate::gateway) fn waiting_call(
    now: Timestamp,
    caller: CallerId,
    call: &Call,
) -> WaitingCall {
    let share = share(call);
    // The leader keeps no claim for a call that runs already and looks for another endpoint.
    let waits = matches!(call.stage, Stage::Waiting | Stage::Room { .. });
    WaitingCall {
        number: caller.0,
        service: call.service.clone(),
        rank: call.rank(),
        account: share.account,
        weight: share.weight,
        waited: now - call.arrived,
        patience: if waits { wait_end(call) - now } else { Duration::ZERO },
    }
}
