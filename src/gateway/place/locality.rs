//! Decides which work leaves its failure domain.
//!
//! This matters while a domain is short of healthy endpoints and its load is high: its callers wait
//! although other domains have free endpoints. Both sides are compared in one unit, time: the
//! expected time to finish here, against the one there plus the crossing. Where the loads of all
//! gateways are counted, as at the leader, the lesser sum is chosen for each request. A gateway that
//! decides alone on plain calls knows the load only by answers, which come late; it moves a share of
//! its calls in small steps until both times are equal, so that gateways that see the same answers
//! don't all send what they have.

use std::time::Duration;

use super::speed::{USUAL_PERCENT, WorkRate, usual_rate};
use crate::model::Timestamp;

/// The default latency between two domains, one way: they are 0.9 to 1.4 ms apart.
pub const DEFAULT_LATENCY: Duration = Duration::from_millis(1);
/// The penalty of a plain call in another domain while no price of bytes is set, in calls.
const CALL_PENALTY: u64 = 1;
/// The penalty of a prompt in another domain, in tokens, by counts of all gateways.
const COUNTED_PENALTY_TOKENS: u64 = 2_000;
/// The same by the counts of one gateway, which knows only its own prompts and so must see a greater
/// difference.
const OWN_PENALTY_TOKENS: u64 = 4_000;
/// The penalty of a run in another domain, in thousandths of an idle step.
const STEP_PENALTY: u64 = 60;
/// The time of a unit of work while no speed is learned, in nanoseconds: a call in 20 ms, 33 prompt
/// tokens in a millisecond, a step in 20 ms. Only their ratio to a price that is set matters.
const CALL_NANOS: u64 = 20_000_000;
const TOKEN_NANOS: u64 = 30_303;
const STEP_NANOS: u64 = 20_000_000;
/// The steps of a run by which the time of one is weighed against a crossing. It makes the
/// penalties of runs and of prompts alike, about 120 ms.
const RUN_STEPS: u64 = 100;
/// The assumed bytes of a plain call with its answer.
const CALL_BYTES: u64 = 20_000;
/// The assumed bytes of KV cache for a token.
const TOKEN_BYTES: u64 = 100_000;

/// What a crossing between two failure domains costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainTerms {
    /// The latency between two domains, one way.
    pub latency: Duration,
    /// The price of a megabyte as time; without one, a crossing costs fixed amounts of work.
    pub megabyte: Option<Duration>,
}

impl Default for DomainTerms {
    fn default() -> DomainTerms {
        DomainTerms { latency: DEFAULT_LATENCY, megabyte: None }
    }
}

/// What is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// A call to a plain service.
    Call,
    /// The prefill of a prompt, by the counts of one gateway.
    OwnPrompt,
    /// The prefill of a prompt, by counts of all gateways.
    CountedPrompt,
    /// A run at a decode endpoint, to which KV cache is transferred.
    Run,
}

impl Work {
    /// Returns the penalty of a crossing in units of this work.
    fn penalty(self) -> u64 {
        match self {
            Work::Call => CALL_PENALTY,
            Work::OwnPrompt => OWN_PENALTY_TOKENS,
            Work::CountedPrompt => COUNTED_PENALTY_TOKENS,
            Work::Run => STEP_PENALTY,
        }
    }

    /// Returns how many thousandths of a unit of this work a learned rate counts for one.
    fn scale(self) -> u64 {
        match self {
            Work::Call => 1_000,
            Work::OwnPrompt | Work::CountedPrompt => 1,
            Work::Run => RUN_STEPS,
        }
    }

    fn nominal(self) -> u64 {
        match self {
            Work::Call => CALL_NANOS,
            Work::OwnPrompt | Work::CountedPrompt => TOKEN_NANOS,
            Work::Run => STEP_NANOS * RUN_STEPS / 1_000,
        }
    }
}

/// Compares endpoints by the expected time until work at them is finished, in nanoseconds.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::place::locality::{DomainTerms, Times, Work};
///
/// let terms = DomainTerms::default();
/// let times = Times::new(Work::CountedPrompt, terms, &[None, None]);
/// // Without learned speeds a remote endpoint is chosen if it has 2,000 tokens less.
/// assert_eq!(times.cost(0, 5_000, true), times.cost(1, 3_000, false));
/// let terms = DomainTerms { megabyte: Some(Duration::from_micros(10)), ..terms };
/// let priced = Times::new(Work::Call, terms, &[None, None]);
/// assert!(priced.cost(0, 2, true) > priced.cost(1, 1, false));
/// ```
#[derive(Debug, Clone)]
pub struct Times {
    /// The time of a unit of work at the usual speed.
    unit: u64,
    crossing: u64,
    percents: Vec<u32>,
}

impl Times {
    /// Creates the comparison of endpoints with these learned rates.
    pub fn new(work: Work, terms: DomainTerms, rates: &[Option<WorkRate>]) -> Times {
        let usual = usual_rate(rates);
        let learned = |rate: WorkRate| work.scale() * 1_000_000_000 / u64::from(rate.0.max(1));
        let unit = usual.map_or(work.nominal(), learned).max(1);
        let percents = super::speed::percents(rates);
        Times { unit, crossing: crossing(work, terms, unit), percents }
    }

