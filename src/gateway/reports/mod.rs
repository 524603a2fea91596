//! Side requests to engines: load reports, and releasing KV cache and reservations.

pub mod polls;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::entry::health::Verdict;
use crate::gateway::fleet::{Endpoint, EndpointKey, Job};
use crate::gateway::protocol::{EngineReport, SideRequest};
use crate::gateway::{Gateway, PeerId};
use crate::h1::HttpEffect;
use crate::link::message::EngineTag;
use crate::model::Timestamp;
use crate::registry::HeardLoad;
use polls::{Others, Polls, Wanted};

/// How long after the last call to a service its engines are polled for reports.
const CALLED_WINDOW: Duration = Duration::from_millis(3_000);
/// How long after the last call a gateway that polls an engine goes on, since others whose calls are
/// few use its reports.
const POLLER_WINDOW: Duration = Duration::from_millis(10_000);
/// How long a report request or a release may take.
const SIDE_TIMEOUT: Duration = Duration::from_millis(800);

/// The reports of engines that a gateway uses.
#[derive(Debug)]
pub(in crate::gateway) struct EngineReports {
    /// The engines that it polls.
    polls: Polls<EndpointKey>,
    /// When it decides next which engines it polls.
    pub next: Timestamp,
    /// When each service with engines received its last call.
    called: BTreeMap<Box<str>, Timestamp>,
}

impl EngineReports {
    /// Creates the state of a gateway with a name.
    pub fn new(gateway: &str) -> EngineReports {
        let (next, called) = (Timestamp::default(), BTreeMap::new());
        EngineReports { polls: Polls::new(gateway), next, called }
    }
}

impl Gateway {
    /// Requests reports from the engines of recently called services that this gateway polls.
    pub(in crate::gateway) fn fetch_reports(&mut self, now: Timestamp) {
        self.reports.called.retain(|_, at| now - *at < POLLER_WINDOW);
        let wanted = self.wanted_reports(now);
        let grown = self.reports.polls.want(now, &wanted);
        self.follower.want_reports(self.reports.polls.prefixes(), grown);
        let others = Others {
            in_reach: self.follower.hears_reports(now),
            gateways: self.follower.gateways(now),
        };
        for endpoint in self.reports.polls.due(now, others) {
            // The answer to the last one is still awaited.
            if !self.fleet.has_job(endpoint, Job::Report) {
                self.send_side_request(now, endpoint, Job::Report, &SideRequest::Report);
            }
        }
        self.reports.next = self.reports.polls.next_due(now, others);
    }

    /// Records a call to a service; the reports of its engines are requested with the next heartbeat.
    pub(in crate::gateway) fn note_called(&mut self, now: Timestamp, service: Box<str>) {
        let last = self.reports.called.insert(service, now);
        if last.is_none_or(|at| now - at >= CALLED_WINDOW) {
            self.reports.next = self.reports.next.min(now);
        }
    }

    /// Returns the engines whose reports this gateway uses.
    fn wanted_reports(&self, now: Timestamp) -> Vec<Wanted<EndpointKey>> {
        // An endpoint that names a limit is left the requests that callers wait for.
        let asked = |e: &Endpoint| e.takes_work(now) && e.notices.limit.rate().is_none();
        let engines = self.fleet.engines().filter(|(_, e)| asked(e));
        let wanted = engines.filter_map(|(key, e)| {
            let called = now - *self.reports.called.get(&e.pool)? < CALLED_WINDOW;
            Some(Wanted { key, tag: e.tag(), called })
        });
        wanted.collect()
    }

    /// Applies the reports that other gateways have fetched.
    pub(in crate::gateway) fn apply_reports(&mut self, now: Timestamp) {
        let heard = self.follower.take_reports();
        if heard.is_empty() {
            return;
        }
        let keys: BTreeMap<EngineTag, EndpointKey> =
            self.fleet.engines().map(|(key, e)| (e.tag(), key)).collect();
        for HeardLoad { tag, at, load } in heard {
            let Some(key) = keys.get(&tag) else { continue };
            let Some(target) = self.fleet.get_mut(*key) else { continue };
            let report = load.map(|load| EngineReport::shared(target.listed.0, load));
            let Some(report) = report.or(target.last_report()) else { continue };
            target.reported(at, report);
            self.reports.polls.heard(now, *key, at);
        }
    }

