//! Validation of the routing tables that operators send.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::accounts::{Accounts, RawAccount};
use super::{CallerLimits, EngineShape, Repeat, Route, RouteKey, RouteTable, Service};

/// A route before validation.
#[derive(Debug, Clone, PartialEq)]
pub struct RawRoute {
    /// The name of the route in logs and metrics.
    pub name: String,
    /// The host of its calls.
    pub host: String,
    /// The prefix of its paths, which begins and ends with a slash.
    pub prefix: String,
    /// Whether its calls may run more than once.
    pub repeat: Repeat,
    /// The longest time that a caller waits for the answer, in milliseconds.
    pub timeout_ms: f64,
    /// The latency target for the answer or its first event, in milliseconds.
    pub target_ms: f64,
    /// The latency target for the gap between two events, in milliseconds.
    pub gap_ms: f64,
    /// The priority of its calls; 0 is the most urgent.
    pub priority: u64,
    /// The services that share its calls, with their weights.
    pub split: Vec<(String, f64)>,
    /// The largest number of endpoints that a call may be sent to.
    pub attempts: u64,
    /// Whether its calls need no key of a client account.
    pub public: bool,
}

impl RawRoute {
    /// Returns a route for examples and tests.
    pub fn example() -> RawRoute {
        RawRoute {
            name: "status".into(),
            host: "portal.example".into(),
            prefix: "/status/".into(),
            repeat: Repeat::Idempotent,
            timeout_ms: 600.0,
            target_ms: 100.0,
            gap_ms: 0.0,
            priority: 1,
            split: vec![("portal".into(), 1.0)],
            attempts: 2,
            public: false,
        }
    }
}

/// A service before validation.
#[derive(Debug, Clone, PartialEq)]
pub struct RawService {
    /// The name by which routes refer to it.
    pub name: String,
    /// The path for health checks of its endpoints.
    pub health: String,
    /// The largest number of connections that one endpoint accepts in total.
    pub connections: u64,
    /// The capacity of its engines, if it runs models.
    pub engine: Option<EngineShape>,
}

impl RawService {
    /// Returns a service for examples and tests.
    pub fn example() -> RawService {
        RawService {
            name: "portal".into(),
            health: "/healthz".into(),
            connections: 100,
            engine: None,
        }
    }
}

/// A routing table before validation.
#[derive(Debug, Clone, PartialEq)]
pub struct RawTable {
    /// The version; higher ones replace lower ones.
    pub version: u64,
    /// The routes, in any order.
    pub routes: Vec<RawRoute>,
    /// The services to which the routes refer.
    pub services: Vec<RawService>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The client accounts; without any, requests need no key.
    pub accounts: Vec<RawAccount>,
}

impl RawTable {
    /// Returns a table for examples and tests.
    pub fn example() -> RawTable {
        RawTable {
            version: 1,
            routes: vec![RawRoute::example()],
            services: vec![RawService::example()],
            limits: CallerLimits::default(),
            accounts: Vec::new(),
        }
    }
}

/// The reason why a table is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableError {
    /// The text can't be parsed; contains the position and the cause.
    Unreadable(Box<str>),
    /// A route refers to a service that is not in the table.
    UnknownService {
        /// The name of the route.
        route: Box<str>,
        /// The name of the missing service.
        service: Box<str>,
    },
    /// A prefix doesn't begin and end with a slash.
    BadPrefix {
        /// The name of the route.
        route: Box<str>,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// The name of the second route.
        route: Box<str>,
    },
    /// The weights of a route add up to 0, or one is negative, too large or not a number.
    NoWeight {
        /// The name of the route.
        route: Box<str>,
    },
    /// The timeout of a route is 0, negative, too large or not a number.
    NoTimeout {
        /// The name of the route.
        route: Box<str>,
    },
    /// Two services have the same name.
    DuplicateService {
        /// The name of both services.
        service: Box<str>,
    },
    /// The name of a client account is empty or can't stand in a header field.
    BadAccount {
        /// The position of the client account in the table, from 0.
        index: u32,
    },
    /// A key belongs to two client accounts.
    SharedKey {
        /// The name of the second client account.
        account: Box<str>,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::Unreadable(why) => write!(f, "the table can't be read: {why}"),
            TableError::UnknownService { route, service } => {
                write!(f, "route {route}: service {service} is not in the table")
            }
            TableError::BadPrefix { route } => {
                write!(f, "route {route}: the prefix must begin and end with a slash")
            }
            TableError::DuplicateRoute { route } => {
                write!(f, "route {route}: another route has the same host and prefix")
            }
            TableError::NoWeight { route } => {
                write!(f, "route {route}: the weights must add up to more than 0")
            }
            TableError::NoTimeout { route } => {
                write!(f, "route {route}: the timeout must be more than 0 ms")
            }
            TableError::DuplicateService { service } => {
                write!(f, "service {service}: it stands twice")
            }
            TableError::BadAccount { index } => {
                write!(f, "client account number {index}: the name is empty or not allowed")
            }
            TableError::SharedKey { account } => {
                write!(f, "client account {account}: another one has the same key")
            }
        }
    }
}

