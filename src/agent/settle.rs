//! What became of attempts that may run only once, for entries that ask after them.

use std::collections::{BTreeMap, VecDeque};

use crate::link::message::Settled;
use crate::model::{BootId, CallId, RequestId};

/// How many attempts are remembered.
const MAX_SETTLEMENTS: usize = 4_096;

/// The ends of the latest attempts.
#[derive(Debug, Default)]
pub struct Settlements {
    ends: BTreeMap<RequestId, Settled>,
    order: VecDeque<RequestId>,
    /// The latest call of each entry of which an end was dropped.
    dropped: BTreeMap<BootId, CallId>,
}

impl Settlements {
    /// Records the end of an attempt; the first one stands.
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

    /// Returns the end of an attempt; one that is too old to be remembered may have run.
    pub fn get(&self, request: RequestId) -> Option<Settled> {
        if let Some(settled) = self.ends.get(&request) {
            return Some(settled.clone());
        }
        let dropped = self.dropped.get(&request.owner)?;
        (request.call <= *dropped).then_some(Settled::Unknown)
    }

    /// Returns whether an attempt is known to have run, or is too old to be remembered.
    pub fn may_have_run(&self, request: RequestId) -> bool {
        self.get(request).is_some_and(|settled| settled != Settled::NotStarted)
    }

    /// Says what became of an attempt that does not run now; one that is not known never starts.
    pub fn settle(&mut self, request: RequestId) -> Settled {
        self.record(request, Settled::NotStarted);
        self.get(request).unwrap_or(Settled::Unknown)
    }
}
