//! One open call; when it is dropped unfinished, its caller is gone.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::mpsc;

use super::super::check::RawCall;
use super::super::{CallerEffect, CallerInput};
use super::Shared;
use super::table::{lock, stopped};
use crate::model::CallId;

/// Counts what is open, until it is dropped.
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

/// A call that somebody waits for; when it is dropped unfinished, its caller is gone.
pub struct OpenCall {
    pub(super) id: CallId,
    pub(super) shared: Shared,
    pub(super) started: bool,
    pub(super) _counted: Counted,
}

impl OpenCall {
    /// Returns the number of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Gives the call to the role.
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

    /// Ends the call after its terminal outcome was told.
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