impl std::error::Error for TableError {}

impl TryFrom<RawTable> for RouteTable {
    type Error = TableError;

    fn try_from(raw: RawTable) -> Result<RouteTable, TableError> {
        let mut services = BTreeMap::new();
        for service in raw.services {
            let name: Box<str> = service.name.into();
            let checked = Service {
                health: service.health.into(),
                connections: u32::try_from(service.connections).unwrap_or(u32::MAX),
                engine: service.engine.map(checked_engine),
            };
            if services.insert(name.clone(), checked).is_some() {
                return Err(TableError::DuplicateService { service: name });
            }
        }
        let mut hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, RouteKey>> = BTreeMap::new();
        let mut routes = Vec::with_capacity(raw.routes.len());
        for route in raw.routes {
            let key = RouteKey(routes.len() as u32);
            let host = route.host.to_ascii_lowercase().into();
            let prefix: Box<str> = route.prefix.as_str().into();
            let name: Box<str> = route.name.as_str().into();
            routes.push(checked_route(route, &services)?);
            if hosts.entry(host).or_default().insert(prefix, key).is_some() {
                return Err(TableError::DuplicateRoute { route: name });
            }
        }
        Ok(RouteTable {
            version: raw.version,
            routes,
            services,
            limits: checked_limits(raw.limits),
            accounts: Accounts::try_from(raw.accounts)?,
            hosts,
        })
    }
}

fn checked_route(
    raw: RawRoute,
    services: &BTreeMap<Box<str>, Service>,
) -> Result<Route, TableError> {
    let name: Box<str> = raw.name.into();
    if !(raw.prefix.starts_with('/') && raw.prefix.ends_with('/')) {
        return Err(TableError::BadPrefix { route: name });
    }
    if let Some((service, _)) = raw.split.iter().find(|(s, _)| !services.contains_key(s.as_str())) {
        let service = service.as_str().into();
        return Err(TableError::UnknownService { route: name, service });
    }
    let split: Option<Vec<(Box<str>, u32)>> =
        raw.split.into_iter().map(|(s, w)| Some((s.into(), checked_weight(w)?))).collect();
    let split = split.filter(|s| s.iter().any(|(_, weight)| *weight > 0));
    let Some(split) = split else {
        return Err(TableError::NoWeight { route: name });
    };
    let Some(timeout) = millis(raw.timeout_ms).filter(|t| !t.is_zero()) else {
        return Err(TableError::NoTimeout { route: name });
    };
    Ok(Route {
        name,
        repeat: raw.repeat,
        timeout,
        target: millis(raw.target_ms).unwrap_or(timeout),
        gap: millis(raw.gap_ms).unwrap_or_default(),
        priority: u8::try_from(raw.priority).unwrap_or(u8::MAX),
        split,
        attempts: u32::try_from(raw.attempts).unwrap_or(u32::MAX).max(1),
        public: raw.public,
    })
}

/// Weights are stored as integers in thousandths.
const WEIGHT_SCALE: f64 = 1_000.0;

fn checked_weight(weight: f64) -> Option<u32> {
    let scaled = weight * WEIGHT_SCALE;
    (scaled.is_finite() && (0.0..=f64::from(u32::MAX)).contains(&scaled)).then_some(scaled as u32)
}

/// The maximum time that a table may set; longer ones count as this one.
const MAX_TIME: Duration = Duration::from_hours(24);
/// The maximum size of an engine's KV cache in tokens; larger ones count as this one.
const MAX_ENGINE_TOKENS: u32 = 100_000_000;

fn checked_engine(raw: EngineShape) -> EngineShape {
    EngineShape {
        slots: raw.slots,
        tokens: raw.tokens.min(MAX_ENGINE_TOKENS),
        retention: raw.retention.min(MAX_TIME),
    }
}

fn checked_limits(raw: CallerLimits) -> CallerLimits {
    CallerLimits {
        head_timeout: raw.head_timeout.min(MAX_TIME),
        idle_timeout: raw.idle_timeout.min(MAX_TIME),
        ..raw
    }
}

fn millis(value: f64) -> Option<Duration> {
    let time = Duration::try_from_secs_f64(value / 1_000.0).ok()?;
    Some(time.min(MAX_TIME))
}
