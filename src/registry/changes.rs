//! The latest changes of the endpoints, so that a follower needs only what it has not heard.

use std::collections::{BTreeSet, VecDeque};

/// How many changes are kept; a follower that is further behind compares buckets.
const MAX_CHANGES: usize = 4_096;

/// A bounded log of changed names by version.
#[derive(Debug, Default)]
pub struct Changes {
    log: VecDeque<Box<str>>,
    version: u64,
}

impl Changes {
    /// Returns the number of the latest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Notes that an endpoint has come, changed or gone.
    pub fn record(&mut self, name: &str) {
        self.version += 1;
        self.log.push_back(name.into());
        if self.log.len() > MAX_CHANGES {
            self.log.pop_front();
        }
    }

    /// Returns the names that changed after a version, or `None` if that is too long ago.
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
