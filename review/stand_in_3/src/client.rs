//! Clients of the routes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

/// What a client received of a stream.
#[derive(Debug, Default, Clone)]
pub struct Stream {
    pub id: String,
    pub status: u16,
    /// Number and data of each event.
    pub events: Vec<(u64, String)>,
    pub complete: bool,
    pub error: String,
}

/// Requests a stream and reads it to its end.
pub fn stream(to: SocketAddr, host: &str, path: &str, id: &str, deadline_ms: u64) -> Stream {
    let mut got = Stream { id: id.into(), ..Stream::default() };
    if let Err(error) = read_stream(to, host, path, id, deadline_ms, &mut got) {
        got.error = error.to_string();
    }
    got
}

fn read_stream(
    to: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    got: &mut Stream,
) -> std::io::Result<()> {
    let mut conn = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    conn.set_nodelay(true)?;
    conn.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    let own = id.trim_start_matches(|c: char| !c.is_ascii_digit());
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nDotterelpin-Attempt-Id: {id}\r\n\
         Dotterelpin-Model: m\r\nDotterelpin-Token-Usage: 300,80\r\n\
         Dotterelpin-Prompt-Prefix: aa01:200,bb{own}:100\r\n\
         Dotterelpin-Deadline-Ms: {deadline_ms}\r\nContent-Length: 5\r\n\r\nhello"
    );
    conn.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(conn);
    let Some(head) = http::read_head(&mut reader)? else {
        return Err(std::io::Error::other("closed without an answer"));
    };
    got.status = head.status();
    if got.status != 200 {
        let body = http::read_body(&mut reader, &head)?;
        got.error = String::from_utf8_lossy(&body).trim().to_string();
        return Ok(());
    }
    let mut text = String::new();
    while let Some(part) = http::read_chunk(&mut reader)? {
        text += &String::from_utf8_lossy(&part);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let line = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
            let number = line("id: ").and_then(|n| n.parse().ok()).unwrap_or(0);
            got.events.push((number, line("data: ").unwrap_or("").to_string()));
            text = rest.to_string();
        }
    }
    got.complete = true;
    Ok(())
}
