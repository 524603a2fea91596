//! Replies of a member to gateways that record or request the origins of streams.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Correction, ORIGIN_TTL, Origin, OriginRecord};
use crate::control::{Control, DiskEffect, Outputs};
use crate::link::message::{ControlReply, OriginBasis};
use crate::model::{EndpointState, InboundId, Timestamp};
use crate::report::observation::Observation;
use crate::role::Output;

impl Control {
    /// Adds the software version of an endpoint to the history of its service.
    pub(in crate::control) fn list_version(&mut self, now: Timestamp, endpoint: &EndpointState) {
        self.origins.listed(now, &endpoint.pool, &endpoint.software);
        self.review_saving(now, &endpoint.pool);
    }

    pub(in crate::control) fn record_origins(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        origins: Vec<Origin>,
    ) -> Outputs {
        // Gateways send origins apart from heartbeats only while a service has several versions.
        let services: BTreeSet<Box<str>> = origins.iter().map(|o| o.service.clone()).collect();
        services.iter().for_each(|service| self.save_service(now, service));
        let observed = self.note_origins(now, origins);
        vec![observed, self.reply(inbound, ControlReply::OriginsRecorded)]
    }

    /// Records origins that a gateway has sent.
    pub(in crate::control) fn note_origins(
        &mut self,
        now: Timestamp,
        origins: Vec<Origin>,
    ) -> Output<DiskEffect> {
        let services: BTreeSet<Box<str>> = origins.iter().map(|o| o.service.clone()).collect();
        let calls: Vec<Box<str>> = origins.iter().map(|o| o.call.clone()).collect();
        let recorded = self.origins.record(now, origins);
        services.iter().for_each(|service| self.review_saving(now, service));
        self.save_origins(now, &calls);
        Output::Observe(Observation::Origins { recorded, held: self.origins.count() })
    }

    /// Corrects origins that a gateway has recorded.
    pub(in crate::control) fn correct_origins(
        &mut self,
        now: Timestamp,
        corrections: &[Correction],
    ) {
        for correction in corrections {
            let software = correction.software.as_deref().unwrap_or("-");
            if self.origins.correct(now, correction) {
                log::info!("step=correct-origin call={} software={software}", correction.call);
                self.save(vec![OriginRecord::Correction(correction.clone())]);
            }
        }
    }

    /// Returns what this member knows of the origin of a stream. An origin of another service is
    /// not returned.
    pub(in crate::control) fn find_origin(
        &self,
        now: Timestamp,
        call: Option<&str>,
        service: &str,
    ) -> ControlReply {
        let origin = call.and_then(|c| self.origins.find(now, c));
        let software = origin.filter(|o| *o.service == *service).map(|o| o.software.clone());
        let only = self.only_version(now, service);
        let outcome = match (&software, &only) {
            (Some(_), _) => "found",
            (None, Some(_)) => "only",
            (None, None) => "unknown",
        };
        let age = call.filter(|_| software.is_some()).and_then(|c| self.origins.age(now, c));
        let millis =
            |age: Option<Duration>| age.map_or_else(|| "-".into(), |a| a.as_millis().to_string());
        let leads = self.replica.leads_since().map(|(_, since)| now - since);
        log::info!(
            "step=origin call={} service={service} outcome={outcome} software={} age_ms={} held={} \
             recorded={:?} heard={:?} leads_ms={}",
            call.unwrap_or("-"),
            software.as_ref().or(only.as_ref()).map_or("-", |s| s),
            millis(age),
            self.origins.count(),
            self.recorded_versions(service),
            self.origins.heard(now, service),
            millis(leads),
        );
        let evidence = call.and_then(|c| self.origins.evidence(now, c));
        let known_for = self.origins.known_for(now);
        let basis = Some(OriginBasis { evidence, known_for });
        ControlReply::OriginFound { software, only, basis }
    }

    /// Returns the only version of a service that streams can have begun at, if this member leads:
    /// endpoints without agents announce themselves to one member, which informs only the leader
    /// besides. A member that has led for [`ORIGIN_TTL`] knows that itself, others by the record.
    fn only_version(&self, now: Timestamp, service: &str) -> Option<Box<str>> {
        let (_, since) = self.replica.leads_since()?;
        let heard = self.origins.only(now, service).filter(|_| now - since >= ORIGIN_TTL);
        heard.or_else(|| self.only_recorded(now, service))
    }
}
