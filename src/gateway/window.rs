//! Limits how many calls a gateway has open at one endpoint of a plain service.
//!
//! In a burst beyond the capacity of a plain service, its endpoints queue some calls and refuse the
//! rest, and a refused call that may be sent only once fails. Gateways do not know each other's
//! calls, but each measures the latency of its own. When an endpoint slows down, a gateway keeps
//! fewer calls open there; the rest wait in the gateway's queue, from which they can still be sent
//! to whichever endpoint is free first.

use std::time::Duration;

/// The percentage of a route's target that an answer may take before the window shrinks.
const SLOW_PERCENT: u32 = 60;
/// The factor by which a slow answer shrinks the window.
const SLOW_FACTOR: f64 = 0.9;
/// The factor by which a refusal shrinks the window.
const REFUSED_FACTOR: f64 = 0.6;
/// How many calls a full window of fast answers adds to it.
const GROWTH: f64 = 0.5;
/// The minimum size of a window, in calls.
const MIN_SIZE: f64 = 1.0;
/// The initial size of a window, in multiples of the gateway's part of the slots.
const INITIAL_PARTS: f64 = 2.0;
/// The maximum size of a window, in multiples of the endpoint's slots.
const MAX_SLOT_MULTIPLE: f64 = 4.0;

/// The maximum number of calls that a gateway has open at one endpoint, adapted to its answers.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::window::Window;
///
/// let target = Duration::from_millis(150);
/// let mut window = Window::new(6);
/// assert!(window.has_capacity(5));
/// assert!(!window.has_capacity(6));
/// window.answered(Duration::from_millis(140), target);
/// assert!(!window.has_capacity(5));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Window {
    size: f64,
    max_size: f64,
}

impl Window {
    /// Creates the window of an endpoint that runs `slots` calls at once.
    pub fn new(slots: u32) -> Window {
        let slots = f64::from(slots.max(1));
        Window { size: slots, max_size: slots * MAX_SLOT_MULTIPLE }
    }

    /// Creates the window of an endpoint that was just listed and whose slots so many gateways share:
    /// while endpoints come back one after the other, each of them gets the calls of all.
    ///
    /// ```
    /// use dotterelpin::gateway::window::Window;
    ///
    /// assert!(!Window::shared(6, 100).has_capacity(1));
    /// assert_eq!(Window::shared(6, 2), Window::new(6));
    /// ```
    pub fn shared(slots: u32, gateways: u32) -> Window {
        let window = Window::new(slots);
        let part = window.size * INITIAL_PARTS / f64::from(gateways.max(1));
        Window { size: part.clamp(MIN_SIZE, window.size), ..window }
    }

    /// Returns whether another call may be sent while `open` calls are in progress.
    pub fn has_capacity(&self, open: u32) -> bool {
        f64::from(open) + 1.0 <= self.size
    }

    /// Adapts the window to the time that an answer took.
    pub fn answered(&mut self, took: Duration, target: Duration) {
        self.size = if took > target * SLOW_PERCENT / 100 {
            (self.size * SLOW_FACTOR).max(MIN_SIZE)
        } else {
            (self.size + GROWTH / self.size).min(self.max_size)
        };
    }

    /// Shrinks the window after a refusal for lack of capacity.
    pub fn refused(&mut self) {
        self.size = (self.size * REFUSED_FACTOR).max(MIN_SIZE);
    }
}
