//! What goes wrong in the model.

use dotterelpin::control::dispatch::credits::{AccountLimit, Credits, Leading};

use super::{Gateway, MEMBERS, World};

/// A fault or a change; times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The leader is killed; another member leads after this time.
    KillLeader(u64),
    /// The leader is cut off from the other members: another one leads after the first time, and the
    /// former one notices after the second.
    DeposeLeader(u64, u64),
    /// The new leader begins.
    Elect,
    /// A gateway stands still.
    Freeze(usize, u64),
    /// A gateway starts anew.
    Restart(usize),
    /// A gateway is cut off from control.
    Cut(usize, u64),
    /// A quarter of all messages is lost.
    Lose(u64),
    /// A new table has limits in percent of the first ones.
    Limit(u64),
}

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillLeader(after) => {
                if let Some(leader) = self.leader.take() {
                    self.members[leader] = Credits::default();
                }
                self.push(self.now + after * 1_000, super::Event::Fault(Fault::Elect));
            }
            Fault::DeposeLeader(after, noticed) => {
                if let Some(leader) = self.leader {
                    let until = self.now + noticed * 1_000;
                    self.former = Some((leader, self.leading, until));
                }
                self.push(self.now + after * 1_000, super::Event::Fault(Fault::Elect));
            }
            Fault::Elect => {
                let former = self.former.filter(|(_, _, until)| self.now < *until);
                let not = former.map_or(MEMBERS, |(member, _, _)| member);
                let drawn = self.below(MEMBERS as u64) as usize;
                let leader = if drawn == not { (drawn + 1) % MEMBERS } else { drawn };
                self.leader = Some(leader);
                self.leading = Leading { term: self.leading.term + 1, since: self.time() };
            }
            Fault::Freeze(gateway, time) => {
                self.gateways[gateway].frozen = self.now + time * 1_000;
            }
            Fault::Restart(gateway) => {
                let boot = self.gateways[gateway].boot + 1_000;
                let version = self.gateways[gateway].version;
                let heard = self.now;
                self.gateways[gateway] = Gateway { heard, ..Gateway::new(boot, version) };
            }
            Fault::Cut(gateway, time) => self.gateways[gateway].cut = self.now + time * 1_000,
            Fault::Lose(time) => self.lossy = self.now + time * 1_000,
            Fault::Limit(percent) => self.change_limits(percent),
        }
    }

    fn change_limits(&mut self, percent: u64) {
        self.version += 1;
        let version = self.version;
        for limits in &mut self.limits {
            let AccountLimit { rate, size, .. } = limits[&1];
            let (rate, size) = (rate * percent / 100, size * percent / 100);
            limits.insert(version, AccountLimit { version, rate, size });
        }
    }
}
