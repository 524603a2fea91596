//! What a gateway that shuts down logs about its open calls.

use super::Gateway;
use super::call::{Call, Stage};
use super::fleet::Fleet;
use crate::model::Timestamp;

/// Why open calls are logged.
#[derive(Debug, Clone, Copy)]
pub(super) enum Listing {
    /// The shutdown has been requested.
    Signal,
    /// The grace period is about to end.
    GraceEnd,
}

impl Listing {
    fn name(self) -> &'static str {
        match self {
            Listing::Signal => "signal",
            Listing::GraceEnd => "grace-end",
        }
    }
}

impl Gateway {
    /// Logs a line for each open call of a gateway that has been shutting down since a time.
    pub(super) fn log_open_calls(&self, now: Timestamp, since: Timestamp, listing: Listing) {
        let at = listing.name();
        for call in self.calls.values() {
            log::info!(
                "step=open-call id={} at={at} route={} service={} came_ms={} after_signal_ms={} \
                 waits_for={} endpoint={} first={} events={} sends={} left_ms={}",
                call.info.id,
                call.route().map_or("", |r| &r.name),
                call.service,
                (now - call.arrived).as_millis(),
                (call.arrived - since).as_millis(),
                waits_for(call),
                endpoint_name(&self.fleet, call),
                call.delivered.head,
                call.delivered.events,
                call.sends,
                call.remaining(now).as_millis(),
            );
        }
    }
}

/// Returns what a call waits for, as it is logged.
fn waits_for(call: &Call) -> &'static str {
    match &call.stage {
        Stage::Waiting => "queue",
        Stage::Probe => "probe",
        Stage::Credit => "credit",
        Stage::Origin(_) => "origin",
        Stage::Hold { .. } => "reservation",
        Stage::Room { .. } => "room",
        Stage::Assign { .. } => "assignment",
        Stage::Prefill { .. } => "prefill",
        Stage::Run { .. } => "run",
    }
}

/// Returns the name of the endpoint that works on a call, or `-`.
fn endpoint_name<'a>(fleet: &'a Fleet, call: &Call) -> &'a str {
    let attempt = match &call.stage {
        Stage::Prefill { attempt, .. } | Stage::Run { attempt, .. } => attempt,
        _ => return "-",
    };
    fleet.get(attempt.endpoint).map_or("-", |e| &e.name)
}
