//! Validated calls of callers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::Timestamp;

/// The urgency of a call, which determines its priority over other calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// A user waits for the answer.
    Interactive,
    /// No user waits; the answer is only due by a deadline.
    Batch,
}

impl Class {
    /// All classes, the most urgent one first.
    pub const ALL: [Class; 2] = [Class::Interactive, Class::Batch];

    /// Returns the name in settings and metrics.
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

/// A validated call, ready for admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The tenant to which the call is charged.
    pub tenant: Box<str>,
    /// The name of the pool that serves it: a model or a plain service.
    pub pool: Box<str>,
    /// The class, which determines its priority.
    pub class: Class,
    /// The time after which its answer is of no use to the caller.
    pub deadline: Timestamp,
    /// The idempotency key, if the caller sent one.
    pub key: Option<Box<str>>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The requested work.
    pub kind: CallKind,
}

/// The work that a call requests.
#[derive(Debug, Clone, PartialEq)]
pub enum CallKind {
    /// Generation of text by a model.
    Model {
        /// The text of the prompt.
        prompt: Box<str>,
        /// The largest number of tokens to generate.
        max_tokens: u32,
        /// Whether tokens are delivered to the caller as they are generated.
        stream: bool,
    },
    /// One exchange with a plain service.
    Service(Body),
}

/// An HTTP request to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// The HTTP method, such as `POST`.
    pub method: Box<str>,
    /// The path below the service's root, with the query.
    pub path: Box<str>,
    /// The media type of the content.
    pub media: Box<str>,
    /// The content in bytes, as the caller sent it.
    pub content: Vec<u8>,
}

/// The number of bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Estimates the number of tokens of a prompt from its length in bytes.
///
/// ```
/// use dotterelpin::model::call::prompt_tokens;
///
/// assert_eq!(prompt_tokens("eight by"), 2);
/// ```
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
