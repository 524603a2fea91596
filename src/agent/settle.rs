//! Outcomes of attempts that may run only once, for entries that request them.

use std::collections::{BTreeMap, VecDeque};

use crate::link::message::Settled;
use crate::model::{BootId, CallId, RequestId};

/// The number of attempts whose outcomes are kept.
const MAX_SETTLEMENTS: usize = 4_096;

/// The outcomes of the latest attempts.
#[derive(Debug, Default)]
pub struct Settlements {
    ends: BTreeMap<RequestId, Settled>,
    order: VecDeque<RequestId>,
    /// The latest call of each entry with a dropped outcome; an earlier call that has no recorded
    /// outcome counts as dropped too.
    dropped: BTreeMap<BootId, CallId>,
}

impl Settlements {
    /// Records the outcome of an attempt, unless it has one already.
    pub fn record(&mut self, request: RequestId, settled: Settled) {
        if self.get(request).is_some() {
            return;
        }
        self.ends.insert(request, settled);
        self.order.push_back(request);
        if self.order.len() > MAX_SETTLEMENTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
            let dropped = self.dropped.entry(oldest.owner).or_default();
            *dropped = oldest.call.max(*dropped);
        }
    }

    /// Returns the outcome of an attempt; `Unknown` if it was dropped, as the attempt may have run.
    pub fn get(&self, request: RequestId) -> Option<Settled> {
        if let Some(settled) = self.ends.get(&request) {
            return Some(settled.clone());
        }
        let dropped = self.dropped.get(&request.owner)?;
        (request.call <= *dropped).then_some(Settled::Unknown)
    }

    /// Returns whether an attempt was dropped or has an outcome other than `NotStarted`.
    pub fn may_have_run(&self, request: RequestId) -> bool {
        self.get(request).is_some_and(|settled| settled != Settled::NotStarted)
    }

    /// Returns the outcome of an attempt that is not running; one without an outcome is recorded as
    /// not started, so that it never starts.
    pub fn settle(&mut self, request: RequestId) -> Settled {
        self.record(request, Settled::NotStarted);
        self.get(request).unwrap_or(Settled::Unknown)
    }
}
