//! The syntax of heads: where one ends, and how the content after it is framed.

use std::ops::RangeInclusive;

use super::{NEW_LINE, Part, ReadError, State};
use crate::h1::head::{AnswerHead, Field, Fields, RequestHead};

/// The most header fields of a head.
const MAX_FIELDS: usize = 128;
/// The statuses that HTTP knows.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// The status of an answer after which the connection is no longer one of HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;
/// The lowest status of an answer that is not an interim one.
pub(super) const FIRST_FINAL_STATUS: u16 = 200;

/// How far an incomplete head was searched for its end, so that no byte is searched twice.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HeadSearch {
    /// The number of bytes that were searched.
    at: usize,
    /// Where the present line begins.
    line: usize,
}

/// Returns the length of the head including its blank line, or None if it is incomplete.
pub(super) fn head_length(
    bytes: &[u8],
    search: &mut HeadSearch,
) -> Result<Option<usize>, ReadError> {
    for (at, byte) in bytes.iter().enumerate().skip(search.at) {
        if *byte != b'\n' {
            continue;
        }
        if at == 0 || bytes.get(at - 1) != Some(&b'\r') {
            return Err(ReadError::Malformed("a line ends without a carriage return"));
        }
        if at - search.line == 1 && search.line > 0 {
            return Ok(Some(at + 1));
        }
        search.line = at + 1;
    }
    search.at = bytes.len();
    Ok(None)
}

/// Parses the head of a request, and returns it with the framing of its content.
pub(super) fn parse_request(bytes: &[u8]) -> Result<(Part, State), ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(ReadError::Malformed("the head is not whole")),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLong),
        Err(_) => return Err(ReadError::Malformed("the head can't be parsed")),
    }
    let fields = fields(request.headers);
    let head = RequestHead {
        method: request.method.unwrap_or_default().into(),
        target: request.path.unwrap_or_default().into(),
        http10: request.version != Some(1),
        fields,
    };
    let framing = match framing(&head.fields)? {
        Some(framing) => framing,
        None => State::Length(0),
    };
    Ok((Part::Request(head), framing))
}

/// Parses the head of an answer, and returns it with the framing of its content.
///
/// An interim answer has no content, and bytes behind a status that HTTP does not know, or behind a
/// switch to a protocol that nobody asked for, are no answer.
pub(super) fn parse_answer(bytes: &[u8], bodiless: bool) -> Result<(Part, State), ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        _ => return Err(ReadError::Malformed("the head of the answer can't be parsed")),
    }
    let status = answer.code.unwrap_or_default();
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(ReadError::Malformed("the status is not that of an answer"));
    }
    let http10 = answer.version != Some(1);
    let fields = fields(answer.headers);
    let is_interim = status < FIRST_FINAL_STATUS;
    let empty = bodiless || is_interim || status == 204 || status == 304;
    let framing = match framing(&fields)? {
        Some(State::ChunkLine) if http10 => {
            return Err(ReadError::Malformed("a transfer encoding in HTTP/1.0"));
        }
        Some(content) if is_interim && content != State::Length(0) => {
            return Err(ReadError::Malformed("an interim answer with a content"));
        }
        _ if empty => State::Length(0),
        Some(framing) => framing,
        None => State::UntilClose,
    };
    Ok((Part::Answer(AnswerHead { status, fields }), framing))
}

/// Checks a line of a trailer, with its line end.
pub(super) fn check_trailer(line: &[u8]) -> Result<(), ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; 1];
    let block = [line, NEW_LINE].concat();
    match httparse::parse_headers(&block, &mut headers) {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        _ => Err(ReadError::Malformed("a line of the trailer is no field")),
    }
}

fn fields(headers: &[httparse::Header<'_>]) -> Fields {
    let field = |h: &httparse::Header<'_>| Field { name: h.name.into(), value: h.value.into() };
    Fields(headers.iter().map(field).collect())
}

/// Returns how the content is framed, or None if the head does not say.
///
/// A message with two kinds of framing is refused, since the two sides could disagree about where
/// it ends.
fn framing(fields: &Fields) -> Result<Option<State>, ReadError> {
    let mut lengths = fields.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(ReadError::Malformed("two lengths of the content"));
    }
    let mut codings = fields.all("transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(ReadError::Malformed("two transfer encodings"));
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(ReadError::Malformed("both a length and a transfer encoding")),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(State::ChunkLine))
        }
        (None, Some(_)) => Err(ReadError::Malformed("an unknown transfer encoding")),
        (Some(length), None) => {
            let digits = std::str::from_utf8(length).ok();
            let digits = digits.filter(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()));
            let number = digits.and_then(|d| d.parse().ok());
            let number = number.ok_or(ReadError::Malformed("the length is no number"))?;
            Ok(Some(State::Length(number)))
        }
        (None, None) => Ok(None),
    }
}
