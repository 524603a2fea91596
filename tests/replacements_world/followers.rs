//! Processes that follow control and that its members can call. They are cut off, paused and
//! restarted while members are replaced. All their random draws are of a stream of their own.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::link::message::{Envelope, Reply, Request};
use dotterelpin::model::{BootId, ExchangeId, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::{LinkFailure, Output};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::World;
use super::steps::Event;
use crate::simulated::{Exchange, Packet, below};

/// The index of the first outsider in exchanges.
const FIRST_OUTSIDER: usize = 2_000_000;
/// The time within which an outsider must be confirmed once it can reach sound members, and then
/// again and again.
const FIND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long an outsider runs before its first fault, in milliseconds.
const FIRST_FAULT: u64 = 4_000;
/// What is added to the seed of a schedule for the random draws about outsiders.
const STREAM: u64 = 1 << 40;

/// What happens to an outsider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is cut off from all members.
    Cut,
    /// It is no longer cut off.
    Join,
    /// It handles nothing for so many milliseconds.
    Pause(u64),
    /// Its process is killed.
    Kill,
    /// Its process starts again, with the members in its settings as at its first start.
    Start,
    /// A random fault begins.
    Fault,
}

/// A process that follows control.
struct Outsider {
    settings: FollowerSettings,
    /// Its follower; `None` while its process is down.
    follower: Option<Follower>,
    /// The number of its starts.
    starts: u64,
    last_exchange: u64,
    address: SocketAddr,
    is_cut: bool,
    paused_until: Timestamp,
    /// Since when it can reach the members, and they can reach it.
    back: Timestamp,
    /// When its configuration was last confirmed.
    confirmed: Timestamp,
}

impl Outsider {
    fn is_in_touch(&self, now: Timestamp) -> bool {
        self.follower.is_some() && !self.is_cut && self.paused_until <= now
    }

    fn start(&mut self) {
        self.starts += 1;
        self.settings.boot = BootId(self.starts);
        self.follower = Some(Follower::new(self.settings.clone()));
    }
}

/// The outsiders of a simulation.
pub struct Outsiders {
    all: Vec<Outsider>,
    count: usize,
    /// Whether random faults happen to them.
    is_random: bool,
    rng: Pcg64Mcg,
    /// When the members were last not sound.
    unsound: Timestamp,
}

impl Outsiders {
    /// Returns no outsiders.
    pub fn none() -> Outsiders {
        Outsiders::scripted(0)
    }

    /// Returns outsiders to which only steps of the schedule happen.
    pub fn scripted(count: usize) -> Outsiders {
        Outsiders {
            all: Vec::new(),
            count,
            is_random: false,
            rng: Pcg64Mcg::seed_from_u64(STREAM),
            unsound: Timestamp::default(),
        }
    }

    /// Returns two outsiders to which random faults happen.
    pub fn random(seed: u64) -> Outsiders {
        let rng = Pcg64Mcg::seed_from_u64(STREAM + seed);
        Outsiders { is_random: true, rng, ..Outsiders::scripted(2) }
    }

    /// Returns the index in exchanges of the outsider at an address.
    pub fn find(&self, address: SocketAddr) -> Option<usize> {
        self.all.iter().position(|o| o.address == address).map(|at| FIRST_OUTSIDER + at)
    }

    /// Returns the number of the outsider with this index in exchanges, if it is one of an outsider.
    pub fn number(&self, index: usize) -> Option<usize> {
        index.checked_sub(FIRST_OUTSIDER).filter(|at| *at < self.all.len())
    }

    /// Returns whether an outsider is connected to the members.
    pub fn is_connected(&self, number: usize) -> bool {
        self.all.get(number).is_some_and(|o| o.follower.is_some() && !o.is_cut)
    }

    /// Returns the number of starts of an outsider.
    pub fn starts(&self, number: usize) -> u64 {
        self.all.get(number).map_or(0, |o| o.starts)
    }

