//! Defines the users' call mixes, and the capacity that the simulated engines allow.

use dotterelpin::model::Class;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::engine::{
    MIN_PROMPT_TOKENS, PREFILL_BASE, PREFILL_RATE, SLOTS, STEP_BASE, STEP_PER_SEQUENCE,
};

/// How long calls arrive, in microseconds.
pub const ARRIVAL_WINDOW: u64 = 30_000_000;
/// When the first calls arrive, in microseconds.
pub const ARRIVAL_START: u64 = 1_000_000;

/// One kind of model calls.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub class: Class,
    /// Share of the user's model calls, from 0 to 1.
    pub share: f64,
    /// Bounds of the prompt's tokens, drawn from a log-uniform distribution.
    pub prompt: (f64, f64),
    /// Bounds of the generated tokens.
    pub output: (f64, f64),
    /// Number of prefixes that prompts share, and the tokens of each.
    pub prefixes: (u32, u32),
    /// Microseconds from arrival to the deadline; `None` for the user's cutoff.
    pub deadline: Option<u64>,
}

/// One user's deployment and call mix.
#[derive(Debug, Clone, Copy)]
pub struct User {
    pub name: &'static str,
    pub domains: &'static [&'static str],
    pub prefill: usize,
    pub decode: usize,
    pub services: usize,
    pub kinds: &'static [Kind],
    /// Service calls per second: those that must not be repeated, and look-ups.
    pub calls: (f64, f64),
    /// Latency targets in milliseconds for each class: first token and between tokens.
    pub targets: [(u64, u64); 2],
    pub tenants: usize,
    /// Latest deadline of all batch calls, such as a school's first bell, in microseconds after the
    /// end of the arrivals; as long as a mean batch call takes.
    pub cutoff: u64,
}

/// The `seconds` of [`kind`] for a deadline at the user's cutoff.
const AT_CUTOFF: Option<u64> = None;

/// The simulated users.
pub const USERS: [User; 3] = [
    User {
        name: "tabulka",
        domains: &["brno-a", "brno-b", "zlin-c"],
        prefill: 7,
        decode: 11,
        services: 3,
        kinds: &[
            kind(Class::Batch, 0.7, (1_500.0, 3_500.0), (60.0, 160.0), (24, 600), AT_CUTOFF),
            kind(Class::Batch, 0.3, (1_000.0, 3_000.0), (60.0, 120.0), (24, 600), Some(12)),
        ],
        calls: (12.0, 25.0),
        targets: [(510, 26), (40_000, 60)],
        tenants: 8,
        cutoff: 3_000_000,
    },
    User {
        name: "atlas",
        domains: &["ma-north-a", "ma-north-b", "ma-north-c", "ma-north-d"],
        prefill: 7,
        decode: 11,
        services: 4,
        kinds: &[
            kind(Class::Interactive, 0.5, (6_000.0, 16_000.0), (150.0, 400.0), (24, 400), Some(60)),
            kind(Class::Batch, 0.5, (1_000.0, 2_000.0), (200.0, 400.0), (24, 400), Some(40)),
        ],
        calls: (4.0, 20.0),
        targets: [(2_500, 26), (20_000, 60)],
        tenants: 8,
        cutoff: 7_000_000,
    },
    User {
        name: "target",
        domains: &["brno-a", "brno-b", "zlin-c"],
        prefill: 6,
        decode: 12,
        services: 3,
        kinds: &[
            kind(Class::Interactive, 0.7, (80.0, 8_000.0), (50.0, 200.0), (24, 60), Some(60)),
            kind(Class::Batch, 0.3, (1_000.0, 3_000.0), (50.0, 200.0), (24, 600), Some(25)),
        ],
        calls: (12.0, 25.0),
        targets: [(510, 26), (20_000, 60)],
        tenants: 8,
        cutoff: 3_000_000,
    },
];

const fn kind(
    class: Class,
    share: f64,
    prompt: (f64, f64),
    output: (f64, f64),
    prefixes: (u32, u32),
    seconds: Option<u64>,
) -> Kind {
    let deadline = match seconds {
        Some(seconds) => Some(seconds * 1_000_000),
        None => None,
    };
    Kind { class, share, prompt, output, prefixes, deadline }
}