    /// Passes on a report that an engine has made to this gateway.
    fn share_report(&mut self, now: Timestamp, key: EndpointKey, report: &EngineReport) {
        let Some(weight) = self.reports.polls.answered(key) else { return };
        let Some(target) = self.fleet.get(key) else { return };
        // Another start of the engine answers at the address.
        if report.boot.is_none_or(|boot| boot == target.listed.0) {
            self.follower.share_report(now, target.tag(), weight, report.load());
        }
    }

    /// Frees an export that no decode endpoint will fetch.
    pub(in crate::gateway) fn free_export(
        &mut self,
        now: Timestamp,
        endpoint: EndpointKey,
        handle: &str,
    ) {
        self.send_side_request(
            now,
            endpoint,
            Job::Free,
            &SideRequest::Free { handle: handle.into() },
        );
    }

    /// Sends a request to drop a reservation at an engine.
    pub(in crate::gateway) fn send_hold_drop(
        &mut self,
        now: Timestamp,
        endpoint: EndpointKey,
        hold: Box<str>,
    ) {
        self.send_side_request(now, endpoint, Job::Free, &SideRequest::Drop { hold });
    }

    /// Sends a side request to an engine and returns the connection that carries it. One that
    /// leaves is only asked to release what it keeps; one that backs off is asked for nothing, since
    /// exports and reservations expire there by themselves.
    pub(in crate::gateway) fn send_side_request(
        &mut self,
        now: Timestamp,
        endpoint: EndpointKey,
        job: Job,
        request: &SideRequest,
    ) -> Option<PeerId> {
        let target = self.fleet.get(endpoint)?;
        let refuses = target.notices.leaving && job != Job::Free;
        // The request that drops a reservation was paid for by the reservation.
        let paid = matches!(request, SideRequest::Drop { .. });
        let limited = !paid && !target.notices.limit.is_open(now);
        if refuses || limited || target.notices.is_backing_off(now) {
            return None;
        }
        let address = target.address;
        let bytes = self.protocol.write_side(address, request);
        let peer = match self.fleet.reuse(now, endpoint, job, false) {
            Some(peer) => peer,
            None => {
                let peer = self.fleet.open(now, endpoint, job);
                self.effect(HttpEffect::Dial { peer, address });
                peer
            }
        };
        self.effect(HttpEffect::Send { peer, bytes });
        if !paid && let Some(target) = self.fleet.get_mut(endpoint) {
            // A reservation is followed by a run, or dropped.
            let requests = if matches!(job, Job::Hold(_)) { 2 } else { 1 };
            target.notices.limit.spend(now, requests);
        }
        Some(peer)
    }

    /// Handles the complete answer to a report request or a release.
    pub(in crate::gateway) fn job_ended(
        &mut self,
        now: Timestamp,
        job: Job,
        endpoint: EndpointKey,
        content: &[u8],
    ) {
        if job != Job::Report {
            return;
        }
        let report = self.protocol.read_report(content);
        let Some(target) = self.fleet.get_mut(endpoint) else { return };
        match report {
            Some(report) => {
                log::debug!(
                    "step=report endpoint={} kind={} running={} waiting={} used={} total={} own_slots={} own_tokens={}",
                    target.name,
                    target.kind.as_str(),
                    report.running,
                    report.waiting,
                    report.used,
                    report.total,
                    target.usage.slots,
                    target.usage.tokens,
                );
                target.reported(now, report);
                self.share_report(now, endpoint, &report);
                self.capacity_freed = true;
            }
            None => log::warn!("step=report endpoint={} error=unreadable", target.name),
        }
    }

    /// Handles the loss of the connection of a report request or a release.
    pub(in crate::gateway) fn job_failed(
        &mut self,
        now: Timestamp,
        endpoint: EndpointKey,
        connected: bool,
    ) {
        if let Some(endpoint) = self.fleet.get_mut(endpoint)
            && !connected
        {
            endpoint.health.judge(now, Verdict::Silent);
            log::info!("step=report endpoint={} outcome=silent", endpoint.name);
        }
    }

    /// Closes the connections of report requests and releases that have timed out.
    pub(in crate::gateway) fn end_overdue_jobs(&mut self, now: Timestamp) {
        for (peer, endpoint) in self.fleet.close_overdue_jobs(now, SIDE_TIMEOUT) {
            self.effect(HttpEffect::HangUp { peer });
            self.job_failed(now, endpoint, false);
        }
    }
}
