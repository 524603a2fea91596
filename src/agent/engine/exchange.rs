//! One request to a plain service and its whole answer, on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use eyre::{WrapErr, ensure, eyre};
use ureq::http;

use super::http::{CONNECT_TIMEOUT, Failure};
use crate::h1::{AnswerHead, Part, Reader, settled_at, write};
use crate::link::message::Answer;
use crate::model::{Ran, Timestamp};

/// The largest content of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// The largest head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The size of the buffer for reads, in bytes.
const BUFFER_BYTES: usize = 8 << 10;
/// The shortest timeout of a socket, which takes none of zero.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// The type of a content that the service does not name.
const UNKNOWN_MEDIA: &str = "application/octet-stream";

/// Sends a request and returns its answer, or why there is no whole one by the given time, and whether
/// the request may have run.
pub(super) fn exchange(
    address: SocketAddr,
    request: &http::Request<Vec<u8>>,
    until: Timestamp,
) -> Result<Answer, Failure> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
        .wrap_err("connect to the endpoint")
        .map_err(|e| (Ran::No, e))?;
    let bytes = serialize(address, request);
    let mut open = Open { stream, until, sent: None };
    open.write(&bytes);
    open.read(&bytes, request.method() == http::Method::HEAD).map_err(|e| (Ran::Maybe, e))
}

/// Returns the bytes of a request that is the last one on its connection.
fn serialize(address: SocketAddr, request: &http::Request<Vec<u8>>) -> Vec<u8> {
    let mut bytes = Vec::new();
    let target = request.uri().path_and_query().map_or("/", |p| p.as_str());
    write::request_line(&mut bytes, request.method().as_str(), target);
    write::field(&mut bytes, "host", address.to_string().as_bytes());
    for (name, value) in request.headers() {
        write::field(&mut bytes, name.as_str(), value.as_bytes());
    }
    write::number(&mut bytes, "content-length", request.body().len() as u64);
    write::field(&mut bytes, "connection", b"close");
    write::end_head(&mut bytes);
    bytes.extend_from_slice(request.body());
    bytes
}

/// A connection with one request.
struct Open {
    stream: TcpStream,
    /// When the answer must be complete.
    until: Timestamp,
    /// When the last byte of the request was written, if all were.
    sent: Option<Timestamp>,
}

impl Open {
    /// Writes the request. If that fails, the service may have sent an answer before it closed the
    /// connection.
    fn write(&mut self, bytes: &[u8]) {
        let left = self.left().max(MIN_TIMEOUT);
        let written = self.stream.set_write_timeout(Some(left));
        let written = written.and_then(|()| self.stream.write_all(bytes));
        self.sent = written.is_ok().then(Timestamp::from_steady);
    }

    fn read(&mut self, request: &[u8], bodiless: bool) -> eyre::Result<Answer> {
        let mut reader = Reader::answers(MAX_HEAD_BYTES);
        reader.expect_bodiless(bodiless);
        let mut answer = None;
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            while let Some(part) = reader.next_part().wrap_err("read answer")? {
                match part {
                    Part::Answer(head) => answer = Some(begin(&head)),
                    Part::Data(more) => append(answer.as_mut(), &more)?,
                    Part::End { .. } => {
                        return answer.ok_or_else(|| eyre!("an answer has no head"));
                    }
                    Part::Request(_) => return Err(eyre!("the endpoint sent a request")),
                }
            }
            let left = self.left();
            ensure!(left > Duration::ZERO, "the answer is not complete in time");
            self.stream.set_read_timeout(Some(left.max(MIN_TIMEOUT)))?;
            match self.stream.read(&mut buffer).wrap_err("read answer")? {
                0 if reader.ends_with_connection() => {
                    self.check_end(request.len())?;
                    return answer.ok_or_else(|| eyre!("an answer has no head"));
                }
                0 => return Err(eyre!("the endpoint closed the connection before the answer")),
                count => reader.feed(buffer.get(..count).unwrap_or_default()),
            }
        }
    }

    /// Checks that the connection ended in order after the service had got the whole request.
    fn check_end(&self, request_bytes: usize) -> eyre::Result<()> {
        let sent = self.sent.ok_or_else(|| eyre!("the answer ended before the request"))?;
        let settled = settled_at(request_bytes, sent);
        std::thread::sleep(settled - Timestamp::from_steady());
        match self.stream.take_error()? {
            Some(error) => Err(error).wrap_err("the connection was reset after its end"),
            None => Ok(()),
        }
    }

    fn left(&self) -> Duration {
        self.until - Timestamp::from_steady()
    }
}

fn begin(head: &AnswerHead) -> Answer {
    let media = head.fields.text("content-type").unwrap_or(UNKNOWN_MEDIA);
    Answer { status: head.status, media: media.into(), content: Vec::new() }
}

fn append(answer: Option<&mut Answer>, more: &[u8]) -> eyre::Result<()> {
    let answer = answer.ok_or_else(|| eyre!("a content without a head"))?;
    answer.content.extend_from_slice(more);
    let length = answer.content.len();
    ensure!(length <= MAX_ANSWER_BYTES, "the answer has more than {MAX_ANSWER_BYTES} bytes");
    Ok(())
}
