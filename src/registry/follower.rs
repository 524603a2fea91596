//! The part of each process that sends heartbeats to control and applies the updates in replies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::contacts::Contacts;
use super::document_proof;
use super::majority::{self, Known, Majority, Reason};
use super::open_heartbeats::OpenHeartbeats;
use super::routing_view::RoutingView;
use super::subset;
use super::view::{self, View};
use crate::control::config::{Change, Config, Revised, SCHEMA, Setting};
use crate::control::orders::OrderReport;
use crate::control::quarantine::QuarantineUpdate;
use crate::control::routing::Document;
use crate::link::message::{
    Beat, ControlNotice, ControlReply, ControlRequest, Envelope, Heartbeat, ProcessState, Proof,
    Reply, Request, Seen, Update,
};
use crate::model::{BootId, EndpointState, ExchangeId, Timestamp};
use crate::role::Output;

/// The time between heartbeats to one member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long the replies of a majority prove that the configuration is the newest.
const CONFIRMATION_LEASE: Duration = Duration::from_millis(3_000);
/// How long a member's list of endpoints is used after it was last in sync. If no majority of
/// the lists is that recent, all of them are used.
const TRUST_LEASE: Duration = Duration::from_millis(10_000);

/// The identity of a process, and the control members that it follows.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// The name of the process.
    pub name: Box<str>,
    /// The role under which it is listed.
    pub role: Box<str>,
    /// The failure domain in which it runs.
    pub domain: Box<str>,
    /// The boot, which identifies this start of the process.
    pub boot: BootId,
    /// The address at which members can call the process, if they can.
    pub address: Option<SocketAddr>,
    /// The addresses of the control members in the settings.
    pub members: Vec<SocketAddr>,
    /// Whether the process follows the list of endpoints.
    pub endpoints: bool,
    /// Whether the process routes by the routing document.
    pub routes: bool,
}

/// What the follower knows of one control member.
#[derive(Debug)]
struct Member {
    address: SocketAddr,
    open: OpenHeartbeats,
    /// When the newest heartbeat was sent that was answered.
    answered: Option<Timestamp>,
    due: Timestamp,
    seen: Seen,
    /// The buckets to request in full, because their digests differ from the member's.
    full_buckets: Vec<u8>,
    /// When the last heartbeat was sent whose reply brought the list up to date with the member's.
    synced: Option<Timestamp>,
    /// The last proof, and when its heartbeat was sent.
    proof: Option<(Proof, Timestamp)>,
    view: View,
    /// The boot of the member in its last reply.
    boot: Option<BootId>,
    /// Whether that boot is new since the restarted members were last taken.
    restarted: bool,
}

impl Member {
    fn new(address: SocketAddr) -> Member {
        Member {
            address,
            open: OpenHeartbeats::default(),
            answered: None,
            due: Timestamp::default(),
            seen: Seen::default(),
            full_buckets: Vec::new(),
            synced: None,
            proof: None,
            view: View::default(),
            boot: None,
            restarted: false,
        }
    }

    /// Records the boot that the member states in a reply.
    fn note_boot(&mut self, boot: BootId) {
        let known = self.boot.replace(boot);
        self.restarted |= known != Some(boot);
    }

    /// Applies the member's update of endpoints; returns whether anything but loads changed.
    fn apply_endpoints(&mut self, beat: &Beat) -> bool {
        let before = self.view.digest();
        if let Some(endpoints) = &beat.endpoints {
            self.full_buckets = self.view.apply(endpoints);
        }
        let digest = self.view.digest();
        // Changes alone don't lead to the list of a member that has restarted: until the lists have
        // matched once, they are compared by their digests.
        let same_start = self.seen.epoch == beat.seen.epoch;
        if digest == beat.seen.digest || same_start && self.full_buckets.is_empty() {
            self.seen = Seen { digest, ..beat.seen };
        }
        digest != before
    }
}

