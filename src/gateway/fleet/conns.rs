//! The connections of a gateway to endpoints: their jobs, their reuse and their ends.

use std::time::Duration;

use super::{EndpointKey, Fleet};
use crate::control::quarantine::Start;
use crate::h1::{CallerId, PeerId};
use crate::model::{BootId, Timestamp};

/// How long a connection may have been idle to be reused for a call that must not be repeated: the
/// endpoint may be closing an older one at that moment.
const IDLE_REUSE_ONCE: Duration = Duration::from_millis(1_000);
/// How long a connection may have been idle to be reused for anything else.
const IDLE_REUSE: Duration = Duration::from_millis(3_000);
/// How long before the endpoint's own idle timeout a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Job {
    /// Idle, ready to be reused.
    Idle,
    /// An attempt of a call.
    Call(CallerId),
    /// A reservation request for a call.
    Hold(CallerId),
    /// A report request.
    Report,
    /// A request that frees an export or drops a reservation.
    Free,
    /// A prefill, or a reservation request, whose call has ended or goes on without it.
    Late,
}

impl Job {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Job::Idle => "idle",
            Job::Call(_) => "call",
            Job::Hold(_) => "hold",
            Job::Report => "report",
            Job::Free => "free",
            Job::Late => "late",
        }
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Conn {
    /// The endpoint that it leads to.
    pub endpoint: EndpointKey,
    /// The start of the endpoint for which it was opened.
    pub(super) boot: BootId,
    /// Its present use.
    pub job: Job,
    /// When it was opened.
    opened: Timestamp,
    /// When the present use began.
    pub since: Timestamp,
    /// Whether it is established.
    pub connected: bool,
    /// Whether the answer that is being received belongs to another request and is discarded.
    pub stray: bool,
    /// Whether any answer on it belonged to another request; it is not reused then.
    pub spoilt: bool,
    /// The bytes of it that were discarded.
    pub stray_bytes: usize,
    /// How long it may stay idle, by the endpoint's `Keep-Alive` field if it sends one.
    pub idle_timeout: Duration,
    /// The start that an answer on it has named: it leads to that one for as long as it is open.
    pub proven: Option<BootId>,
    /// Whether its reservation request waits for a report that names the start.
    pub checks: bool,
    /// The status of the last answer to a side request; 0 if there was none.
    pub status: u16,
    /// The content of the answer to a side request, as far as received.
    pub content: Vec<u8>,
}

impl Conn {
    fn begin(&mut self, now: Timestamp, job: Job) {
        self.job = job;
        self.since = now;
        self.stray = false;
        self.checks = false;
    }

    /// Discards the answer that is being received, since it belongs to another request.
    pub fn discard(&mut self) {
        self.stray = true;
        self.stray_bytes = 0;
        self.spoilt = true;
    }
}

impl Fleet {
    /// Returns how many connections have a job.
    pub fn jobs(&self, job: Job) -> usize {
        self.conns.values().filter(|c| c.job == job).count()
    }

    /// Returns whether a connection to an endpoint has a job.
    pub fn has_job(&self, endpoint: EndpointKey, job: Job) -> bool {
        self.conns.values().any(|c| c.endpoint == endpoint && c.job == job)
    }

    /// Returns a connection for changes, or `None` once it is closed.
    pub fn conn(&mut self, peer: PeerId) -> Option<&mut Conn> {
        self.conns.get_mut(&peer)
    }

    /// Returns when a connection was opened if no answer on it has named the start of its endpoint.
    pub fn unproven_since(&self, peer: PeerId) -> Option<Timestamp> {
        self.conns.get(&peer).filter(|c| c.proven.is_none()).map(|c| c.opened)
    }

    /// Returns the start of the endpoint for which a connection was opened.
    pub fn start_at(&self, peer: PeerId) -> Option<Start> {
        let conn = self.conns.get(&peer)?;
        let endpoint = self.endpoints.get(conn.endpoint)?;
        Some(Start { endpoint: endpoint.name.clone(), boot: conn.boot })
    }

    /// Assigns a job to the most recently used idle connection to an endpoint, if it has not been
    /// idle too long; `once` is set for a call that must not be repeated.
    pub fn reuse(
        &mut self,
        now: Timestamp,
        key: EndpointKey,
        job: Job,
        once: bool,
    ) -> Option<PeerId> {
        let max_idle = if once { IDLE_REUSE_ONCE } else { IDLE_REUSE };
        let endpoint = self.endpoints.get_mut(key)?;
        let peer = *endpoint.idle.last()?;
        let conn = self.conns.get_mut(&peer)?;
        if now - conn.since > max_idle.min(conn.idle_timeout) {
            return None;
        }
        endpoint.idle.pop();
        conn.begin(now, job);
        Some(peer)
    }

