//! The progress of replication to another member, kept by the leader.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::{ANSWER_TIMEOUT, LEADER_HEARTBEAT, LogIndex, Position};
use crate::model::Timestamp;

/// The maximum number of unanswered messages with records to a member.
const MAX_IN_FLIGHT: usize = 4;
/// The number of unanswered bytes from which a member gets no further message.
const WINDOW_BYTES: usize = 512 << 10;
/// The assumed minimum rate, in bytes per second, at which a member receives and syncs what it is
/// sent.
const MIN_RATE: u64 = 1 << 20;

/// A message that is not answered yet.
#[derive(Debug)]
struct Sent {
    at: Timestamp,
    /// The index of the last record in it, or of the one before it if it has none.
    end: LogIndex,
    /// What was committed then.
    commit: LogIndex,
    bytes: usize,
}

/// The progress of replication to another member, kept by the leader.
#[derive(Debug)]
pub struct Progress {
    pub(super) address: SocketAddr,
    /// The first record that was not sent yet.
    pub(super) next: LogIndex,
    pub(super) matched: LogIndex,
    /// What was committed when the newest answered message was sent; `None` while replication
    /// restarts.
    goal: Option<LogIndex>,
    /// Whether the leader still searches for the last matching record, one message at a time.
    pub(super) probing: bool,
    /// The unanswered messages, oldest first.
    pending: VecDeque<Sent>,
    /// When the newest answered message was sent.
    acked: Timestamp,
    /// When the member last answered.
    heard: Timestamp,
    last_sent: Timestamp,
    /// The position of the snapshot being sent and the number of bytes received; `None` if none is.
    pub(super) snapshot: Option<(Position, u64)>,
}

impl Progress {
    pub(super) fn new(address: SocketAddr, next: LogIndex) -> Progress {
        Progress {
            address,
            next,
            matched: LogIndex(0),
            goal: None,
            probing: true,
            pending: VecDeque::new(),
            acked: Timestamp::default(),
            heard: Timestamp::default(),
            last_sent: Timestamp::default(),
            snapshot: None,
        }
    }

    /// Returns the index up to which records are known to be synced at the member.
    pub fn matched(&self) -> LogIndex {
        self.matched
    }

    /// Returns whether the member has synced all that was committed when the newest message was sent
    /// that it answered. What is committed later is on its way, however fast more is committed.
    pub(super) fn is_level(&self) -> bool {
        self.snapshot.is_none() && self.goal.is_some_and(|goal| self.matched >= goal)
    }

    /// Returns when the newest answered message was sent.
    pub fn acked(&self) -> Timestamp {
        self.acked
    }

    /// Returns the time of the next heartbeat or answer timeout.
    pub fn next_wake(&self) -> Timestamp {
        let heartbeat = self.last_sent + LEADER_HEARTBEAT;
        match self.answer_due() {
            Some(due) if !self.is_open() => due,
            Some(due) => due.min(heartbeat),
            None => heartbeat,
        }
    }

    fn bytes_in_flight(&self) -> usize {
        self.pending.iter().map(|s| s.bytes).sum()
    }

    /// Returns when the next answer is overdue: after [`ANSWER_TIMEOUT`] and the time that the
    /// bytes in flight take at [`MIN_RATE`], counted from the last answer.
    fn answer_due(&self) -> Option<Timestamp> {
        let oldest = self.pending.front()?;
        let transfer = self.bytes_in_flight() as u64 * 1_000_000 / MIN_RATE;
        Some(oldest.at.max(self.heard) + ANSWER_TIMEOUT + Duration::from_micros(transfer))
    }

    /// Returns when the oldest unanswered message was sent, if its answer is overdue.
    pub(super) fn overdue(&self, now: Timestamp) -> Option<Timestamp> {
        self.answer_due().filter(|due| now >= *due)?;
        self.pending.front().map(|s| s.at)
    }

    /// Returns whether a heartbeat is due and the window is open for it.
    pub(super) fn wants_heartbeat(&self, now: Timestamp) -> bool {
        now - self.last_sent >= LEADER_HEARTBEAT && self.is_open()
    }

    /// Returns whether the unanswered messages allow another one.
    pub(super) fn is_open(&self) -> bool {
        let window = if self.probing || self.snapshot.is_some() { 1 } else { MAX_IN_FLIGHT };
        self.pending.len() < window && self.bytes_in_flight() < WINDOW_BYTES
    }

    /// Returns whether no message is unanswered.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Restarts replication after the last record known to match.
    pub(super) fn restart(&mut self) {
        self.probe(self.matched.next());
    }

    /// Searches for the last matching record, beginning before an index.
    pub(super) fn probe(&mut self, next: LogIndex) {
        self.pending.clear();
        self.goal = None;
        self.probing = true;
        self.next = next;
    }

    /// Records that a message was sent: the index of its last record, what is committed, and its size.
    pub(super) fn sent(&mut self, now: Timestamp, end: LogIndex, commit: LogIndex, bytes: usize) {
        self.pending.push_back(Sent { at: now, end, commit, bytes });
        self.last_sent = now;
    }

    /// Records an answer to the message that was sent at a time, up to an index if the answer names
    /// one.
    pub(super) fn answered(&mut self, now: Timestamp, sent: Timestamp, end: Option<LogIndex>) {
        self.heard = now;
        self.acked = self.acked.max(sent);
        let covers = |s: &Sent| s.at < sent || s.at == sent && end.is_none_or(|e| s.end <= e);
        while self.pending.front().is_some_and(covers) {
            self.goal = self.pending.pop_front().map(|s| s.commit);
        }
    }
}
