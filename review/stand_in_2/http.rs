//! HTTP/1.1 as far as the cases need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A received message: the first line, the header fields and the content.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The method and the path of a request.
    pub fn method_path(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads from a connection, with what was received beyond the last message.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; returns whether the connection is still open.
    fn more(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_string();
                let pair = |l: &str| {
                    l.split_once(':').map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
                };
                let fields = lines.filter_map(pair).collect();
                return Ok(Some(Message { line, fields, body: Vec::new() }));
            }
            if !self.more()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn chunk_line(&mut self) -> io::Result<usize> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                let size = usize::from_str_radix(text.trim(), 16);
                return size.map_err(|_| io::ErrorKind::InvalidData.into());
            }
            if !self.more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a chunked content; an empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.chunk_line()?;
        let data = self.take(size)?;
        self.take(2)?;
        Ok(data)
    }

    /// Reads a complete message; `None` if the connection ends before it begins.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.field("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.field("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }
}

/// Writes a request with a content and waits for the complete answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    Reader::new(stream).message()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns the milliseconds since a moment.
pub fn ms(since: Instant) -> u128 {
    since.elapsed().as_millis()
}
