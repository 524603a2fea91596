//! Admission of calls: they start, wait in the queue of their service, or are refused at once.

mod accounts;
mod asking;
pub(super) mod charge;
mod decision;
pub mod demand;
mod lines;
mod local;
pub mod queue;
pub mod quota;
pub mod returns;
pub mod turns;

use std::time::Duration;

pub(super) use asking::{backoff_key, waiting_call};

use super::answer;
use super::call::Call;
use super::reason::EndReason;
use super::retry::is_retried;
use super::{CallerId, Gateway, START_INTERVAL};
use crate::model::Timestamp;
use crate::routes::accounts::{Account, DEFAULT_WEIGHT};
use queue::{Queue, Rank, Waiting};
use turns::Share;

/// The tokens that a call to a plain service counts for in the turns of client accounts.
const PLAIN_TOKENS: u32 = 200;
/// How long an interrupted stream may wait for capacity; callers time out soon after.
const RESUME_WAIT: Duration = Duration::from_millis(2_500);

impl Gateway {
    /// Starts or queues a new call to a model, or refuses it at once if it is not expected to start
    /// in time.
    pub(super) fn admit_engine_call(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Some(waiting) = waiting(caller, call) else { return };
        let rank = call.rank();
        self.admit(now, rank, waiting);
    }

    /// Starts a call if none is queued before it and there is capacity, or queues it if it is
    /// expected to start in time; refuses it at once otherwise.
    pub(super) fn admit(&mut self, now: Timestamp, rank: Rank, waiting: Waiting<CallerId>) {
        let caller = waiting.key;
        let Some(call) = self.calls.get(&caller) else { return };
        let service = call.service.clone();
        let id = call.info.id.clone();
        // An interrupted stream goes before new calls, as in the queue.
        let resumed = call.is_resumption();
        let first = resumed
            || self.queues.entry(service.clone()).or_default().ahead(rank, &waiting.share) == 0;
        if first && self.start(now, caller) {
            self.queues.entry(service).or_default().started(now, &waiting.share);
            return;
        }
        let queue = self.queues.entry(service).or_default();
        if resumed {
            queue.push_front(rank, waiting);
            return;
        }
        if queue.is_worthwhile(now, rank, &waiting) {
            queue.push(rank, waiting);
            return;
        }
        log::info!(
            "step=admit id={id} outcome=refused late={} queue={} wait_ms={}",
            rank.late,
            queue.len(),
            queue.estimate(now, rank, &waiting.share).map_or(-1, |w| w.as_millis() as i64),
        );
        let refusal = self.capacity_refusal(now, caller);
        self.conclude(now, caller, refusal, EndReason::NotAdmitted);
    }

    /// Refuses the calls whose time in the queue has expired.
    pub(super) fn expire_queues(&mut self, now: Timestamp) {
        let expired: Vec<CallerId> =
            self.queues.values_mut().flat_map(|q| q.remove_expired(now)).collect();
        for caller in expired {
            let refusal = self.capacity_refusal(now, caller);
            self.conclude(now, caller, refusal, EndReason::WaitExpired);
        }
    }

