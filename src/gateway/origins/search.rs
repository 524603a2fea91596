//! The search for the version that began a stream, which its caller takes up with another call.
//!
//! What a control member has read from its disk may have been corrected since, so it counts only once the
//! other members have answered or the time for that is over.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::origins::{Evidence, ORIGIN_TTL};
use crate::gateway::answer;
use crate::gateway::call::Stage;
use crate::gateway::reason::EndReason;
use crate::gateway::{CallerId, Gateway};
use crate::link::message::{ControlReply, ControlRequest, OriginBasis};
use crate::model::{ExchangeId, Timestamp};

/// How long control members have to name the origin of a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);

/// How the software version that began a stream is known.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// This gateway delivered the first event.
    Own,
    /// A control member has a record.
    Recorded,
    /// Control members have read it from their disks, and none knows better.
    Restored,
    /// The service has had no other version for long.
    OnlyVersion,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Recorded => "recorded",
            Source::Restored => "restored",
            Source::OnlyVersion => "only-version",
        }
    }
}

/// Open requests for the software version that has begun a stream.
#[derive(Debug, Default)]
pub(in crate::gateway) struct OriginRequest {
    /// When control members were asked.
    asked: Timestamp,
    /// The exchanges with control members that have not answered yet.
    pub(in crate::gateway) open: Vec<ExchangeId>,
    /// The only version that the service has had for longer than a stream lasts, by each member
    /// that has answered and knows one.
    only: Vec<Box<str>>,
    /// The versions that members have read from their disks, which may have been corrected since.
    restored: BTreeSet<Box<str>>,
    /// Whether a member knows that nobody can know the version.
    is_unknowable: bool,
    /// The members that were asked.
    asked_members: Vec<AskedMember>,
}

/// A control member that was asked for the origin of a stream.
#[derive(Debug, Clone, Copy)]
struct AskedMember {
    /// Its address.
    address: SocketAddr,
    /// The exchange of the request.
    exchange: ExchangeId,
    /// For how long it has recorded origins, once it has said so.
    known_for: Option<Duration>,
}

/// What a control member answers about the origin of a stream.
#[derive(Debug, Default)]
pub(in crate::gateway) struct OriginAnswer {
    /// The version that began the stream, if the member knows it.
    software: Option<Box<str>>,
    /// The only version that the service has had for longer than a stream lasts, if the member knows
    /// one.
    only: Option<Box<str>>,
    /// What the answer rests on; members of earlier releases don't say.
    basis: Option<OriginBasis>,
}

impl OriginRequest {
    fn new(now: Timestamp, asked_members: Vec<AskedMember>) -> OriginRequest {
        OriginRequest {
            asked: now,
            open: asked_members.iter().map(|m| m.exchange).collect(),
            asked_members,
            ..OriginRequest::default()
        }
    }

    /// Returns the version that members have read from their disks, unless they contradict each other
    /// or another member knows that it is wrong.
    fn restored_version(&self) -> Option<Box<str>> {
        let is_certain = self.restored.len() == 1 && !self.is_unknowable;
        self.restored.first().filter(|_| is_certain).cloned()
    }

    /// Returns the members that were asked, for logs, each with for how many milliseconds it has
    /// recorded origins.
    fn describe_members(&self) -> String {
        let known = |m: &AskedMember| m.known_for.map(|d| d.as_millis().to_string());
        let text = |m: &AskedMember| {
            format!("{}:{}", m.address, known(m).unwrap_or_else(|| "no-answer".into()))
        };
        self.asked_members.iter().map(text).collect::<Vec<_>>().join(",")
    }
}

impl OriginAnswer {
    /// Returns the answer in a reply of a control member, if the reply is one.
    pub(in crate::gateway) fn read(reply: &ControlReply) -> Option<OriginAnswer> {
        let ControlReply::OriginFound { software, only, basis } = reply else { return None };
        let (software, only) = (software.clone(), only.clone());
        Some(OriginAnswer { software, only, basis: *basis })
    }

    fn evidence(&self) -> Option<Evidence> {
        self.basis.and_then(|basis| basis.evidence)
    }
}

impl Gateway {
    /// Admits a call that resumes a stream once the software version that began it is known.
    pub(in crate::gateway) fn admit_resumption(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let resumes = call.info.resumes.clone();
        let own = resumes.as_ref().and_then(|id| self.origins.find(now, id));
        if let Some(software) = own.map(|origin| origin.software.clone()) {
            self.origin_known(now, caller, software, Source::Own);
            return;
        }
        let lasting = call.route().map_or(Duration::MAX, |r| r.timeout);
        if resumes.is_none() && self.versions.covers(now, lasting) {
            self.conclude_unnamed(now, caller);
            return;
        }
        let service = call.service.clone();
        if self.versions.covers(now, lasting) {
            // The gateway's own list of versions counts only in its state after this.
            self.follower.expedite(now);
            self.follow(now);
        }
        let request = ControlRequest::FindOrigin { call: resumes, service };
        let voters = self.follower.voters();
        let mut asked_members = Vec::new();
        for address in voters {
            let exchange = self.send_to_control(address, request.clone());
            self.leader_requests.insert(exchange, caller);
            asked_members.push(AskedMember { address, exchange, known_for: None });
        }
        let Some(call) = self.calls.get_mut(&caller) else { return };
        call.reply_deadline = now + FIND_TIMEOUT;
        call.stage = Stage::Origin(OriginRequest::new(now, asked_members));
        self.conclude_search(now, caller);
    }

