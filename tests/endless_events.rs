//! Events without end, and blank lines between events.

use std::time::{Duration, Instant};

use dotterelpin::gateway::events::EventSplitter;

#[test]
fn event_without_end_is_scanned_again_with_each_piece() {
    let mut splitter = EventSplitter::default();
    let piece = [b'x'; 1_400];
    let begin = Instant::now();
    let pieces = (0..).find(|_| splitter.feed(&piece).is_err()).unwrap();
    let took = begin.elapsed();
    assert!(pieces * piece.len() > 1_000_000, "refused after {pieces} pieces");
    assert!(took < Duration::from_millis(150), "an event of 1 MB took {took:?}");
}

#[test]
fn blank_lines_are_no_events() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.feed(b"\n\n\r\n\n").unwrap(), []);
    assert!(!splitter.has_partial(), "blank lines are no event that was broken off");
    let events = splitter.feed(b"id: 1\ndata: a\n\n\n").unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].bytes, b"\n\n\r\n\nid: 1\ndata: a\n\n", "no byte is lost");
    assert!(!splitter.has_partial());
    assert_eq!(splitter.take_rest(), b"\n");
}
