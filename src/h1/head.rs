//! Heads of requests and answers, and complete requests.

use std::sync::Arc;

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The name in the letter case in which it was received.
    pub name: Box<str>,
    /// The value, which may not be valid UTF-8.
    pub value: Box<[u8]>,
}

/// The header fields of a head, in the order in which they were received.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fields(pub Vec<Field>);

impl Fields {
    /// Returns the first value of a field, trimmed, or None if it is missing or not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|f| f.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok().map(str::trim)
    }

    /// Returns all values of the fields with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |f: &&Field| f.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).map(|f| &*f.value)
    }

    /// Returns the memory of the fields in bytes, with that of the allocator for each.
    pub fn memory(&self) -> usize {
        let field = |f: &Field| allocated(f.name.len()) + allocated(f.value.len());
        self.0.capacity() * size_of::<Field>() + self.0.iter().map(field).sum::<usize>()
    }

    /// Returns whether a field with a name is present.
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|f| f.name.eq_ignore_ascii_case(name))
    }

    /// Returns whether the comma-separated list in a field contains a token, ignoring case.
    ///
    /// ```
    /// use dotterelpin::h1::{Field, Fields};
    ///
    /// let field = Field { name: "Connection".into(), value: (*b"foo, Close").into() };
    /// assert!(Fields(vec![field]).has_token("connection", "close"));
    /// ```
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let mut parts = value.split(|b| *b == b',').map(<[u8]>::trim_ascii);
            parts.any(|part| part.eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}

/// Returns how much memory an allocation takes up at least, as usual allocators round it.
fn allocated(bytes: usize) -> usize {
    (bytes + 8).next_multiple_of(16).max(32)
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `GET`.
    pub method: Box<str>,
    /// The path and query as received.
    pub target: Box<str>,
    /// Whether the version is HTTP/1.0, which closes the connection after each answer.
    pub http10: bool,
    /// The header fields.
    pub fields: Fields,
}

impl RequestHead {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&*self.target, |(path, _)| path)
    }

    /// Returns whether the caller wants the connection closed after the answer.
    pub fn wants_close(&self) -> bool {
        self.http10 || self.fields.has_token("connection", "close")
    }
}

/// A complete request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The head.
    pub head: Arc<RequestHead>,
    /// The content; empty if there is none.
    pub body: Arc<[u8]>,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
}
