//! How each step is carried out, and the events that follow it later.

use std::time::Duration;

use dotterelpin::control::ControlSettings;
use dotterelpin::control::replica::ReplicaSettings;
use dotterelpin::model::{BootId, Timestamp};
use dotterelpin::role::Input;
use rand_core::RngCore;

use super::followers::Fate;
use super::machines::{CATCH_UP, Slot};
use super::schedule::{Step, Victim};
use super::{GRACE, World};
use crate::simulated::{FakeDisk, below};

/// How long after all machines are back service may be suspended, if more were lost than allowed.
const RECOVERY: Duration = Duration::from_secs(12);
/// The time within which the machines start that lost power together, in milliseconds.
const START_SPREAD: usize = 300;

/// How long after a loss of power an old machine is stopped that came back since the one added for
/// it was lost, in milliseconds.
const OVERLAP: u64 = 1_000;

/// Something that happens later as a part of a step.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// The process of a machine starts.
    Start(usize),
    /// The process of a machine gets SIGTERM.
    Signal(usize),
    /// The process is killed that was started as this boot of a machine.
    Kill(usize, u64),
    /// A machine is no longer cut off.
    Rejoin(usize),
    /// The split is over.
    Heal,
    /// Something happens to the outsider with this number.
    Outsider(usize, Fate),
}

impl World {
    /// Adds the machines of a new deployment, which all start within a short time.
    pub(super) fn found(&mut self) {
        for slot in 0..self.shape.machines {
            let machine = self.machines.add(self.now, slot, false, false);
            self.machines.slots.push(Slot { machine, lost_until: Timestamp::MAX });
        }
        self.machines.list(self.now);
        self.start_all(0);
    }

    fn start_all(&mut self, down: u64) {
        let machines: Vec<_> = self.machines.slots.iter().map(|s| s.machine).collect();
        for at in machines {
            let spread = below(&mut self.rng, START_SPREAD) as u64;
            self.later(down + spread, Event::Start(at));
        }
    }

    /// Returns whether a step may be carried out now: no more machines are lost than allowed.
    pub(super) fn is_allowed(&self, step: Step) -> bool {
        let lost = self.machines.lost(self.now);
        let one_more = lost.len() < self.shape.losses;
        let no_more = lost.len() <= self.shape.losses;
        match step {
            Step::Follow | Step::Large { .. } | Step::Mute { .. } | Step::Outsider(..) => true,
            Step::Split { .. } => !self.is_split,
            Step::PowerLoss { .. } => !self.is_beyond,
            Step::PowerAndDisks { .. } | Step::Quiet => lost.is_empty() && self.is_settled(),
            Step::Planned { victim, .. }
            | Step::Unplanned { victim, .. }
            | Step::Wipe { victim, .. }
            | Step::Restart { victim, .. }
            | Step::Kill { victim, .. }
            | Step::Cut { victim, .. }
            | Step::Pause { victim, .. } => {
                let again = matches!(victim, Victim::Lost(_)) && self.hit_again().next().is_some();
                !self.is_beyond && (again && no_more || one_more)
            }
        }
    }

    /// Returns whether nothing is left of the steps so far.
    pub(super) fn is_settled(&self) -> bool {
        !self.is_split && self.recovers_until <= self.now
    }

    /// Returns the slots that are still lost though their machine runs again.
    fn hit_again(&self) -> impl Iterator<Item = usize> {
        let back = |s: &usize| self.machines.slots[*s].lost_until != Timestamp::MAX;
        let calm = |s: &usize| {
            let at = self.machines.slots[*s].machine;
            self.machines.runs(at) && !self.machines.all[at].cut
        };
        self.machines.lost(self.now).into_iter().filter(back).filter(calm)
    }

    fn choose(&self, victim: Victim) -> usize {
        let lost = self.machines.lost(self.now);
        let sound = (0..self.machines.slots.len()).filter(|s| !lost.contains(s));
        let sound: Vec<_> = sound.collect();
        let any = |list: &[usize], n: usize| list[n % list.len()];
        match victim {
            Victim::Leader => {
                let slot = self.machines.leader().map(|at| self.machines.all[at].slot);
                slot.filter(|s| sound.contains(s)).unwrap_or_else(|| any(&sound, 0))
            }
            Victim::Oldest => {
                let oldest = sound.iter().min_by_key(|s| self.machines.slots[**s].machine);
                oldest.copied().unwrap_or_default()
            }
            Victim::Any(n) => any(&sound, n),
            Victim::Lost(n) => {
                let again: Vec<_> = self.hit_again().collect();
                any(if again.is_empty() { &sound } else { &again }, n)
            }
        }
    }

    pub(super) fn later(&mut self, millis: u64, event: Event) {
        self.event_count += 1;
        let due = self.now + Duration::from_millis(millis);
        self.events.insert((due, self.event_count), event);
    }

