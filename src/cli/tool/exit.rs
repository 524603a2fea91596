//! Errors of the tool and its exit codes.

use std::fmt;

/// Why a subcommand did not succeed; the value is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The subcommand failed.
    Failed = 1,
    /// The command line was invalid.
    Usage = 2,
    /// Control refused the command, or another change was accepted first.
    Refused = 3,
    /// Control was not reached, or the result of the command is unknown.
    Unreached = 4,
}

/// An error with the exit code that it leads to.
#[derive(Debug)]
pub struct ToolError {
    /// The reason, which determines the exit code.
    pub failure: Failure,
    report: eyre::Report,
}

impl ToolError {
    /// Creates an error with an exit code and a message.
    pub fn new(failure: Failure, report: eyre::Report) -> ToolError {
        ToolError { failure, report }
    }

    /// Adds a line that tells the operator what to do next.
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
