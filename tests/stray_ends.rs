//! A stray answer that ends with its connection leaves its reader waiting for the right one.

mod loopback;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use dotterelpin::h1::{HttpDriver, HttpEffect, HttpInput, Listener, PeerId, Purpose};
use dotterelpin::model::Timestamp;
use dotterelpin::report::metrics::Metrics;
use dotterelpin::role::{Input, Output, Role};
use loopback::link;

/// Sends one request and reports what comes on its connection, which it keeps open.
struct Asker {
    address: SocketAddr,
    events: Sender<String>,
}

impl Role for Asker {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, _now: Timestamp, input: Input<HttpInput>) -> Vec<Output<HttpEffect>> {
        let peer = PeerId(1);
        let event = match input {
            Input::Local(HttpInput::Answer { head, .. }) => format!("answer {}", head.status),
            Input::Local(HttpInput::End { .. }) => "end".into(),
            Input::Local(HttpInput::Lost { sent, .. }) => format!("lost, sent {sent}"),
            Input::Shutdown { .. } => return vec![Output::Stopped],
            Input::Wake => {
                let bytes = b"GET /look/a HTTP/1.1\r\nHost: a\r\n\r\n".to_vec();
                return vec![
                    Output::Effect(HttpEffect::Dial { peer, address: self.address }),
                    Output::Effect(HttpEffect::Send { peer, bytes }),
                ];
            }
            _ => return Vec::new(),
        };
        self.events.send(event).unwrap();
        Vec::new()
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

/// Returns what is read of an endpoint that sends `answer` to a request and closes the connection.
fn read_of(answer: &'static [u8]) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(answer).unwrap();
    });
    let (sender, events) = channel();
    let own = "127.0.0.1:0".parse().unwrap();
    let driver = HttpDriver::bind(&[Listener { address: own, purpose: Purpose::Calls }]).unwrap();
    let handle = driver.handle();
    let metrics = Arc::new(Metrics::new().unwrap());
    driver.start("asker", Asker { address, events: sender }, link(), metrics).unwrap();
    handle.send(Input::Wake);
    endpoint.join().unwrap();
    let mut read = Vec::new();
    while !read.last().is_some_and(|last: &String| last.starts_with("lost")) {
        match events.recv_timeout(Duration::from_secs(2)) {
            Ok(event) => read.push(event),
            Err(_) => break,
        }
    }
    handle.send(Input::Shutdown { since: Timestamp::from_steady() });
    read
}

#[test]
fn end_of_the_connection_is_never_reported_after_an_answer_without_length() {
    let read = read_of(b"HTTP/1.1 200 OK\r\n\r\nanother");
    assert_eq!(read, ["answer 200", "end", "lost, sent true"]);
}

#[test]
fn right_answer_behind_a_stray_one_is_lost() {
    let read = read_of(
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown",
    );
    assert_eq!(read, ["answer 503", "end", "answer 200", "end", "lost, sent true"]);
}
