//! Clients that ask for streams.

use std::net::SocketAddr;
use std::time::Duration;

use super::http::Conn;

/// How long a client waits for the whole stream, as on the sheets.
const DEADLINE_MS: u64 = 14_000;

/// The content of each request.
pub const CONTENT: &[u8] = b"hi";

/// What a client got.
#[derive(Debug, Default, Clone)]
pub struct Got {
    /// The status; 0 if no answer came.
    pub status: u16,
    /// The content of the events.
    pub events: Vec<String>,
    /// Whether the stream was complete.
    pub whole: bool,
}

/// A request for a stream.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// The id of the attempt.
    pub id: String,
    /// The path.
    pub path: String,
    /// The number of the last event that the client has, and the attempt that brought the first.
    pub resumes: Option<(u64, String)>,
    /// After how many events the client closes its connection; 0 for never.
    pub leaves_after: usize,
}

/// Sends a request and reads its stream.
pub fn ask(to: SocketAddr, ask: &Ask) -> Got {
    let mut got = Got::default();
    let Ok(mut conn) = Conn::open(to, Duration::from_millis(DEADLINE_MS)) else { return got };
    let mut head = format!(
        "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nDotterelpin-Attempt-Id: {}\r\n\
         Dotterelpin-Model: m\r\nDotterelpin-Token-Usage: 900,80\r\n\
         Dotterelpin-Prompt-Prefix: 5c1e07a2:200,{}:700\r\nDotterelpin-Deadline-Ms: {DEADLINE_MS}\r\n",
        ask.path, ask.id, ask.id
    );
    if let Some((event, first)) = &ask.resumes {
        head += &format!("Last-Event-Id: {event}\r\nResumes: {first}\r\n");
    }
    head += "Content-Length: 2\r\n\r\nhi";
    if conn.write(head.as_bytes()).is_err() {
        return got;
    }
    let Ok(answer) = conn.head() else { return got };
    got.status = answer.status();
    if answer.field("transfer-encoding").is_none() {
        let _ = conn.content(&answer);
        return got;
    }
    loop {
        match conn.chunk() {
            Ok(Some(data)) => {
                let text = String::from_utf8_lossy(&data).into_owned();
                got.events.extend(text.split("\n\n").filter(|e| !e.is_empty()).map(String::from));
                if ask.leaves_after > 0 && got.events.len() >= ask.leaves_after {
                    return got;
                }
            }
            Ok(None) => {
                got.whole = true;
                return got;
            }
            Err(_) => return got,
        }
    }
}
