//! The silence of an endpoint that has exceeded the timeout of an attempt, as it is logged.

use std::time::Duration;

use super::call::{Attempt, Call, Stage};
use crate::model::Timestamp;

/// The connection of an attempt.
#[derive(Debug, Clone, Copy)]
enum Connection {
    /// It was established for an earlier request.
    Reused,
    /// It was established for this attempt.
    New,
    /// It was not established in time.
    Pending,
}

impl Connection {
    fn of(attempt: &Attempt) -> Connection {
        match (attempt.connected, attempt.reused) {
            (false, _) => Connection::Pending,
            (true, true) => Connection::Reused,
            (true, false) => Connection::New,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Connection::Reused => "reused",
            Connection::New => "new",
            Connection::Pending => "pending",
        }
    }
}

/// What follows for the call when an attempt is silent beyond its timeout.
#[derive(Debug, Clone, Copy)]
pub enum AfterSilence {
    /// It is retried, or waits for capacity to be retried.
    Retry,
    /// The attempt goes on, as no other one could follow.
    Kept,
    /// It has ended.
    Ended,
}

impl AfterSilence {
    fn name(self) -> &'static str {
        match self {
            AfterSilence::Retry => "retry",
            AfterSilence::Kept => "kept",
            AfterSilence::Ended => "ended",
        }
    }
}

/// An attempt at the moment when the silence of its endpoint exceeds the timeout.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    stage: &'static str,
    age: Duration,
    /// The time since the last event of this attempt, if there was one.
    event_age: Option<Duration>,
    connection: Connection,
}

impl Silence {
    /// Returns the silence of a call's present attempt; `None` if it has none.
    pub fn of(now: Timestamp, call: &Call) -> Option<Silence> {
        let (stage, attempt) = match &call.stage {
            Stage::Prefill { attempt, .. } => ("prefill", attempt),
            Stage::Run { attempt, .. } => ("run", attempt),
            Stage::Waiting
            | Stage::Probe
            | Stage::Credit
            | Stage::Origin(_)
            | Stage::Room { .. }
            | Stage::Hold { .. }
            | Stage::Assign { .. } => {
                return None;
            }
        };
        let last = call.delivered.last.filter(|at| *at >= attempt.since);
        Some(Silence {
            stage,
            age: now - attempt.since,
            event_age: last.map(|at| now - at),
            connection: Connection::of(attempt),
        })
    }

    /// Logs it with what follows; `event_ms` is -1 if the attempt had no event.
    pub fn log(&self, id: &str, endpoint: &str, next: AfterSilence) {
        log::info!(
            "step=silence id={id} endpoint={endpoint} stage={} ms={} event_ms={} connection={} \
             next={}",
            self.stage,
            self.age.as_millis(),
            self.event_age.map_or(-1, |age| age.as_millis() as i64),
            self.connection.name(),
            next.name(),
        );
    }
}
