//! The little of HTTP/1.1 that stand-ins need.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer with its content.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// The fields, with names in lowercase.
    pub fields: Vec<(String, String)>,
    /// The content.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    /// The stream.
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn ended(text: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, text)
}

impl Conn {
    /// Takes an accepted or opened stream.
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, ahead: Vec::new() }
    }

    /// Opens a connection.
    pub fn open(to: SocketAddr, timeout: Duration) -> Result<Conn> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Conn::new(stream))
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self) -> Result<()> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(ended("the connection ended"));
        }
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.more()?;
        }
    }

    fn exact(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.more()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> Result<Message> {
        let first = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            fields.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
        Ok(Message { first, fields, body: Vec::new() })
    }

    /// Reads the content of a message with a length; without one it has none.
    pub fn content(&mut self, message: &Message) -> Result<Vec<u8>> {
        let length = message.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        self.exact(length)
    }

    /// Reads the next chunk; `None` after the last one.
    pub fn chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ended("no chunk"))?;
        let data = self.exact(size)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }

    /// Reads a request with its content.
    pub fn request(&mut self) -> Result<Message> {
        let mut message = self.head()?;
        message.body = self.content(&message)?;
        Ok(message)
    }
}

/// Sends one request and returns the whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let mut conn = Conn::open(to, timeout)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    conn.write(head.as_bytes())?;
    conn.write(body)?;
    let mut answer = conn.head()?;
    answer.body = conn.content(&answer)?;
    Ok(answer)
}

/// Returns an answer with content and these extra lines of its head.
pub fn answer(status: u16, extra: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} -\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < timeout {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
