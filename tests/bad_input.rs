//! Invalid input is refused with a reason, and the process continues to serve.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use common::{CREDENTIAL, Fleet};
use serde_json::Value;

/// Longer than the time that an entry allows a caller for sending a request.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends bytes as they are and returns everything that is received until the connection closes.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let _ = stream.write_all(bytes);
    read(stream)
}

fn read(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

struct Request {
    line: &'static str,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl Request {
    fn new(line: &'static str, body: &str) -> Request {
        let bearer = format!("Bearer {CREDENTIAL}").into_bytes();
        let headers = vec![("authorization".to_string(), bearer)];
        Request { line, headers, body: body.as_bytes().to_vec() }
    }

    fn with(mut self, name: &str, value: impl AsRef<[u8]>) -> Request {
        self.headers.push((name.to_string(), value.as_ref().to_vec()));
        self
    }

    fn without_credential(mut self) -> Request {
        self.headers.clear();
        self
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!("{} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n", self.line);
        bytes.push_str(&format!("content-length: {}\r\n", self.body.len()));
        let mut bytes = bytes.into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(&[name.as_bytes(), b": ", value, b"\r\n"].concat());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Starts a fleet of one entry and one service; returns it with the entry's address for callers.
fn small_fleet() -> (Fleet, SocketAddr) {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let address = fleet.entries[0].url.strip_prefix("http://").unwrap().parse().unwrap();
    (fleet, address)
}

fn expect_serving(fleet: &Fleet) {
    let answer = fleet.call(0, "GET", "/services/classroom/timetable", &[], "").unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn request_with_length_and_transfer_encoding_is_refused_and_the_bytes_after_it_are_not_parsed() {
    let (fleet, address) = small_fleet();
    let bearer = format!("Authorization: Bearer {CREDENTIAL}\r\n");
    let length = "Content-Length: 5\r\n";
    let encoding = "Transfer-Encoding: chunked\r\n";
    for framing in [[length, encoding].concat(), [encoding, length].concat(), encoding.into()] {
        let text = format!(
            "POST /services/classroom/tap HTTP/1.1\r\nHost: x\r\n{bearer}{framing}\r\n0\r\n\r\n\
             GET /services/classroom/timetable HTTP/1.1\r\nHost: x\r\n{bearer}\r\n"
        );
        let answer = send_raw(address, text.as_bytes());
        assert_eq!(status(&answer), 400, "{framing:?}: {answer}");
        assert!(answer.contains("content-length"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{framing:?}: {answer}");
    }
    let counts = fleet.endpoints[0].counts().unwrap();
    assert_eq!(counts, serde_json::json!({}), "a refused request reached the service");
    expect_serving(&fleet);
}

#[test]
fn each_invalid_request_is_refused_with_a_reason() {
    const COMPLETIONS: &str = "POST /v1/completions";
    const CHAT: &str = "POST /v1/chat/completions";
    const TAP: &str = "POST /services/classroom/tap";
    let (fleet, address) = small_fleet();
    let model = |body: &str| Request::new(COMPLETIONS, body);
    let tap = || Request::new(TAP, "pupil-1");
    let long_body = format!("{{\"model\": \"m\", \"prompt\": \"{}\"}}", "x".repeat(2 << 20));
    let many = (0..80).fold(tap(), |r, i| r.with(&format!("x-{i}"), "y"));
    let table: Vec<(&str, Request, u16, &str)> = vec![
        ("no credential", tap().without_credential(), 401, "unauthorized"),
        (
            "unknown credential",
            tap().without_credential().with("authorization", "Bearer no"),
            401,
            "unauthorized",
        ),
        ("two credentials", tap().with("authorization", "Bearer other"), 400, "stands twice"),
        ("not JSON", model("{"), 400, "body"),
        ("JSON of another shape", model("[1]"), 400, "body"),
        ("no model", model(r#"{"prompt": "p"}"#), 400, "model"),
        ("empty model", model(r#"{"model": "", "prompt": "p"}"#), 400, "model"),
        ("no prompt", model(r#"{"model": "m"}"#), 400, "prompt"),
        ("prompt of a wrong type", model(r#"{"model": "m", "prompt": 7}"#), 400, "body"),
        ("no messages", Request::new(CHAT, r#"{"model": "m", "prompt": "p"}"#), 400, "messages"),
        (
            "messages of a wrong type",
            Request::new(CHAT, r#"{"model": "m", "messages": "hi"}"#),
            400,
            "body",
        ),
        (
            "negative max_tokens",
            model(r#"{"model": "m", "prompt": "p", "max_tokens": -1}"#),
            400,
            "body",
        ),
        (
            "max_tokens of zero",
            model(r#"{"model": "m", "prompt": "p", "max_tokens": 0}"#),
            400,
            "max_tokens",
        ),
        (
            "huge max_tokens",
            model(r#"{"model": "m", "prompt": "p", "max_tokens": 99999999}"#),
            400,
            "max_tokens",
        ),
        (
            "stream of a wrong type",
            model(r#"{"model": "m", "prompt": "p", "stream": "yes"}"#),
            400,
            "body",
        ),
        ("wrong deadline", tap().with("x-dotterelpin-deadline-ms", "soon"), 400, "deadline"),
        ("deadline of zero", tap().with("x-dotterelpin-deadline-ms", "0"), 400, "deadline"),
        (
            "deadline of years",
            tap().with("x-dotterelpin-deadline-ms", "99999999999"),
            400,
            "deadline",
        ),
        ("wrong class", tap().with("x-dotterelpin-class", "urgent"), 400, "interactive or batch"),
        ("empty key", tap().with("idempotency-key", ""), 400, "idempotency-key"),
        ("oversized key", tap().with("idempotency-key", "k".repeat(257)), 400, "idempotency-key"),
        (
            "two keys",
            tap().with("idempotency-key", "a").with("idempotency-key", "b"),
            400,
            "stands twice",
        ),
        ("header that is not UTF-8", tap().with("x-note", [0xff, 0xfe]), 400, "UTF-8"),
        ("body that is not UTF-8", Request { body: vec![0xff; 9], ..model("") }, 400, "body"),
        ("unknown path", Request::new("GET /nothing", ""), 404, "unknown-path"),
        ("unknown model path", Request::new("POST /v1/embeddings", "{}"), 404, "unknown-path"),
        ("no pool", Request::new("GET /services/", ""), 400, "pool"),
        ("GET of a model", Request::new("GET /v1/completions", ""), 405, "bad-method"),
        ("unknown method", Request::new("BREW /services/classroom/tap", ""), 405, "bad-method"),
        ("body that is too large", model(&long_body), 413, "too-large"),
        ("too many headers", many, 431, ""),
        ("header that is too long", tap().with("x-long", "y".repeat(20_000)), 431, ""),
        ("unknown pool", Request::new("GET /services/kitchen/x", ""), 503, "no-endpoint"),
    ];
    for (name, request, wanted, reason) in table {
        let answer = send_raw(address, &request.bytes());
        assert_eq!(status(&answer), wanted, "{name}: {answer}");
        assert!(answer.contains(reason), "{name}: {answer}");
        if !reason.is_empty() {
            assert!(answer.contains("x-dotterelpin-ran: no"), "{name}: {answer}");
            let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
            let body: Value = serde_json::from_str(body).unwrap();
            assert!(body["error"]["message"].is_string(), "{name}: {answer}");
        }
    }
    // Clients often send fields that the router does not use; they are ignored.
    let more = r#"{"model": "m", "prompt": "p", "temperature": 0.3, "user": "u", "n": 1}"#;
    assert_eq!(
        status(&send_raw(address, &model(more).bytes())),
        503,
        "a call with extra fields is valid, but its pool is unknown"
    );
    assert_eq!(
        fleet.endpoints[0].counts().unwrap(),
        serde_json::json!({}),
        "a refused request reached the service"
    );
    expect_serving(&fleet);
}

#[test]
fn garbage_and_slow_callers_do_not_stop_the_fleet() {
    let (fleet, address) = small_fleet();
    let slow_head = TcpStream::connect(address).unwrap();
    (&slow_head).write_all(b"POST /services/classroom/tap HTTP/1.1\r\nhost:").unwrap();
    let slow_body = TcpStream::connect(address).unwrap();
    let request = Request::new("POST /services/classroom/tap", "pupil-1").bytes();
    (&slow_body).write_all(&request[..request.len() - 3]).unwrap();
    for stream in [&slow_head, &slow_body] {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    }
    let garbage: Vec<u8> = (0..4_096_u32).map(|i| (i * 7_919 % 251) as u8).collect();
    let answer = send_raw(address, &garbage);
    assert!(matches!(status(&answer), 0 | 400), "{answer}");
    send_raw(address, b"GET / HTTP/9.9\r\n\r\n");
    for pages in [fleet.entries[0].pages, fleet.endpoints[0].pages] {
        TcpStream::connect(pages).unwrap().write_all(&garbage).unwrap();
    }

    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for member in &fleet.members {
        for length in [1, 20, 1_200, 1_400] {
            socket.send_to(&garbage[..length], member).unwrap();
            // The start of a QUIC Initial packet, which has a long header.
            let initial = [&[0xc3, 0, 0, 0, 1, 8], &garbage[..length]].concat();
            socket.send_to(&initial, member).unwrap();
        }
    }
    expect_serving(&fleet);
    assert_eq!(status(&read(slow_body)), 408, "expected 408 for a body that never ends");
    assert!(
        matches!(status(&read(slow_head)), 0 | 408),
        "expected 408 or no answer for headers that never end"
    );
    expect_serving(&fleet);
    fleet.tool_text(&["status"]).unwrap();
}

#[test]
fn invalid_announcements_are_refused() {
    let (fleet, _) = small_fleet();
    let pages = fleet.endpoints[0].pages;
    let good = serde_json::json!({
        "url": fleet.endpoints[0].url, "kind": "service", "pool": "classroom",
        "capacity": { "slots": 64, "pieces": 64, "piece_tokens": 1 },
    });
    let with = |pointer: &str, value: Value| {
        let mut changed = good.clone();
        *changed.pointer_mut(pointer).unwrap() = value;
        changed.to_string()
    };
    let table = [
        ("not JSON", "{".to_string(), "EOF"),
        ("no body", String::new(), "EOF"),
        ("body that is too large", " ".repeat(65 << 10), "bytes"),
        ("unknown field", r#"{"color": "red"}"#.to_string(), "color"),
        ("wrong kind", with("/kind", "kitchen".into()), "kitchen"),
        ("wrong url", with("/url", "ftp://here".into()), "http://IP:PORT"),
        ("empty pool", with("/pool", "".into()), "pool"),
        ("pool with a space", with("/pool", "a b".into()), "pool"),
        ("slots of zero", with("/capacity/slots", 0.into()), "slots"),
        ("absurd slots", with("/capacity/slots", 4_000_000_000_u32.into()), "slots"),
        ("negative pieces", with("/capacity/pieces", (-1).into()), "-1"),
        ("absurd pieces", with("/capacity/pieces", u32::MAX.into()), "pieces"),
        ("piece_tokens of zero", with("/capacity/piece_tokens", 0.into()), "piece_tokens"),
    ];
    for (name, body, reason) in table {
        let length = body.len();
        let text = format!(
            "POST /announce HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        let answer = send_raw(pages, text.as_bytes());
        assert_eq!(status(&answer), 400, "{name}: {answer}");
        assert!(answer.contains(reason), "{name}: {answer}");
    }
    let get =
        |line: &str| send_raw(pages, format!("{line}\r\nconnection: close\r\n\r\n").as_bytes());
    assert_eq!(status(&get("GET /announce HTTP/1.1")), 405);
    assert_eq!(status(&get("GET /nothing HTTP/1.1")), 404);
    let entry = fleet.entries[0].pages;
    let text = b"POST /announce HTTP/1.1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(status(&send_raw(entry, text)), 404, "entries accept no announcements");
    expect_serving(&fleet);
}

#[test]
fn calls_past_the_limit_are_refused_as_not_run() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry_with("brno-a", &["--max-calls", "3"]).unwrap();
    let service = fleet.service("brno-a", &["--work-ms", "3000"]).unwrap();
    fleet.wait_ready().unwrap();
    let url = fleet.entries[0].url.clone();
    let taps: Vec<_> = (0..8)
        .map(|i| {
            let url = url.clone();
            let tap = move || {
                common::call(&url, "POST", "/services/classroom/tap", &[], &format!("pupil-{i}"))
            };
            std::thread::spawn(tap)
        })
        .collect();
    let answers: Vec<_> = taps.into_iter().map(|t| t.join().unwrap().unwrap()).collect();
    let ran = answers.iter().filter(|a| a.status == 200).count();
    let refused = answers
        .iter()
        .filter(|a| a.status == 503 && a.ran.as_deref() == Some("no") && a.retry_after.is_some());
    assert_eq!((ran, refused.count()), (3, 5), "{answers:?}");
    let counts = fleet.endpoints[service].counts().unwrap();
    assert_eq!(counts.as_object().unwrap().len(), 3, "{counts}");
}
