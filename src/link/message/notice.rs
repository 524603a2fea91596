//! The notice by which a control member tells a process that it doesn't hear who votes.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The maximum number of voters in a notice.
pub const MAX_VOTERS: usize = 15;

/// The members with a vote according to the log of a member. It proves nothing: the receiver asks
/// these members.
///
/// ```
/// use dotterelpin::link::message::ControlNotice;
///
/// let voter = "127.0.0.1:7000".parse().unwrap();
/// let notice = ControlNotice::new("gateway".into(), 4, vec![voter]).unwrap();
/// assert_eq!((notice.epoch(), notice.voters()), (4, &[voter][..]));
/// assert!(ControlNotice::new("gateway".into(), 4, vec![voter; 16]).is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawNotice", into = "RawNotice")]
pub struct ControlNotice {
    role: Box<str>,
    epoch: u64,
    voters: Vec<SocketAddr>,
}

/// A notice as it is sent, with a list of any length.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RawNotice {
    role: Box<str>,
    epoch: u64,
    voters: Vec<SocketAddr>,
}

/// A list of voters that is empty or too long, with its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WrongVoters(usize);

impl fmt::Display for WrongVoters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} voters in a notice, expected 1 to {MAX_VOTERS}", self.0)
    }
}

impl std::error::Error for WrongVoters {}

impl ControlNotice {
    /// Creates a notice for a role of a process, with an epoch of the members and the addresses of
    /// those with a vote; fails if there are none, or more than [`MAX_VOTERS`].
    pub fn new(
        role: Box<str>,
        epoch: u64,
        voters: Vec<SocketAddr>,
    ) -> Result<ControlNotice, WrongVoters> {
        match voters.len() {
            1..=MAX_VOTERS => Ok(ControlNotice { role, epoch, voters }),
            count => Err(WrongVoters(count)),
        }
    }

    /// Returns the role of the process that the notice is for.
    pub fn role(&self) -> &str {
        &self.role
    }

    /// Returns the epoch of the members, which counts membership changes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the addresses of the members with a vote.
    pub fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }
}

impl TryFrom<RawNotice> for ControlNotice {
    type Error = WrongVoters;

    fn try_from(raw: RawNotice) -> Result<ControlNotice, WrongVoters> {
        ControlNotice::new(raw.role, raw.epoch, raw.voters)
    }
}

impl From<ControlNotice> for RawNotice {
    fn from(notice: ControlNotice) -> RawNotice {
        let ControlNotice { role, epoch, voters } = notice;
        RawNotice { role, epoch, voters }
    }
}
