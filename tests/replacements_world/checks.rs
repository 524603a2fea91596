//! What must hold always, and what must hold whenever no machine is lost.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelpin::control::Control;
use dotterelpin::control::replica::{LogIndex, MemberId};
use dotterelpin::model::Revision;

use super::{Process, World};

/// How long a change may be open while no more machines are lost than allowed.
const MAX_OPEN: Duration = Duration::from_secs(5);
/// The time within which a change must be accepted once no machine is lost.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The time within which all members and followers must know an accepted change.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time within which a follower must be confirmed after that.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time between two attempts of a check.
const POLL: Duration = Duration::from_millis(20);
/// The maximum number of voters of a group.
const MAX_VOTERS: usize = 7;

impl World {
    fn control(&self, at: usize) -> Option<&Control> {
        self.machines.all[at].host.control.as_ref()
    }

    /// Checks a member against all others, and notes changes of the leader and the members.
    pub(super) fn check_member(&mut self, at: usize) -> Result<(), String> {
        let host = &mut self.machines.all[at].host;
        let Some(control) = &host.control else { return Ok(()) };
        let checked = self.oracle.check_control(self.now, control, &mut host.checked);
        let replica = control.replica();
        if replica.is_leader() {
            let (term, members) = (replica.term(), replica.members());
            let led = (at, term, members.epoch);
            let newer = term > self.led.1 || term == self.led.1 && members.epoch > self.led.2;
            if newer {
                self.led = led;
                let name = |(id, voter): (&MemberId, bool)| {
                    format!("{}{}", World::name_of(*id), if voter { "" } else { "?" })
                };
                let all: Vec<_> = members.all.iter().map(|(i, m)| name((i, m.voter))).collect();
                let epoch = members.epoch;
                self.note(format!("  m{at} leads term={term} epoch={epoch} {}", all.join(" ")));
            }
        }
        checked.map_err(|text| self.problem("safety", text))
    }

    /// Checks that changes get a result while no more machines are lost than allowed.
    pub(super) fn check_progress(&mut self) -> Result<(), String> {
        let lost = self.machines.lost(self.now).len();
        if self.is_split || self.is_beyond || lost > self.shape.losses {
            self.impaired = self.now;
        }
        let since = self.open_since().unwrap_or(self.now).max(self.impaired);
        let since = since.max(self.recovers_until);
        if self.now > since && self.now - since > MAX_OPEN {
            let text = format!("no result for {MAX_OPEN:?} though {lost} are lost");
            return Err(self.problem("stalled", text));
        }
        Ok(())
    }

    /// Checks the group at a time when no machine is lost.
    pub(super) fn check_quiet(&mut self) -> Result<(), String> {
        self.check_leader()?;
        self.check_voters()?;
        let until = self.now + ACCEPT_TIMEOUT;
        let accepted = self.operators.accepted;
        while self.operators.accepted == accepted {
            self.advance(POLL)?;
            if self.now > until {
                let text = format!("no change was accepted within {ACCEPT_TIMEOUT:?}");
                return Err(self.problem("not-accepted", text));
            }
        }
        let (newest, index) = (self.oracle.newest(), self.operators.last_index);
        self.check_held(index)?;
        self.advance(SPREAD_TIMEOUT)?;
        for at in self.machines.living().collect::<Vec<_>>() {
            let Some(control) = self.control(at) else { continue };
            let revision = control.state().config.revision;
            let known = self.oracle.check_accepted(control, newest);
            if revision < newest {
                let text = format!("m{at} is at {revision}, expected {newest} or newer");
                return Err(self.problem("not-known", text));
            }
            known.map_err(|text| self.problem("lost", format!("m{at}: {text}")))?;
        }
        // A follower is not confirmed while it lacks a change that is just being accepted.
        let until = self.now + CONFIRM_TIMEOUT;
        while let Err(text) = self.check_followers(newest) {
            if self.now > until {
                return Err(self.problem("follower", text));
            }
            self.advance(POLL)?;
        }
        Ok(())
    }

    fn check_leader(&mut self) -> Result<(), String> {
        let leads = |at: &usize| self.control(*at).is_some_and(|c| c.replica().is_leader());
        let leaders: Vec<_> = self.machines.living().filter(leads).collect();
        if leaders.len() != 1 {
            return Err(self.problem("no-leader", format!("the leaders are {leaders:?}")));
        }
        Ok(())
    }

    /// Checks that exactly the machines in use vote, and that the group bears the next loss.
    fn check_voters(&mut self) -> Result<(), String> {
        let Some(control) = self.machines.leader().and_then(|at| self.control(at)) else {
            return Ok(());
        };
        let members = control.replica().members().clone();
        let voters: BTreeSet<MemberId> = members.voters().map(|(id, _)| id).collect();
        let id = |at: usize| self.control(at).map(|c| c.replica().id());
        let living: BTreeSet<MemberId> = self.machines.living().filter_map(id).collect();
        let names = |ids: Vec<&MemberId>| {
            let names = ids.iter().map(|id| World::name_of(**id));
            names.collect::<Vec<_>>().join(" ")
        };
        let bearing = voters.intersection(&living).count().saturating_sub(self.shape.losses);
        let gone = names(voters.difference(&living).collect());
        let mute = names(living.difference(&voters).collect());
        let count = voters.len();
        if bearing < members.quorum() {
            let text = format!("{count} voters, gone: {gone}; without a vote: {mute}");
            return Err(self.problem("unsafe", text));
        }
        if !gone.is_empty() {
            return Err(self.problem("gone-vote", format!("{count} voters, gone: {gone}")));
        }
        if !mute.is_empty() && count < MAX_VOTERS {
            return Err(self.problem("no-vote", format!("without a vote: {mute}")));
        }
        Ok(())
    }

    /// Checks that a majority of the running machines has synced a record, and more than may be
    /// lost.
    fn check_held(&mut self, index: LogIndex) -> Result<(), String> {
        let living: Vec<_> = self.machines.living().collect();
        let holds = |at: &&usize| self.machines.all[**at].host.disk.synced() >= index;
        let held = living.iter().filter(holds).count();
        if held * 2 <= living.len() || held <= self.shape.losses {
            let text = format!("{index:?} is synced on {held} of {} machines", living.len());
            return Err(self.problem("not-held", text));
        }
        Ok(())
    }

    /// Checks that the followers know a revision, are confirmed and follow the machines in use.
    fn check_followers(&self, newest: Revision) -> Result<(), String> {
        for Process { follower, index, .. } in &self.processes {
            let revised = follower.revised();
            if revised.revision < newest || !follower.is_confirmed(self.now) {
                return Err(format!("{index} has {revised}, expected {newest}, confirmed"));
            }
            let followed: BTreeSet<_> = follower.members().collect();
            let address = |m: usize| self.machines.all[m].address;
            let missed = self.machines.living().find(|m| !followed.contains(&address(*m)));
            if let Some(missed) = missed {
                return Err(format!("{index} misses m{missed}"));
            }
        }
        Ok(())
    }
}
