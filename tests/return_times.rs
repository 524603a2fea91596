//! Callers that are refused in a burst come back once, at the time that they were told.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelpin::control::dispatch::Candidate;
use dotterelpin::control::dispatch::rooms::{RoomRequest, Rooms, RunEnd, RunId};
use dotterelpin::control::dispatch::waiting::WaitingCall;
use dotterelpin::gateway::admit::queue::{Queue, Waiting};
use dotterelpin::gateway::admit::returns::Returns;
use dotterelpin::gateway::admit::turns::Share;
use dotterelpin::model::{BootId, Rank, Timestamp};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENDPOINTS: u64 = 10;
const KV_TOKENS: u32 = 30_000;
const TOKENS: u32 = 4_000;
const GATEWAYS: usize = 31;
const TARGET: Duration = Duration::from_millis(900);
const TIMEOUT_MS: u64 = 14_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + millis * 1_000)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Debug, Clone, Copy)]
struct Call {
    /// When its caller first sent it.
    sent: u64,
    arrived: u64,
    late: bool,
}

impl Call {
    fn rank(self) -> Rank {
        Rank { account: 1, priority: 1, late: self.late }
    }

    fn left(self, now: u64) -> Duration {
        ms((self.sent + TIMEOUT_MS).saturating_sub(now))
    }
}

#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
    returned: u32,
    served_late: u32,
}

struct World {
    rng: Pcg64Mcg,
    rooms: Rooms,
    queues: Vec<(Queue<u64>, u64, [u64; 2])>,
    calls: BTreeMap<u64, Call>,
    ends: BTreeMap<u64, Vec<u64>>,
    returns: BTreeMap<u64, Vec<u64>>,
    tally: Tally,
    runs: u64,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            rooms: Rooms::default(),
            queues: (0..GATEWAYS).map(|_| (Queue::default(), 0, [0; 2])).collect(),
            calls: BTreeMap::new(),
            ends: BTreeMap::new(),
            returns: BTreeMap::new(),
            tally: Tally::default(),
            runs: 0,
        }
    }

    /// Replays calls at 0.7 of the capacity, with bursts of `factor` times that for `length` of each
    /// 20 s.
    fn run(&mut self, seconds: u64, factor: f64, length: u64) {
        let mut number = 0;
        for now in 0..seconds * 1_000 {
            for run in self.ends.remove(&now).unwrap_or_default() {
                self.rooms.ended(at(now), RunId(run), RunEnd::Over);
            }
            let bursts = now % 20_000 >= 5_000 && now % 20_000 < 5_000 + length;
            let rate = if bursts { 31.0 * factor } else { 31.0 };
            if (self.rng.next_u64() % 100_000) < (rate * 100.0) as u64 {
                number += 1;
                self.tally.sent += 1;
                self.calls.insert(number, Call { sent: now, arrived: now, late: false });
                self.arrive(now, number);
            }
            for number in self.returns.remove(&now).unwrap_or_default() {
                self.tally.returned += 1;
                self.arrive(now, number);
            }
            (0..GATEWAYS).for_each(|gateway| self.start_queued(now, gateway));
        }
    }

    fn arrive(&mut self, now: u64, number: u64) {
        let gateway = (self.rng.next_u64() % GATEWAYS as u64) as usize;
        let call = self.calls[&number];
        let rank = call.rank();
        let until = Queue::<u64>::wait_until(at(now), rank, TARGET, call.left(now));
        let share = Share { tokens: TOKENS, ..Share::default() };
        let waiting = Waiting { key: number, in_time: until, until, bound: false, share };
        let first = self.queues[gateway].0.ahead(rank, &waiting.share) == 0;
        if first && self.ask(now, gateway, number) {
            self.queues[gateway].0.started(at(now), &waiting.share);
            return;
        }
        if self.queues[gateway].0.is_worthwhile(at(now), rank, &waiting) {
            self.queues[gateway].0.push(rank, waiting);
        } else {
            self.refuse(now, gateway, number);
        }
    }

    fn refuse(&mut self, now: u64, gateway: usize, number: u64) {
        let call = self.calls[&number];
        if call.late {
            return;
        }
        let draw = self.rng.next_u64();
        let queue = &mut self.queues[gateway].0;
        let after = queue.retry_after(at(now), call.left(now), draw).as_millis() as u64;
        self.calls.insert(number, Call { arrived: now + after, late: true, ..call });
        self.returns.entry(now + after).or_default().push(number);
    }

    fn start_queued(&mut self, now: u64, gateway: usize) {
        for number in self.queues[gateway].0.remove_expired(at(now)) {
            self.refuse(now, gateway, number);
        }
        if now < self.queues[gateway].1 {
            return;
        }
        self.queues[gateway].1 = now + 100;
        for number in self.queues[gateway].0.in_order() {
            if !self.ask(now, gateway, number) {
                continue;
            }
            let share = self.queues[gateway].0.remove(number).unwrap();
            self.queues[gateway].0.started(at(now), &share);
        }
    }

    fn ask(&mut self, now: u64, gateway: usize, number: u64) -> bool {
        let call = self.calls[&number];
        if now < self.queues[gateway].2[usize::from(call.late)] {
            return false;
        }
        self.runs += 1;
        let patience = if call.late { 2_500 } else { 540 };
        let request = RoomRequest {
            run: RunId(self.runs),
            owner: BootId(gateway as u64),
            tokens: TOKENS,
            spare: if call.late { KV_TOKENS * 15 / 100 } else { 0 },
            memory: KV_TOKENS,
            slots: 12,
            candidates: (0..ENDPOINTS).map(|at| Candidate::new(&format!("d{at}"), true)).collect(),
            call: WaitingCall {
                number,
                service: "s".into(),
                rank: call.rank(),
                waited: ms(now - call.arrived),
                patience: ms((call.arrived + patience).saturating_sub(now)),
                ..WaitingCall::default()
            },
        };
        if self.rooms.assign(at(now), &request).is_none() {
            self.queues[gateway].2[usize::from(call.late)] = now + 40;
            return false;
        }
        self.queues[gateway].2[usize::from(call.late)] = 0;
        self.queues[gateway].1 = now;
        if call.late {
            self.tally.served_late += 1;
        } else {
            self.tally.in_time += 1;
        }
        let end = now + 1_200 + self.rng.next_u64() % 800;
        self.ends.entry(end).or_default().push(self.runs);
        true
    }
}