    /// Returns an idle connection that is known to lead to the listed start of an endpoint, if it
    /// has not been idle too long.
    pub fn proven(&self, now: Timestamp, key: EndpointKey) -> Option<PeerId> {
        let endpoint = self.endpoints.get(key)?;
        let leads = |c: &Conn| {
            let fresh = now - c.since <= IDLE_REUSE.min(c.idle_timeout);
            fresh && c.proven == Some(endpoint.listed.0)
        };
        let proven = |peer: &&PeerId| self.conns.get(peer).is_some_and(leads);
        endpoint.idle.iter().rev().find(proven).copied()
    }

    /// Assigns a job to an idle connection that is known to lead to the listed start of an endpoint.
    pub fn reuse_proven(&mut self, now: Timestamp, key: EndpointKey, job: Job) -> Option<PeerId> {
        let peer = self.proven(now, key)?;
        self.endpoints.get_mut(key)?.idle.retain(|p| *p != peer);
        self.conns.get_mut(&peer)?.begin(now, job);
        Some(peer)
    }

    /// Records a new connection for a job; the caller dials it.
    pub fn open(&mut self, now: Timestamp, endpoint: EndpointKey, job: Job) -> PeerId {
        self.last_peer += 1;
        let peer = PeerId(self.last_peer);
        let boot = self.endpoints.get(endpoint).map_or_else(BootId::default, |e| e.listed.0);
        let conn = Conn {
            endpoint,
            boot,
            job,
            opened: now,
            since: now,
            connected: false,
            stray: false,
            spoilt: false,
            stray_bytes: 0,
            idle_timeout: IDLE_REUSE,
            proven: None,
            checks: false,
            status: 0,
            content: Vec::new(),
        };
        self.conns.insert(peer, conn);
        peer
    }

    /// Keeps a connection for reuse if its endpoint still accepts work and no stray answer came on it;
    /// returns whether it is kept.
    pub fn park(&mut self, now: Timestamp, peer: PeerId, timeout: Option<Duration>) -> bool {
        let Some(conn) = self.conns.get_mut(&peer).filter(|c| !c.spoilt) else { return false };
        let endpoint = self.endpoints.get_mut(conn.endpoint).filter(|e| e.accepts_work);
        let Some(endpoint) = endpoint else { return false };
        conn.job = Job::Idle;
        conn.since = now;
        conn.content = Vec::new();
        if let Some(timeout) = timeout {
            conn.idle_timeout = timeout.saturating_sub(IDLE_MARGIN);
        }
        endpoint.idle.push(peer);
        true
    }

    /// Removes a connection and returns it.
    pub fn close(&mut self, peer: PeerId) -> Option<Conn> {
        let conn = self.conns.remove(&peer)?;
        if let Some(endpoint) = self.endpoints.get_mut(conn.endpoint) {
            endpoint.idle.retain(|p| *p != peer);
        }
        Some(conn)
    }

    /// Removes the connections that were idle too long and returns them.
    pub fn close_stale(&mut self, now: Timestamp) -> Vec<PeerId> {
        let old = |c: &Conn| c.job == Job::Idle && now - c.since > IDLE_REUSE.min(c.idle_timeout);
        let peers: Vec<PeerId> =
            self.conns.iter().filter(|(_, c)| old(c)).map(|(p, _)| *p).collect();
        for peer in &peers {
            self.close(*peer);
        }
        peers
    }

    /// Removes the connections of reports and releases that took longer than `max_time`, and
    /// returns them with their endpoints.
    pub fn close_overdue_jobs(
        &mut self,
        now: Timestamp,
        max_time: Duration,
    ) -> Vec<(PeerId, EndpointKey)> {
        let side = |c: &Conn| matches!(c.job, Job::Report | Job::Free);
        let late = |c: &Conn| side(c) && now - c.since > max_time;
        let peers: Vec<(PeerId, EndpointKey)> =
            self.conns.iter().filter(|(_, c)| late(c)).map(|(p, c)| (*p, c.endpoint)).collect();
        for (peer, _) in &peers {
            self.close(*peer);
        }
        peers
    }
}
