//! Reports of engines, and other small requests beside calls.

use std::time::Duration;

use super::Gateway;
use super::fleet::{EndpointKey, Job};
use crate::entry::health::Verdict;
use crate::h1::HttpEffect;
use crate::model::Timestamp;

/// The time between two reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long after its last call the engines of a service are still asked.
const CALLED_SPAN: Duration = Duration::from_millis(3_000);
/// How long a request beside calls may take.
const JOB_TIMEOUT: Duration = Duration::from_millis(800);

impl Gateway {
    /// Asks the engines of services that are called for their reports.
    pub(super) fn fetch_reports(&mut self, now: Timestamp) {
        self.next_report = now + REPORT_INTERVAL;
        self.called.retain(|_, at| now - *at < CALLED_SPAN);
        let engines = self.fleet.engines();
        let asked = engines.filter(|(_, e)| e.takes_work && self.called.contains_key(&e.pool));
        let asked: Vec<EndpointKey> = asked.map(|(key, _)| key).collect();
        for endpoint in asked {
            self.ask(now, endpoint, Job::Report, None);
        }
    }

    /// Frees KV cache that nobody takes.
    pub(super) fn free(&mut self, now: Timestamp, endpoint: EndpointKey, handle: &str) {
        self.ask(now, endpoint, Job::Free, Some(handle));
    }

    fn ask(&mut self, now: Timestamp, endpoint: EndpointKey, job: Job, handle: Option<&str>) {
        let Some(address) = self.fleet.get(endpoint).map(|e| e.address) else { return };
        let bytes = match handle {
            Some(handle) => self.protocol.write_free(address, handle),
            None => self.protocol.write_report(address),
        };
        let peer = match self.fleet.reuse(now, endpoint, job, false) {
            Some(peer) => peer,
            None => {
                let peer = self.fleet.open(now, endpoint, job);
                self.effect(HttpEffect::Dial { peer, address });
                peer
            }
        };
        self.effect(HttpEffect::Send { peer, bytes });
    }

    /// Takes the answer to a request beside calls.
    pub(super) fn job_ended(
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
                target.reported(now, report);
                self.freed = true;
            }
            None => log::warn!("step=report endpoint={} error=unreadable", target.name),
        }
    }

    /// Takes the loss of a connection for a request beside calls.
    pub(super) fn job_failed(&mut self, now: Timestamp, endpoint: EndpointKey, connected: bool) {
        if let Some(endpoint) = self.fleet.get_mut(endpoint)
            && !connected
        {
            endpoint.health.judge(now, Verdict::Silent);
            log::info!("step=report endpoint={} outcome=silent", endpoint.name);
        }
    }

    /// Gives up requests beside calls that take too long.
    pub(super) fn end_overdue_jobs(&mut self, now: Timestamp) {
        for (peer, endpoint) in self.fleet.overdue_jobs(now, JOB_TIMEOUT) {
            self.effect(HttpEffect::HangUp { peer });
            self.job_failed(now, endpoint, false);
        }
    }
}
