//! Bytes without end, from endpoints and to callers that don't read: they take neither the memory of
//! the process nor the time of the other connections.

mod loopback;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterelpin::h1::{
    HttpDriver, HttpEffect, HttpHandle, HttpInput, Listener, PeerId, Purpose, Reader,
};
use dotterelpin::model::Timestamp;
use dotterelpin::report::metrics::Metrics;
use dotterelpin::role::{Input, Output, Role};
use loopback::{link, memory};

/// How long an endpoint sends, and how often the role gets another input meanwhile.
const SEND_TIME: Duration = Duration::from_millis(3_000);
const INPUT_INTERVAL: Duration = Duration::from_millis(100);
/// How many of the 30 other inputs must be handled in time.
const MIN_INPUTS: usize = 27;
/// By how much the memory of the process may grow, in bytes: a small machine has 110 MB.
const MAX_GROWTH: u64 = 48 << 20;
/// Lets one test measure the memory of the process at a time.
static TURN: Mutex<()> = Mutex::new(());

/// Sends one request to an endpoint and counts its other inputs.
struct Caller {
    endpoint: SocketAddr,
    handled: Sender<Instant>,
}

impl Role for Caller {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, _now: Timestamp, input: Input<HttpInput>) -> Vec<Output<HttpEffect>> {
        let peer = PeerId(1);
        match input {
            Input::Wake => {
                let bytes = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n".to_vec();
                let dial = HttpEffect::Dial { peer, address: self.endpoint };
                vec![Output::Effect(dial), Output::Effect(HttpEffect::Send { peer, bytes })]
            }
            Input::Local(HttpInput::Reload) => {
                self.handled.send(Instant::now()).unwrap();
                Vec::new()
            }
            Input::Shutdown { .. } => vec![Output::Stopped],
            _ => Vec::new(),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

/// Streams without end to a caller, and reports when the caller is gone.
struct Streamer {
    gone: Sender<()>,
    caller: Option<dotterelpin::h1::CallerId>,
}

impl Role for Streamer {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, _now: Timestamp, input: Input<HttpInput>) -> Vec<Output<HttpEffect>> {
        match input {
            Input::Local(HttpInput::Request { caller, .. }) => {
                self.caller = Some(caller);
                Vec::new()
            }
            Input::Local(HttpInput::Reload) => {
                let Some(caller) = self.caller else { return Vec::new() };
                let bytes = vec![b'x'; 1 << 20];
                vec![Output::Effect(HttpEffect::Reply { caller, bytes })]
            }
            Input::Local(HttpInput::CallerGone { .. }) => {
                self.caller = None;
                self.gone.send(()).unwrap();
                Vec::new()
            }
            Input::Shutdown { .. } => vec![Output::Stopped],
            _ => Vec::new(),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

fn start<R>(role: R) -> (HttpHandle, SocketAddr)
where
    R: Role<Local = HttpInput, Effect = HttpEffect> + Send + 'static,
{
    let address = "127.0.0.1:0".parse().unwrap();
    let driver = HttpDriver::bind(&[Listener { address, purpose: Purpose::Calls }]).unwrap();
    let address = driver.local_addr(Purpose::Calls).unwrap();
    let handle = driver.handle();
    driver.start("endless", role, link(), Arc::new(Metrics::new().unwrap())).unwrap();
    (handle, address)
}

/// Starts an endpoint that answers one request with a head and then a piece without end.
fn endpoint(head: &'static [u8], piece: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        _ = stream.read(&mut request);
        let block = piece.repeat((64 << 10) / piece.len());
        let begin = Instant::now();
        let mut open = stream.write_all(head).is_ok();
        while open && begin.elapsed() < SEND_TIME {
            open = stream.write_all(&block).is_ok();
        }
    });
    address
}

/// Lets an endpoint send without end; checks that other inputs are handled in time and that the
/// memory stays bounded.
fn check_endless(head: &'static [u8], piece: &'static [u8]) {
    let _turn = TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (handled, inputs): (Sender<Instant>, Receiver<Instant>) = channel();
    let (handle, _) = start(Caller { endpoint: endpoint(head, piece), handled });
    handle.send(Input::Wake);
    let before = memory();
    let (mut in_time, mut most) = (0, before);
    for _ in 0..SEND_TIME.as_millis() / INPUT_INTERVAL.as_millis() {
        let sent = Instant::now();
        handle.send(Input::Local(HttpInput::Reload));
        let answer = inputs.recv_timeout(INPUT_INTERVAL);
        in_time += usize::from(answer.is_ok());
        most = most.max(memory());
        std::thread::sleep(INPUT_INTERVAL.saturating_sub(sent.elapsed()));
    }
    handle.send(Input::Shutdown { since: Timestamp::from_steady() });
    let growth = most - before;
    assert!(in_time >= MIN_INPUTS, "{in_time} of 30 other inputs were handled in time");
    assert!(growth < MAX_GROWTH, "the memory grew by {growth} bytes");
}

#[test]
fn interim_heads_without_end_hold_up_all_other_connections() {
    check_endless(b"", b"HTTP/1.1 100 A\r\n\r\n");
}

#[test]
fn chunks_of_one_byte_without_end_take_all_memory() {
    check_endless(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n");
}

#[test]
fn body_without_end_takes_all_memory() {
    check_endless(b"HTTP/1.1 200 OK\r\n\r\n", b"bytes that are no answer ");
}

#[test]
fn interim_heads_of_one_answer_are_bounded() {
    let mut reader = Reader::answers(1 << 16);
    let fed = (0..10_000).find(|_| {
        reader.feed(b"HTTP/1.1 100 A\r\n\r\n");
        reader.next_part().is_err()
    });
    assert!(fed.is_some_and(|count| count < 100), "refused after {fed:?} heads");
}

#[test]
fn caller_that_does_not_read_takes_all_memory() {
    let _turn = TURN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (gone, is_gone) = channel();
    let (handle, address) = start(Streamer { gone, caller: None });
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let before = memory();
    let mut most = before;
    for _ in 0..200 {
        handle.send(Input::Local(HttpInput::Reload));
        std::thread::sleep(Duration::from_millis(5));
        most = most.max(memory());
    }
    let dropped = is_gone.try_recv().is_ok();
    handle.send(Input::Shutdown { since: Timestamp::from_steady() });
    let growth = most - before;
    assert!(growth < MAX_GROWTH, "the memory grew by {growth} bytes");
    assert!(dropped, "the caller's connection is still open");
}