    /// Starts queued calls while there is capacity.
    pub(super) fn start_queued(&mut self, now: Timestamp) {
        self.capacity_freed = false;
        self.next_start = self.next_urgent(now).min(now + START_INTERVAL);
        self.refuse_queued(now);
        let services: Vec<Box<str>> =
            self.queues.iter().filter(|(_, q)| !q.is_empty()).map(|(s, _)| s.clone()).collect();
        for service in services {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.demote(now);
            }
            self.start_queue(now, &service);
        }
    }

    /// Starts the queued calls of a service in their order while there is capacity. Calls that can
    /// start only at some endpoints do not hold up those behind them. Nor does a call hold up those
    /// of other ranks at the leader, which orders the ranks: it can't keep their shares otherwise.
    fn start_queue(&mut self, now: Timestamp, service: &str) {
        let queued = self.queues.get(service).map(Queue::in_order).unwrap_or_default();
        let notices = self.fleet.has_notices(now, service);
        let by_leader = self.leader(now).is_some();
        let mut full = Vec::new();
        for caller in queued {
            let rank = self.calls.get(&caller).map(Call::rank);
            if full.contains(&rank) {
                continue;
            }
            if notices && let Some((refusal, why)) = self.closed_refusal(now, caller) {
                if let Some(queue) = self.queues.get_mut(service) {
                    queue.remove(caller);
                }
                self.conclude(now, caller, refusal, why);
                continue;
            }
            let call = self.calls.get(&caller);
            let versioned = call.is_some_and(|c| c.software.is_some());
            // A retried plain call has tried endpoints that may have capacity for others.
            let retried = call.is_some_and(|c| c.info.work.is_none() && !c.tried.is_empty());
            if versioned && !self.has_version(caller) {
                if let Some(queue) = self.queues.get_mut(service) {
                    queue.remove(caller);
                }
                self.conclude(now, caller, answer::no_version(), EndReason::NoEndpoint);
            } else if self.start(now, caller) {
                if let Some(queue) = self.queues.get_mut(service) {
                    let share = queue.remove(caller).unwrap_or_default();
                    queue.started(now, &share);
                }
                self.schedule(caller);
            } else if !versioned && !retried {
                if !by_leader || !self.is_engine_call(caller) {
                    return;
                }
                full.push(rank);
            }
        }
    }

    /// Starts a call if there seems to be capacity for it; returns whether it was started.
    fn start(&mut self, now: Timestamp, caller: CallerId) -> bool {
        if self.is_engine_call(caller) {
            self.start_engine(now, caller)
        } else {
            self.send_plain(now, caller)
        }
    }

    /// Tries again to start a call to a model, or puts it back at the front of its queue; refuses it
    /// if no endpoint is left for it.
    pub(super) fn start_or_requeue(&mut self, now: Timestamp, caller: CallerId) {
        if let Some((refusal, why)) = self.closed_refusal(now, caller) {
            self.conclude(now, caller, refusal, why);
            return;
        }
        if self.start_engine(now, caller) {
            return;
        }
        let Some(call) = self.calls.get(&caller) else { return };
        let Some(waiting) = waiting(caller, call) else { return };
        let rank = call.rank();
        let queue = self.queues.entry(call.service.clone()).or_default();
        queue.requeue(rank, waiting);
    }
}

/// Returns the queue entry of a call to a model. The wait is counted from the arrival of the call,
/// or from the last event that was delivered if a stream is to be resumed.
fn waiting(key: CallerId, call: &Call) -> Option<Waiting<CallerId>> {
    call.route()?;
    let until = wait_end(call);
    let share = share(call);
    Some(Waiting { key, in_time: until, until, bound: call.software.is_some(), share })
}

/// Returns until when a call to a model may wait for capacity.
pub(super) fn wait_end(call: &Call) -> Timestamp {
    let target = call.route().map(|route| route.target).unwrap_or_default();
    let until = match call.delivered.last {
        Some(last) => last + RESUME_WAIT,
        None => {
            let timeout = call.deadline - call.arrived;
            let wait = Queue::<CallerId>::wait_until(call.arrived, call.rank(), target, timeout);
            let resume = call.arrived + RESUME_WAIT;
            if is_retried(call) || call.is_resumption() { wait.max(resume) } else { wait }
        }
    };
    until.min(call.deadline)
}

/// Returns what a call counts for in the turns of its client account.
pub(super) fn share(call: &Call) -> Share {
    let account = call.account();
    Share {
        account: account.map(|a| a.name.clone()).unwrap_or_default(),
        weight: account.map_or(DEFAULT_WEIGHT, Account::weight),
        tokens: call.info.work.as_ref().map_or(PLAIN_TOKENS, |work| work.mean_tokens()),
    }
}
