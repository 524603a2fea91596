//! Endpoints: what they announce of themselves and what agents report about them.

use std::net::SocketAddr;

use eyre::ensure;
use serde::{Deserialize, Serialize};

use super::{BootId, Fence};

/// The maximum length of a pool's name in bytes.
const MAX_POOL_BYTES: usize = 128;
/// The maximum number of slots that an endpoint may announce.
const MAX_SLOTS: u32 = 100_000;
/// The maximum number of pieces of memory that an endpoint may announce.
const MAX_PIECES: u32 = 10_000_000;
/// The maximum number of tokens in a piece of memory.
const MAX_PIECE_TOKENS: u32 = 10_000_000;

/// The kind of work that an endpoint runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine that runs prefills and exports their KV cache.
    Prefill,
    /// A model engine that imports KV cache and decodes tokens.
    Decode,
    /// A plain service.
    Service,
}

impl EndpointKind {
    /// Returns the name in settings and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointKind::Prefill => "prefill",
            EndpointKind::Decode => "decode",
            EndpointKind::Service => "service",
        }
    }
}

/// The capacity of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// The number of requests that can run at once.
    pub slots: u32,
    /// The number of pieces into which the engine memory is divided.
    pub pieces: u32,
    /// The number of tokens of KV cache that fit in one piece.
    pub piece_tokens: u32,
}

/// The announcement that an endpoint sends to its agent when it starts, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The URL at which it accepts requests, such as `http://127.0.0.1:8000`.
    pub url: Box<str>,
    /// The kind of work that it runs.
    pub kind: EndpointKind,
    /// The name of the model or the service that it serves.
    pub pool: Box<str>,
    /// The capacity for work at once.
    pub capacity: Capacity,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// The artifact that it has loaded, if it reports one.
    #[serde(default)]
    pub artifact: Option<Box<str>>,
    /// A number that changes with each start of the endpoint.
    #[serde(default)]
    pub boot: BootId,
    /// The version of its software, empty if it reports none.
    #[serde(default)]
    pub software: Box<str>,
}

impl Announcement {
    /// Checks that the URL, the pool name and the capacity are within the allowed ranges.
    ///
    /// ```
    /// use dotterelpin::model::Announcement;
    ///
    /// let text = r#"{"url": "http://127.0.0.1:8000", "kind": "decode", "pool": "cs-summary",
    ///     "capacity": {"slots": 20, "pieces": 60, "piece_tokens": 2000}}"#;
    /// let announcement: Announcement = serde_json::from_str(text).unwrap();
    /// assert!(announcement.check().is_ok());
    /// ```
    pub fn check(&self) -> eyre::Result<()> {
        let address = self.url.strip_prefix("http://").unwrap_or_default();
        ensure!(
            address.parse::<SocketAddr>().is_ok(),
            "url: {:?} is not allowed: http://IP:PORT",
            self.url
        );
        let fits = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        ensure!(
            !self.pool.is_empty()
                && self.pool.len() <= MAX_POOL_BYTES
                && self.pool.chars().all(fits),
            "pool: {:?} is not allowed: 1 to {MAX_POOL_BYTES} letters, digits, dots, hyphens and \
             underscores",
            self.pool
        );
        let counts = [
            ("slots", self.capacity.slots, MAX_SLOTS),
            ("pieces", self.capacity.pieces, MAX_PIECES),
            ("piece_tokens", self.capacity.piece_tokens, MAX_PIECE_TOKENS),
        ];
        for (name, count, max) in counts {
            let range = 1..=max;
            ensure!(range.contains(&count), "capacity.{name}: {count} is not allowed: 1 to {max}");
        }
        Ok(())
    }
}

/// The load of an endpoint according to its agent's ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// The number of slots that are reserved or running.
    pub slots: u32,
    /// The number of pieces of engine memory that are reserved or in use.
    pub pieces: u32,
    /// The number of prompt tokens whose prefills are queued or running.
    pub prompt_tokens: u32,
    /// The prefill rate in prompt tokens per second of work; zero while it is unknown.
    pub prefill_rate: u32,
}

/// The state of an endpoint, which its agent reports to the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointState {
    /// The agent's name, which is the endpoint's name too.
    pub name: Box<str>,
    /// The address at which the agent accepts exchanges.
    pub address: SocketAddr,
    /// The failure domain in which the agent runs.
    pub domain: Box<str>,
    /// The boot of the agent.
    pub boot: BootId,
    /// The number of changes since that boot, not counting those of the load.
    pub sequence: u64,
    /// The kind of work that the endpoint runs.
    pub kind: EndpointKind,
    /// The name of the model or the service that it serves.
    pub pool: Box<str>,
    /// The URL from which other engines fetch exported KV cache.
    pub url: Box<str>,
    /// The capacity for work at once.
    pub capacity: Capacity,
    /// The present load.
    pub load: Load,
    /// Whether it refuses new work.
    pub draining: bool,
    /// The fencing number of the last order that was carried out.
    pub fence: Fence,
    /// The version of its software, empty if it reports none. A stream that one version has begun
    /// can only be continued by the same version.
    pub software: Box<str>,
}