/// Sends heartbeats to control and keeps the configuration and endpoints that it receives.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    members: Vec<Member>,
    /// The members that a notice has named.
    contacts: Contacts,
    config: Config,
    revised: Revised,
    /// Whether changes could not be applied, so that the full configuration is needed.
    needs_full: bool,
    /// Whether the configuration was confirmed since the start of the process.
    was_confirmed: bool,
    /// The last conflict that was logged: a peer's configuration of the same revision with another
    /// hash.
    conflicting: Option<Revised>,
    /// Whether any list has changed since the endpoints were picked.
    changed: bool,
    /// Whether each member's list of endpoints is in use.
    trusted: Vec<bool>,
    routing: RoutingView,
    /// The newest list of causes in quarantine that any member has sent.
    quarantine: QuarantineUpdate,
    /// Whether that list is new since it was last taken.
    new_quarantine: bool,
    majority: Majority,
    /// When the heartbeats were sent by whose replies a majority last confirmed the routing document.
    document_confirmed: Option<Timestamp>,
}

impl Follower {
    /// Creates a follower with the built-in configuration and no endpoints.
    pub fn new(settings: FollowerSettings) -> Follower {
        let members = settings.members.iter().map(|a| Member::new(*a)).collect();
        let config = Config::default();
        let revised = config.revised();
        Follower {
            settings,
            members,
            contacts: Contacts::default(),
            config,
            revised,
            needs_full: false,
            was_confirmed: false,
            conflicting: None,
            changed: false,
            trusted: Vec::new(),
            routing: RoutingView::default(),
            quarantine: QuarantineUpdate::default(),
            new_quarantine: false,
            majority: Majority::default(),
            document_confirmed: None,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the revision and hash of the configuration in force.
    pub fn revised(&self) -> Revised {
        self.revised
    }

    /// Wraps a message in an envelope with the revision and hash of the configuration in force.
    pub fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope { revised: self.revised, body }
    }

    /// Returns whether a majority of members has confirmed, within `CONFIRMATION_LEASE`, that the
    /// configuration in force is the newest.
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        // If no member's log reaches this revision, the group that accepted it has lost its logs.
        let reached = self.fresh_proofs(now).any(|p| p.highest >= self.revised.revision);
        reached && self.majority_agrees(now, |proof| proof.highest <= self.revised.revision)
    }

    fn fresh_proofs(&self, now: Timestamp) -> impl Iterator<Item = &Proof> {
        let proofs = self.members.iter().filter_map(|m| m.proof.as_ref());
        proofs.filter(move |(_, at)| now - *at < CONFIRMATION_LEASE).map(|(proof, _)| proof)
    }

    /// Returns whether a condition holds for the proofs of a majority of the voters.
    fn majority_agrees(&self, now: Timestamp, holds: impl Fn(&Proof) -> bool) -> bool {
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

    /// Compares the own configuration with the one that a peer has in force; if the peer's is
    /// newer, the next heartbeats become due at once.
    pub fn observe(&mut self, now: Timestamp, revised: Revised) {
        let differs = revised.revision == self.revised.revision && revised != self.revised;
        if differs && self.conflicting != Some(revised) {
            log::error!("step=observe own={} other={revised} error=hashes differ", self.revised);
            self.conflicting = Some(revised);
        }
        if revised.revision > self.revised.revision {
            self.expedite(now);
        }
    }

    /// Makes the next heartbeats due at once, so that a change is sent or received without delay.
    pub fn expedite(&mut self, now: Timestamp) {
        for member in &mut self.members {
            member.due = member.due.min(now);
        }
    }

    /// Returns the endpoints that this process uses, if they may have changed since the last call.
    pub fn changed_endpoints(
        &mut self,
        now: Timestamp,
    ) -> Option<BTreeMap<Box<str>, EndpointState>> {
        let trusted = self.trusted(now);
        let changed = std::mem::take(&mut self.changed) || trusted != self.trusted;
        self.trusted = trusted;
        changed.then(|| {
            let size = self.config.default_value(Setting::Subset) as usize;
            let all = view::merge(self.trusted_views()).into_values();
            let all = all.filter(|e| !self.routing.is_deregistered(e));
            subset::pick(&self.settings.name, &self.settings.domain, size, all)
        })
    }

    /// Returns the newest known state of an endpoint, even if this process doesn't use it.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointState> {
        let known = self.trusted_views().filter_map(|v| v.get(name));
        known.max_by_key(|e| view::version(e))
    }

