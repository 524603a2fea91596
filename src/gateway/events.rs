//! Splits a `text/event-stream` body into its events.

/// The maximum size of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The number in its `id` field, if it has one.
    pub id: Option<u64>,
    /// Its bytes, including the blank line that ends it.
    pub bytes: Vec<u8>,
}

/// Splits a stream of bytes into complete events, so that callers never receive a part of one. Blank
/// lines before an event belong to it.
///
/// ```
/// use dotterelpin::gateway::events::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// let events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
/// assert_eq!(events.len(), 1);
/// assert_eq!(events[0].id, Some(1));
/// assert!(splitter.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// The number of bytes that were searched for the end of an event.
    searched: usize,
    /// Where the present line begins.
    line: usize,
    /// Whether any line of the present event has text.
    has_text: bool,
}

/// The error of an event that exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut begin = 0;
        while let Some(end) = self.event_end() {
            let bytes = self.buffer.get(begin..end).unwrap_or_default().to_vec();
            events.push(Event { id: event_id(&bytes), bytes });
            begin = end;
        }
        self.buffer.drain(..begin);
        self.searched -= begin;
        self.line -= begin;
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Returns whether the received bytes end within an event.
    pub fn has_partial(&self) -> bool {
        self.has_text || self.line < self.buffer.len()
    }

    /// Returns the number of bytes that are kept.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the bytes after the last event, which are blank lines if the stream is
    /// complete.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(self).buffer
    }

    /// Returns the index after the next blank line that ends an event, and goes on after it.
    fn event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.buffer.get(self.searched) {
            let at = self.searched;
            self.searched += 1;
            if *byte != b'\n' {
                continue;
            }
            let text = self.buffer.get(self.line..at).unwrap_or_default();
            let is_blank = text.is_empty() || text == b"\r";
            self.line = at + 1;
            if is_blank && std::mem::take(&mut self.has_text) {
                return Some(at + 1);
            }
            self.has_text |= !is_blank;
        }
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes.split(|b| *b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
    })
}
