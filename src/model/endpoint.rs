//! Endpoints, as they announce themselves.

use std::net::SocketAddr;

use eyre::ensure;
use serde::{Deserialize, Serialize};

use super::{BootId, Fence};

/// The longest name of a pool in bytes.
const MAX_POOL_BYTES: usize = 128;
/// The most requests that an endpoint may hold at once.
const MAX_SLOTS: u32 = 100_000;
/// The most pieces of memory that an endpoint may have.
const MAX_PIECES: u32 = 10_000_000;
/// The most tokens in a piece.
const MAX_PIECE_TOKENS: u32 = 10_000_000;

/// What an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine that turns prompts into KV cache.
    Prefill,
    /// A model engine that turns KV cache into tokens.
    Decode,
    /// A plain service.
    Service,
}

impl EndpointKind {
    /// Returns the name that settings and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointKind::Prefill => "prefill",
            EndpointKind::Decode => "decode",
            EndpointKind::Service => "service",
        }
    }
}

/// What an endpoint can hold at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Requests at once.
    pub slots: u32,
    /// Pieces of engine memory.
    pub pieces: u32,
    /// Tokens that one piece holds.
    pub piece_tokens: u32,
}

/// What an endpoint tells its agent when it starts, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where it takes requests, such as `http://127.0.0.1:8000`.
    pub url: Box<str>,
    /// What it does.
    pub kind: EndpointKind,
    /// The model or the service that it serves.
    pub pool: Box<str>,
    /// What it holds at once.
    pub capacity: Capacity,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// What it has loaded, from an endpoint that says so.
    #[serde(default)]
    pub artifact: Option<Box<str>>,
    /// A number that differs after each start of the endpoint.
    #[serde(default)]
    pub boot: BootId,
}

impl Announcement {
    /// Checks what an endpoint says of itself.
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

/// What is in use at an endpoint, by its agent's ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Slots reserved or running.
    pub slots: u32,
    /// Pieces of engine memory reserved or in use.
    pub pieces: u32,
    /// Tokens of prompts that wait or run.
    pub prompt_tokens: u32,
    /// Prompt tokens handled in a second of work; zero as long as it isn't known.
    pub prefill_rate: u32,
}

/// What an agent tells the registry about its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointState {
    /// The agent's name, which is the endpoint's name too.
    pub name: Box<str>,
    /// Where the agent takes exchanges.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Box<str>,
    /// The agent's start.
    pub boot: BootId,
    /// How often the agent has changed anything but the load since its start.
    pub sequence: u64,
    /// What the endpoint does.
    pub kind: EndpointKind,
    /// The model or the service that it serves.
    pub pool: Box<str>,
    /// Where other engines fetch exported KV cache.
    pub url: Box<str>,
    /// What it holds at once.
    pub capacity: Capacity,
    /// What is in use.
    pub load: Load,
    /// Whether it takes no new work.
    pub draining: bool,
    /// The number of the last order carried out.
    pub fence: Fence,
}
