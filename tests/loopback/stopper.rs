//! A role that is stopped over real sockets, with callers that read and send as a test says.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dotterelpin::h1::{
    CallerId, HttpDriver, HttpEffect, HttpHandle, HttpInput, Listener, PeerId, Purpose, Request,
    write,
};
use dotterelpin::model::Timestamp;
use dotterelpin::report::metrics::Metrics;
use dotterelpin::role::{Input, Output, Role};

use super::link;

/// How long the role is busy when it handles [`HttpInput::Reload`].
pub const BUSY_TIME: Duration = Duration::from_millis(300);
/// The longest wait for any byte, or for an input of the role.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// How the role ends.
#[derive(Debug, Clone, Copy, Default)]
pub struct Terms {
    /// How long after the stop the connections are closed at the latest; `None`: not said.
    pub limit: Option<Duration>,
    /// Whether requests after the stop get no answer.
    pub mute: bool,
    /// Where `/dial` and `/dial-and-stop` send a request.
    pub endpoint: Option<SocketAddr>,
    /// The size of the body that `/dial-and-stop` sends.
    pub last_bytes: usize,
}

/// Answers `/size/N` with N bytes, `/later` after the next [`HttpInput::Reload`], `/hang` never, and
/// refuses once it has stopped.
pub struct Stopper {
    terms: Terms,
    stopped: bool,
    later: Option<CallerId>,
    events: Sender<String>,
}

impl Stopper {
    fn stop(&mut self, now: Timestamp) -> Vec<Output<HttpEffect>> {
        self.stopped = true;
        let close = self.terms.limit.map(|l| HttpEffect::CloseAll { until: now + l });
        close.map(Output::Effect).into_iter().chain([Output::Stopped]).collect()
    }

    fn serve(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        request: &Request,
    ) -> Vec<Output<HttpEffect>> {
        let target = &*request.head.target;
        let peer = PeerId(1);
        match (target, self.terms.endpoint) {
            ("/hang", _) => return Vec::new(),
            ("/later", _) => {
                self.later = Some(caller);
                return Vec::new();
            }
            ("/stop", _) => return self.stop(now),
            ("/dial", Some(address)) => return dial(peer, address, 0),
            ("/dial-and-stop", Some(address)) => {
                let mut outputs = dial(peer, address, self.terms.last_bytes);
                outputs.extend(self.stop(now));
                return outputs;
            }
            _ if self.stopped && self.terms.mute => return Vec::new(),
            _ => {}
        }
        let size = request.head.path().strip_prefix("/size/").and_then(|s| s.parse().ok());
        let size = size.unwrap_or(2);
        let keep = !request.head.wants_close() && !self.stopped;
        match self.stopped {
            true => reply(caller, 503, b"not run\n", keep),
            false => reply(caller, 200, &vec![b'x'; size], keep),
        }
    }
}

