//! Endpoints, as they announce themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{BootId, Fence};

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

/// What is in use at an endpoint, by its agent's ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Slots reserved or running.
    pub slots: u32,
    /// Pieces of engine memory reserved or in use.
    pub pieces: u32,
    /// Tokens of prompts that wait or run.
    pub prompt_tokens: u32,
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
