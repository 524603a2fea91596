//! The endpoints that a gateway knows, their load, and its connections to them.

mod conns;
mod listing;
mod slow;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

pub use conns::{Conn, Job};

pub use super::endpoint::{Endpoint, Usage};
use super::notices::{Closed, Notices};
use super::place::locality::DomainTerms;
use super::place::{DecodeLoad, PlainLoad, PrefillLoad, place_plain};
use super::protocol::LimitNotice;
use crate::h1::PeerId;
use crate::model::{BootId, EndpointKind, Timestamp};
use crate::routes::EngineShape;

new_key_type! {
    /// The key of an endpoint in a [`Fleet`].
    pub struct EndpointKey;
}

/// What an answer says about the limit of its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Said {
    /// What it says.
    pub notice: LimitNotice,
    /// Whether it answers a call.
    pub to_call: bool,
}

/// The endpoints among which one is chosen for a call.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The service of the call.
    pub service: &'a str,
    /// Endpoints at which an attempt has failed; they get no further one.
    pub tried: &'a [EndpointKey],
    /// The software version that the endpoint must have, if not any.
    pub software: Option<&'a str>,
}

impl Choice<'_> {
    /// Returns whether an endpoint may be chosen, whatever its load.
    pub fn allows(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        let fits = self.software.is_none_or(|software| *software == *endpoint.software);
        fits && endpoint.accepts_work && !self.tried.contains(&key)
    }
}

/// All endpoints that a gateway knows and its connections to them.
#[derive(Debug)]
pub struct Fleet {
    domain: Box<str>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    names: BTreeMap<Box<str>, EndpointKey>,
    pools: BTreeMap<Box<str>, Vec<EndpointKey>>,
    conns: BTreeMap<PeerId, Conn>,
    /// What starts of endpoints that are no longer listed have said, oldest first.
    unlisted: VecDeque<(Box<str>, BootId, Notices)>,
    last_peer: u64,
}

