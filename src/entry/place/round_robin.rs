//! Round-robin placement.

use super::{EndpointKey, Fleet, Need, Placement};
use crate::model::Timestamp;

/// Chooses the endpoints in turn, regardless of their load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Placement for RoundRobin {
    fn choose(&mut self, _now: Timestamp, need: &Need<'_>, fleet: &Fleet) -> Option<EndpointKey> {
        let fitting: Vec<_> = fleet.fitting(need).map(|(key, _)| key).collect();
        self.turn = self.turn.wrapping_add(1);
        fitting.get(self.turn.checked_rem(fitting.len())?).copied()
    }
}
