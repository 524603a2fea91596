//! Measures the rate of the events of one run.

use std::time::Duration;

use crate::model::Timestamp;

/// The number of events of one measurement: single gaps are distorted by events that are received
/// together.
const EVENTS: u32 = 4;

/// The time that some events of a run took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measured {
    /// How many events were received.
    pub events: u32,
    /// Within which time.
    pub took: Duration,
}

/// Counts the events of a run since the last measurement.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::place::pace::Pace;
/// use dotterelpin::model::Timestamp;
///
/// let at = |millis: u64| Timestamp::from_micros(millis * 1_000);
/// let mut pace = Pace::default();
/// assert!((1..=4).all(|n| pace.received(at(n * 20), 1).is_none()));
/// let measured = pace.received(at(100), 1).unwrap();
/// assert_eq!((measured.events, measured.took), (4, Duration::from_millis(80)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    since: Option<Timestamp>,
    events: u32,
}

impl Pace {
    /// Records that events were received; returns a measurement after each few of them. The time to
    /// the first event is not measured, since it includes a prefill or a transfer.
    pub fn received(&mut self, now: Timestamp, events: u32) -> Option<Measured> {
        if events == 0 {
            return None;
        }
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.events = self.events.saturating_add(events);
        if self.events < EVENTS {
            return None;
        }
        let measured = Measured { events: self.events, took: now - since };
        *self = Pace { since: Some(now), events: 0 };
        Some(measured)
    }
}
