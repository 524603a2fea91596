//! Permissions of peers: operators and processes have different certificates of one fleet key.

use super::message::{ControlRequest, Request};
use crate::control::state::Command;

/// The kind of a peer according to its certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerKind {
    /// A process of the fleet.
    Process,
    /// An operator's tool.
    Operator,
}

/// Returns whether a peer of this kind may send the request.
///
/// ```
/// use dotterelpin::link::message::{ControlRequest, Request};
/// use dotterelpin::link::permit::{PeerKind, is_allowed};
///
/// let status = Request::Control(ControlRequest::Status);
/// assert!(is_allowed(PeerKind::Operator, &status));
/// assert!(!is_allowed(PeerKind::Process, &status));
/// ```
pub fn is_allowed(peer: PeerKind, request: &Request) -> bool {
    match request {
        Request::Agent(_) | Request::Replica(_) | Request::Notice(_) => peer == PeerKind::Process,
        Request::Control(ControlRequest::Status) => peer == PeerKind::Operator,
        Request::Control(ControlRequest::Propose(command)) => may_propose(peer, command),
        Request::Control(_) => peer == PeerKind::Process,
    }
}

fn may_propose(peer: PeerKind, command: &Command) -> bool {
    match command {
        Command::Change(_) | Command::Order(_) | Command::Rollout(_) => peer == PeerKind::Operator,
        Command::Clear { .. } => peer == PeerKind::Operator,
        _ => peer == PeerKind::Process,
    }
}
