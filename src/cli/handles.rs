//! The queues of the roles of a process, for what concerns all of them.

use std::net::SocketAddr;

use super::daemon::Drivers;
use crate::agent::engine::EngineInput;
use crate::control::DiskInput;
use crate::entry::CallerInput;
use crate::h1::{HttpDriver, HttpHandle, HttpInput};
use crate::model::Timestamp;
use crate::role::{Driver, DriverHandle, Input};

/// The queues of all roles that this process runs.
#[derive(Clone)]
pub(super) struct Handles {
    entry: Option<DriverHandle<CallerInput>>,
    agent: Option<DriverHandle<EngineInput>>,
    control: Option<DriverHandle<DiskInput>>,
    http: Vec<HttpHandle>,
}

impl Handles {
    pub(super) fn new(drivers: &Drivers) -> Handles {
        Handles {
            entry: drivers.entry.as_ref().map(Driver::handle),
            agent: drivers.agent.as_ref().map(Driver::handle),
            control: drivers.control.as_ref().map(Driver::handle),
            http: drivers.gateway.iter().chain(&drivers.api).map(HttpDriver::handle).collect(),
        }
    }

    /// Tells the roles with callers that the signal to reload the settings was received.
    pub(super) fn reload(&self) {
        self.http.iter().for_each(|h| h.send(Input::Local(HttpInput::Reload)));
    }

    /// Tells all roles which control members the settings name.
    pub(super) fn name_members(&self, addresses: &[SocketAddr]) {
        let addresses = || addresses.to_vec();
        if let Some(handle) = &self.entry {
            handle.send(Input::Members { addresses: addresses() });
        }
        if let Some(handle) = &self.agent {
            handle.send(Input::Members { addresses: addresses() });
        }
        if let Some(handle) = &self.control {
            handle.send(Input::Members { addresses: addresses() });
        }
        self.http.iter().for_each(|h| h.send(Input::Members { addresses: addresses() }));
    }

    /// Tells the roles to shut down. Control is stopped last, since the other roles of this process
    /// need it until they have stopped; it is told only if there are none.
    pub(super) fn shut_down(&self, since: Timestamp) {
        if let Some(handle) = &self.entry {
            handle.send(Input::Shutdown { since });
        }
        if let Some(handle) = &self.agent {
            handle.send(Input::Shutdown { since });
        }
        self.http.iter().for_each(|h| h.send(Input::Shutdown { since }));
        let alone = self.entry.is_none() && self.agent.is_none() && self.http.is_empty();
        if let Some(handle) = self.control.as_ref().filter(|_| alone) {
            handle.send(Input::Shutdown { since });
        }
    }
}