    /// Returns when the next outsider has something to do.
    pub fn next_due(&self) -> Option<Timestamp> {
        let due = |o: &Outsider| Some(o.follower.as_ref()?.next_wake()?.max(o.paused_until));
        self.all.iter().filter_map(due).min()
    }

    /// Returns the random stream of the packets to and from outsiders.
    pub fn rng(&mut self) -> &mut Pcg64Mcg {
        &mut self.rng
    }
}

impl World {
    /// Starts the outsiders.
    pub(super) fn admit_outsiders(&mut self) {
        for at in 0..self.outsiders.count {
            let members = self.machines.seeds(self.now, usize::MAX, &mut self.outsiders.rng);
            let address = ([10, 1, (at >> 8) as u8, at as u8], 7000).into();
            let settings = FollowerSettings {
                name: format!("gateway-{at}").into(),
                role: "gateway".into(),
                domain: "brno-a".into(),
                boot: BootId(0),
                address: Some(address),
                members,
                routes: true,
                endpoints: true,
            };
            let mut outsider = Outsider {
                settings,
                follower: None,
                starts: 0,
                last_exchange: 0,
                address,
                is_cut: false,
                paused_until: self.now,
                back: self.now,
                confirmed: Timestamp::default(),
            };
            outsider.start();
            self.outsiders.all.push(outsider);
            if self.outsiders.is_random {
                self.later(FIRST_FAULT, Event::Outsider(at, Fate::Fault));
            }
        }
    }

    /// Lets something happen to an outsider.
    pub(super) fn befall(&mut self, at: usize, fate: Fate) {
        if fate == Fate::Fault {
            return self.begin_fault(at);
        }
        let now = self.now;
        let Some(outsider) = self.outsiders.all.get_mut(at) else { return };
        match fate {
            Fate::Cut => outsider.is_cut = true,
            Fate::Join => outsider.is_cut = false,
            Fate::Pause(millis) => outsider.paused_until = now + Duration::from_millis(millis),
            Fate::Kill => outsider.follower = None,
            Fate::Start => outsider.start(),
            Fate::Fault => {}
        }
        outsider.back = now.max(outsider.paused_until);
    }

    /// Begins a random fault; the next one begins after its end.
    fn begin_fault(&mut self, at: usize) {
        let now = self.now;
        let known = |o: &Outsider| o.is_in_touch(now) && o.confirmed > o.back;
        if !self.outsiders.all.get(at).is_some_and(known) {
            self.later(FIRST_FAULT, Event::Outsider(at, Fate::Fault));
            return;
        }
        let rng = &mut self.outsiders.rng;
        let mut draw = |least: u64, spread: usize| least + below(rng, spread) as u64;
        let end = match draw(0, 6) {
            0 => {
                let millis = draw(3_500, 10_000);
                self.befall(at, Fate::Pause(millis));
                millis
            }
            1 => {
                let down = draw(500, 20_000);
                self.befall(at, Fate::Kill);
                self.later(down, Event::Outsider(at, Fate::Start));
                down
            }
            kind => {
                let millis = draw(4_000, 26_000);
                self.befall(at, Fate::Cut);
                self.later(millis, Event::Outsider(at, Fate::Join));
                if kind == 2 {
                    self.later(millis / 3, Event::Outsider(at, Fate::Kill));
                    self.later(millis / 2, Event::Outsider(at, Fate::Start));
                }
                millis
            }
        };
        let gap = 2_500 + below(&mut self.outsiders.rng, 6_000) as u64;
        self.later(end + gap, Event::Outsider(at, Fate::Fault));
    }

    /// Lets the outsiders send the heartbeats that are due.
    pub(super) fn wake_outsiders(&mut self) {
        for at in 0..self.outsiders.all.len() {
            let Outsider { follower, last_exchange, starts, paused_until, .. } =
                &mut self.outsiders.all[at];
            let Some(follower) = follower else { continue };
            let due = follower.next_wake().is_some_and(|due| due <= self.now);
            if !due || *paused_until > self.now {
                continue;
            }
            let boot = *starts;
            let outputs = follower.wake::<()>(self.now, None, None, &mut || {
                *last_exchange += 1;
                ExchangeId(*last_exchange)
            });
            for output in outputs {
                self.execute(FIRST_OUTSIDER + at, boot, output);
            }
        }
    }

