//! The routing table: it maps calls to services and says how a call may be timed and repeated.
//!
//! Operators always send a complete table with a version; the highest version is in force.

pub mod accounts;
mod check;

use std::collections::BTreeMap;
use std::time::Duration;

use accounts::Accounts;
pub use check::{RawRoute, RawService, RawTable, TableError};

/// The index of a route in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(u32);

/// Whether the calls of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// A call may run any number of times.
    Idempotent,
    /// A call runs at most once.
    Once,
    /// The answer is a stream of events; a broken stream may be resumed at another endpoint after
    /// its last event.
    ResumableStream,
    /// The answer is a stream of events, and the call runs at most once.
    Stream,
}

impl Repeat {
    /// Returns whether a call may be sent again although an earlier attempt may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream)
    }

    /// Returns whether the answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::ResumableStream)
    }
}

/// The calls of one host and path prefix, and how they are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route in logs and metrics.
    pub name: Box<str>,
    /// Whether its calls may run more than once.
    pub repeat: Repeat,
    /// The longest time that a caller waits for the answer.
    pub timeout: Duration,
    /// The latency target for the answer, or for its first event.
    pub target: Duration,
    /// The latency target for the gap between two events of an answer.
    pub gap: Duration,
    /// The priority of its calls; 0 is the most urgent.
    pub priority: u8,
    /// The services that share its calls, with their weights in thousandths.
    pub split: Vec<(Box<str>, u32)>,
    /// The largest number of endpoints that a call may be sent to.
    pub attempts: u32,
    /// Whether its calls need no key of a client account.
    pub public: bool,
}

impl Route {
    /// Returns the service that a random 64-bit number selects by weight, or `None` if the total
    /// weight is 0.
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

/// The capacity of each engine of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineShape {
    /// The number of requests that an engine runs at once.
    pub slots: u32,
    /// The size of an engine's KV cache in tokens.
    pub tokens: u32,
    /// How long a prefill endpoint keeps KV cache that is not fetched.
    pub retention: Duration,
}

/// The settings of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The path for health checks of its endpoints.
    pub health: Box<str>,
    /// The largest number of connections that one endpoint accepts in total.
    pub connections: u32,
    /// The capacity of its engines, if it runs models.
    pub engine: Option<EngineShape>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request in bytes.
    pub head_bytes: usize,
    /// The largest content of a request in bytes.
    pub body_bytes: usize,
    /// The timeout for receiving the head of a request, and again for receiving its content.
    pub head_timeout: Duration,
    /// The timeout after which an idle connection is closed.
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

/// A validated routing table.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteTable {
    version: u64,
    routes: Vec<Route>,
    services: BTreeMap<Box<str>, Service>,
    limits: CallerLimits,
    accounts: Accounts,
    /// The routes by host and path prefix.
    hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, RouteKey>>,
}

impl RouteTable {
    /// Returns the version; higher ones replace lower ones.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns the routes in the order of the table.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Returns the route with a key of this table.
    pub fn get(&self, key: RouteKey) -> Option<&Route> {
        self.routes.get(key.0 as usize)
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the services with their names, in the order of the names.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.services.iter().map(|(name, service)| (&**name, service))
    }

    /// Returns the route of a host with the longest prefix of a path; a port in `host` is ignored.
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
