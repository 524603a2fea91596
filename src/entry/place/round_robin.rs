//! Each endpoint in its turn.

use std::collections::BTreeMap;

use super::{Need, Placement, fits};
use crate::model::EndpointState;

/// Takes the endpoints in turn, whatever their load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Placement for RoundRobin {
    fn choose<'a>(
        &mut self,
        need: Need<'_>,
        endpoints: &'a BTreeMap<Box<str>, EndpointState>,
    ) -> Option<&'a EndpointState> {
        let fitting: Vec<_> = endpoints.values().filter(|e| fits(&need, e)).collect();
        self.turn = self.turn.wrapping_add(1);
        fitting.get(self.turn.checked_rem(fitting.len())?).copied()
    }
}