/// Fails if callers that come back when they were told are refused again: in bursts of twice the
/// usual load, which is 1.4 times the capacity, and beside a load that stays at the capacity.
#[test]
fn nine_of_ten_callers_that_come_back_are_served() {
    for (factor, length) in [(2.0, 3_000), (2.0, 6_000), (1.45, 20_000)] {
        for seed in 0..2 {
            let mut world = World::new(seed);
            world.run(100, factor, length);
            let t = world.tally;
            let late = f64::from(t.served_late) / f64::from(t.returned);
            let in_time = f64::from(t.in_time) / f64::from(t.sent);
            println!("{factor} {length} {seed}: in time {in_time:.3} late {late:.3} {t:?}");
            assert!(t.returned > 100, "the load is too small to tell: {t:?}");
            assert!(late >= 0.9, "{factor} {length} {seed}: returns served {late:.3}");
            assert!(in_time >= 0.8, "{factor} {length} {seed}: served in time {in_time:.3}");
        }
    }
}

/// Fails if callers that are refused together come back together, or later than they respect.
#[test]
fn callers_refused_together_come_back_one_after_the_other() {
    let left = ms(12_000);
    let mut returns = Returns::default();
    let mut after: Vec<u64> =
        (0..8).map(|draw| returns.promise(at(0), left, 10.0, draw).as_millis() as u64).collect();
    after.sort_unstable();
    assert!(after.windows(2).all(|pair| pair[1] - pair[0] >= 100), "{after:?}");
    assert!(after[0] >= 2_600 && after[7] <= 4_000, "{after:?}");
    assert_eq!(Returns::default().promise(at(0), ms(20_000), 0.0, 0), ms(5_000));
    assert_eq!(Returns::default().promise(at(0), ms(0), 10.0, 7), ms(0));
}