    /// Returns the expected time to finish an amount of work at the endpoint with an index, with
    /// the crossing if it is in another domain.
    pub fn cost(&self, index: usize, work: u64, local: bool) -> u64 {
        let percent = self.percent(index);
        let time = work.saturating_mul(self.unit).saturating_mul(100) / u64::from(percent.max(1));
        if local { time } else { time.saturating_add(self.crossing) }
    }

    /// Like [`Times::cost`], where the gateway has named the time of the crossing, if it has set a
    /// price for that, and beside a wait for other work.
    pub fn named_cost(
        &self,
        index: usize,
        work: u64,
        local: bool,
        crossing: Option<Duration>,
        wait: Duration,
    ) -> u64 {
        let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let crossing = crossing.map_or(self.crossing, nanos);
        let cost = self.cost(index, work, true).saturating_add(nanos(wait));
        if local { cost } else { cost.saturating_add(crossing) }
    }

    /// Returns the speed of the endpoint with an index in percent of the usual one.
    pub fn percent(&self, index: usize) -> u32 {
        self.percents.get(index).copied().unwrap_or(USUAL_PERCENT)
    }

    /// Returns the time that a crossing costs.
    pub fn crossing(&self) -> Duration {
        Duration::from_nanos(self.crossing)
    }
}

/// Returns the time that a crossing costs, in nanoseconds: the round trip and the price of the bytes
/// or, without a price, the fixed penalty, which is never less than the round trip.
fn crossing(work: Work, terms: DomainTerms, unit: u64) -> u64 {
    let trip = 2 * terms.latency.as_nanos() as u64;
    let Some(price) = terms.megabyte else { return trip.max(work.penalty() * unit) };
    let bytes = match work {
        Work::Call => CALL_BYTES,
        // The size of the cache is that of a usual prompt, which the penalty is.
        Work::OwnPrompt | Work::CountedPrompt | Work::Run => COUNTED_PENALTY_TOKENS * TOKEN_BYTES,
    };
    trip + price.as_nanos() as u64 * bytes / 1_000_000
}

/// Returns the time of the crossing of a prompt or a run that a gateway names to the leader; `None`
/// while no price is set.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::place::locality::{DomainTerms, named_crossing};
///
/// let terms = DomainTerms::default();
/// assert_eq!(named_crossing(terms), None);
/// let terms = DomainTerms { megabyte: Some(Duration::from_micros(100)), ..terms };
/// assert_eq!(named_crossing(terms), Some(Duration::from_millis(22)));
/// ```
pub fn named_crossing(terms: DomainTerms) -> Option<Duration> {
    terms.megabyte.map(|_| Duration::from_nanos(crossing(Work::Run, terms, 0)))
}

/// The time over which the answers of a side are averaged, in seconds. With a longer one the share
/// overshoots after a step of load.
const SMOOTHING: f64 = 0.1;
/// In which time a measured delay counts for a third, in seconds: a gateway that sends all its calls
/// away learns nothing of its own domain.
const FADING: f64 = 1.0;
/// The least weight of an answer, so that many at one moment count, too.
const MIN_WEIGHT: f64 = 0.1;
/// The largest weight of an answer: calls of one service take unequal times.
const MAX_WEIGHT: f64 = 0.5;
/// The weight of an answer in the time that counts as quick.
const QUICK_WEIGHT: f64 = 0.04;
/// How long an answer says something of its side.
const SIDE_TTL: Duration = Duration::from_secs(5);
/// In how many seconds the time that counts as quick doubles while answers take longer.
const QUICK_RISE: f64 = 60.0;
/// The share that moves at once for a relative difference of one.
const PROPORTION: f64 = 0.45;
/// The share that moves in each second for a relative difference of one.
const INTEGRAL: f64 = 0.08;
/// The same for a difference below `QUICK_DIFFERENCE`: this domain has room again. Gateways with a
/// call in each second take many seconds back to it otherwise.
const RETURN: f64 = 2.0;
const QUICK_DIFFERENCE: f64 = -0.3;
/// The relative difference that moves nothing at once: times of single calls differ.
const UNCLEAR: f64 = 0.25;
/// The maximum relative difference that counts: a single late answer moves little.
const MAX_DIFFERENCE: f64 = 1.0;
/// The maximum time for which one step moves the share: after a pause the answers are old.
const MAX_STEP: f64 = 0.25;

/// The averaged time of answers from one side.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Side {
    seconds: f64,
    /// The weight of the last answer.
    weight: f64,
    at: Timestamp,
}

impl Side {
    fn record(&mut self, now: Timestamp, took: Duration) {
        let age = (now - self.at).as_secs_f64();
        let weight = (1.0 - (-age / SMOOTHING).exp()).clamp(MIN_WEIGHT, MAX_WEIGHT);
        let seconds = took.as_secs_f64();
        let known = self.at > Timestamp::default();
        self.seconds =
            if known { self.seconds + weight * (seconds - self.seconds) } else { seconds };
        self.weight = weight;
        self.at = now;
    }

