//! How many calls a gateway has open at one endpoint of a plain service.
//!
//! Answers a burst beyond what a plain service can answer: its endpoints queue some calls, refuse
//! the rest, and a refused call that may be sent only once is lost for its caller. Gateways don't
//! know each other's calls, but each sees how long its own take. A gateway that keeps fewer calls
//! open at an endpoint that slows down makes the rest wait in its own queue, where they can still
//! go to whichever endpoint is free first.

use std::time::Duration;

/// The part of a route's target that an answer may take before the window shrinks, in percent.
const SLOW_PERCENT: u32 = 60;
/// What a slow answer leaves of the window.
const SLOW_FACTOR: f64 = 0.9;
/// What a refusal leaves of the window.
const REFUSED_FACTOR: f64 = 0.6;
/// What a full window of quick answers adds to it, in calls.
const GROWTH: f64 = 0.5;
/// The smallest window, in calls.
const MIN_SIZE: f64 = 1.0;
/// The largest window, in slots of the endpoint.
const MAX_SLOT_MULTIPLE: f64 = 4.0;

/// The window of one endpoint.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::window::Window;
///
/// let target = Duration::from_millis(150);
/// let mut window = Window::new(6);
/// assert!(window.has_room(5));
/// assert!(!window.has_room(6));
/// window.answered(Duration::from_millis(140), target);
/// assert!(!window.has_room(5));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Window {
    size: f64,
    max_size: f64,
}

impl Window {
    /// Makes the window of an endpoint that runs so many calls at once.
    pub fn new(slots: u32) -> Window {
        let slots = f64::from(slots.max(1));
        Window { size: slots, max_size: slots * MAX_SLOT_MULTIPLE }
    }

    /// Returns whether another call may be sent beside those that are open.
    pub fn has_room(&self, open: u32) -> bool {
        f64::from(open) + 1.0 <= self.size
    }

    /// Takes how long an answer took.
    pub fn answered(&mut self, took: Duration, target: Duration) {
        self.size = if took > target * SLOW_PERCENT / 100 {
            (self.size * SLOW_FACTOR).max(MIN_SIZE)
        } else {
            (self.size + GROWTH / self.size).min(self.max_size)
        };
    }

    /// Takes a refusal for want of room.
    pub fn refused(&mut self) {
        self.size = (self.size * REFUSED_FACTOR).max(MIN_SIZE);
    }
}
