//! The end of connections over real sockets: answers arrive whole.

mod loopback;

use std::time::Duration;

use loopback::stopper::{Pace, Server, Terms, connect, read_all, send};

/// An answer that fits into no socket's buffers, in bytes.
const LARGE: usize = 10_000_000;

#[test]
fn last_answer_arrives_whole_at_a_caller_that_pauses_longer_than_a_connection_lingers() {
    let server = Server::start(Terms::default());
    let mut caller = connect(server.address);
    send(&mut caller, &format!("GET /size/{LARGE} HTTP/1.1\r\nConnection: close\r\n\r\n"));
    let pace = Pace { delay: Duration::from_millis(2_200), ..Pace::default() };
    assert_eq!(read_all(&mut caller, pace).statuses().unwrap(), [200]);
}
