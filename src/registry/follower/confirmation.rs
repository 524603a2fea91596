//! What the proofs of a majority of voters confirm, and for how long.

use std::net::SocketAddr;
use std::time::Duration;

use super::Follower;
use super::member::Member;
use crate::control::config::Setting;
use crate::link::message::Proof;
use crate::model::Timestamp;
use crate::registry::document_proof;
use crate::registry::majority::Known;

/// How long the replies of a majority prove that the configuration is the newest.
const CONFIRMATION_LEASE: Duration = Duration::from_millis(3_000);

impl Follower {
    /// Returns whether a majority of members has confirmed, within `CONFIRMATION_LEASE`, that the
    /// configuration in force is the newest.
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        // If no member's log reaches this revision, the group that accepted it has lost its logs.
        let reached = self.fresh_proofs(now).any(|p| p.highest >= self.revised.revision);
        reached && self.majority_agrees(now, |proof| proof.highest <= self.revised.revision)
    }

    pub(super) fn fresh_proofs(&self, now: Timestamp) -> impl Iterator<Item = &Proof> {
        let proofs = self.members.iter().filter_map(|m| m.proof.as_ref());
        proofs.filter(move |(_, at)| now - *at < CONFIRMATION_LEASE).map(|(proof, _)| proof)
    }

    /// Returns whether a condition holds for the proofs of a majority of the voters.
    pub(super) fn majority_agrees(&self, now: Timestamp, holds: impl Fn(&Proof) -> bool) -> bool {
        let fresh: Vec<&Proof> = self.fresh_proofs(now).collect();
        // The member with the highest epoch has the latest list of voters.
        let Some(newest) = fresh.iter().max_by_key(|p| p.epoch) else { return false };
        let agrees = |voter: &&SocketAddr| {
            let proof = fresh.iter().find(|p| p.member == **voter);
            proof.is_some_and(|p| holds(p))
        };
        newest.voters.iter().filter(agrees).count() * 2 > newest.voters.len()
    }

    /// Returns whether new calls may run: the configuration is confirmed, or one was confirmed
    /// before and the setting `config.serve_unconfirmed` is 1.
    pub fn may_serve(&self, now: Timestamp) -> bool {
        let serve_unconfirmed = self.config.default_value(Setting::ServeUnconfirmed) == 1;
        self.is_confirmed(now) || self.was_confirmed && serve_unconfirmed
    }

    /// Returns the time up to which a majority of the newest list of voters has given proofs for
    /// which a condition holds: when the heartbeats were sent that they answered.
    pub(super) fn agreed_at(&self, holds: impl Fn(&Proof) -> bool) -> Option<Timestamp> {
        let newest = self.newest_proof()?;
        let agrees = |(proof, at): &(Proof, Timestamp)| {
            (newest.voters.contains(&proof.member) && holds(proof)).then_some(*at)
        };
        let mut times: Vec<_> =
            self.members.iter().filter_map(|m| m.proof.as_ref()).filter_map(agrees).collect();
        times.sort_by(|a, b| b.cmp(a));
        times.get(newest.voters.len() / 2).copied()
    }

    pub(super) fn note_majority(&mut self, now: Timestamp) {
        let version = self.routing.in_force();
        let confirmed = self.agreed_at(|proof| proof.document <= version);
        self.document_confirmed = self.document_confirmed.max(confirmed);
        let proven = self.agreed_at(|_| true);
        let mut majority = std::mem::take(&mut self.majority);
        majority.note(now, proven, || self.known(proven));
        self.majority = majority;
    }

    pub(super) fn known(&self, proven: Option<Timestamp>) -> Known {
        let proofs = self.members.iter().filter_map(|m| m.proof.as_ref());
        let recent = proofs.filter(|(_, at)| Some(*at) >= proven && proven.is_some());
        Known {
            document: self.routing.in_force(),
            revised: self.revised,
            epoch: self.newest_proof().map_or(0, |proof| proof.epoch),
            asked: self.members().collect(),
            proving: recent.map(|(proof, _)| proof.member).collect(),
        }
    }

    /// Returns how long ago a majority last confirmed the routing document, by the time at which
    /// the heartbeats were sent that it answered; `None` if it never did.
    pub fn confirmation_age(&self, now: Timestamp) -> Option<Duration> {
        self.document_confirmed.map(|at| now - at)
    }

    /// Returns until when a majority of members confirms that no routing document is newer than the
    /// one by which the process routes; `None` if it doesn't at present.
    pub fn document_confirmed_until(&self, now: Timestamp) -> Option<Timestamp> {
        let proofs = self.members.iter().filter_map(|m| m.proof.as_ref());
        let proofs = proofs.map(|(proof, sent)| (proof, *sent));
        document_proof::confirmed_until(proofs, now, self.routing.in_force())
    }

    /// Returns whether a majority of members has replied within `CONFIRMATION_LEASE`.
    pub fn hears_majority(&self, now: Timestamp) -> bool {
        self.majority_agrees(now, |_| true)
    }

    /// Returns when any member's list of endpoints was last up to date, by the sending of the heartbeat.
    pub fn synced_at(&self) -> Option<Timestamp> {
        self.members.iter().filter_map(|m| m.synced).max()
    }

    /// Returns whether the lists of endpoints are up to date with those that a majority of the voters
    /// had at a time, or later.
    pub fn is_synced_since(&self, since: Timestamp) -> bool {
        let Some(newest) = self.newest_proof() else { return false };
        let synced = |m: &Member| m.synced.is_some_and(|at| at >= since);
        let of_voter =
            |voter: &&SocketAddr| self.members.iter().any(|m| m.address == **voter && synced(m));
        newest.voters.iter().filter(of_voter).count() * 2 > newest.voters.len()
    }
}
