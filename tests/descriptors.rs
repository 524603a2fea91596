//! A process whose connections use up its descriptors: callers keep connections that they don't use,
//! and new callers come.

mod loopback;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use dotterelpin::h1::{CallerId, HttpDriver, HttpEffect, HttpInput, Listener, Purpose, write};
use dotterelpin::model::Timestamp;
use dotterelpin::report::metrics::Metrics;
use dotterelpin::role::{Input, Output, Role};
use loopback::link;

/// The environment variable that makes `server_process` serve.
const VARIABLE: &str = "DOTTERELPIN_DESCRIPTORS_SERVER";
/// How many descriptors the process may have.
const DESCRIPTORS: u32 = 60;
/// More connections than descriptors.
const CALLERS: usize = 90;
/// How long a caller waits for a byte of its answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long connections have been idle before others come.
const IDLE_TIME: Duration = Duration::from_millis(400);

/// Answers each request with `ok`, except `/hang`.
struct Plain;

impl Role for Plain {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, _now: Timestamp, input: Input<HttpInput>) -> Vec<Output<HttpEffect>> {
        let Input::Local(HttpInput::Request { caller, request, .. }) = input else {
            return Vec::new();
        };
        match &*request.head.target {
            "/hang" => Vec::new(),
            _ => answer(caller),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

fn answer(caller: CallerId) -> Vec<Output<HttpEffect>> {
    let bytes = write::answer(200, &[], "text/plain", b"ok", true);
    vec![
        Output::Effect(HttpEffect::Reply { caller, bytes }),
        Output::Effect(HttpEffect::Finish { caller, keep: true }),
    ]
}

/// The server, which another test starts with few descriptors; without that there is nothing to do.
#[test]
fn server_process() {
    if std::env::var(VARIABLE).is_err() {
        return;
    }
    let address = "127.0.0.1:0".parse().unwrap();
    let driver = HttpDriver::bind(&[Listener { address, purpose: Purpose::Calls }]).unwrap();
    let address = driver.local_addr(Purpose::Calls).unwrap();
    let metrics = Arc::new(Metrics::new().unwrap());
    let thread = driver.start("plain", Plain, link(), metrics).unwrap();
    eprintln!("address {address}");
    thread.join().unwrap();
}

struct Server {
    child: Child,
    address: SocketAddr,
}

impl Server {
    fn start() -> Server {
        let own = std::env::current_exe().unwrap();
        let script =
            format!("ulimit -n {DESCRIPTORS}; exec \"$0\" server_process --exact --nocapture");
        let mut child = Command::new("/bin/sh")
            .args(["-c", &script, own.to_str().unwrap()])
            .env(VARIABLE, "1")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut lines = lines.map_while(Result::ok);
        let address = lines.find_map(|l| l.strip_prefix("address ")?.parse().ok()).unwrap();
        // The rest is read, or the process would stop at a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Server { child, address }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect_timeout(&self.address, TIMEOUT).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

fn send(mut stream: &TcpStream, target: &str) {
    stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).unwrap();
}

/// Returns whether a whole answer comes.
fn is_answered(mut stream: &TcpStream) -> bool {
    let mut bytes = [0; 512];
    let mut text = String::new();
    while !text.ends_with("ok") {
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..count])),
            _ => return false,
        }
    }
    true
}

#[test]
fn idle_connections_of_callers_keep_new_callers_out() {
    let server = Server::start();
    let mut kept = Vec::new();
    for number in 0..CALLERS {
        let stream = server.connect();
        send(&stream, "/a");
        assert!(is_answered(&stream), "caller {number} gets no answer");
        kept.push(stream);
        std::thread::sleep(IDLE_TIME / 20);
    }
}

#[test]
fn caller_that_waits_for_its_answer_is_cut_off_for_a_new_caller() {
    let server = Server::start();
    let waiting = server.connect();
    send(&waiting, "/hang");
    let mut kept = Vec::new();
    for _ in 0..CALLERS {
        let stream = server.connect();
        send(&stream, "/a");
        kept.push(stream);
        std::thread::sleep(IDLE_TIME / 20);
    }
    waiting.set_nonblocking(true).unwrap();
    let read = (&waiting).read(&mut [0; 8]);
    assert!(read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock), "it stays open");
}

#[test]
fn callers_who_came_while_no_descriptor_was_free_are_never_accepted() {
    let server = Server::start();
    let mut busy = Vec::new();
    for _ in 0..CALLERS {
        let stream = server.connect();
        send(&stream, "/hang");
        busy.push(stream);
    }
    let late = server.connect();
    send(&late, "/a");
    std::thread::sleep(IDLE_TIME);
    // No further caller comes that would wake the server for its listener.
    busy.truncate(CALLERS / 2);
    busy.drain(..CALLERS / 3);
    assert!(is_answered(&late), "descriptors are free again");
}
