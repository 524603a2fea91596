//! The replicated state: what the commands of the log add up to.

use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use super::claims::{Claim, ClaimKey, ClaimReply, Claims, Outcome};
use super::config::{Change, Changes, Config};
use super::replica::Members;
use crate::model::{RequestId, Revision};

/// A command in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing; a new leader commits it first.
    Noop,
    /// The members of the log's own group.
    Members(Members),
    /// Change the configuration.
    Change(Change),
    /// Claim a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claim: Claim,
    },
    /// Move a claim from an attempt that never starts.
    TakeOver {
        /// The key.
        key: ClaimKey,
        /// The old attempt.
        from: RequestId,
        /// The new attempt.
        claim: Claim,
    },
    /// Record an outcome.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        request: RequestId,
        /// What it came to.
        outcome: Outcome,
    },
    /// Free the key of an attempt that did not run.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        request: RequestId,
    },
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// Nothing to say.
    Done,
    /// To a change.
    Changed(ChangeReply),
    /// To a command about a claim.
    Claim(ClaimReply),
}

/// What a change came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeReply {
    /// It is this revision.
    Accepted(Revision),
    /// Another change was first.
    Conflict {
        /// The revision that stands.
        current: Revision,
        /// The change that won the base revision.
        winner: Option<Change>,
    },
    /// It is wrong.
    Refused(Box<str>),
}

/// The state that every replica derives from the log.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub config: Config,
    /// Accepted changes.
    pub changes: Changes,
    /// Claims.
    pub claims: Claims,
}

impl State {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        postcard::to_stdvec(self).wrap_err("encode state")
    }

    /// Decodes the state of a snapshot.
    pub fn decode(bytes: &[u8]) -> eyre::Result<State> {
        postcard::from_bytes(bytes).wrap_err("decode state")
    }

    /// Applies one command; the result depends on nothing else than the state and the command.
    pub fn apply(&mut self, command: &Command) -> Applied {
        match command {
            Command::Noop | Command::Members(_) => Applied::Done,
            Command::Change(change) => Applied::Changed(self.change(change)),
            Command::Claim { key, claim } => Applied::Claim(self.claims.claim(key, claim)),
            Command::TakeOver { key, from, claim } => {
                Applied::Claim(self.claims.take_over(key, *from, claim))
            }
            Command::Finish { key, request, outcome } => {
                Applied::Claim(self.claims.finish(key, *request, outcome))
            }
            Command::Release { key, request } => Applied::Claim(self.claims.release(key, *request)),
        }
    }

    fn change(&mut self, change: &Change) -> ChangeReply {
        self.changes.apply(&mut self.config, change)
    }
}
