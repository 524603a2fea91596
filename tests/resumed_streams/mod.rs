//! Streams that are taken up again in a fleet whose endpoints have two software versions.

#![allow(dead_code)]

use std::collections::BTreeSet;

use dotterelpin::model::{BootId, EndpointKind};
use dotterelpin::routes::{RawRoute, RawTable, Repeat};

use crate::fleet_world::{Endpoint, World};
use crate::gateway_fixture::{MODEL, route, table};

/// The path of streams that may be taken up again.
pub const PATH: &str = "/remind/a";
/// How many events a stream has.
pub const EVENTS: u64 = 30;
/// How many gateways the fleet has.
pub const GATEWAYS: usize = 3;
/// How many control members the fleet has.
pub const MEMBERS: usize = 3;

fn streams() -> RawTable {
    let mut all = table();
    let streams = all.routes.iter_mut().filter(|r| r.repeat == Repeat::ResumableStream);
    streams.for_each(|r| *r = RawRoute { ..route("/remind/", MODEL, r.repeat, 3) });
    all
}

/// Returns an engine that decodes, of a software version and with the boot of its start.
pub fn engine(name: &str, software: &str, born: u64) -> Endpoint {
    let mut endpoint = Endpoint::new(name, EndpointKind::Decode, MODEL);
    endpoint.state.software = software.into();
    endpoint.state.boot = BootId(born);
    endpoint
}

/// Returns a fleet whose endpoints have one version, for longer than a stream lasts.
pub fn world() -> World {
    let first = ["d1", "d2", "d3"].map(|name| engine(name, "v1", 1));
    let mut w = World::new(GATEWAYS, MEMBERS, streams(), first.into());
    w.run(4_000);
    w
}

/// Starts two endpoints of a second version.
pub fn release(w: &mut World) {
    w.endpoints.push(engine("d4", "v2", 50));
    w.endpoints.push(engine("d5", "v2", 50));
}

/// Returns the versions that wrote the events of a call, in order.
pub fn events(w: &World, call: u64) -> Vec<String> {
    let content = w.answers.get(&call).map_or(&[][..], |a| &a.content);
    let text = String::from_utf8_lossy(content);
    text.split("\n\n").filter_map(|e| e.split("data: ").nth(1)).map(Into::into).collect()
}

/// A stream with the calls that have brought it.
pub struct Stream {
    /// The calls, oldest first.
    pub calls: Vec<u64>,
    /// When it is taken up again.
    pub next: u64,
}

impl Stream {
    /// Begins a stream at a gateway.
    pub fn begin(w: &mut World, gateway: usize, next: u64) -> Stream {
        Stream { calls: vec![w.stream(gateway, PATH, "1:1", EVENTS)], next }
    }

    /// Returns the versions that wrote its events, in order.
    pub fn events(&self, w: &World) -> Vec<String> {
        self.calls.iter().flat_map(|call| events(w, *call)).collect()
    }

    /// Returns the versions that wrote any of its events.
    pub fn versions(&self, w: &World) -> BTreeSet<String> {
        self.events(w).into_iter().collect()
    }

    /// Takes the stream up at a gateway, unless it has no event or all; returns whether it did.
    pub fn take_up(&mut self, w: &mut World, gateway: usize) -> bool {
        let had = self.events(w).len() as u64;
        let first = self.calls.iter().find(|call| !events(w, **call).is_empty());
        let (Some(origin), true) = (first.copied(), had < EVENTS) else { return false };
        self.calls.iter().for_each(|call| w.leave(*call));
        self.calls.push(w.take_up(gateway, PATH, origin, had, EVENTS));
        true
    }
}

/// Returns the streams that hold events of several versions, for messages.
pub fn mixed(w: &World, all: &[Stream]) -> Vec<String> {
    let mixed = all.iter().filter(|stream| stream.versions(w).len() > 1);
    mixed.map(|stream| format!("{:?}: {:?}", stream.calls, stream.events(w))).collect()
}