    /// Returns for each member whether its list is used: only lists that were in sync within
    /// `TRUST_LEASE` if these are of most voters and of the leader, if it is known, else those of all
    /// voters, because unreachable control must not cause endpoints that still work to be removed.
    fn trusted(&self, now: Timestamp) -> Vec<bool> {
        let fresh = |m: &Member| m.synced.is_some_and(|at| now - at < TRUST_LEASE);
        let voters = self.voters();
        let votes = |m: &&Member| voters.contains(&m.address);
        let agreeing = self.members.iter().filter(votes).filter(|m| fresh(m)).count();
        // Endpoints may be known to the leader alone: the others' lists don't replace its own.
        let leader = self.members.iter().find(|m| Some(m.address) == self.leader());
        let majority = agreeing * 2 > voters.len() && leader.is_none_or(fresh);
        let used = |m: &Member| fresh(m) || !majority && voters.contains(&m.address);
        self.members.iter().map(used).collect()
    }

    /// Returns the addresses of the members with a vote according to the newest list that is known,
    /// or those of all members if there is none yet: the settings may name some that are gone.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let member = "127.0.0.1:7000".parse().unwrap();
    /// let follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec![member], endpoints: true, routes: true,
    /// });
    /// assert_eq!(follower.voters(), [member]);
    /// ```
    pub fn voters(&self) -> Vec<SocketAddr> {
        let newest = self.newest_proof().map(|proof| proof.voters.clone());
        newest.unwrap_or_else(|| self.members().collect())
    }

    /// Returns the proof with the newest list of voters. Of two lists with the same number one was
    /// never committed: the one that fewer members have, or the one that was received earlier.
    fn newest_proof(&self) -> Option<&Proof> {
        let proofs = || self.members.iter().filter_map(|m| m.proof.as_ref());
        let holders = |voters: &[SocketAddr]| proofs().filter(|(p, _)| p.voters == voters).count();
        let newest = proofs().max_by_key(|(p, at)| (p.epoch, holders(&p.voters), *at));
        newest.map(|(proof, _)| proof)
    }

    fn trusted_views(&self) -> impl Iterator<Item = &View> {
        let members = self.members.iter().zip(&self.trusted);
        members.filter(|(_, trusted)| **trusted).map(|(m, _)| &m.view)
    }

    /// Sends the heartbeats that are due and resets those that have timed out.
    pub fn wake<E>(
        &mut self,
        now: Timestamp,
        endpoint: Option<&EndpointState>,
        report: Option<&OrderReport>,
        next: &mut dyn FnMut() -> ExchangeId,
    ) -> Vec<Output<E>> {
        self.note_majority(now);
        let mut outputs = Vec::new();
        let process = self.process();
        let routes = self.settings.routes;
        let members = self.members.len();
        for (index, member) in self.members.iter_mut().enumerate() {
            let redial = member.open.take_overdue(now);
            outputs.extend(redial.then_some(Output::Redial { peer: member.address }));
            let given_up = member.open.give_up(now).into_iter();
            outputs.extend(given_up.map(|exchange| Output::Reset { exchange }));
            if now < member.due || !member.open.is_idle() {
                continue;
            }
            let asks = member.open.may_ask();
            let routing = routes.then(|| match asks {
                true => self.routing.stated(now, index, members),
                false => self.routing.seen().without_document(),
            });
            let heartbeat = Heartbeat {
                process: process.clone(),
                endpoint: endpoint.cloned(),
                endpoints: self.settings.endpoints,
                seen: member.seen,
                full_buckets: member.full_buckets.clone(),
                report: report.cloned(),
                quarantine: self.quarantine.version,
                schema: SCHEMA,
                full_config: self.needs_full,
                routing,
                address: self.settings.address,
            };
            let exchange = next();
            member.open.sent(now, exchange, asks);
            member.due = now + HEARTBEAT_INTERVAL;
            let body = Request::Control(ControlRequest::Heartbeat(Box::new(heartbeat)));
            let envelope = Envelope { revised: self.revised, body };
            outputs.push(Output::Open { exchange, peer: member.address, envelope });
        }
        if !outputs.is_empty() {
            outputs.push(Output::Observe(self.majority.observe(now)));
        }
        outputs
    }

