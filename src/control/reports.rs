//! The newest load report of each engine, which a member passes on between gateways.
//!
//! The reports are soft state: a member that has restarted gets them again within an interval of
//! heartbeats. The memory used depends on the number of engines alone, not on that of gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::link::message::{
    AgedLoad, EngineLoad, EngineTag, FetchedReport, MAX_WANTED, ReportsHeard, ReportsWanted,
    age_millis,
};
use crate::model::{BootId, Timestamp};

/// How long the gateway that polls an engine is preferred to others after its last report: two
/// intervals of its polls.
const POLLER_LEASE: Duration = Duration::from_millis(1_000);
/// How long a report is kept; gateways use none that is older.
const REPORT_TTL: Duration = Duration::from_millis(3_000);
/// The interval between removals of expired reports.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// The maximum number of engines of which reports are kept.
const MAX_ENGINES: usize = 8_192;
/// A change of the used tokens by less than this part of them is not sent.
const TOKENS_PART: u32 = 32;
/// A change of the used tokens by no more than this is not sent.
const MIN_TOKENS: u32 = 64;

/// The newest report of an engine.
#[derive(Debug)]
struct Entry {
    /// The gateway that fetched it.
    from: BootId,
    weight: u16,
    /// When the engine reported.
    at: Timestamp,
    /// The last load that differed noticeably from the one before.
    load: EngineLoad,
    /// The version at the last report.
    version: u64,
    /// The version at the last noticeable change.
    changed: u64,
}

/// The newest reports of engines that gateways have sent to a member.
#[derive(Debug, Default)]
pub struct Reports {
    entries: BTreeMap<EngineTag, Entry>,
    version: u64,
    next_expiry: Timestamp,
}

impl Reports {
    /// Records the reports that a gateway has fetched. Of two gateways that poll one engine, the one
    /// with the higher weight is preferred while its reports arrive.
    ///
    /// ```
    /// use dotterelpin::control::reports::Reports;
    /// use dotterelpin::link::message::{
    ///     AgedLoad, EngineLoad, EngineTag, FetchedReport, ReportsWanted,
    /// };
    /// use dotterelpin::model::{BootId, Timestamp};
    ///
    /// let (now, tag) = (Timestamp::from_micros(5_000_000), EngineTag::of("decode-1", BootId(1)));
    /// let load = EngineLoad { running: 3, ..EngineLoad::default() };
    /// let report = AgedLoad { tag, age: 40, load };
    /// let mut reports = Reports::default();
    /// reports.record(now, BootId(8), &[FetchedReport { weight: 1, report }]);
    /// let wanted = ReportsWanted { seen: 0, prefixes: vec![tag.prefix()] };
    /// let heard = reports.heard(now, BootId(9), &wanted);
    /// assert_eq!(heard.changed, [report]);
    /// let wanted = ReportsWanted { seen: heard.seen, ..wanted };
    /// assert_eq!(reports.heard(now, BootId(9), &wanted).changed, []);
    /// ```
    pub fn record(&mut self, now: Timestamp, from: BootId, fetched: &[FetchedReport]) {
        self.expire(now);
        for FetchedReport { weight, report } in fetched.iter().take(MAX_WANTED) {
            let age = Duration::from_millis(report.age.into());
            if age < REPORT_TTL {
                let at = now.saturating_sub(age);
                self.record_one(now, from, *weight, at, report);
            }
        }
    }

    fn record_one(
        &mut self,
        now: Timestamp,
        from: BootId,
        weight: u16,
        at: Timestamp,
        report: &AgedLoad,
    ) {
        let known = self.entries.get(&report.tag);
        if known.is_none() && self.entries.len() >= MAX_ENGINES {
            return;
        }
        let preferred = |e: &Entry| e.from != from && e.weight > weight;
        if known.is_some_and(|e| e.at > at || preferred(e) && now - e.at < POLLER_LEASE) {
            return;
        }
        self.version += 1;
        let version = self.version;
        let same = known.filter(|e| !differs(&e.load, &report.load));
        let (load, changed) = same.map_or((report.load, version), |e| (e.load, e.changed));
        self.entries.insert(report.tag, Entry { from, weight, at, load, version, changed });
    }

    fn expire(&mut self, now: Timestamp) {
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.entries.retain(|_, e| now - e.at < REPORT_TTL);
        }
    }

    /// Returns the reports of other gateways that are newer than those which a gateway has.
    pub fn heard(&self, now: Timestamp, to: BootId, wanted: &ReportsWanted) -> ReportsHeard {
        let (mut changed, mut same) = (Vec::new(), Vec::new());
        let prefixes = wanted.prefixes.iter().take(MAX_WANTED);
        let ranges = prefixes.map(|prefix| EngineTag::range(*prefix));
        let named = ranges.flat_map(|(first, last)| self.entries.range(first..=last));
        let newer = |e: &Entry| e.from != to && e.version > wanted.seen && now - e.at < REPORT_TTL;
        let mut newer: Vec<_> = named.filter(|(_, e)| newer(e)).collect();
        newer.sort_unstable_by_key(|(_, e)| e.version);
        // The newest versions beyond the maximum are sent with the next replies.
        let is_cut = newer.len() > MAX_WANTED;
        newer.truncate(MAX_WANTED);
        let last = newer.last().map(|(_, e)| e.version).filter(|_| is_cut);
        for (tag, entry) in newer {
            let age = age_millis(now - entry.at);
            match entry.changed > wanted.seen {
                true => changed.push(AgedLoad { tag: *tag, age, load: entry.load }),
                false => same.push((*tag, age)),
            }
        }
        ReportsHeard { seen: last.unwrap_or(self.version), changed, same }
    }

    /// Returns the number of engines of which a report is kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no report is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns whether placement could decide otherwise for a new load.
fn differs(known: &EngineLoad, new: &EngineLoad) -> bool {
    let requests = |l: &EngineLoad| (l.kind, l.running, l.waiting);
    let tolerated = (known.used / TOKENS_PART).max(MIN_TOKENS);
    requests(known) != requests(new) || known.used.abs_diff(new.used) > tolerated
}
