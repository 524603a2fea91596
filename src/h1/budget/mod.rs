//! The memory and the connections that callers of a process may take up.
//!
//! The counts are shared by all listeners of the process. What follows from them is decided by pure
//! functions; see `docs/design/hostile-clients.md`.

mod decide;
mod progress;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use decide::{
    Candidate, Level, Places, SMALL_BYTES, TINY_BYTES, Thresholds, is_handed, is_turn_over,
    keeps_answer, reads_on, victims,
};
pub use progress::Progress;

use super::Purpose;

/// The memory of a VM whose size is not given, in bytes.
const DEFAULT_MEMORY: usize = 256 << 20;
/// The limit of descriptors where none is given.
const DEFAULT_FDS: usize = 65_536;

/// What holds memory or a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// A connection of a caller, an operator or an endpoint to this process.
    Calls,
    /// A connection to the pages.
    Pages,
    /// A connection to an endpoint.
    Endpoint,
    /// The content of an endpoint's answer that a role keeps.
    Content,
}

impl From<Purpose> for Holder {
    fn from(purpose: Purpose) -> Holder {
        match purpose {
            Purpose::Calls => Holder::Calls,
            Purpose::Pages => Holder::Pages,
        }
    }
}

/// The counts of one process.
#[derive(Debug)]
pub struct Budget {
    thresholds: Thresholds,
    places: Places,
    held: AtomicUsize,
    calls: AtomicUsize,
    pages: AtomicUsize,
    endpoints: AtomicUsize,
    contents: AtomicUsize,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(DEFAULT_MEMORY, DEFAULT_FDS)
    }
}

impl Budget {
    /// Returns the budget of a process on a VM with `memory` bytes, which may have `max_fds`
    /// descriptors open.
    pub fn new(memory: usize, max_fds: usize) -> Budget {
        Budget {
            thresholds: Thresholds::new(memory),
            places: Places::new(max_fds),
            held: AtomicUsize::new(0),
            calls: AtomicUsize::new(0),
            pages: AtomicUsize::new(0),
            endpoints: AtomicUsize::new(0),
            contents: AtomicUsize::new(0),
        }
    }

    /// Returns the thresholds.
    pub fn thresholds(&self) -> Thresholds {
        self.thresholds
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns how much of the memory is in use.
    pub fn level(&self) -> Level {
        self.thresholds.level(self.held())
    }

    /// Returns the number of connections that this process has accepted.
    pub fn accepted(&self) -> usize {
        self.calls.load(Ordering::Relaxed) + self.pages.load(Ordering::Relaxed)
    }

    /// Returns whether one more connection may be accepted.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use dotterelpin::h1::budget::{Budget, Charge, Holder};
    ///
    /// let budget = Arc::new(Budget::new(1 << 20, 16));
    /// let held: Vec<Charge> = (0..10).map(|_| Charge::new(&budget, Holder::Calls)).collect();
    /// assert!(!budget.has_place(Holder::Calls) && budget.has_place(Holder::Pages));
    /// drop(held);
    /// assert!(budget.has_place(Holder::Calls));
    /// ```
    pub fn has_place(&self, holder: Holder) -> bool {
        let (calls, pages) =
            (self.calls.load(Ordering::Relaxed), self.pages.load(Ordering::Relaxed));
        let all = calls + pages + self.endpoints.load(Ordering::Relaxed);
        match holder {
            // The places of the pages are kept free for them.
            Holder::Calls => {
                calls < self.places.calls && all - pages + self.places.pages < self.places.all
            }
            Holder::Pages => pages < self.places.pages,
            Holder::Endpoint | Holder::Content => true,
        }
    }

    fn count(&self, holder: Holder) -> &AtomicUsize {
        match holder {
            Holder::Calls => &self.calls,
            Holder::Pages => &self.pages,
            Holder::Endpoint => &self.endpoints,
            Holder::Content => &self.contents,
        }
    }
}

/// The bytes and the connection that one holder takes up, which are given back when it is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<Budget>,
    holder: Holder,
    bytes: usize,
}

impl Charge {
    /// Counts one more connection.
    pub fn new(budget: &Arc<Budget>, holder: Holder) -> Charge {
        budget.count(holder).fetch_add(1, Ordering::Relaxed);
        Charge { budget: budget.clone(), holder, bytes: 0 }
    }

    /// Returns the number of bytes that are counted for this holder.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes that are counted for this holder.
    pub fn set(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.held.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else if bytes < self.bytes {
            self.budget.held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
        self.budget.count(self.holder).fetch_sub(1, Ordering::Relaxed);
    }
}

/// Appends to a content. Its capacity grows by a half at least, but not beyond the expected length.
///
/// ```
/// let mut content = vec![0; 1_000];
/// dotterelpin::h1::budget::grow(&mut content, &[1; 10], Some(90));
/// assert_eq!((content.len(), content.capacity()), (1_010, 1_100));
/// ```
pub fn grow(content: &mut Vec<u8>, data: &[u8], expected: Option<usize>) {
    let needed = content.len() + data.len();
    if needed > content.capacity() {
        let whole = needed.saturating_add(expected.unwrap_or(usize::MAX));
        let target = whole.min(needed.max(content.capacity() * 3 / 2));
        content.reserve_exact(target - content.len());
    }
    content.extend_from_slice(data);
}
