//! The open calls, and the delivery of the role's effects to them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::super::{CallerEffect, CallerInput, Terminal};
use super::{MAX_PENDING_EFFECTS, RETRY_AFTER};
use crate::model::{CallId, Refusal, RefusalReason};
use crate::role::{Adapter, DriverHandle};

/// The open calls of an entry.
#[derive(Default)]
pub(super) struct Table {
    pub(super) senders: BTreeMap<CallId, mpsc::Sender<CallerEffect>>,
    pub(super) closed: bool,
}

impl Table {
    /// Refuses the open calls, which the stopped role never processed, and any later ones.
    pub(super) fn close(&mut self) {
        self.closed = true;
        for (call, sender) in std::mem::take(&mut self.senders) {
            let _ = sender.try_send(CallerEffect::Finish { call, outcome: stopped() });
        }
    }
}

/// Returns the outcome of a call that arrives after the role has stopped.
pub(super) fn stopped() -> Terminal {
    let detail = "this entry has shut down";
    Terminal::Refused(Refusal::not_run(RefusalReason::Draining, RETRY_AFTER, detail))
}

pub(super) type Calls = Arc<Mutex<Table>>;

pub(super) fn lock(calls: &Calls) -> MutexGuard<'_, Table> {
    calls.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Delivers each call's effects to the task that answers the call.
pub struct Callers {
    pub(super) calls: Calls,
    pub(super) role: DriverHandle<CallerInput>,
}

impl Adapter<CallerEffect> for Callers {
    fn execute(&mut self, effect: CallerEffect) {
        let call = match &effect {
            CallerEffect::Finish { call, .. }
            | CallerEffect::Begin { call }
            | CallerEffect::Tokens { call, .. } => *call,
        };
        let last = matches!(effect, CallerEffect::Finish { .. });
        let mut calls = lock(&self.calls);
        let Some(sender) = calls.senders.get(&call) else { return };
        let lost = match sender.try_send(effect) {
            Ok(()) => false,
            Err(TrySendError::Full(_)) => {
                log::warn!("step=slow-caller call={call} waiting={MAX_PENDING_EFFECTS}");
                true
            }
            Err(TrySendError::Closed(_)) => true,
        };
        if lost || last {
            calls.senders.remove(&call);
        }
        if lost && !last {
            self.role.local(CallerInput::Disconnected { call });
        }
    }
}
