//! An open call, and the count of open calls and connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::mpsc;

use super::super::check::RawCall;
use super::super::{CallerEffect, CallerInput};
use super::Shared;
use super::table::{lock, stopped};
use crate::model::CallId;

/// Increments a counter until it is dropped.
pub(super) struct Counted(Arc<AtomicUsize>);

impl Counted {
    pub(super) fn new(count: &Arc<AtomicUsize>) -> Counted {
        count.fetch_add(1, Ordering::SeqCst);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A call with a connected caller; dropping it before [`OpenCall::finish`] means that the caller
/// has disconnected.
pub struct OpenCall {
    pub(super) id: CallId,
    pub(super) shared: Shared,
    pub(super) started: bool,
    pub(super) _counted: Counted,
}

impl OpenCall {
    /// Returns the ID of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Passes the call to the role, or refuses it if the role has stopped.
    pub(super) fn start(mut self, effects: mpsc::Sender<CallerEffect>, raw: RawCall) -> OpenCall {
        let mut calls = lock(&self.shared.calls);
        if calls.closed {
            let _ = effects.try_send(CallerEffect::Finish { call: self.id, outcome: stopped() });
        } else {
            calls.senders.insert(self.id, effects);
            self.started = true;
        }
        drop(calls);
        if self.started {
            self.shared.role.local(CallerInput::Arrived { call: self.id, raw });
        }
        self
    }

    /// Ends the call after its terminal outcome was delivered.
    pub fn finish(mut self) {
        self.started = false;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        lock(&self.shared.calls).senders.remove(&self.id);
        if self.started {
            self.shared.role.local(CallerInput::Disconnected { call: self.id });
        }
    }
}