    /// Applies a reply to a heartbeat; returns whether the exchange was a heartbeat that no later one
    /// has overtaken, so that the reply tells something new.
    pub fn reply(&mut self, now: Timestamp, exchange: ExchangeId, reply: &Reply) -> bool {
        let Some(member) = self.find(exchange) else { return false };
        let Some(answered) = member.open.answered(exchange) else { return false };
        let sent = answered.sent;
        if answered.asks_again {
            member.due = member.due.min(now);
        }
        let Reply::Control(ControlReply::Beat(beat)) = reply else { return true };
        if member.answered.is_some_and(|newer| newer > sent) {
            self.apply_overtaken(beat);
            return false;
        }
        member.answered = Some(sent);
        member.note_boot(beat.seen.epoch);
        // Without a vote it proves nothing new, but what it proved before was true then.
        if let Some(proof) = &beat.proof {
            member.proof = Some((proof.clone(), sent));
        }
        let changed = member.apply_endpoints(beat);
        if member.view.digest() == beat.seen.digest {
            member.synced = Some(sent);
        }
        self.changed |= changed;
        self.changed |= beat.routing.as_ref().is_some_and(|update| self.routing.apply(now, update));
        if let Some(update) =
            beat.quarantine.as_ref().filter(|u| u.version > self.quarantine.version)
        {
            self.quarantine = update.clone();
            self.new_quarantine = true;
        }
        self.follow_voters();
        self.apply_config(now, beat);
        self.was_confirmed |= self.is_confirmed(now);
        self.note_majority(now);
        true
    }

    /// Applies what can't be out of date in a reply to a heartbeat that a later one has overtaken.
    fn apply_overtaken(&mut self, beat: &Beat) {
        if let Some(document) = beat.routing.as_ref().and_then(|update| update.document.as_ref()) {
            self.routing.receive(document);
        }
    }

    /// Records the end of a heartbeat's exchange; returns whether the exchange was a heartbeat.
    pub fn closed(&mut self, exchange: ExchangeId) -> bool {
        let Some(member) = self.find(exchange) else { return false };
        member.open.closed(exchange);
        true
    }

