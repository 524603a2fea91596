//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A parsed head: its first line and its fields, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn parse(text: &str) -> Head {
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_string();
        let field = |l: &str| {
            let (name, value) = l.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_string()))
        };
        Head { line, fields: lines.filter_map(field).collect() }
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Complete,
    /// The connection ended before any byte of an answer.
    Closed,
    /// The connection ended within the answer.
    Cut,
    /// Nothing came in time.
    Silent,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn dial(address: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        TcpStream::connect_timeout(&address, timeout).map(Conn::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16_384];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(count);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn line_end(&self, mark: &[u8]) -> Option<usize> {
        self.buffer.windows(mark.len()).position(|w| w == mark)
    }

    /// Reads a head; `Ok(None)` if the connection ended before it began.
    pub fn head(&mut self, until: Instant) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.line_end(b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 4);
                return Ok(Some(Head::parse(&text)));
            }
            if self.more(until)? == 0 {
                let none = self.buffer.is_empty();
                return if none { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    fn exactly(&mut self, count: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.more(until)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a content, and passes each part on as it comes.
    pub fn content(
        &mut self,
        head: &Head,
        until: Instant,
        mut part: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if let Some(length) = head.get("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            part(&self.exactly(length, until)?);
            return Ok(());
        }
        if head.get("transfer-encoding").is_none() {
            return Ok(());
        }
        loop {
            while self.line_end(b"\r\n").is_none() {
                if self.more(until)? == 0 {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
            let at = self.line_end(b"\r\n").unwrap_or_default();
            let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
            let digits = String::from_utf8_lossy(&line[..at]).trim().to_string();
            let size = usize::from_str_radix(&digits, 16)
                .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            let data = self.exactly(size + 2, until)?;
            if size == 0 {
                return Ok(());
            }
            part(&data[..size]);
        }
    }

    /// Reads an answer; what came of its content is in the second part also if it was cut.
    pub fn answer(&mut self, until: Instant, part: impl FnMut(&[u8])) -> (Option<Head>, End) {
        let head = match self.head(until) {
            Ok(Some(head)) => head,
            Ok(None) => return (None, End::Closed),
            Err(e) => return (None, failed(&e, End::Closed)),
        };
        match self.content(&head, until, part) {
            Ok(()) => (Some(head), End::Complete),
            Err(e) => (Some(head), failed(&e, End::Cut)),
        }
    }
}

fn failed(error: &io::Error, end: End) -> End {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => End::Silent,
        _ => end,
    }
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], content: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        text += &format!("Content-Length: {}\r\n", content.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(content);
    bytes
}

/// Sends a request on a new connection; returns the status and the content of a complete answer.
pub fn once(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + timeout;
    let mut conn = Conn::dial(address, timeout).ok()?;
    conn.write(bytes).ok()?;
    let mut content = Vec::new();
    let (head, end) = conn.answer(until, |part| content.extend_from_slice(part));
    let head = head.filter(|_| end == End::Complete)?;
    Some((head.status(), content))
}

/// Returns the bytes of an answer with a length.
pub fn answer(status: u16, fields: &[(&str, &str)], content: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{content}", content.len());
    text.into_bytes()
}