    /// Opens an exchange of a member with an outsider; a machine that is down answers at once.
    pub(super) fn open_to_outsider(&mut self, exchange: Exchange, envelope: Envelope<Request>) {
        self.network.open(exchange);
        let Some(at) = self.outsiders.number(exchange.to) else { return };
        if self.outsiders.all[at].follower.is_some() {
            self.send(Packet::Request(exchange, envelope));
        } else {
            self.send(Packet::Closed(exchange, LinkFailure::NotSent));
        }
    }

    /// Delivers a packet that has arrived at an outsider.
    pub(super) fn deliver_to_outsider(&mut self, at: usize, packet: Packet) -> Result<(), String> {
        let now = self.now;
        let outsider = &mut self.outsiders.all[at];
        if outsider.paused_until > now {
            let until = outsider.paused_until;
            self.network.put(until, packet);
            return Ok(());
        }
        let (exchange, is_reply) = packet.route();
        let own_boot = if is_reply { exchange.boot } else { exchange.to_boot };
        let Some(follower) = outsider.follower.as_mut().filter(|_| own_boot == outsider.starts)
        else {
            return Ok(());
        };
        match packet {
            Packet::Reply(e, envelope) => {
                self.network.reset(e.from, e.boot, e.id);
                return self.outsider_reply(at, e, &envelope);
            }
            Packet::Closed(e, _) => {
                follower.closed(e.id);
            }
            Packet::Request(e, Envelope { body: Request::Notice(notice), .. }) => {
                follower.noticed(now, &notice);
                let envelope = follower.envelope(Reply::Noticed);
                self.send(Packet::Reply(e, envelope));
            }
            Packet::Request(..) => {}
        }
        Ok(())
    }

    fn outsider_reply(
        &mut self,
        at: usize,
        e: Exchange,
        envelope: &Envelope<Reply>,
    ) -> Result<(), String> {
        let now = self.now;
        let outsider = &mut self.outsiders.all[at];
        let Some(follower) = outsider.follower.as_mut() else { return Ok(()) };
        follower.observe(now, envelope.revised);
        follower.reply(now, e.id, &envelope.body);
        if follower.is_confirmed(now) {
            outsider.confirmed = now;
        }
        // A process that has started again begins with the built-in configuration.
        let start = e.from + outsider.starts as usize * FIRST_OUTSIDER;
        let checked = self.oracle.check_follower(now, start, follower);
        checked.map_err(|text| self.problem("safety", text))
    }

    /// Checks that each outsider that can reach sound members is confirmed in time.
    pub(super) fn check_outsiders(&mut self) -> Result<(), String> {
        if self.outsiders.all.is_empty() {
            return Ok(());
        }
        if !self.is_sound() {
            self.outsiders.unsound = self.now;
        }
        for at in 0..self.outsiders.all.len() {
            let outsider = &self.outsiders.all[at];
            let since = outsider.back.max(outsider.confirmed).max(self.outsiders.unsound);
            if outsider.is_in_touch(self.now) && self.now > since + FIND_TIMEOUT {
                let follower = outsider.follower.as_ref();
                let asked: Vec<_> = follower.iter().flat_map(|f| f.members()).collect();
                let text = format!("gateway-{at} isn't confirmed for {FIND_TIMEOUT:?}: {asked:?}");
                return Err(self.problem("lost-control", text));
            }
        }
        Ok(())
    }

    /// Returns whether all machines in use run, can reach each other and have a leader.
    fn is_sound(&self) -> bool {
        let lost = self.machines.lost(self.now);
        lost.is_empty() && self.is_settled() && self.machines.leader().is_some()
    }
}
