//! Replies of a member to heartbeats of processes and to status requests of operators.

use std::time::Duration;

use super::config::highest;
use super::dispatch::credits::{CreditsReply, CreditsRequest, Leading};
use super::orders::{OrderReport, OrderUpdate};
use super::quarantine::QuarantineUpdate;
use super::routing::{self, RoutingSeen, RoutingUpdate};
use super::{Control, orders};
use crate::cli::settings::RoleName;
use crate::link::message::{
    Beat, Heartbeat, Leadership, OrderStatus, ProcessState, Proof, ReportsHeard, ReportsSent,
    Status, Update,
};
use crate::model::{BootId, EndpointState, Fence, Revision, Timestamp};

impl Control {
    pub(super) fn heartbeat(&mut self, now: Timestamp, mut heartbeat: Heartbeat) -> Beat {
        let config = self.update(heartbeat.process.revised.revision, heartbeat.full_config);
        let (seen, wants) = (heartbeat.seen, std::mem::take(&mut heartbeat.full_buckets));
        let follows = heartbeat.endpoints;
        let orders = match &heartbeat.endpoint {
            Some(endpoint) => self.order_update(endpoint, heartbeat.report.as_ref()),
            None => None,
        };
        let quarantine = self.quarantine_update(heartbeat.quarantine);
        let routing = heartbeat.routing.map(|seen| Box::new(self.routing_update(seen)));
        if let Some(endpoint) = &heartbeat.endpoint {
            self.list_version(now, endpoint);
        }
        if *heartbeat.process.role == *RoleName::Gateway.as_str() {
            self.credits.heard(now, &heartbeat.process.name);
        }
        let boot = heartbeat.process.boot;
        let reports = heartbeat.reports.take().and_then(|r| self.exchange_reports(now, boot, *r));
        self.registry.heartbeat(now, heartbeat);
        let endpoints =
            if follows { self.registry.endpoint_update(now, seen, &wants) } else { None };
        Beat {
            member: self.settings.name.clone(),
            proof: self.proof(),
            config,
            seen: self.registry.seen(),
            endpoints,
            orders,
            quarantine,
            routing,
            reports: reports.map(Box::new),
        }
    }

    /// Records the reports of engines in a heartbeat, and returns those that it requests.
    fn exchange_reports(
        &mut self,
        now: Timestamp,
        boot: BootId,
        sent: ReportsSent,
    ) -> Option<ReportsHeard> {
        self.reports.record(now, boot, &sent.fetched);
        sent.wanted.map(|wanted| self.reports.heard(now, boot, &wanted))
    }

    /// Returns the term and the live endpoints that the leader bases decisions on, if this member
    /// leads.
    pub(super) fn leadership(&self, now: Timestamp) -> Option<Leadership> {
        let (term, since) = self.replica.leads_since().filter(|_| !self.failed)?;
        let deregistered = |e: &EndpointState| self.state.routing.is_deregistered(&e.name, e.boot);
        let all = self.registry.endpoints().into_iter();
        let endpoints = all.filter(|e| !e.draining && !deregistered(e)).collect();
        let succeeds = !self.replica.is_first_leader();
        Some(Leadership { term, age: now - since, succeeds, endpoints })
    }

    /// Grants credit of client accounts to a gateway, if this member leads surely.
    pub(super) fn grant_credits(
        &mut self,
        now: Timestamp,
        request: &CreditsRequest,
    ) -> Option<CreditsReply> {
        let (term, since) = self.replica.leads_since().filter(|_| !self.failed)?;
        // A member that was frozen may not have noticed yet that another one leads.
        let leads = self.replica.holds_lease(now);
        leads.then(|| self.credits.grant(now, Leading { term, since }, request))
    }

    fn routing_update(&self, seen: RoutingSeen) -> RoutingUpdate {
        let state = &self.state.routing;
        let newer = state.document().filter(|d| d.version > seen.version);
        let deregistered = state.deregistered_after(seen.deregistration);
        RoutingUpdate {
            document: newer.cloned(),
            deregistered: deregistered.map(|(index, d)| (index, d.clone())).collect(),
            gateways: self.registry.count_role(RoleName::Gateway.as_str()),
            leader: self.replica.leader(),
        }
    }

