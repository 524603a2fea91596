//! An engine that sends an event without end to its agent.

mod loopback;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterelpin::agent::engine::{EngineEffect, EngineInput, HttpEngine, Work};
use dotterelpin::link::message::Export;
use dotterelpin::model::{BootId, CallId, Ran, RequestId, Timestamp};
use dotterelpin::report::metrics::Metrics;
use dotterelpin::role::{Driver, Input, Output, Role};
use loopback::{link, memory};

/// How long the engine sends, if nobody closes the connection.
const SEND_TIME: Duration = Duration::from_secs(4);
/// By how much the memory of the process may grow, in bytes.
const MAX_GROWTH: u64 = 48 << 20;

/// Starts one decode stream and passes on what becomes of it.
struct Starter {
    ended: Sender<Ran>,
}

impl Role for Starter {
    type Local = EngineInput;
    type Effect = EngineEffect;

    fn step(&mut self, _now: Timestamp, input: Input<EngineInput>) -> Vec<Output<EngineEffect>> {
        match input {
            Input::Shutdown { .. } => {
                let request = RequestId { owner: BootId(1), call: CallId(1), attempt: 1 };
                let export = Export { url: "".into(), name: "e".into(), tokens: 1 };
                let work = Work::Decode { export, from: 0, until: 9 };
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            Input::Local(EngineInput::Failed { ran, .. }) => {
                self.ended.send(ran).unwrap();
                vec![Output::Stopped]
            }
            _ => Vec::new(),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}

/// Starts an engine that answers with an event without end.
fn engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        _ = stream.read(&mut request);
        let mut open = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\ndata: ").is_ok();
        let begin = Instant::now();
        while open && begin.elapsed() < SEND_TIME {
            open = stream.write_all(&[b'x'; 64 << 10]).is_ok();
        }
    });
    address
}

#[test]
fn event_without_end_takes_all_memory_of_the_agent() {
    let url = Arc::new(Mutex::new(Some(format!("http://{}", engine()).into())));
    let driver = Driver::new();
    let handle = driver.handle();
    let http = HttpEngine::new(url, handle.clone());
    let (ended, outcome) = channel();
    let metrics = Arc::new(Metrics::new().unwrap());
    driver.start("agent", Starter { ended }, link(), http, metrics).unwrap();
    let before = memory();
    handle.send(Input::Shutdown { since: Timestamp::from_steady() });
    let begin = Instant::now();
    let (mut most, mut end) = (before, None);
    while end.is_none() && begin.elapsed() < SEND_TIME + Duration::from_secs(4) {
        end = outcome.recv_timeout(Duration::from_millis(20)).ok();
        most = most.max(memory());
    }
    let growth = most - before;
    assert_eq!(end, Some(Ran::Maybe), "the stream has failed");
    assert!(growth < MAX_GROWTH, "the memory grew by {growth} bytes");
    assert!(begin.elapsed() < SEND_TIME, "it was read for {:?}", begin.elapsed());
}
