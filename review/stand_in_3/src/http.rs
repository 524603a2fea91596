//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message without its content.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub first: String,
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn bad(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text.to_string())
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return if head.first.is_empty() { Ok(None) } else { Err(bad("a head is cut off")) };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_string();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line;
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the next part of a chunked content; `None` at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(bad("chunked content is cut off"));
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("no size of a chunk"))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

/// Reads the content of a message, with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> std::io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let mut all = Vec::new();
        while let Some(part) = read_chunk(reader)? {
            all.extend(part);
        }
        return Ok(all);
    }
    let length = head.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends one request on a new connection and returns status and content.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, wait)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_nodelay(true)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or_else(|| bad("no answer"))?;
    let content = read_body(&mut reader, &head)?;
    Ok((head.status(), String::from_utf8_lossy(&content).into_owned()))
}
