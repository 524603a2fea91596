//! Heads of requests and answers.

use std::sync::Arc;

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The name as it was sent.
    pub name: Box<str>,
    /// The value.
    pub value: Box<[u8]>,
}

/// The header fields of a head, in their order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fields(pub Vec<Field>);

impl Fields {
    /// Returns the first value of a field, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|f| f.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok().map(str::trim)
    }

    /// Returns all values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |f: &&Field| f.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).map(|f| &*f.value)
    }

    /// Returns whether a field is there.
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|f| f.name.eq_ignore_ascii_case(name))
    }

    /// Returns whether a field with a list of tokens has one of them.
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

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Box<str>,
    /// Path and query as they were sent.
    pub target: Box<str>,
    /// Whether the caller speaks a version that closes after each answer.
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

/// A whole request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The head.
    pub head: Arc<RequestHead>,
    /// The content.
    pub body: Arc<[u8]>,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
}