    /// Handles a control member's answer about the origin of a stream.
    pub(in crate::gateway) fn origin_answered(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        exchange: ExchangeId,
        answer: OriginAnswer,
    ) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Stage::Origin(request) = &mut call.stage else { return };
        request.open.retain(|e| *e != exchange);
        let known_for = answer.basis.map(|basis| basis.known_for);
        let member = request.asked_members.iter_mut().find(|m| m.exchange == exchange);
        member.into_iter().for_each(|m| m.known_for = known_for);
        let evidence = answer.evidence();
        request.only.extend(answer.only);
        request.is_unknowable |= evidence == Some(Evidence::Unknowable);
        match answer.software {
            Some(software) if evidence == Some(Evidence::Restored) => {
                request.restored.insert(software);
                self.conclude_search(now, caller);
            }
            Some(software) => self.origin_known(now, caller, software, Source::Recorded),
            None => self.conclude_search(now, caller),
        }
    }

    /// Handles the end of an exchange about the origin of a stream.
    pub(in crate::gateway) fn origin_closed(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        exchange: ExchangeId,
    ) {
        self.origin_answered(now, caller, exchange, OriginAnswer::default());
    }

    /// Ends the search for the origin of a stream at its time limit.
    pub(in crate::gateway) fn origin_timed_out(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Stage::Origin(request) = &mut call.stage else { return };
        let open = std::mem::take(&mut request.open);
        self.abandon_requests(&open);
        self.conclude_search(now, caller);
    }

    /// Admits a call that does not name the stream that it resumes, unless its service has several
    /// versions.
    fn conclude_unnamed(&mut self, now: Timestamp, caller: CallerId) {
        let only = self.only_version(now, caller);
        self.conclude_unknown(now, caller, only);
    }

    /// Admits or refuses a call whose stream is of unknown origin, once no answer is outstanding.
    fn conclude_search(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Stage::Origin(request) = &call.stage else { return };
        if !request.open.is_empty() {
            return;
        }
        if let Some(software) = request.restored_version() {
            self.origin_known(now, caller, software, Source::Restored);
            return;
        }
        let lasting = call.route().map_or(Duration::MAX, |r| r.timeout);
        let first = request.only.first().cloned();
        let agreed = first.filter(|only| request.only.iter().all(|other| other == only));
        // A version may be new since the gateway's own list was last in sync with control's.
        let covers = self.versions.covers(now, lasting);
        let in_sync = self.follower.is_synced_since(request.asked);
        if agreed.is_none() && covers && !in_sync && now < call.reply_deadline {
            return;
        }
        let own = self.only_version(now, caller).filter(|_| covers && in_sync);
        self.conclude_unknown(now, caller, agreed.or(own));
    }

    /// Returns the only version that a call's service has had for longer than a stream lasts.
    fn only_version(&self, now: Timestamp, caller: CallerId) -> Option<Box<str>> {
        let call = self.calls.get(&caller)?;
        let lasting = call.route()?.timeout;
        self.versions.only(now, &call.service, lasting).map(Into::into)
    }

    fn conclude_unknown(&mut self, now: Timestamp, caller: CallerId, only: Option<Box<str>>) {
        if let Some(software) = only {
            self.origin_known(now, caller, software, Source::OnlyVersion);
            return;
        }
        self.log_unknown(now, caller);
        self.conclude(now, caller, answer::unknown_origin(), EndReason::UnknownOrigin);
    }

    /// Logs what the refusal of a stream of unknown origin rests on: the versions that may have begun
    /// it, the members of control that were asked, with for how long each has recorded origins, and the
    /// age of the list of endpoints.
    fn log_unknown(&self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let request = match &call.stage {
            Stage::Origin(request) => Some(request),
            _ => None,
        };
        let asked = request.map_or(0, |r| (now - r.asked).as_millis());
        let members = request.map_or_else(|| "-".into(), OriginRequest::describe_members);
        let lasting = call.route().map_or(Duration::MAX, |r| r.timeout);
        let span = lasting.max(ORIGIN_TTL);
        let synced = self.follower.synced_at().map(|at| (now - at).as_millis());
        log::info!(
            "step=origin id={} outcome=unknown resumes={} service={} versions={} \
             members={members} asked_ms={asked} synced_ms={}",
            call.info.id,
            call.info.resumes.as_deref().unwrap_or("-"),
            call.service,
            self.versions.describe(now, &call.service, span),
            synced.map_or_else(|| "-".into(), |ms| ms.to_string()),
        );
    }

    /// Admits a call that resumes a stream, or refuses it at once if no endpoint can continue it.
    fn origin_known(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        software: Box<str>,
        source: Source,
    ) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let stage = std::mem::replace(&mut call.stage, Stage::Waiting);
        call.software = Some(software.clone());
        log::info!("step=origin id={} outcome={} software={software}", call.info.id, source.name());
        if let Stage::Origin(request) = stage {
            self.abandon_requests(&request.open);
        }
        if !self.has_version(caller) {
            self.conclude(now, caller, answer::no_version(), EndReason::NoEndpoint);
            return;
        }
        self.admit_call(now, caller);
    }

    /// Returns whether any endpoint of a call's service has the software version that it must have.
    pub(in crate::gateway) fn has_version(&self, caller: CallerId) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        let choice = call.choice();
        if self.is_engine_call(caller) {
            return self.fleet.has_decode(choice);
        }
        let mut pool = self.fleet.pool(&call.service);
        pool.any(|(key, endpoint)| choice.allows(key, endpoint))
    }
}
