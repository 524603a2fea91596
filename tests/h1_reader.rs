//! The HTTP/1.1 reader refuses messages with ambiguous framing, however their bytes are split.
//!
//! A request that two parsers frame differently can smuggle a second request past a proxy.

use dotterelpin::h1::{Part, ReadError, Reader};

const HEAD_BYTES: usize = 1_000;
const BODY_BYTES: usize = 1_000;

/// Feeds bytes in pieces of a size; returns the target and content of each request.
fn read(bytes: &[u8], piece: usize) -> Result<Vec<(String, Vec<u8>)>, ReadError> {
    let mut reader = Reader::requests(HEAD_BYTES, BODY_BYTES);
    let mut requests = Vec::new();
    let mut open: Option<(String, Vec<u8>)> = None;
    for part in bytes.chunks(piece) {
        reader.feed(part);
        while let Some(part) = reader.next_part()? {
            match part {
                Part::Request(head) => open = Some((head.target.to_string(), Vec::new())),
                Part::Data(data) => open.as_mut().unwrap().1.extend(data),
                Part::End { .. } => requests.push(open.take().unwrap()),
                Part::Answer(_) => panic!("read an answer where only requests are expected"),
            }
        }
    }
    Ok(requests)
}

#[test]
fn requests_with_ambiguous_framing_are_refused() {
    let smuggled = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    let cases = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 0x3\r\n",
        "Content-Length: \r\n",
        "Content-Length : 3\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "X: a\r\n Content-Length: 3\r\n",
        "X: a\nContent-Length: 3\r\n",
        "Content-Length: 3\n",
        " X: a\r\n",
    ];
    for fields in cases {
        for piece in [1, 7, 10_000] {
            let text = format!("POST /a HTTP/1.1\r\nHost: a\r\n{fields}\r\n0\r\n\r\n{smuggled}");
            let read = read(text.as_bytes(), piece);
            assert!(
                matches!(read, Err(ReadError::Malformed(_))),
                "{fields:?} in pieces of {piece} was not refused: {read:?}"
            );
        }
    }
}

#[test]
fn malformed_chunks_are_refused() {
    let cases = [
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",
        "-1\r\nabc\r\n0\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "\r\nabc\r\n0\r\n\r\n",
        "3 3\r\nabc\r\n0\r\n\r\n",
    ];
    for chunks in cases {
        for piece in [1, 10_000] {
            let text = format!("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
            let read = read(text.as_bytes(), piece);
            assert!(
                matches!(read, Err(ReadError::Malformed(_))),
                "{chunks:?} in pieces of {piece} was not refused: {read:?}"
            );
        }
    }
}

#[test]
fn valid_requests_are_read_in_pieces_of_any_size() {
    let text = "\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc\
                POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                2;name=value\r\nde\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n\
                GET /c?d=e HTTP/1.1\r\n\r\n";
    let expected = vec![
        ("/a".to_string(), b"abc".to_vec()),
        ("/b".to_string(), b"de0123456789".to_vec()),
        ("/c?d=e".to_string(), Vec::new()),
    ];
    for piece in [1, 2, 3, 5, 64, 10_000] {
        assert_eq!(read(text.as_bytes(), piece), Ok(expected.clone()), "in pieces of {piece}");
    }
}

#[test]
fn head_and_body_limits_are_enforced() {
    let long = "x".repeat(HEAD_BYTES);
    let head = format!("GET / HTTP/1.1\r\nX: {long}\r\n\r\n");
    assert_eq!(read(head.as_bytes(), 100), Err(ReadError::HeadTooLong));
    let length = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", BODY_BYTES + 1);
    assert_eq!(read(length.as_bytes(), 100), Err(ReadError::BodyTooLong));
    let chunk = format!("{:x}\r\n{long}\r\n", HEAD_BYTES);
    let chunks = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}1\r\nx\r\n");
    assert_eq!(read(chunks.as_bytes(), 100), Err(ReadError::BodyTooLong));
}

#[test]
fn truncated_answer_is_not_complete() {
    let cut = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", false),
        ("HTTP/1.1 200 OK\r\nContent-", false),
        ("HTTP/1.1 200 OK\r\n\r\nabc", true),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc", true),
    ];
    for (text, complete) in cut {
        let mut reader = Reader::answers(HEAD_BYTES);
        reader.feed(text.as_bytes());
        while let Some(part) = reader.next_part().unwrap() {
            assert!(
                !matches!(part, Part::End { .. }),
                "{text:?} ended before the connection closed"
            );
        }
        let end = reader.end();
        assert_eq!(
            matches!(end, Ok(Some(Part::End { closes: true }))),
            complete,
            "{text:?}: {end:?}"
        );
    }
}
