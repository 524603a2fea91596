//! What became of attempts, for entries that ask after the first owner is gone.

use std::collections::{BTreeMap, VecDeque};

use crate::link::message::Settled;
use crate::model::RequestId;

/// How many attempts are remembered.
const MOST_SETTLEMENTS: usize = 10_000;

/// The ends of the latest attempts.
#[derive(Debug, Default)]
pub struct Settlements {
    ends: BTreeMap<RequestId, Settled>,
    order: VecDeque<RequestId>,
}

impl Settlements {
    /// Records the end of an attempt; the first one stands.
    pub fn close(&mut self, request: RequestId, settled: Settled) {
        if self.ends.contains_key(&request) {
            return;
        }
        self.ends.insert(request, settled);
        self.order.push_back(request);
        if self.order.len() > MOST_SETTLEMENTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// Returns whether an attempt has ended or may never start.
    pub fn is_closed(&self, request: RequestId) -> bool {
        self.ends.contains_key(&request)
    }

    /// Says what became of an attempt that does not run now; one that is not known never starts.
    pub fn settle(&mut self, request: RequestId) -> Settled {
        if let Some(settled) = self.ends.get(&request) {
            return settled.clone();
        }
        self.close(request, Settled::NotStarted);
        Settled::NotStarted
    }
}
