//! The inputs from callers, and the effects that are delivered to them.

use super::check::RawCall;
use crate::link::message::Answer;
use crate::model::{CallId, Refusal};

/// An event of a caller's connection.
#[derive(Debug)]
pub enum CallerInput {
    /// A request has arrived.
    Arrived {
        /// The ID that the accept filter assigned to the call.
        call: CallId,
        /// The unchecked request.
        raw: RawCall,
    },
    /// The caller has disconnected.
    Disconnected {
        /// The ID of the call.
        call: CallId,
    },
}

/// A message to a caller.
#[derive(Debug)]
pub enum CallerEffect {
    /// The call uses engine memory from now on, so heartbeats are needed to detect a disconnected
    /// caller.
    Begin {
        /// The ID of the call.
        call: CallId,
    },
    /// The next tokens.
    Tokens {
        /// The ID of the call.
        call: CallId,
        /// The tokens, which continue the earlier ones without a gap.
        tokens: Vec<Box<str>>,
    },
    /// The terminal outcome.
    Finish {
        /// The ID of the call.
        call: CallId,
        /// The outcome.
        outcome: Terminal,
    },
}

/// The single terminal outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Terminal {
    /// All tokens were delivered.
    Generated {
        /// The number of tokens generated.
        tokens: u32,
        /// Why generation ended.
        finish: Box<str>,
    },
    /// The answer of a plain service.
    Answered(Answer),
    /// A refusal or failure.
    Refused(Refusal),
}
