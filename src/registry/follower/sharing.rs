//! The reports of engines that a follower exchanges with control members.
//!
//! They are sent to two members, the leader and the next one, and requested from one of them, so that
//! all followers that reach the leader share one picture, and the loss of the leader interrupts
//! nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Follower, Member};
use crate::link::message::{
    AgedLoad, EngineLoad, EngineTag, FetchedReport, MAX_WANTED, ReportsHeard, ReportsSent,
    ReportsWanted, age_millis,
};
use crate::model::Timestamp;

/// How long after its last answered heartbeat a member is used for reports: two heartbeats.
const REACH: Duration = Duration::from_millis(1_200);
/// How long a fetched report may wait for the next heartbeat.
const FETCHED_TTL: Duration = Duration::from_millis(1_500);

/// The load of an engine as another process has reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeardLoad {
    /// The start of the engine.
    pub tag: EngineTag,
    /// The latest time at which the engine can have reported it, by the clock of this process.
    pub at: Timestamp,
    /// The load; `None` if it is the same as before.
    pub load: Option<EngineLoad>,
}

/// A report that this process has fetched.
#[derive(Debug)]
struct Fetched {
    at: Timestamp,
    weight: u16,
    load: EngineLoad,
}

/// The reports that a follower sends and receives.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    fetched: BTreeMap<EngineTag, Fetched>,
    /// The prefixes of the tags of the engines of which it requests reports; empty for none.
    prefixes: Vec<u16>,
    heard: Vec<HeardLoad>,
}

impl Sharing {
    /// Returns the reports that were fetched after the last heartbeat to a member.
    fn fetched_since(&self, now: Timestamp, last: Timestamp) -> Vec<FetchedReport> {
        let new = self.fetched.iter().filter(|(_, f)| f.at > last).take(MAX_WANTED);
        let reports = new.map(|(tag, f)| {
            let report = AgedLoad { tag: *tag, age: age_millis(now - f.at), load: f.load };
            FetchedReport { weight: f.weight, report }
        });
        reports.collect()
    }

    /// Keeps the reports in a reply to a heartbeat that was sent at a time. Their ages count from
    /// then, so that no report is taken for newer than it is, however long the reply took.
    fn receive(&mut self, sent: Timestamp, heard: &ReportsHeard) {
        let at = |age: u32| sent.saturating_sub(Duration::from_millis(age.into()));
        let changed = heard.changed.iter();
        let changed = changed.map(|r| HeardLoad { tag: r.tag, at: at(r.age), load: Some(r.load) });
        let same = heard.same.iter();
        let same = same.map(|(tag, age)| HeardLoad { tag: *tag, at: at(*age), load: None });
        self.heard.extend(changed.chain(same));
    }
}

impl Follower {
    /// Sends a report that this process has fetched with the next heartbeats.
    pub fn share_report(&mut self, now: Timestamp, tag: EngineTag, weight: u16, load: EngineLoad) {
        self.sharing.fetched.retain(|_, f| now - f.at < FETCHED_TTL);
        self.sharing.fetched.insert(tag, Fetched { at: now, weight, load });
    }

    /// Requests the reports of engines, by the prefixes of their tags, from now on. All reports are
    /// requested again if there are `new` engines among them.
    pub fn want_reports(&mut self, mut prefixes: Vec<u16>, new: bool) {
        prefixes.truncate(MAX_WANTED);
        self.sharing.prefixes = prefixes;
        if new {
            self.members.iter_mut().for_each(|m| m.reports_seen = 0);
        }
    }

    /// Returns the reports of other processes that were received since the last call.
    pub fn take_reports(&mut self) -> Vec<HeardLoad> {
        std::mem::take(&mut self.sharing.heard)
    }

    /// Returns whether a control member passes on reports.
    pub fn hears_reports(&self, now: Timestamp) -> bool {
        self.report_members(now)[0].is_some()
    }

    /// Returns the member from which reports are requested, and a second one to which they are sent,
    /// too: the leader first, then by address, of those that answer.
    fn report_members(&self, now: Timestamp) -> [Option<SocketAddr>; 2] {
        let answers = |m: &&Member| m.answered.is_some_and(|at| now - at < REACH);
        let leader = self.leader();
        let mut usable: Vec<SocketAddr> =
            self.members.iter().filter(answers).map(|m| m.address).collect();
        usable.sort_unstable_by_key(|address| (Some(*address) != leader, *address));
        [usable.first().copied(), usable.get(1).copied()]
    }

    /// Returns what the heartbeats that are sent now contain of reports, by member.
    pub(super) fn reports_sent(&self, now: Timestamp) -> BTreeMap<SocketAddr, ReportsSent> {
        if self.sharing.prefixes.is_empty() {
            return BTreeMap::new();
        }
        let [first, second] = self.report_members(now);
        let used = self.members.iter().filter(|m| [first, second].contains(&Some(m.address)));
        let sent = used.map(|m| {
            let prefixes = || self.sharing.prefixes.clone();
            let wanted = (Some(m.address) == first)
                .then(|| ReportsWanted { seen: m.reports_seen, prefixes: prefixes() });
            let fetched = self.sharing.fetched_since(now, m.reports_sent);
            (m.address, ReportsSent { fetched, wanted })
        });
        sent.collect()
    }

    /// Keeps the reports in a reply to a heartbeat.
    pub(super) fn receive_reports(
        &mut self,
        member: SocketAddr,
        sent: Timestamp,
        heard: &ReportsHeard,
    ) {
        if let Some(member) = self.members.iter_mut().find(|m| m.address == member) {
            member.reports_seen = heard.seen;
        }
        self.sharing.receive(sent, heard);
    }
}
