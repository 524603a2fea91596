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

/// Splits a stream of bytes into complete events, so that callers never receive a part of one.
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
}

/// The error of an event that exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends received bytes and returns the events that are now complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let rest = self.buffer.split_off(end);
            let bytes = std::mem::replace(&mut self.buffer, rest);
            events.push(Event { id: event_id(&bytes), bytes });
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Returns whether the received bytes end within an event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the index after the first blank line that ends an event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = bytes.get(line..at).unwrap_or_default();
        let blank = text.is_empty() || text == b"\r";
        if blank && at > 0 {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes.split(|b| *b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
    })
}