    /// Returns when the next heartbeat is due or times out.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let due = |m: &Member| m.open.next_wake().unwrap_or(m.due);
        self.members.iter().map(due).min()
    }

    fn apply_config(&mut self, now: Timestamp, beat: &Beat) {
        let Some(config) = beat.config.as_ref().and_then(|u| self.updated(u)) else { return };
        self.needs_full = false;
        self.revised = config.revised();
        self.config = config;
        log::info!("step=config revised={} member={}", self.revised, beat.member);
        self.changed = true;
        self.expedite(now);
    }

    /// Returns the configuration that results from an update if it is newer than the present one.
    fn updated(&mut self, update: &Update) -> Option<Config> {
        match update {
            Update::Whole(config) => {
                (config.revision > self.revised.revision).then(|| config.clone())
            }
            Update::Changes { changes, revised } => {
                if revised.revision <= self.revised.revision {
                    return None;
                }
                let new = changes.iter().filter(|c| c.base >= self.revised.revision);
                let edit = |config: Config, change: &Change| config.edited(&change.edit);
                let config = new.into_iter().try_fold(self.config.clone(), edit);
                let fits = |config: &Config| config.revised() == *revised;
                let config = config.ok().filter(fits);
                if config.is_none() {
                    log::error!(
                        "step=config own={} error=changes do not lead to {revised}",
                        self.revised
                    );
                    self.needs_full = true;
                }
                config
            }
        }
    }

    /// Asks the voters of the newest list that is proved, once it has come.
    fn follow_voters(&mut self) {
        let Some(newest) = self.newest_proof() else { return };
        let epoch = newest.epoch;
        self.contacts.supersede(epoch);
        self.follow(Reason::Voters { epoch });
    }

    /// Takes the members that the settings name from now on. The newest list of voters that is
    /// known stays in force: a member that is only named has no vote.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let member = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    /// let mut follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec![member(7000)], endpoints: true,
    ///     routes: true,
    /// });
    /// follower.name_members(vec![member(7001)]);
    /// assert_eq!(follower.members().collect::<Vec<_>>(), [member(7001)]);
    /// ```
    pub fn name_members(&mut self, addresses: Vec<SocketAddr>) {
        self.settings.members = addresses;
        self.follow(Reason::Settings);
    }

    /// Takes a member's notice of who votes, unless a newer list is known: heartbeats to these
    /// members become due at once, and only what they prove in their replies counts.
    ///
    /// ```
    /// use dotterelpin::link::message::ControlNotice;
    /// use dotterelpin::model::{BootId, Timestamp};
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let [gone, new] = ["127.0.0.1:7000", "127.0.0.1:7001"].map(|a| a.parse().unwrap());
    /// let mut follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: "127.0.0.1:8000".parse().ok(), members: vec![gone],
    ///     endpoints: true, routes: true,
    /// });
    /// let notice = ControlNotice::new("gateway".into(), 4, vec![new]).unwrap();
    /// follower.noticed(Timestamp::from_micros(1), &notice);
    /// assert_eq!(follower.members().collect::<Vec<_>>(), [gone, new]);
    /// ```
    pub fn noticed(&mut self, now: Timestamp, notice: &ControlNotice) {
        let proven = self.newest_proof().map_or(0, |proof| proof.epoch);
        if notice.epoch() < proven || !self.contacts.take(notice) {
            return;
        }
        self.follow(Reason::Notice { epoch: notice.epoch() });
        for member in &mut self.members {
            if notice.voters().contains(&member.address) {
                member.due = member.due.min(now);
            }
        }
    }

    /// Asks the voters, the members that a notice has named and those in the settings, and no others.
    fn follow(&mut self, reason: Reason) {
        let before: Vec<SocketAddr> = self.members().collect();
        let mut followed = self.newest_proof().map(|p| p.voters.clone()).unwrap_or_default();
        followed.extend_from_slice(self.contacts.addresses());
        followed.extend_from_slice(&self.settings.members);
        self.members.retain(|m| followed.contains(&m.address));
        for address in followed {
            if self.members.iter().all(|m| m.address != address) {
                self.members.push(Member::new(address));
            }
        }
        let after: Vec<SocketAddr> = self.members().collect();
        self.changed |= before != after;
        majority::log_change(reason, &before, &after);
    }

    /// Returns the time up to which a majority of the newest list of voters has given proofs for
    /// which a condition holds: when the heartbeats were sent that they answered.
    fn agreed_at(&self, holds: impl Fn(&Proof) -> bool) -> Option<Timestamp> {
        let newest = self.newest_proof()?;
        let agrees = |(proof, at): &(Proof, Timestamp)| {
            (newest.voters.contains(&proof.member) && holds(proof)).then_some(*at)
        };
        let mut times: Vec<_> =
            self.members.iter().filter_map(|m| m.proof.as_ref()).filter_map(agrees).collect();
        times.sort_by(|a, b| b.cmp(a));
        times.get(newest.voters.len() / 2).copied()
    }

    fn note_majority(&mut self, now: Timestamp) {
        let version = self.routing.in_force();
        let confirmed = self.agreed_at(|proof| proof.document <= version);
        self.document_confirmed = self.document_confirmed.max(confirmed);
        let proven = self.agreed_at(|_| true);
        let mut majority = std::mem::take(&mut self.majority);
        majority.note(now, proven, || self.known(proven));
        self.majority = majority;
    }

    fn known(&self, proven: Option<Timestamp>) -> Known {
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

    /// Returns the routing document if a newer one was received since the last call.
    pub fn new_document(&mut self) -> Option<Document> {
        self.routing.new_document()
    }

    /// Records that the process routes by the document with a version.
    pub fn document_in_force(&mut self, version: u64) {
        self.routing.put_in_force(version);
    }

    /// Records that the process can't read the document with a version, so that it is asked for
    /// again; returns whether this is new.
    pub fn document_refused(&mut self, now: Timestamp, version: u64) -> bool {
        self.routing.refuse(now, version)
    }

    /// Returns the causes in quarantine if a newer list was received since the last call.
    pub fn new_quarantine(&mut self) -> Option<&QuarantineUpdate> {
        std::mem::take(&mut self.new_quarantine).then_some(&self.quarantine)
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

    /// Returns whether the lists of endpoints are up to date with those that a majority of the voters
    /// had at a time, or later.
    pub fn is_synced_since(&self, since: Timestamp) -> bool {
        let Some(newest) = self.newest_proof() else { return false };
        let synced = |m: &Member| m.synced.is_some_and(|at| at >= since);
        let of_voter =
            |voter: &&SocketAddr| self.members.iter().any(|m| m.address == **voter && synced(m));
        newest.voters.iter().filter(of_voter).count() * 2 > newest.voters.len()
    }

    /// Returns the number of gateways among which limits of endpoints are divided, also while control
    /// is out of reach.
    pub fn sharers(&self, now: Timestamp) -> u32 {
        self.routing.sharers(now)
    }

    /// Returns the number of gateways among which limits of the fleet are divided; large if no member
    /// has reported it lately, so that only a small part is used.
    pub fn gateways(&self, now: Timestamp) -> u32 {
        self.routing.gateways(now)
    }

    /// Returns the addresses of all members that this process follows: those in the settings and
    /// all voters.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let member = "127.0.0.1:7000".parse().unwrap();
    /// let follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec![member], endpoints: true, routes: true,
    /// });
    /// assert_eq!(follower.members().collect::<Vec<_>>(), [member]);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.iter().map(|m| m.address)
    }

    /// Returns the members whose boot in a reply has differed from the one before since the last
    /// call, so that their soft state is empty; the first reply of a member counts, too.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let mut follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec!["127.0.0.1:7000".parse().unwrap()],
    ///     endpoints: true, routes: true,
    /// });
    /// assert!(follower.take_restarted().is_empty(), "no member has replied yet");
    /// ```
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        let take = |m: &mut Member| std::mem::take(&mut m.restarted).then_some(m.address);
        self.members.iter_mut().filter_map(take).collect()
    }

    /// Returns the last known leader of control.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.routing.leader()
    }

    fn find(&mut self, exchange: ExchangeId) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.open.contains(exchange))
    }

    fn process(&self) -> ProcessState {
        ProcessState {
            name: self.settings.name.clone(),
            role: self.settings.role.clone(),
            domain: self.settings.domain.clone(),
            boot: self.settings.boot,
            revised: self.revised,
        }
    }
}
