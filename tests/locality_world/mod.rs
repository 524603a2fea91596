//! Gateways, endpoints and callers of a plain service in three failure domains, in simulated time.

use std::time::Duration;

use dotterelpin::gateway::place::locality::{DomainTerms, Spill};
use dotterelpin::gateway::place::speed::{Speed, WorkRate};
use dotterelpin::gateway::place::{PlainLoad, place_plain};
use dotterelpin::model::Timestamp;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const DOMAINS: usize = 3;
/// Calls that an endpoint runs at once.
pub const SLOTS: usize = 6;
/// The service time of a call, in milliseconds.
pub const SERVICE: f64 = 20.0;

/// An endpoint with a queue.
pub struct Endpoint {
    domain: usize,
    /// How many times as long its calls take.
    pub slow: f64,
    pub gone: bool,
    running: Vec<(f64, Call)>,
    waiting: Vec<Call>,
}

#[derive(Clone, Copy)]
pub struct Call {
    gateway: usize,
    endpoint: usize,
    sent: f64,
}

pub struct Gateway {
    domain: usize,
    open: Vec<u32>,
    speeds: Vec<Speed>,
    spill: Spill,
}

/// What happened in a tenth of a second.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tenth {
    /// Calls of domain 0, and how many of them left it.
    calls: f64,
    left: f64,
    /// The sum of the times of the answers to calls of domain 0, and their number.
    time: f64,
    answers: f64,
}

pub struct World {
    rng: Pcg64Mcg,
    terms: DomainTerms,
    /// The one-way latency between domains in milliseconds.
    pub latency: f64,
    pub endpoints: Vec<Endpoint>,
    gateways: Vec<Gateway>,
    /// Calls per second, by domain.
    rates: [f64; DOMAINS],
    /// When the next call arrives, by domain.
    next: [f64; DOMAINS],
    /// The factor by which gateways with an odd index misjudge the times of answers from here.
    pub wrong: f64,
    /// Whether calls are placed by the fixed penalty and without learned speeds.
    pub fixed: bool,
    /// Whether the times of calls are distributed exponentially.
    pub varied: bool,
    /// The milliseconds by which gateways hear of answers late.
    pub stale: f64,
    heard: Vec<(f64, Call, f64)>,
    tenths: Vec<Tenth>,
    millis: f64,
}

