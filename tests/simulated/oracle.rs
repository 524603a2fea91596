//! What replies and states have shown so far, which later ones must not contradict.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelpin::control::Control;
use dotterelpin::control::config::Change;
use dotterelpin::control::replica::{LogIndex, MemberId};
use dotterelpin::control::state::{ChangeReply, Command};
use dotterelpin::model::{Revision, Timestamp};
use dotterelpin::registry::Follower;

/// A confirmed follower may lack only changes that were applied within this time.
const MAX_CONFIRMED_LAG: Duration = Duration::from_millis(3_000);

/// All that was seen, and the checks against it.
#[derive(Default)]
pub struct Oracle {
    /// The id of the change that was accepted as each revision.
    pub accepted: BTreeMap<Revision, Box<str>>,
    /// The revision as which each change was accepted.
    pub by_id: BTreeMap<Box<str>, Revision>,
    /// The leader of each term.
    leaders: BTreeMap<u64, MemberId>,
    /// The term and command of each applied record.
    pub records: BTreeMap<LogIndex, (u64, Command)>,
    /// The hash of each revision, and when a member first applied it.
    contents: BTreeMap<Revision, (u64, Timestamp)>,
    /// The last revision of each follower.
    follower_revisions: BTreeMap<usize, Revision>,
}

macro_rules! check {
    ($holds:expr, $($text:tt)*) => {
        if !$holds {
            return Err(format!($($text)*));
        }
    };
}

impl Oracle {
    /// Returns the newest revision for which an operator received an acceptance.
    pub fn newest(&self) -> Revision {
        self.accepted.keys().max().copied().unwrap_or_default()
    }

    /// Checks a reply to an operator against the replies so far.
    pub fn check_reply(&mut self, change: &Change, reply: &ChangeReply) -> Result<(), String> {
        let ChangeReply::Accepted(revision) = *reply else {
            let won = self.by_id.contains_key(&change.id);
            check!(!won, "change {} was accepted before and is refused now", change.id);
            return Ok(());
        };
        let first = self.accepted.entry(revision).or_insert(change.id.clone());
        check!(
            *first == change.id,
            "{revision} was accepted for two changes: {first} and {}",
            change.id
        );
        let known = *self.by_id.entry(change.id.clone()).or_insert(revision);
        check!(known == revision, "change {} was accepted as {known} and as {revision}", change.id);
        check!(
            revision.0 == change.base.0 + 1,
            "{change:?} was accepted as {revision}, not on its base"
        );
        Ok(())
    }

    /// Checks a member's term, configuration and the records that it has applied since `checked`.
    pub fn check_control(
        &mut self,
        now: Timestamp,
        control: &Control,
        checked: &mut LogIndex,
    ) -> Result<(), String> {
        let replica = control.replica();
        if replica.is_leader() {
            let (term, id) = (replica.term(), replica.id());
            let first = *self.leaders.entry(term).or_insert(id);
            check!(first == id, "term {term} has a second leader besides {first:?}");
        }
        let applied = replica.applied();
        if applied == *checked {
            // The state is still the one that was checked before.
            return Ok(());
        }
        let revised = control.state().config.revised();
        let seen = (revised.hash, now);
        let first = self.contents.entry(revised.revision).or_insert(seen).0;
        check!(first == revised.hash, "{} has two different contents", revised.revision);
        for index in checked.0 + 1..=applied.0 {
            let Some(record) = replica.record(LogIndex(index)) else { continue };
            let known = self.records.entry(LogIndex(index));
            let known = known.or_insert_with(|| (record.term, record.command.clone()));
            let same = known.0 == record.term && known.1 == record.command;
            let id = replica.id();
            check!(same, "record {index} at member {id:?} differs from that of another member");
        }
        *checked = applied;
        Ok(())
    }

    /// Checks that a member knows each change that was accepted up to a revision.
    pub fn check_accepted(&self, control: &Control, newest: Revision) -> Result<(), String> {
        for (revision, id) in self.accepted.range(..=newest) {
            let found = control.state().changes.accepted(id);
            check!(
                found == Some(*revision),
                "change {id} is recorded as {found:?}, not {revision}"
            );
        }
        Ok(())
    }

    /// Checks the revision of a follower, and whether it may be confirmed.
    pub fn check_follower(
        &mut self,
        now: Timestamp,
        index: usize,
        follower: &Follower,
    ) -> Result<(), String> {
        let revised = follower.revised();
        let before = self.follower_revisions.insert(index, revised.revision).unwrap_or_default();
        check!(before <= revised.revision, "follower {index} went back from {before} to {revised}");
        if let Some((hash, _)) = self.contents.get(&revised.revision) {
            check!(
                *hash == revised.hash,
                "follower {index} has other content than the members in {revised}"
            );
        }
        let newer = self.contents.range(Revision(revised.revision.0 + 1)..).next();
        if let Some((revision, (_, at))) = newer.filter(|_| follower.is_confirmed(now)) {
            check!(
                now - *at <= MAX_CONFIRMED_LAG,
                "follower {index} confirms {revised} too long after {revision} was applied"
            );
        }
        Ok(())
    }
}
