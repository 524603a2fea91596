//! Placement by the least load that control reports.

use super::{EndpointKey, Fleet, Need, Placement};
use crate::model::Timestamp;

/// Chooses the endpoint with the least reported load, in turn among equals.
#[derive(Debug, Default)]
pub struct LeastReported {
    turn: usize,
}

impl Placement for LeastReported {
    fn choose(&mut self, _now: Timestamp, need: &Need<'_>, fleet: &Fleet) -> Option<EndpointKey> {
        let slots = |key| fleet.get(key).map(|e| e.state.load.slots);
        let fitting: Vec<_> = fleet.fitting(need).map(|(key, _)| key).collect();
        let least = fitting.iter().copied().map(slots).min()?;
        let equal: Vec<_> = fitting.into_iter().filter(|key| slots(*key) == least).collect();
        self.turn = self.turn.wrapping_add(1);
        equal.get(self.turn.checked_rem(equal.len())?).copied()
    }
}
