//! The routing table: which calls go to which services, and what may be done with them.
//!
//! Operators send a table as a whole under a version of its own; the highest version is in force.

mod check;

use std::collections::BTreeMap;
use std::time::Duration;

pub use check::{RawRoute, RawService, RawTable, TableError};

/// The key of a route in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// Whether the calls of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// A call may run any number of times.
    Idempotent,
    /// A call runs at most once.
    Once,
    /// The answer is a stream of events; a broken one may go on elsewhere after its last event.
    ResumableStream,
    /// The answer is a stream of events, and the call runs at most once.
    Stream,
}

impl Repeat {
    /// Returns whether a call may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream)
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name in logs.
    pub name: Box<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a call is kept waiting.
    pub timeout: Duration,
    /// The target for the answer, or for its first event.
    pub target: Duration,
    /// The longest pause between events of an answer in time.
    pub gap: Duration,
    /// The rank of its calls; 0 is the most urgent.
    pub priority: u8,
    /// The services that share its calls, with their weights.
    pub split: Vec<(Box<str>, u32)>,
    /// The most endpoints that a call may be sent to.
    pub attempts: u32,
}

impl Route {
    /// Returns the service for a draw from all 64-bit numbers.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = draw.checked_rem(total)?;
        self.split.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(&**service);
            }
            left -= weight;
            None
        })
    }
}

/// What is known of the engines behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineShape {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens of KV cache that an engine holds.
    pub tokens: u32,
    /// How long a prefill endpoint keeps KV cache that nobody takes.
    pub retention: Duration,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The path of its health page.
    pub health: Box<str>,
    /// Connections that one endpoint takes from all callers together.
    pub connections: u32,
    /// Its engines, if it runs models.
    pub engine: Option<EngineShape>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's content.
    pub body_bytes: usize,
    /// How long a request's head may take.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A checked routing table.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    services: BTreeMap<Box<str>, Service>,
    limits: CallerLimits,
    /// The prefixes of each host.
    hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, RouteKey>>,
}

impl RouteTable {
    /// Returns the version; higher ones replace lower ones.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Returns a route of this table.
    pub fn get(&self, key: RouteKey) -> Option<&Route> {
        self.routes.get(key.0 as usize)
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the services by name.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.services.iter().map(|(name, service)| (&**name, service))
    }

    /// Finds the route of a host with the longest prefix of a path.
    ///
    /// ```
    /// use dotterelpin::routes::{RawRoute, RawService, RawTable, RouteTable};
    ///
    /// let route = |prefix: &str| RawRoute { prefix: prefix.into(), ..RawRoute::example() };
    /// let raw = RawTable {
    ///     routes: vec![route("/a/"), route("/a/b/")],
    ///     ..RawTable::example()
    /// };
    /// let table = RouteTable::try_from(raw).unwrap();
    /// let long = table.find("portal.example", "/a/b/c").unwrap();
    /// assert_ne!(Some(long), table.find("portal.example", "/a/c"));
    /// assert_eq!(table.find("portal.example", "/c"), None);
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let lower = host.to_ascii_lowercase();
        let name = lower.split_once(':').map_or(&*lower, |(name, _)| name);
        let prefixes = self.hosts.get(name)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| path.get(..end)).find_map(|prefix| prefixes.get(prefix)).copied()
    }
}
