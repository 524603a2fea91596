//! How the tool ends.

use std::fmt;

/// Why a subcommand did not succeed, which is its exit code, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It failed.
    Failed = 1,
    /// It was called in a wrong way.
    Usage = 2,
    /// Control refused it, or another change was first.
    Refused = 3,
    /// Control was not reached, or what became of the command is not known.
    Unreached = 4,
}

/// An error with the exit code that it ends in.
#[derive(Debug)]
pub struct ToolError {
    /// The kind.
    pub failure: Failure,
    report: eyre::Report,
}

impl ToolError {
    /// Makes an error.
    pub fn new(failure: Failure, report: eyre::Report) -> ToolError {
        ToolError { failure, report }
    }

    /// Says what to do next.
    pub fn hint(self, hint: impl fmt::Display) -> ToolError {
        let report = eyre::eyre!("{:#}\nnext: {hint}", self.report);
        ToolError { failure: self.failure, report }
    }
}

impl From<eyre::Report> for ToolError {
    fn from(report: eyre::Report) -> ToolError {
        ToolError { failure: Failure::Failed, report }
    }
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.report)
    }
}
