//! Which engines this gateway polls for load reports.
//!
//! Each engine is polled by one gateway, whose reports reach the others through control. A gateway
//! that hears the reports of another one doesn't poll. One that hears none for a time takes over; how
//! long it waits depends on its weight for the engine (rendezvous hashing), so that few gateways do so
//! at once. If several poll an engine, control passes on the reports of the one with the highest
//! weight, and the others stop as they hear them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::link::message::EngineTag;
use crate::model::Timestamp;
use crate::registry::view::hash;

/// The interval between two polls of an engine. With two intervals of heartbeats on the way to
/// another gateway, a report there is at most 1.5 s old.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The interval while control passes on no reports, and while the engine doesn't answer.
pub const ALONE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the reports of another gateway may be absent: two heartbeats that bring none, and some
/// delay.
pub const SILENCE: Duration = Duration::from_millis(1_200);
/// The age from which a report doesn't count as one of a gateway that polls: above that of any report
/// in normal operation.
const MAX_AGE: Duration = Duration::from_millis(2_000);
/// How long a gateway that begins to use an engine waits for the reports of another one: one
/// heartbeat, and some delay.
const FIRST_WAIT: Duration = Duration::from_millis(600);
/// The additional time that the gateway with the second highest weight waits, and so on.
const RANK_STEP: Duration = Duration::from_millis(120);
/// The longest additional time: with [`SILENCE`] it is within two seconds.
const MAX_RANK_DELAY: Duration = Duration::from_millis(600);
/// The minimum time between two calls of [`Polls::due`] because of a poll.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// An engine whose reports a gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wanted<K> {
    /// The gateway's key of the engine.
    pub key: K,
    /// The start of the engine.
    pub tag: EngineTag,
    /// Whether the service was called a moment ago; otherwise a poller goes on, but none begins.
    pub called: bool,
}

/// What a gateway knows of other gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Others {
    /// Whether control passes on reports.
    pub in_reach: bool,
    /// The number of gateways, this one included.
    pub gateways: u32,
}

/// The polls of one engine.
#[derive(Debug)]
struct Engine {
    tag: EngineTag,
    weight: u16,
    /// When the gateway may begin to poll, without the additional time by rank.
    takes_over: Timestamp,
    polling: bool,
    /// When it polls next, if it polls.
    next: Timestamp,
    /// Whether its last poll was answered.
    answered: bool,
}

/// The polls of all engines that a gateway uses.
#[derive(Debug)]
pub struct Polls<K> {
    gateway: Box<str>,
    engines: BTreeMap<K, Engine>,
}

impl<K: Copy + Ord> Polls<K> {
    /// Creates the polls of a gateway with a name.
    pub fn new(gateway: &str) -> Polls<K> {
        Polls { gateway: gateway.into(), engines: BTreeMap::new() }
    }

    /// Replaces the engines whose reports are used; returns the tags of all of them if there are new
    /// ones.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelpin::gateway::reports::polls::{Others, Polls, Wanted};
    /// use dotterelpin::link::message::EngineTag;
    /// use dotterelpin::model::{BootId, Timestamp};
    ///
    /// let now = Timestamp::from_micros(1_000_000);
    /// let tag = EngineTag::of("decode-1", BootId(1));
    /// let mut polls = Polls::new("gateway-1");
    /// polls.want(now, &[Wanted { key: 1, tag, called: true }]);
    ///
    /// // Without control it polls at once; otherwise it waits for the reports of another gateway.
    /// let alone = Others { in_reach: false, gateways: 3 };
    /// assert_eq!(polls.due(now, alone), [1]);
    /// polls.heard(now, 1, now);
    /// let others = Others { in_reach: true, gateways: 3 };
    /// assert!(polls.due(now + Duration::from_secs(1), others).is_empty());
    /// assert_eq!(polls.due(now + Duration::from_secs(2), others), [1]);
    /// ```
    pub fn want(&mut self, now: Timestamp, wanted: &[Wanted<K>]) -> bool {
        let before = std::mem::take(&mut self.engines);
        let mut known: BTreeMap<K, Engine> = before;
        let mut grown = false;
        for Wanted { key, tag, called } in wanted {
            let same = known.remove(key).filter(|e| e.tag == *tag);
            let engine = match same {
                Some(engine) => engine,
                None if *called => {
                    grown = true;
                    self.first(now, *tag)
                }
                None => continue,
            };
            if *called || engine.polling {
                self.engines.insert(*key, engine);
            }
        }
        grown
    }

    fn first(&self, now: Timestamp, tag: EngineTag) -> Engine {
        Engine {
            tag,
            weight: weight(&self.gateway, tag),
            takes_over: now + FIRST_WAIT,
            polling: false,
            next: now,
            answered: true,
        }
    }

    /// Returns the engines to be polled now.
    pub fn due(&mut self, now: Timestamp, others: Others) -> Vec<K> {
        let mut due = Vec::new();
        for (key, engine) in &mut self.engines {
            if !engine.polling && now >= engine.begins(now, others) {
                (engine.polling, engine.next, engine.answered) = (true, now, true);
            }
            if engine.polling && now >= engine.next {
                let often = others.in_reach && engine.answered;
                let interval = if often { POLL_INTERVAL } else { ALONE_INTERVAL };
                engine.next = (engine.next + interval).max(now + interval / 2);
                engine.answered = false;
                due.push(*key);
            }
        }
        due
    }

    /// Returns when [`Polls::due`] is to be called next.
    pub fn next_due(&self, now: Timestamp, others: Others) -> Timestamp {
        let next = |e: &Engine| if e.polling { e.next } else { e.begins(now, others) };
        let first = self.engines.values().map(next).min();
        first.unwrap_or(now + POLL_INTERVAL).clamp(now + MIN_WAIT, now + POLL_INTERVAL)
    }

    /// Records that an engine has answered a poll of this gateway; returns the weight of the gateway
    /// for it.
    pub fn answered(&mut self, key: K) -> Option<u16> {
        let engine = self.engines.get_mut(&key)?;
        engine.answered = true;
        Some(engine.weight)
    }

    /// Records that a report of another gateway was received, which the engine made at a time. An old
    /// one doesn't show that the other gateway still polls the engine.
    pub fn heard(&mut self, now: Timestamp, key: K, at: Timestamp) {
        if let Some(engine) = self.engines.get_mut(&key).filter(|_| now - at < MAX_AGE) {
            engine.polling = false;
            engine.takes_over = now + SILENCE;
        }
    }

    /// Returns the number of engines that this gateway polls.
    pub fn polled(&self) -> usize {
        self.engines.values().filter(|e| e.polling).count()
    }

    /// Returns the prefixes of the tags of all engines, in order.
    pub fn prefixes(&self) -> Vec<u16> {
        let mut all: Vec<u16> = self.engines.values().map(|e| e.tag.prefix()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

impl Engine {
    /// Returns when the gateway begins to poll if it hears no report before.
    fn begins(&self, now: Timestamp, others: Others) -> Timestamp {
        if !others.in_reach {
            return now;
        }
        // The expected number of gateways with a higher weight.
        let below = u64::from(u16::MAX - self.weight) * u64::from(others.gateways);
        let rank = u32::try_from(below >> u16::BITS).unwrap_or(u32::MAX);
        self.takes_over + RANK_STEP.saturating_mul(rank).min(MAX_RANK_DELAY)
    }
}

/// Returns the weight of a gateway for an engine.
fn weight(gateway: &str, tag: EngineTag) -> u16 {
    (hash(format!("{gateway}/{}", tag.0).as_bytes()) >> (u64::BITS - u16::BITS)) as u16
}