impl World {
    pub fn new(seed: u64, gateways: usize, endpoints: [usize; DOMAINS]) -> World {
        let domains = |n: usize| (0..n).map(|i| i % DOMAINS);
        let all: Vec<usize> =
            (0..DOMAINS).flat_map(|d| std::iter::repeat_n(d, endpoints[d])).collect();
        let count = all.len();
        let endpoint = |domain| Endpoint {
            domain,
            slow: 1.0,
            gone: false,
            running: Vec::new(),
            waiting: Vec::new(),
        };
        let gateway = |domain| Gateway {
            domain,
            open: vec![0; count],
            speeds: vec![Speed::default(); count],
            spill: Spill::default(),
        };
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            terms: DomainTerms::default(),
            latency: 1.0,
            endpoints: all.into_iter().map(endpoint).collect(),
            gateways: domains(gateways).map(gateway).collect(),
            rates: [0.0; DOMAINS],
            next: [0.0; DOMAINS],
            wrong: 1.0,
            fixed: false,
            varied: false,
            stale: 0.0,
            heard: Vec::new(),
            tenths: Vec::new(),
            millis: 0.0,
        }
    }

    /// Sets the load of each domain, in parts of the capacity of two endpoints.
    pub fn load(&mut self, loads: [f64; DOMAINS]) {
        let whole = 2.0 * SLOTS as f64 * 1_000.0 / SERVICE;
        self.rates = loads.map(|load| load * whole);
        self.next = [self.millis; DOMAINS];
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(100_000_000 + (self.millis * 1_000.0) as u64)
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.millis += 1.0;
            if self.millis as u64 % 100 == 1 {
                self.tenths.push(Tenth::default());
            }
            (0..DOMAINS).for_each(|domain| self.arrive(domain));
            (0..self.endpoints.len()).for_each(|e| self.serve(e));
            self.hear();
        }
    }

    /// Sends the calls of a millisecond, each from any gateway of the domain.
    fn arrive(&mut self, domain: usize) {
        while self.rates[domain] > 0.0 && self.next[domain] <= self.millis {
            let mut own = self.gateways.iter().enumerate().filter(|(_, g)| g.domain == domain);
            let count = self.gateways.len().div_ceil(DOMAINS).min(own.clone().count());
            let (gateway, _) = own.nth(self.rng.next_u64() as usize % count).unwrap();
            self.next[domain] += -(1.0 - self.unit()).ln() * 1_000.0 / self.rates[domain];
            self.send(gateway);
        }
    }

    fn send(&mut self, gateway: usize) {
        let (now, draw, spill_draw) = (self.now(), self.rng.next_u64(), self.rng.next_u64());
        let g = &mut self.gateways[gateway];
        let rates: Vec<Option<WorkRate>> =
            g.speeds.iter().map(|s| s.estimate(now).map(|e| e.rate)).collect();
        let rates = if self.fixed { vec![None; rates.len()] } else { rates };
        let leaves = g.spill.leaves(now, self.terms, spill_draw).filter(|_| !self.fixed);
        let load = |(key, e): (usize, &Endpoint)| {
            let (local, calls) = (e.domain == g.domain, g.open[key]);
            (!e.gone).then_some(PlainLoad { key, local, calls, rate: rates[key] })
        };
        let loads: Vec<PlainLoad<usize>> =
            self.endpoints.iter().enumerate().filter_map(load).collect();
        let key = place_plain(&loads, self.terms, leaves, loads.len(), draw).unwrap();
        g.open[key] += 1;
        if g.domain == 0 {
            let tenth = self.tenths.last_mut().unwrap();
            tenth.calls += 1.0;
            tenth.left += f64::from(u8::from(self.endpoints[key].domain != 0));
        }
        let call = Call { gateway, endpoint: key, sent: self.millis };
        self.endpoints[key].waiting.push(call);
    }

    fn serve(&mut self, key: usize) {
        let latency = self.latency;
        let end = &mut self.endpoints[key];
        let millis = self.millis;
        let (done, rest): (Vec<_>, Vec<_>) = end.running.drain(..).partition(|(t, _)| *t <= millis);
        end.running = rest;
        while end.running.len() < SLOTS && !end.waiting.is_empty() {
            let call = end.waiting.remove(0);
            let unit = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            let part = if self.varied { -(1.0 - unit).ln() } else { 0.7 + 0.6 * unit };
            end.running.push((millis + SERVICE * end.slow * part, call));
        }
        for (_, call) in done {
            let far = self.gateways[call.gateway].domain != self.endpoints[key].domain;
            let heard = millis + if far { 2.0 * latency } else { 0.0 };
            self.heard.push((heard + self.stale, call, heard - call.sent));
        }
    }

    fn hear(&mut self) {
        let (millis, now) = (self.millis, self.now());
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.heard).into_iter().partition(|(t, _, _)| *t <= millis);
        self.heard = rest;
        for (_, call, took) in due {
            let local = self.gateways[call.gateway].domain == self.endpoints[call.endpoint].domain;
            let g = &mut self.gateways[call.gateway];
            g.open[call.endpoint] -= 1;
            let wrong = if local && call.gateway % 2 == 1 { self.wrong } else { 1.0 };
            let said = Duration::from_secs_f64(took * wrong / 1_000.0);
            g.speeds[call.endpoint].record(now, WorkRate::of(1_000, said).unwrap());
            g.spill.answered(now, local, said);
            if g.domain == 0 {
                let tenth = self.tenths.last_mut().unwrap();
                tenth.time += took;
                tenth.answers += 1.0;
            }
        }
    }

    /// Returns the share of domain 0's calls that left it, in each half second of some seconds.
    fn shares(&self, from: usize, to: usize) -> Vec<f64> {
        let halves = self.tenths[from * 10..to * 10].chunks(5);
        let sum = |c: &[Tenth], f: fn(&Tenth) -> f64| c.iter().map(f).sum::<f64>();
        halves.map(|c| sum(c, |t| t.left) / sum(c, |t| t.calls).max(1.0)).collect()
    }

    /// Returns the mean time of the answers to domain 0's calls in some seconds.
    fn time(&self, from: usize, to: usize) -> f64 {
        let part = &self.tenths[from * 10..to * 10];
        let answers: f64 = part.iter().map(|t| t.answers).sum();
        part.iter().map(|t| t.time).sum::<f64>() / answers.max(1.0)
    }
}