impl Fleet {
    /// Creates a fleet without endpoints for a gateway in a failure domain.
    pub fn new(domain: &str) -> Fleet {
        Fleet {
            domain: domain.into(),
            endpoints: SlotMap::with_key(),
            names: BTreeMap::new(),
            pools: BTreeMap::new(),
            conns: BTreeMap::new(),
            unlisted: VecDeque::new(),
            last_peer: 0,
        }
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the endpoint with a key, or `None` once it is removed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns the key of the endpoint with a name, if work may be sent there now.
    pub fn named(&self, now: Timestamp, name: &str) -> Option<EndpointKey> {
        let key = *self.names.get(name)?;
        self.endpoints.get(key).filter(|e| e.takes_work(now)).map(|_| key)
    }

    /// Returns the endpoint with a key for changes, or `None` once it is removed.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Returns the endpoints of a service.
    pub fn pool(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.pools.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.endpoints.get(*key)?)))
    }

    /// Returns the prefill and decode endpoints of all services.
    pub fn engines(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().filter(|(_, e)| e.kind != EndpointKind::Service)
    }

    /// Returns the endpoint of a plain service that is expected to answer first, by its calls and
    /// its learned service time; `draw` breaks ties. `leaves` is whether the call leaves the domain, if
    /// that is decided.
    ///
    /// Returns `None` while all healthy endpoints have as many calls as their windows allow; the
    /// call waits then.
    pub fn pick_plain(
        &self,
        now: Timestamp,
        choice: Choice<'_>,
        terms: DomainTerms,
        leaves: Option<bool>,
        draw: u64,
    ) -> Option<EndpointKey> {
        let allowed = |k, e: &Endpoint| choice.allows(k, e) && e.takes_work(now);
        let open: Vec<(EndpointKey, &Endpoint)> =
            self.pool(choice.service).filter(|(k, e)| allowed(*k, e)).collect();
        // If none is healthy, trying one that may be down is better than refusing the call.
        let any_healthy = open.iter().any(|(_, e)| e.health.is_available(now));
        let has_capacity = |e: &Endpoint| e.is_open(now) && e.window.has_capacity(e.usage.slots);
        let usable = open.iter().filter(|(_, e)| !any_healthy || has_capacity(e));
        let load = |(key, e): &(EndpointKey, &Endpoint)| e.plain_load(now, *key);
        let loads: Vec<PlainLoad<EndpointKey>> = usable.map(load).collect();
        place_plain(&loads, terms, leaves, open.len(), draw)
    }

    /// Returns whether a service has a decode endpoint that may be chosen, whatever its load.
    pub fn has_decode(&self, choice: Choice<'_>) -> bool {
        let mut pool = self.pool(choice.service);
        pool.any(|(k, e)| e.kind == EndpointKind::Decode && choice.allows(k, e))
    }

    /// Records that the endpoint of a connection has said that it leaves, and returns it if that is
    /// new. An answer of an earlier start says nothing about the present one.
    pub fn leaves(&mut self, peer: PeerId) -> Option<&Endpoint> {
        let conn = self.conns.get(&peer)?;
        let endpoint = self.endpoints.get_mut(conn.endpoint)?;
        if endpoint.listed.0 != conn.boot || endpoint.notices.leaving {
            return None;
        }
        endpoint.notices.leaving = true;
        endpoint.accepts_work = false;
        Some(endpoint)
    }

    /// Records that the endpoint of a connection has requested a backoff, and returns it if that is a
    /// change. An answer of an earlier start says nothing about the present one.
    pub fn backs_off(
        &mut self,
        now: Timestamp,
        peer: PeerId,
        backoff: Duration,
        draw: u64,
    ) -> Option<&Endpoint> {
        let conn = self.conns.get(&peer)?;
        let endpoint = self.endpoints.get_mut(conn.endpoint)?;
        let present = endpoint.listed.0 == conn.boot;
        (present && endpoint.notices.requested_backoff(now, backoff, draw)).then_some(endpoint)
    }

    /// Records what an answer of the endpoint of a connection says about how many requests it takes,
    /// and returns the endpoint if that is a change. An answer of an earlier start says nothing about
    /// the present one.
    pub fn limited(
        &mut self,
        now: Timestamp,
        peer: PeerId,
        said: &Said,
        gateways: u32,
        draw: u64,
    ) -> Option<&Endpoint> {
        let conn = self.conns.get(&peer)?;
        let endpoint = self.endpoints.get_mut(conn.endpoint)?;
        let present = endpoint.listed.0 == conn.boot;
        let limit = &mut endpoint.notices.limit;
        let changed = present && limit.noticed(now, said.notice, said.to_call, gateways, draw);
        changed.then_some(endpoint)
    }

    /// Returns whether any endpoint of a service has said something against new requests.
    pub fn has_notices(&self, now: Timestamp, service: &str) -> bool {
        self.pool(service).any(|(_, e)| !e.notices.accepts_requests(now))
    }

    /// Returns why no endpoint of a kind, or of any, may be chosen because of what they have said;
    /// `None` if one may be chosen, or if they have said nothing.
    pub fn closed(
        &self,
        now: Timestamp,
        choice: Choice<'_>,
        kind: Option<EndpointKind>,
    ) -> Option<Closed> {
        let mut leaving = false;
        let mut reopens: Option<Timestamp> = None;
        for (key, endpoint) in self.pool(choice.service) {
            if kind.is_some_and(|kind| endpoint.kind != kind) {
                continue;
            }
            if choice.allows(key, endpoint) && endpoint.takes_work(now) {
                return None;
            }
            leaving |= endpoint.notices.leaving;
            if endpoint.accepts_work && !endpoint.notices.accepts_requests(now) {
                let until = endpoint.notices.reopens(now);
                reopens = Some(reopens.map_or(until, |first| first.min(until)));
            }
        }
        match reopens {
            Some(until) => Some(Closed::BackingOff(until)),
            None => leaving.then_some(Closed::Leaving),
        }
    }

    /// Returns the loads of the decode endpoints of a service that may get a call.
    pub fn decode_loads<'a>(
        &'a self,
        now: Timestamp,
        choice: Choice<'a>,
        shape: &EngineShape,
    ) -> impl Iterator<Item = DecodeLoad<EndpointKey>> + use<'a> {
        let (slots, tokens) = (shape.slots, shape.tokens);
        let of_kind = move |e: &Endpoint| e.kind == EndpointKind::Decode && e.is_open(now);
        let open = self.pool(choice.service);
        let open = open.filter(move |(k, e)| of_kind(e) && choice.allows(*k, e));
        open.map(move |(key, e)| {
            let used = e.all_usage(now);
            DecodeLoad {
                key,
                local: e.local,
                slots_used: used.slots,
                slots,
                tokens_used: used.tokens,
                tokens,
                rate: e.rate(now),
            }
        })
    }

    /// Returns the loads of the prefill endpoints of a service that may get a prompt; `domain` is
    /// the failure domain of the decode endpoint.
    pub fn prefill_loads<'a>(
        &'a self,
        now: Timestamp,
        choice: Choice<'a>,
        shape: &EngineShape,
        domain: &'a str,
    ) -> impl Iterator<Item = PrefillLoad<EndpointKey>> + use<'a> {
        let slots = shape.slots;
        let of_kind = move |e: &Endpoint| e.kind == EndpointKind::Prefill && e.is_open(now);
        let open = self.pool(choice.service);
        let open = open.filter(move |(k, e)| of_kind(e) && choice.allows(*k, e));
        open.map(move |(key, e)| PrefillLoad {
            key,
            local: *e.domain == *domain,
            slots_used: e.usage.slots,
            slots,
            backlog: e.usage.tokens,
            rate: e.rate(now),
        })
    }
}
