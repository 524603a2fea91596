//! Calls of callers, after they have been checked.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::Timestamp;

/// How long a caller is ready to wait, and so how a call is ordered against others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// Nobody waits; the answer is due by a deadline.
    Batch,
}

impl Class {
    /// Every class, in the order of its priority.
    pub const ALL: [Class; 2] = [Class::Interactive, Class::Batch];

    /// Returns the name that settings and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Class> {
        let found = Class::ALL.into_iter().find(|c| c.as_str() == text);
        found.ok_or_else(|| eyre::eyre!("class {text:?} is unknown: interactive or batch"))
    }
}

/// A checked call, ready for admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Who pays for the call.
    pub tenant: Box<str>,
    /// The pool that serves it: a model or a plain service.
    pub pool: Box<str>,
    /// How it is ordered against others.
    pub class: Class,
    /// When its answer is of no more use.
    pub deadline: Timestamp,
    /// The caller's idempotency key.
    pub key: Option<Box<str>>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What is asked for.
    pub kind: CallKind,
}

/// What a call asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum CallKind {
    /// Text from a model.
    Model {
        /// The prompt.
        prompt: Box<str>,
        /// The most tokens to generate.
        max_tokens: u32,
        /// Whether the caller reads tokens as they come.
        stream: bool,
    },
    /// One exchange with a plain service.
    Service(Body),
}

/// An HTTP request to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// The HTTP method.
    pub method: Box<str>,
    /// The path below the service's root, with the query.
    pub path: Box<str>,
    /// The media type of the content.
    pub media: Box<str>,
    /// The content.
    pub content: Vec<u8>,
}

/// Bytes of text that count as one token when a prompt's length is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// Estimates the tokens of a prompt from its length.
///
/// ```
/// use dotterelpin::model::call::prompt_tokens;
///
/// assert_eq!(prompt_tokens("eight by"), 2);
/// ```
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
