//! What callers do, and what they are told.

use super::check::RawCall;
use crate::link::message::Answer;
use crate::model::{CallId, Refusal};

/// What callers do.
#[derive(Debug)]
pub enum CallerInput {
    /// A request has arrived.
    Arrived {
        /// The number that the shell gave it.
        call: CallId,
        /// What it says.
        raw: RawCall,
    },
    /// The caller is gone.
    Disconnected {
        /// The call.
        call: CallId,
    },
}

/// What callers are told.
#[derive(Debug)]
pub enum CallerEffect {
    /// Engine memory is held, so heartbeats are needed to notice a lost caller.
    Begin {
        /// The call.
        call: CallId,
    },
    /// The next tokens.
    Tokens {
        /// The call.
        call: CallId,
        /// The tokens, which follow those before without a gap.
        tokens: Vec<Box<str>>,
    },
    /// The terminal outcome.
    Finish {
        /// The call.
        call: CallId,
        /// The outcome.
        outcome: Terminal,
    },
}

/// The one terminal outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Terminal {
    /// All tokens were told.
    Generated {
        /// Tokens generated.
        tokens: u32,
        /// Why generation ended.
        finish: Box<str>,
    },
    /// A plain service's answer.
    Answered(Answer),
    /// A refusal or failure.
    Refused(Refusal),
}
