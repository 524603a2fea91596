//! The writes that wait for the disk.

use std::collections::VecDeque;

use crate::control::DiskEffect;

/// The maximum number of appends that are merged into a batch and synced together.
const MAX_BATCH: usize = 1_024;

/// The writes that wait for the disk, in the order of their numbers.
#[derive(Debug, Default)]
pub struct Writes {
    waiting: VecDeque<DiskEffect>,
}

impl Writes {
    /// Appends a write.
    pub fn push(&mut self, write: DiskEffect) {
        self.waiting.push_back(write);
    }

    /// Removes and returns the next write; appends that follow each other are merged into one.
    pub fn take_next(&mut self) -> Option<DiskEffect> {
        let mut write = self.waiting.pop_front()?;
        let DiskEffect::Append { id, entries } = &mut write else { return Some(write) };
        for _ in 1..MAX_BATCH {
            match self.waiting.pop_front() {
                Some(DiskEffect::Append { id: next, entries: rest }) => {
                    *id = next;
                    entries.extend(rest);
                }
                Some(replace) => {
                    self.waiting.push_front(replace);
                    break;
                }
                None => break,
            }
        }
        Some(write)
    }

    /// Puts back a write that the disk had no space for. If a new journal waits, too, the writes
    /// before it are dropped, because it includes them: so what waits for a full disk stays small,
    /// and the first write that succeeds shrinks the files.
    pub fn put_back(&mut self, write: DiskEffect) {
        self.waiting.push_front(write);
        let newest = self.waiting.iter().rposition(|w| matches!(w, DiskEffect::Replace { .. }));
        self.waiting.drain(..newest.unwrap_or(0));
    }
}