pub fn mean(shares: &[f64]) -> f64 {
    shares.iter().sum::<f64>() / shares.len() as f64
}

/// The numbers of gateways with which the design must work.
pub const GATEWAYS: [usize; 3] = [4, 31, 300];

/// Runs eight seconds before a step and ten after it.
pub fn stepped(
    seed: u64,
    gateways: usize,
    before: f64,
    prepare: impl Fn(&mut World),
    step: impl Fn(&mut World),
) -> World {
    let mut world = World::new(seed, gateways, [2, 2, 2]);
    world.load([before, 0.4, 0.4]);
    prepare(&mut world);
    world.run(8_000);
    step(&mut world);
    world.run(10_000);
    world
}

/// What runs with different seeds show on average. Demand is random, so one run alone differs by a
/// tenth from one half second to the next, whatever decides.
pub struct Averaged {
    /// The shares that left in the half seconds after the step.
    pub shares: Vec<f64>,
    /// The mean time of the answers in the last six seconds.
    pub time: f64,
    /// The largest distance of a half second of one run from the mean of its last four seconds, from
    /// two seconds after the step on.
    pub swing: f64,
}

pub fn averaged(run: impl Fn(u64) -> World) -> Averaged {
    let worlds: Vec<World> = (1..=4).map(run).collect();
    let all: Vec<Vec<f64>> = worlds.iter().map(|w| w.shares(8, 18)).collect();
    let count = worlds.len() as f64;
    let swing = |shares: &Vec<f64>| {
        let settled = mean(&shares[12..]);
        shares[4..].iter().map(|s| (s - settled).abs()).fold(0.0, f64::max)
    };
    Averaged {
        shares: (0..20).map(|n| all.iter().map(|r| r[n]).sum::<f64>() / count).collect(),
        time: worlds.iter().map(|w| w.time(12, 18)).sum::<f64>() / count,
        swing: all.iter().map(swing).fold(0.0, f64::max),
    }
}

impl Averaged {
    pub fn settled(&self) -> f64 {
        mean(&self.shares[12..])
    }

    pub fn print(&self, name: &str, gateways: usize) {
        let Averaged { shares, time, swing } = self;
        let settled = self.settled();
        println!(
            "{name} {gateways}: {settled:.2}, {time:.0} ms, swing {swing:.2}, {:.2?}",
            &shares[..8]
        );
    }

    /// Checks that the share settles within two seconds, without an overshoot above a tenth, each by
    /// the mean of a second.
    pub fn check(&self, name: &str, gateways: usize) {
        self.print(name, gateways);
        let settled = self.settled();
        let seconds: Vec<f64> = self.shares.chunks(2).map(mean).collect();
        let late = seconds[2..].iter().all(|s| (s - settled).abs() <= 0.1);
        assert!(late, "{name} {gateways}: expected {settled:.2} after 2 s, found {seconds:.2?}");
        let rises = self.shares[0] <= settled;
        let over = rises && seconds.iter().any(|s| *s > settled + 0.1);
        assert!(!over, "{name} {gateways}: expected up to {settled:.2}, found {seconds:.2?}");
    }
}