    /// Carries out a step that is allowed.
    pub(super) fn carry_out(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Planned { victim, overlap, reuse } => {
                let (slot, old) = self.hit(victim);
                let new = self.replace(slot, reuse);
                self.machines.list(self.now);
                self.start(new)?;
                self.machines.all[old].returns = None;
                self.later(overlap, Event::Signal(old));
            }
            Step::Unplanned { victim, down, reuse } => {
                let (slot, old) = self.hit(victim);
                self.crash(old);
                self.machines.remove(self.now, old);
                let new = self.replace(slot, reuse);
                self.later(down, Event::Start(new));
            }
            Step::Wipe { victim, down } => {
                let (_, at) = self.hit(victim);
                self.crash(at);
                self.machines.all[at].host.disk = FakeDisk::default();
                self.later(down, Event::Start(at));
            }
            Step::Restart { victim, down } => {
                let (_, at) = self.hit(victim);
                self.machines.all[at].returns = Some(Duration::from_millis(down));
                self.signal(at)?;
            }
            Step::Kill { victim, down } => {
                let (_, at) = self.hit(victim);
                self.crash(at);
                self.later(down, Event::Start(at));
            }
            Step::Cut { victim, millis } => {
                let (slot, at) = self.hit(victim);
                self.machines.all[at].cut = true;
                self.later(millis, Event::Rejoin(at));
                self.lost_until(slot, millis);
            }
            Step::Pause { victim, millis } => {
                let (slot, at) = self.hit(victim);
                let until = self.now + Duration::from_millis(millis);
                self.machines.all[at].host.paused_until = until;
                self.lost_until(slot, millis);
            }
            Step::PowerLoss { down } => self.lose_power(down),
            Step::PowerAndDisks { down } => {
                let first = self.choose(Victim::Leader);
                self.lose_power(down);
                for n in 0..self.shape.losses {
                    let slot = (first + n) % self.machines.slots.len();
                    let at = self.machines.slots[slot].machine;
                    self.machines.all[at].host.disk = FakeDisk::default();
                }
                self.recovers_until = self.now + Duration::from_millis(down) + RECOVERY;
            }
            Step::Split { millis } => self.split(millis),
            Step::Mute { from, to } => {
                let slots = &self.machines.slots;
                let [from, to] = [from, to].map(|n| slots[n % slots.len()].machine);
                self.network.mute(from, to);
            }
            Step::Follow => self.follow(),
            Step::Large { kilobytes } => self.propose_large(kilobytes),
            Step::Outsider(at, fate) => self.befall(at, fate),
            Step::Quiet => self.check_quiet()?,
        }
        Ok(())
    }

    /// Marks the machine of a victim as lost; returns its slot and the machine.
    fn hit(&mut self, victim: Victim) -> (usize, usize) {
        let slot = self.choose(victim);
        self.machines.slots[slot].lost_until = Timestamp::MAX;
        let at = self.machines.slots[slot].machine;
        self.note(format!("  victim m{at} {}", self.machines.all[at].address.ip()));
        (slot, at)
    }

    fn lost_until(&mut self, slot: usize, millis: u64) {
        let until = self.now + Duration::from_millis(millis) + CATCH_UP;
        self.machines.slots[slot].lost_until = until;
    }

    fn replace(&mut self, slot: usize, reuse: bool) -> usize {
        let silent = below(&mut self.rng, 2) == 0;
        let new = self.machines.add(self.now, slot, reuse, silent);
        self.machines.slots[slot].machine = new;
        self.note(format!("  new m{new} {}", self.machines.all[new].address.ip()));
        new
    }

    fn lose_power(&mut self, down: u64) {
        self.is_beyond = true;
        if !self.machines.lost(self.now).is_empty() {
            self.recovers_until = self.now + Duration::from_millis(down) + RECOVERY;
        }
        // Starts that were due are part of the common one; signals and kills still come.
        self.events.retain(|_, e| !matches!(e, Event::Start(_)));
        for at in 0..self.machines.all.len() {
            self.crash(at);
        }
        for slot in &mut self.machines.slots {
            slot.lost_until = Timestamp::MAX;
        }
        let old = self.machines.all.iter().enumerate().filter(|(at, m)| {
            !m.gone && m.returns.is_none() && self.machines.slots[m.slot].machine != *at
        });
        let old: Vec<_> = old.map(|(at, _)| at).collect();
        for at in old {
            if self.has_successor(at) {
                self.machines.remove(self.now, at);
            } else {
                self.events.retain(|_, e| !matches!(e, Event::Signal(m) if *m == at));
                self.later(down, Event::Start(at));
                self.later(down + OVERLAP, Event::Signal(at));
            }
        }
        self.start_all(down);
    }

    /// Returns whether the machine that was added for another one is still there. If it was lost,
    /// too, before it had caught up, both count, so the old one is not taken away by a power loss.
    fn has_successor(&self, at: usize) -> bool {
        let slot = self.machines.all[at].slot;
        let successor =
            (at + 1..self.machines.all.len()).find(|m| self.machines.all[*m].slot == slot);
        successor.is_some_and(|m| !self.machines.all[m].gone)
    }

    fn split(&mut self, millis: u64) {
        (self.is_split, self.split_since) = (true, self.now);
        if !self.machines.lost(self.now).is_empty() {
            self.recovers_until = self.now + Duration::from_millis(millis) + RECOVERY;
        }
        for machine in &mut self.machines.all {
            machine.half = self.rng.next_u32().is_multiple_of(2);
        }
        self.later(millis, Event::Heal);
    }

    fn heal(&mut self) {
        self.is_split = false;
        for machine in &mut self.machines.all {
            machine.half = false;
        }
        let settled = if self.machines.lost(self.now).is_empty() { CATCH_UP } else { RECOVERY };
        self.recovers_until = self.recovers_until.max(self.now + settled);
        // A machine that came back during the split could not catch up.
        for slot in 0..self.machines.slots.len() {
            let back = self.machines.slots[slot].lost_until;
            if back > self.split_since && back < self.now + CATCH_UP {
                self.lost_until(slot, 0);
            }
        }
    }

    pub(super) fn happen(&mut self, event: Event) -> Result<(), String> {
        self.note(format!("  {event:?}"));
        match event {
            Event::Start(at) => self.start(at),
            Event::Signal(at) => self.signal(at),
            Event::Kill(at, boot) => {
                if self.machines.runs(at) && self.machines.all[at].host.boot == boot {
                    self.end(at);
                }
                Ok(())
            }
            Event::Rejoin(at) => {
                self.machines.all[at].cut = false;
                let slot = self.machines.all[at].slot;
                if self.machines.slots[slot].machine == at && self.machines.runs(at) {
                    self.lost_until(slot, 0);
                }
                Ok(())
            }
            Event::Heal => {
                self.heal();
                Ok(())
            }
            Event::Outsider(at, fate) => {
                self.befall(at, fate);
                Ok(())
            }
        }
    }

    fn signal(&mut self, at: usize) -> Result<(), String> {
        if !self.machines.runs(at) {
            self.end(at);
            return Ok(());
        }
        let boot = self.machines.all[at].host.boot;
        self.later(GRACE.as_millis() as u64, Event::Kill(at, boot));
        self.step(at, Input::Shutdown { since: self.now })
    }

    /// Ends the process of a machine, which returns later or is removed.
    pub(super) fn end(&mut self, at: usize) {
        self.note(format!("  m{at} has ended"));
        self.crash(at);
        match self.machines.all[at].returns.take() {
            Some(down) => self.later(down.as_millis() as u64, Event::Start(at)),
            None => self.machines.remove(self.now, at),
        }
    }

    fn crash(&mut self, at: usize) {
        let machine = &mut self.machines.all[at];
        machine.host.crash(&mut self.rng);
        machine.host.paused_until = self.now;
    }

    /// Starts the process of a machine with the addresses of the operator's list.
    pub(super) fn start(&mut self, at: usize) -> Result<(), String> {
        if self.machines.runs(at) || self.machines.all[at].gone {
            return Ok(());
        }
        self.machines.list(self.now);
        let seeds = self.machines.seeds(self.now, at, &mut self.rng);
        self.last_id += 1;
        let boot = BootId(self.last_id * 1_000 + at as u64);
        let address = self.machines.all[at].address;
        let mut replica = ReplicaSettings::new(address, seeds.clone(), self.rng.next_u64());
        replica.losses = self.shape.losses;
        replica.founds = at < self.shape.machines && self.machines.all[at].host.boot == 0;
        (replica.compact_after, replica.kept) = (self.compact_after, 10);
        let settings = ControlSettings {
            name: format!("control-{at}").into(),
            domain: "brno-a".into(),
            boot,
            replica,
            grace: GRACE,
        };
        let ips: Vec<_> = seeds.iter().map(|s| s.ip().to_string()).collect();
        self.note(format!("  m{at} starts, seeds {}", ips.join(" ")));
        let machine = &mut self.machines.all[at];
        machine.seeds = seeds;
        let slot = machine.slot;
        let started = machine.host.start(settings);
        started.map_err(|e| self.problem("disk", e))?;
        if self.machines.slots[slot].machine == at {
            self.lost_until(slot, 0);
        }
        let down = self.machines.slots.iter().any(|s| s.lost_until == Timestamp::MAX);
        self.is_beyond &= down;
        Ok(())
    }
}
