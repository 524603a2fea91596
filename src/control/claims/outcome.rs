//! What a claim has come to.

use serde::{Deserialize, Serialize};

use crate::link::message::{Answer, Settled};

/// The most bytes of an answer that are kept for those who ask again.
pub const MAX_KEPT_BYTES: usize = 4_096;

/// What a claim has come to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran to this answer of a plain service.
    Finished(Answer),
    /// It ran to an answer that was too large to keep.
    FinishedLarge {
        /// The answer's HTTP status.
        status: u16,
    },
    /// A model generated this text.
    Generated {
        /// The text; `None` if it was too large to keep.
        text: Option<Box<str>>,
        /// Tokens generated.
        tokens: u32,
        /// Why generation ended.
        finish: Box<str>,
    },
    /// It may have run; it never runs again.
    Unknown,
}

impl Outcome {
    /// Makes the outcome of an answer, without the content if that is large.
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

    /// Makes the outcome of generated text, without the text if that is large.
    pub fn generated(tokens: &[Box<str>], finish: Box<str>) -> Outcome {
        let count = tokens.len() as u32;
        let length: usize = tokens.iter().map(|t| t.len()).sum();
        let text = (length <= MAX_KEPT_BYTES).then(|| tokens.concat().into());
        Outcome::Generated { text, tokens: count, finish }
    }
}

impl Settled {
    /// Makes the end of an attempt that ran to an answer, without the content if that is large.
    pub fn finished(answer: Answer) -> Settled {
        if answer.content.len() > MAX_KEPT_BYTES {
            return Settled::FinishedLarge { status: answer.status };
        }
        Settled::Finished(answer)
    }
}
