//! The outcomes of claimed attempts.

use serde::{Deserialize, Serialize};

use crate::link::message::{Answer, Settled};

/// The maximum size in bytes of an answer that is kept for callers that retry with the same key.
pub const MAX_KEPT_BYTES: usize = 4_096;

/// The outcome of a claimed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A plain service returned this answer.
    Finished(Answer),
    /// A plain service returned an answer that was too large to keep.
    FinishedLarge {
        /// The answer's HTTP status.
        status: u16,
    },
    /// A model generated this text.
    Generated {
        /// The text; `None` if it was too large to keep.
        text: Option<Box<str>>,
        /// The number of generated tokens.
        tokens: u32,
        /// The reason why generation ended.
        finish: Box<str>,
    },
    /// The attempt may have run; it is never repeated.
    Unknown,
}

impl Outcome {
    /// Creates the outcome of an answer, without the content if it exceeds [`MAX_KEPT_BYTES`].
    ///
    /// ```
    /// use dotterelpin::control::claims::{MAX_KEPT_BYTES, Outcome};
    /// use dotterelpin::link::message::Answer;
    ///
    /// let content = vec![0; MAX_KEPT_BYTES + 1];
    /// let answer = Answer { status: 200, media: "text/plain".into(), content };
    /// assert_eq!(Outcome::finished(answer), Outcome::FinishedLarge { status: 200 });
    /// ```
    pub fn finished(answer: Answer) -> Outcome {
        if answer.content.len() > MAX_KEPT_BYTES {
            return Outcome::FinishedLarge { status: answer.status };
        }
        Outcome::Finished(answer)
    }

    /// Creates the outcome of generated text, without the text if it exceeds [`MAX_KEPT_BYTES`].
    pub fn generated(tokens: &[Box<str>], finish: Box<str>) -> Outcome {
        let count = tokens.len() as u32;
        let length: usize = tokens.iter().map(|t| t.len()).sum();
        let text = (length <= MAX_KEPT_BYTES).then(|| tokens.concat().into());
        Outcome::Generated { text, tokens: count, finish }
    }
}

impl Settled {
    /// Creates the end of an attempt that returned an answer, without the content if it exceeds
    /// [`MAX_KEPT_BYTES`].
    pub fn finished(answer: Answer) -> Settled {
        if answer.content.len() > MAX_KEPT_BYTES {
            return Settled::FinishedLarge { status: answer.status };
        }
        Settled::Finished(answer)
    }
}
