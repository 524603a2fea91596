//! Whether a process hears a majority of control's voters: what it logs and counts when it loses
//! them, and when it has found them again.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::config::Revised;
use crate::model::Timestamp;
use crate::report::observation::Observation;

/// How long after its last proof of a majority a process counts as without control.
pub const LOSS_TIME: Duration = Duration::from_millis(1_500);

/// What a process knows of control while it asks for it.
#[derive(Debug, Clone)]
pub struct Known {
    /// The version of the routing document in force; 0 if there is none.
    pub document: u64,
    /// The revision and hash of the configuration in force.
    pub revised: Revised,
    /// The epoch of the newest list of voters; 0 if none is known.
    pub epoch: u64,
    /// The addresses that the process asks.
    pub asked: Vec<SocketAddr>,
    /// The voters whose proofs are no older than the last proof of a majority.
    pub proving: Vec<SocketAddr>,
}

/// Follows when a majority of the voters last proved what is newest.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::control::config::Config;
/// use dotterelpin::model::Timestamp;
/// use dotterelpin::registry::majority::{Known, LOSS_TIME, Majority};
///
/// let known = || Known {
///     document: 7, revised: Config::default().revised(), epoch: 3,
///     asked: Vec::new(), proving: Vec::new(),
/// };
/// let mut majority = Majority::default();
/// let start = Timestamp::default();
/// majority.note(start, Some(start), known);
/// majority.note(start + LOSS_TIME, Some(start), known);
/// assert!(majority.is_lost());
/// majority.note(start + 2 * LOSS_TIME, Some(start + 2 * LOSS_TIME), known);
/// assert!(!majority.is_lost());
/// ```
#[derive(Debug, Default)]
pub struct Majority {
    /// When the last heartbeat was sent whose reply completed a majority, or the first time that
    /// was noted while there was none.
    since: Option<Timestamp>,
    /// Whether any majority has proved anything yet.
    proven: bool,
    lost: bool,
    /// Losses that were not taken to be counted yet.
    uncounted: usize,
}

impl Majority {
    /// Notes the last proof of a majority, and logs a loss of control or its end.
    pub fn note(&mut self, now: Timestamp, proven: Option<Timestamp>, known: impl Fn() -> Known) {
        let before = *self.since.get_or_insert(now);
        let since = proven.map_or(before, |at| at.max(before));
        self.since = Some(since);
        self.proven |= proven.is_some();
        let lost = now - since >= LOSS_TIME;
        match (self.lost, lost) {
            (false, true) => {
                self.uncounted += 1;
                self.log_loss(now - since, &known());
            }
            (true, false) => log_return(since - before, &known()),
            _ => {}
        }
        self.lost = lost;
    }

    /// Returns whether no majority has proved anything for [`LOSS_TIME`].
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns what is to be counted: the time since the last proof of a majority, and the losses
    /// since the last call.
    pub fn observe(&mut self, now: Timestamp) -> Observation {
        let age = self.since.map_or(Duration::ZERO, |since| now - since);
        Observation::Majority { age, losses: std::mem::take(&mut self.uncounted) }
    }

    fn log_loss(&self, age: Duration, known: &Known) {
        log::warn!(
            "step=control-lost unproven_ms={} proven={} asked={} epoch={} version={} revised={}",
            age.as_millis(),
            self.proven,
            Addresses(&known.asked),
            known.epoch,
            known.document,
            known.revised,
        );
    }
}

fn log_return(gap: Duration, known: &Known) {
    log::info!(
        "step=control-found unproven_ms={} members={} epoch={} version={} revised={}",
        gap.as_millis(),
        Addresses(&known.proving),
        known.epoch,
        known.document,
        known.revised,
    );
}

/// Why the members that a process asks have changed.
#[derive(Debug, Clone, Copy)]
pub enum Reason {
    /// The settings name other members than before.
    Settings,
    /// A list of voters with this epoch was received.
    Voters {
        /// The epoch of the list.
        epoch: u64,
    },
    /// A member sent a notice of the voters with this epoch.
    Notice {
        /// The epoch of the list.
        epoch: u64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Settings => f.write_str("settings"),
            Reason::Voters { epoch } => write!(f, "voters epoch={epoch}"),
            Reason::Notice { epoch } => write!(f, "notice epoch={epoch}"),
        }
    }
}

/// Logs a change of the members that a process asks, if there is one.
pub fn log_change(reason: Reason, before: &[SocketAddr], after: &[SocketAddr]) {
    let missing = |from: &[SocketAddr], of: &[SocketAddr]| -> Vec<SocketAddr> {
        of.iter().filter(|a| !from.contains(a)).copied().collect()
    };
    let (added, dropped) = (missing(before, after), missing(after, before));
    if !added.is_empty() || !dropped.is_empty() {
        log::info!(
            "step=follow reason={reason} added={} dropped={}",
            Addresses(&added),
            Addresses(&dropped)
        );
    }
}

/// Addresses as they are logged: with commas, or `-` if there are none.
struct Addresses<'a>(&'a [SocketAddr]);

impl fmt::Display for Addresses<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (at, address) in self.0.iter().enumerate() {
            let comma = if at > 0 { "," } else { "" };
            write!(f, "{comma}{address}")?;
        }
        Ok(())
    }
}