    /// Returns the update from a known revision of the configuration to the current one, or `None`
    /// if there is nothing newer. It contains only the changes if they are still kept, because they
    /// are a fraction of the full configuration, unless `full` is set.
    pub(super) fn update(&self, known: Revision, full: bool) -> Option<Update> {
        if known >= self.revised.revision {
            return None;
        }
        let changes = if full { None } else { self.state.changes.since(known) };
        let whole = || Update::Whole(self.state.config.clone());
        let revised = self.revised;
        Some(changes.map_or_else(whole, |changes| Update::Changes { changes, revised }))
    }

    /// Returns the orders of an agent's endpoint, or `None` if this member may lack committed
    /// records.
    pub(super) fn order_update(
        &self,
        endpoint: &EndpointState,
        report: Option<&OrderReport>,
    ) -> Option<OrderUpdate> {
        if self.failed || !self.replica.is_active_voter() {
            return None;
        }
        let desired = self.state.orders.desired(&endpoint.name, &endpoint.pool);
        let tail = self.replica.unapplied().filter(|r| orders::concerns(&r.command, endpoint));
        let mark = tail.map(|r| Fence(r.index.0)).max().unwrap_or_default();
        let known = report.is_some_and(|r| r.fence >= desired.fence);
        Some(OrderUpdate { mark: mark.max(desired.fence), desired: (!known).then_some(desired) })
    }

    /// Returns the causes in quarantine, if this member knows a newer list than the given version.
    fn quarantine_update(&self, seen: u64) -> Option<QuarantineUpdate> {
        let quarantine = &self.state.quarantine;
        let version = quarantine.version();
        let stages = || quarantine.entries().iter().map(|(cause, e)| (*cause, e.stage)).collect();
        (version > seen).then(|| QuarantineUpdate { version, stages: stages() })
    }

    /// Returns what this member's log proves about the configuration, the routing document and the
    /// members, or `None` if the member may lack committed records.
    pub(super) fn proof(&self) -> Option<Proof> {
        if self.failed || !self.replica.is_active_voter() {
            return None;
        }
        let unapplied = || self.replica.unapplied().map(|r| &r.command);
        let members = self.replica.members();
        Some(Proof {
            member: self.settings.replica.address,
            highest: highest(self.state.config.revision, unapplied()),
            document: routing::highest(self.state.routing.version(), unapplied()),
            epoch: members.epoch,
            voters: members.voters().map(|(_, address)| address).collect(),
        })
    }

    pub(super) fn status(&self, now: Timestamp) -> Status {
        let own = ProcessState {
            name: self.settings.name.clone(),
            role: "control".into(),
            domain: self.settings.domain.clone(),
            boot: self.settings.boot,
            revised: self.revised,
        };
        let mut processes = self.registry.processes(now);
        processes.push((own, Duration::ZERO));
        let quarantine = self.state.quarantine.entries().iter();
        Status {
            member: self.settings.name.clone(),
            leader: self.replica.leader().map(|a| a.to_string().into()),
            config: self.state.config.clone(),
            history: self.state.changes.recent().cloned().collect(),
            processes,
            endpoints: self.registry.endpoints(),
            orders: self.registry.reports().map(|(e, r)| self.order_status(e, r)).collect(),
            rollouts: self.state.orders.rollouts().flat_map(|(_, r)| r.to_vec()).collect(),
            quarantine: quarantine.map(|(cause, entry)| (*cause, entry.clone())).collect(),
            accounts: if self.replica.is_leader() { self.credits.in_use() } else { Vec::new() },
        }
    }

    pub(super) fn order_status(
        &self,
        endpoint: &EndpointState,
        report: &OrderReport,
    ) -> OrderStatus {
        OrderStatus {
            endpoint: endpoint.name.clone(),
            desired: self.state.orders.desired(&endpoint.name, &endpoint.pool),
            report: report.clone(),
        }
    }
}
