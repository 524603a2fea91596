//! Metrics of what clients of a process take up.

use prometheus::{IntCounterVec, IntGauge};

use super::factory::Factory;

/// A limit on what clients of a process may take up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientLimit {
    /// A large body was not read on for a time.
    Paused,
    /// A request was refused, or unread answers were given up, to free memory.
    Memory,
    /// A caller left too much of one answer unread.
    Unread,
    /// A request came in too slowly.
    Slow,
    /// A connection was closed to make room for another one.
    Connections,
}

impl ClientLimit {
    fn as_str(self) -> &'static str {
        match self {
            ClientLimit::Paused => "paused",
            ClientLimit::Memory => "memory",
            ClientLimit::Unread => "unread",
            ClientLimit::Slow => "slow",
            ClientLimit::Connections => "connections",
        }
    }
}

/// The metrics of clients.
pub struct ClientMetrics {
    limits: IntCounterVec,
    bytes: IntGauge,
    connections: IntGauge,
    handshakes: IntGauge,
}

impl ClientMetrics {
    pub(super) fn new(make: &Factory<'_>) -> eyre::Result<ClientMetrics> {
        Ok(ClientMetrics {
            limits: make.counters(
                "client_limits_total",
                "How often a limit on what clients take up had an effect",
                &["limit"],
            )?,
            bytes: make.gauge("client_bytes", "Memory that is held for clients")?,
            connections: make.gauge("client_connections", "Connections that clients have open")?,
            handshakes: make.gauge(
                "link_handshakes_deferred",
                "Handshakes of peers that were not begun at once, since the start",
            )?,
        })
    }

    /// Counts an effect of a limit.
    pub fn limit(&self, limit: ClientLimit) {
        self.limits.with_label_values(&[limit.as_str()]).inc();
    }

    /// Records how much memory is held for clients, and how many connections they have open.
    pub fn held(&self, bytes: usize, connections: usize) {
        self.bytes.set(bytes as i64);
        self.connections.set(connections as i64);
    }

    /// Records how many handshakes of peers were not begun at once.
    pub fn deferred_handshakes(&self, count: u64) {
        self.handshakes.set(count as i64);
    }
}
