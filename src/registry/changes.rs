//! The latest changes of endpoints, so that a follower is sent only those that it has not seen.

use std::collections::{BTreeSet, VecDeque};

/// The number of changes kept; a follower that is further behind compares bucket digests instead.
const MAX_CHANGES: usize = 4_096;

/// A bounded log of the names of changed endpoints, numbered by version.
#[derive(Debug, Default)]
pub struct Changes {
    log: VecDeque<Box<str>>,
    version: u64,
}

impl Changes {
    /// Returns the version of the latest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that an endpoint was added, changed or removed.
    pub fn record(&mut self, name: &str) {
        self.version += 1;
        self.log.push_back(name.into());
        if self.log.len() > MAX_CHANGES {
            self.log.pop_front();
        }
    }

    /// Returns the names that changed after a version, or `None` if the log doesn't reach back
    /// to it or the version has not been reached yet.
    ///
    /// ```
    /// use dotterelpin::registry::Changes;
    ///
    /// let mut changes = Changes::default();
    /// changes.record("decode-1");
    /// changes.record("decode-2");
    /// assert_eq!(changes.since(1).unwrap().len(), 1);
    /// assert!(changes.since(3).is_none());
    /// ```
    pub fn since(&self, version: u64) -> Option<BTreeSet<&str>> {
        let count = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let start = self.log.len().checked_sub(count)?;
        Some(self.log.range(start..).map(|name| &**name).collect())
    }
}