/// Sends a request with a body of so many bytes over a new connection.
fn dial(peer: PeerId, address: SocketAddr, size: usize) -> Vec<Output<HttpEffect>> {
    let head = format!("GET /a HTTP/1.1\r\nContent-Length: {size}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + size, b'x');
    vec![
        Output::Effect(HttpEffect::Dial { peer, address }),
        Output::Effect(HttpEffect::Send { peer, bytes }),
    ]
}

fn reply(caller: CallerId, status: u16, body: &[u8], keep: bool) -> Vec<Output<HttpEffect>> {
    let bytes = write::answer(status, &[], "text/plain", body, keep);
    vec![
        Output::Effect(HttpEffect::Reply { caller, bytes }),
        Output::Effect(HttpEffect::Finish { caller, keep }),
    ]
}

impl Role for Stopper {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, now: Timestamp, input: Input<HttpInput>) -> Vec<Output<HttpEffect>> {
        let stopped = if self.stopped { "late " } else { "" };
        let tell = |text: &str| _ = self.events.send(format!("{stopped}{text}"));
        match input {
            Input::Local(HttpInput::Request { caller, request, .. }) => {
                tell(&request.head.target);
                self.serve(now, caller, &request)
            }
            Input::Local(HttpInput::CallerGone { .. }) => {
                tell("gone");
                Vec::new()
            }
            Input::Local(HttpInput::Reload) => {
                tell("busy");
                std::thread::sleep(BUSY_TIME);
                self.later.take().map_or_else(Vec::new, |c| reply(c, 200, b"hi", true))
            }
            Input::Wake => vec![Output::Effect(HttpEffect::CloseIdle)],
            Input::Shutdown { .. } => {
                tell("shutdown");
                self.stop(now)
            }
            _ => {
                tell("other");
                Vec::new()
            }
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

/// A role under test, with its thread.
pub struct Server {
    pub address: SocketAddr,
    pub events: Receiver<String>,
    handle: HttpHandle,
    thread: JoinHandle<()>,
}

impl Server {
    pub fn start(terms: Terms) -> Server {
        let (events, received) = channel();
        let address = "127.0.0.1:0".parse().unwrap();
        let driver = HttpDriver::bind(&[Listener { address, purpose: Purpose::Calls }]).unwrap();
        let address = driver.local_addr(Purpose::Calls).unwrap();
        let handle = driver.handle();
        let metrics = Arc::new(Metrics::new().unwrap());
        let role = Stopper { terms, stopped: false, later: None, events };
        let thread = driver.start("stopper", role, link(), metrics).unwrap();
        Server { address, events: received, handle, thread }
    }

    /// Makes the role busy for [`BUSY_TIME`].
    pub fn start_busy(&self) {
        self.handle.send(Input::Local(HttpInput::Reload));
    }

    /// The same, and returns once it is.
    pub fn keep_busy(&self) {
        self.start_busy();
        self.wait_for("busy");
    }

    /// Waits until the role has seen an input.
    pub fn wait_for(&self, text: &str) {
        while self.events.recv_timeout(READ_TIMEOUT).unwrap() != text {}
    }

    pub fn close_idle(&self) {
        self.handle.send(Input::Wake);
    }

    pub fn stop(&self) {
        self.handle.send(Input::Shutdown { since: Timestamp::from_steady() });
    }

    /// Returns whether the thread has ended within a time, and what the role has seen.
    pub fn ended_within(self, longest: Duration) -> Result<Vec<String>, String> {
        let begin = Instant::now();
        while !self.thread.is_finished() {
            if begin.elapsed() > longest {
                return Err(format!("the thread still runs after {longest:?}"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        self.thread.join().map_err(|_| "the thread panicked".to_string())?;
        Ok(self.events.try_iter().collect())
    }
}

/// How a caller reads.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// How long it waits before it reads.
    pub delay: Duration,
    /// How long it waits after each read of 64 KiB.
    pub pause: Duration,
}

/// What a caller got.
#[derive(Debug, Default)]
pub struct Received {
    /// The status and the length in bytes of each whole answer.
    pub answers: Vec<(u16, usize)>,
    /// The number of bytes after the last whole answer.
    pub rest: usize,
    /// Why the connection ended, unless it was closed.
    pub error: Option<ErrorKind>,
}

impl Received {
    /// Returns the statuses of the answers; each must be whole and the connection closed.
    pub fn statuses(&self) -> Result<Vec<u16>, String> {
        match (self.rest, self.error) {
            (0, None) => Ok(self.answers.iter().map(|(status, _)| *status).collect()),
            _ => Err(format!("{self:?}")),
        }
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

pub fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// Returns a request for an answer of so many bytes.
pub fn get(size: usize) -> String {
    format!("GET /size/{size} HTTP/1.1\r\nHost: a\r\n\r\n")
}

/// Reads one whole answer to a request that is sent on a kept connection.
pub fn exchange(stream: &mut TcpStream, text: &str) -> (u16, usize) {
    send(stream, text);
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "closed without an answer");
        bytes.extend_from_slice(&buffer[..count]);
        if let Some((answer, _)) = whole_answer(&bytes) {
            return answer;
        }
    }
}

/// Reads until the connection ends.
pub fn read_all(stream: &mut TcpStream, pace: Pace) -> Received {
    std::thread::sleep(pace.delay);
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let error = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => break Some(error.kind()),
        }
        std::thread::sleep(pace.pause);
    };
    let mut received = Received { error, ..Received::default() };
    let mut rest = &bytes[..];
    while let Some((answer, length)) = whole_answer(rest) {
        received.answers.push(answer);
        rest = &rest[length..];
    }
    received.rest = rest.len();
    received
}

/// Returns the first answer if it is whole, and the number of its bytes with the head.
fn whole_answer(bytes: &[u8]) -> Option<((u16, usize), usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..end]).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap();
    let length = length.parse().unwrap();
    (bytes.len() >= end + length).then_some(((status, length), end + length))
}
