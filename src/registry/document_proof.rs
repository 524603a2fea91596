//! How long the proofs of control members confirm that a routing document is the newest one.

use std::net::SocketAddr;
use std::time::Duration;

use crate::link::message::Proof;
use crate::model::Timestamp;

/// How long the proofs of a majority of voters confirm a routing document, counted from when the
/// heartbeats that they answer were sent. An acknowledged document is in force within 2 s: a change
/// that these proofs don't show was acknowledged after the heartbeats were sent, so its 2 s end after
/// the lease does. The rest is a margin for clocks and for the step in progress; two heartbeats in a
/// row may be lost.
pub const DOCUMENT_LEASE: Duration = Duration::from_millis(1_800);

/// Returns until when proofs, each with the time at which its heartbeat was sent, confirm that no
/// document newer than a version is in force; `None` if they don't at present.
///
/// ```
/// use dotterelpin::link::message::Proof;
/// use dotterelpin::model::{Revision, Timestamp};
/// use dotterelpin::registry::document_proof::{DOCUMENT_LEASE, confirmed_until};
///
/// let member: std::net::SocketAddr = "127.0.0.1:7000".parse().unwrap();
/// let proof = Proof {
///     member, highest: Revision(0), document: 7, epoch: 1, voters: vec![member],
/// };
/// let sent = Timestamp::from_micros(1_000_000);
/// let proofs = || [(&proof, sent)].into_iter();
/// assert_eq!(confirmed_until(proofs(), sent, 7), Some(sent + DOCUMENT_LEASE));
/// assert_eq!(confirmed_until(proofs(), sent, 6), None, "there is a newer document");
/// assert_eq!(confirmed_until(proofs(), sent + DOCUMENT_LEASE, 7), None, "it has lapsed");
/// ```
pub fn confirmed_until<'a>(
    proofs: impl Iterator<Item = (&'a Proof, Timestamp)>,
    now: Timestamp,
    version: u64,
) -> Option<Timestamp> {
    let fresh: Vec<_> = proofs.filter(|(_, sent)| now - *sent < DOCUMENT_LEASE).collect();
    // The member with the highest epoch has the latest list of voters.
    let (newest, _) = fresh.iter().max_by_key(|(proof, _)| proof.epoch)?;
    let sent_to = |voter: &SocketAddr| {
        let (proof, sent) = fresh.iter().find(|(proof, _)| proof.member == *voter)?;
        (proof.document <= version).then_some(*sent)
    };
    let mut sent: Vec<Timestamp> = newest.voters.iter().filter_map(sent_to).collect();
    sent.sort_unstable_by(|a, b| b.cmp(a));
    let last_of_majority = sent.get(newest.voters.len() / 2)?;
    Some(*last_of_majority + DOCUMENT_LEASE)
}