impl User {
    /// Returns the model calls per second that the bottleneck sustains with all slots busy, with
    /// all prefixes cached or none.
    pub fn capacity(&self, cached: bool) -> f64 {
        let step = (STEP_BASE + STEP_PER_SEQUENCE * u64::from(SLOTS)) as f64;
        let mut prefill = 0.0;
        let mut decode = 0.0;
        for kind in self.kinds {
            let (low, high) = kind.prompt;
            let hit = if cached { f64::from(kind.prefixes.1) } else { 0.0 };
            let tokens = (high - low) / (high / low).ln() - hit;
            prefill += kind.share * (PREFILL_BASE as f64 / 1e6 + tokens / PREFILL_RATE);
            let output = (kind.output.0 + kind.output.1) / 2.0;
            decode += kind.share * output * step / 1e6 / f64::from(SLOTS);
        }
        (self.prefill as f64 / prefill).min(self.decode as f64 / decode)
    }

    /// Returns the highest share of offered calls, in percent, that the bottleneck sustains at a
    /// load, where 1 is the capacity without cached prefixes.
    pub fn best(&self, load: f64) -> f64 {
        (100.0 * self.capacity(true) / (self.capacity(false) * load)).min(100.0)
    }
}

/// A seeded random number generator.
pub struct Draw(Pcg64Mcg);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }

    /// Returns the microseconds to the next arrival of a Poisson process with `rate` per second.
    pub fn gap(&mut self, rate: f64) -> u64 {
        (-(1.0 - self.unit()).ln() / rate * 1e6) as u64 + 1
    }
}

/// The work that a call requests.
#[derive(Debug, Clone)]
pub enum CallSpec {
    Model { kind: usize, tokens: u32, output: u32, prefix: u32 },
    Service { repeatable: bool },
}

/// One call of the offered load; times are in microseconds.
#[derive(Debug, Clone)]
pub struct Offer {
    pub at: u64,
    pub deadline: u64,
    pub tenant: usize,
    pub spec: CallSpec,
}

/// Returns all calls of one run in order of arrival.
///
/// Both model and service calls are Poisson processes; model calls have a burst of two seconds in
/// every ten.
pub fn offers(user: &User, load: f64, seed: u64) -> Vec<Offer> {
    let mut draw = Draw::new(seed);
    let phase = draw.below(10_000_000) as u64;
    let mut offers = Vec::new();
    let rate = load * user.capacity(false);
    let cutoff = ARRIVAL_START + ARRIVAL_WINDOW + user.cutoff;
    let mut at = ARRIVAL_START;
    loop {
        let burst = (at + phase) % 10_000_000 < 2_000_000;
        at += draw.gap(rate * if burst { 1.8 } else { 0.8 });
        if at >= ARRIVAL_START + ARRIVAL_WINDOW {
            break;
        }
        let pick = draw.unit();
        let kind = usize::from(pick >= user.kinds[0].share);
        let k = &user.kinds[kind];
        let log = k.prompt.0.ln() + draw.unit() * (k.prompt.1 / k.prompt.0).ln();
        let output = (k.output.0 + draw.unit() * (k.output.1 - k.output.0)) as u32;
        let prefix = (kind as u32) << 16 | draw.below(k.prefixes.0 as usize) as u32;
        let tokens = (log.exp() as u32).max(MIN_PROMPT_TOKENS);
        let mut deadline = k.deadline.map_or(cutoff, |span| at + span);
        if k.class == Class::Batch {
            deadline = deadline.min(cutoff);
        }
        let spec = CallSpec::Model { kind, tokens, output, prefix };
        // The product of two draws makes a few tenants issue most of the calls.
        let tenant = (draw.unit() * draw.unit() * user.tenants as f64) as usize;
        offers.push(Offer { at, deadline, tenant, spec });
    }
    for (repeatable, rate) in [(false, user.calls.0), (true, user.calls.1)] {
        let mut at = ARRIVAL_START;
        while at < ARRIVAL_START + ARRIVAL_WINDOW {
            at += draw.gap(rate);
            let tenant = draw.below(user.tenants);
            let spec = CallSpec::Service { repeatable };
            offers.push(Offer { at, deadline: at + 5_000_000, tenant, spec });
        }
    }
    offers.sort_by_key(|o| o.at);
    offers
}