    /// Returns the time that the answers show for sure if a call of the usual kind takes so long and
    /// deviates so much from that; without answers a delay fades.
    fn sure(&self, now: Timestamp, quick: f64, deviation: f64) -> f64 {
        // The deviation of an average with exponential weights.
        let doubt = deviation * (self.weight / (2.0 - self.weight)).sqrt();
        let delay = self.seconds - quick;
        let delay = delay - delay.clamp(0.0, doubt);
        let age = (now - self.at).as_secs_f64();
        quick + delay * (-age / FADING).exp()
    }

    fn is_known(&self, now: Timestamp) -> bool {
        self.at > Timestamp::default() && now - self.at <= SIDE_TTL
    }
}

/// The share of a service's calls that a gateway sends to other failure domains.
///
/// While nothing is known of the time in other domains, they are assumed to be as quick as this one
/// was when it was quick.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::place::locality::{DomainTerms, Spill};
/// use dotterelpin::model::Timestamp;
///
/// let at = |millis: u64| Timestamp::from_micros(1_000_000 + millis * 1_000);
/// let terms = DomainTerms::default();
/// let mut spill = Spill::default();
/// assert_eq!(spill.leaves(at(0), terms, 0), None);
/// (0..9).for_each(|n| spill.answered(at(n * 10), true, Duration::from_millis(20)));
/// assert_eq!(spill.leaves(at(90), terms, 0), None);
/// (9..30).for_each(|n| spill.answered(at(n * 10), true, Duration::from_millis(70)));
/// assert_eq!(spill.leaves(at(300), terms, 0), Some(true));
/// assert!(spill.share() > 0.2 && spill.share() < 0.5);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spill {
    here: Side,
    there: Side,
    /// The average time of the last answers from this domain, in seconds.
    usual: f64,
    /// The least `usual`, which rises slowly: the time without a queue.
    quick: Side,
    /// The average deviation from `usual`, and the least one, which rises slowly.
    deviation: f64,
    doubt: f64,
    moved: f64,
    share: f64,
    at: Timestamp,
}

impl Spill {
    /// Records the time that an answer took, from this domain or another.
    pub fn answered(&mut self, now: Timestamp, local: bool, took: Duration) {
        let side = if local { &mut self.here } else { &mut self.there };
        side.record(now, took);
        if local {
            self.learn_quick(now, took.as_secs_f64());
        }
    }

    fn learn_quick(&mut self, now: Timestamp, seconds: f64) {
        if self.quick.at == Timestamp::default() {
            self.usual = seconds;
            self.quick.seconds = seconds;
            (self.deviation, self.doubt) = (seconds, seconds);
        }
        let rise = 1.0 + (now - self.quick.at).as_secs_f64().min(QUICK_RISE) / QUICK_RISE;
        self.usual += QUICK_WEIGHT * (seconds - self.usual);
        self.deviation += QUICK_WEIGHT * ((seconds - self.usual).abs() - self.deviation);
        self.doubt = (self.doubt * rise).min(self.deviation);
        self.quick.seconds = (self.quick.seconds * rise).min(self.usual);
        self.quick.at = now;
    }

    /// Returns whether a call leaves the domain, as `draw` decides among the calls of the share;
    /// `None` while no time is known here, or nothing suggests that others are quicker.
    pub fn leaves(&mut self, now: Timestamp, terms: DomainTerms, draw: u64) -> Option<bool> {
        let there = if self.there.is_known(now) { self.there } else { self.quick };
        let quick = Duration::from_secs_f64(self.quick.seconds).as_nanos() as u64;
        let away = self.marginal(there.seconds) + crossing(Work::Call, terms, quick) as f64 / 1e9;
        let here = self.marginal(self.here.sure(now, self.quick.seconds, self.doubt));
        let leaves = self.share > 0.0 || here > away || self.there.is_known(now);
        if !self.here.is_known(now) || !leaves {
            (self.moved, self.share, self.at) = (0.0, 0.0, now);
            return None;
        }
        let difference = (here - away) / away.max(1e-6);
        let difference = difference.clamp(-1.0, MAX_DIFFERENCE);
        let step = (now - self.at).as_secs_f64().min(MAX_STEP);
        self.at = now;
        let speed = if difference < QUICK_DIFFERENCE { RETURN } else { INTEGRAL };
        self.moved = (self.moved + speed * difference * step).clamp(0.0, 1.0);
        let clear = difference - difference.clamp(-UNCLEAR, UNCLEAR);
        self.share = (self.moved + PROPORTION * clear).clamp(0.0, 1.0);
        let unit = (draw >> 11) as f64 / (1u64 << 53) as f64;
        Some(unit < self.share)
    }

    /// Returns the time that another call adds for all: its own and that by which it delays others,
    /// as at a queue with one server, where it grows with the square of the time.
    fn marginal(&self, seconds: f64) -> f64 {
        let quick = self.quick.seconds.max(1e-6);
        seconds * (seconds / quick).max(1.0)
    }

    /// Returns the share of the calls that leave.
    pub fn share(&self) -> f64 {
        self.share
    }
}
