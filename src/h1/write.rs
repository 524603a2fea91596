//! Serializes heads and content of HTTP/1.1 messages.

use std::io::Write;

use super::head::{Field, Fields};

/// Hop-by-hop header fields, which are not forwarded.
const HOP_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Returns whether a field applies to a single connection and must not be forwarded.
pub fn is_hop_field(fields: &Fields, name: &str) -> bool {
    HOP_FIELDS.iter().any(|h| h.eq_ignore_ascii_case(name))
        || name.eq_ignore_ascii_case("content-length")
        || fields.has_token("connection", name)
}

/// Writes the first line of a request.
pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    for part in [method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"] {
        out.extend_from_slice(part);
    }
}

/// Writes the first line of an answer.
pub fn status_line(out: &mut Vec<u8>, status: u16) {
    let _infallible = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
}

/// Writes one header field.
pub fn field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    for part in [name.as_bytes(), b": ", value, b"\r\n"] {
        out.extend_from_slice(part);
    }
}

/// Writes one header field with a number as its value.
pub fn number(out: &mut Vec<u8>, name: &str, value: u64) {
    let _infallible = write!(out, "{name}: {value}\r\n");
}

/// Writes the fields that are to be forwarded, except those for which `drop` returns true.
pub fn end_to_end(out: &mut Vec<u8>, fields: &Fields, drop: impl Fn(&str) -> bool) {
    let passes = |f: &&Field| !is_hop_field(fields, &f.name) && !drop(&f.name);
    for Field { name, value } in fields.0.iter().filter(passes) {
        field(out, name, value);
    }
}

/// Writes the blank line that ends a head.
pub fn end_head(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// Returns the length of the head that bytes begin with, with the blank line that ends it.
pub fn head_length(bytes: &[u8]) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    bytes.windows(END.len()).position(|part| part == END).map(|at| at + END.len())
}

/// Writes one chunk of chunked content; empty data is skipped, since it would end the content.
pub fn chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    let _infallible = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the last chunk, which ends chunked content.
pub fn last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

/// Returns a complete answer with content; without `keep` it announces the close.
pub fn answer(
    status: u16,
    extra: &[(&str, String)],
    media: &str,
    body: &[u8],
    keep: bool,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + body.len());
    status_line(&mut out, status);
    for (name, value) in extra {
        field(&mut out, name, value.as_bytes());
    }
    if !body.is_empty() {
        field(&mut out, "Content-Type", media.as_bytes());
    }
    if !keep {
        field(&mut out, "Connection", b"close");
    }
    number(&mut out, "Content-Length", body.len() as u64);
    end_head(&mut out);
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
