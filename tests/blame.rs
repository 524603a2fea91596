//! Which cause crashes have in common: examples, and a seeded fuzz against an oracle that knows the
//! faulty causes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelpin::control::quarantine::{Blame, BrokenRun, Cause, Crash, Fingerprint, Start};
use dotterelpin::model::{BootId, Timestamp};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The number of seeds of the fuzz without `DOTTERELPIN_FUZZ_SEEDS`.
const SEEDS: u64 = 120;
/// The crash of a faulty part after which it has to be stopped.
const PART_CRASHES: usize = 5;
/// The same for a faulty content.
const CONTENT_CRASHES: usize = 3;
/// How long after that crash faulty runs are not counted yet, in milliseconds; gateways have the rest
/// of the allowed 3,000 for the verdict to reach them.
const SETTLING_MS: u64 = 2_000;
/// How many faulty runs may begin later.
const MAX_LATE: usize = 3;

fn part(id: &str) -> Cause {
    Cause::Part(Fingerprint::of("drafts", id.as_bytes()))
}

fn content(id: u64) -> Cause {
    Cause::Content(Fingerprint::of("drafts", &id.to_le_bytes()))
}

fn start(boot: u64) -> Start {
    Start { endpoint: format!("d{}", boot % 12).into(), boot: BootId(boot) }
}

fn run(causes: &[Cause], wrote_ms: u64) -> BrokenRun {
    BrokenRun { causes: causes.to_vec(), wrote: Duration::from_millis(wrote_ms) }
}

fn crash(boot: u64, runs: Vec<BrokenRun>) -> Crash {
    Crash { start: start(boot), runs, known: Vec::new() }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + millis * 1_000)
}

/// Returns the verdict once each part has been under suspicion for long enough.
fn verdict(blame: &Blame) -> Option<Cause> {
    blame.verdict(at(5_000), &BTreeSet::new()).map(|v| v.cause)
}

#[test]
fn first_part_that_all_prompts_share_is_not_blamed_for_another_one() {
    let mut blame = Blame::default();
    for boot in 0..4 {
        let faulty = run(&[part("all"), part("bad"), content(boot)], 0);
        let old = run(&[part("all"), part("s"), content(100 + boot)], 900);
        blame.crashed(at(boot * 50), &crash(boot, vec![faulty, old]));
    }
    assert_eq!(verdict(&blame), Some(part("bad")));
}

#[test]
fn part_that_came_with_the_faulty_one_each_time_is_not_blocked_for_it() {
    let mut blame = Blame::default();
    for boot in 0..4 {
        assert_eq!(verdict(&blame), None, "after {boot} crashes");
        let faulty = run(&[part("all"), part("bad"), content(boot)], 0);
        blame.crashed(at(boot * 50), &crash(boot, vec![faulty]));
    }
    assert_eq!(verdict(&blame), Some(part("bad")));
}

#[test]
fn part_of_a_young_run_is_not_blocked_if_an_older_run_of_the_crash_holds_it() {
    let mut blame = Blame::default();
    for boot in 0..9 {
        let young = run(&[part("s"), content(boot)], 0);
        let old = run(&[part("s"), content(100 + boot)], 400);
        blame.crashed(at(boot * 50), &crash(boot, vec![young, old]));
    }
    assert_eq!(verdict(&blame), None);
}

#[test]
fn call_that_was_sent_again_in_a_storm_of_crashes_is_not_blocked() {
    let mut blame = Blame::default();
    for boot in 0..30 {
        let id = if boot % 10 == 0 { 7 } else { 100 + boot };
        let runs = vec![run(&[part(&format!("s{id}")), content(id)], 0)];
        blame.crashed(at(boot * 100), &crash(boot, runs));
    }
    assert_eq!(verdict(&blame), None, "it was in three of thirty crashes");
}

#[test]
fn sound_parts_after_the_faulty_one_do_not_cover_it() {
    let mut blame = Blame::default();
    blame.survived(at(0), &[part("all"), part("x")]);
    for boot in 0..4 {
        let faulty = run(&[part("all"), part("bad"), part("x"), content(boot)], 0);
        blame.crashed(at(boot * 50), &crash(boot, vec![faulty]));
    }
    assert_eq!(verdict(&blame), Some(part("bad")));
}

#[test]
fn first_part_is_blocked_if_it_is_the_faulty_one() {
    let mut blame = Blame::default();
    for boot in 0..4 {
        let faulty = run(&[part("bad"), part(&format!("s{boot}")), content(boot)], 0);
        blame.crashed(at(boot * 50), &crash(boot, vec![faulty]));
    }
    assert_eq!(verdict(&blame), Some(part("bad")));
}

#[test]
fn part_that_was_in_each_crash_is_cleared_by_a_run_that_goes_on() {
    let mut blame = Blame::default();
    for boot in 0..6 {
        let sound = run(&[part("all"), part("s"), content(7)], 0);
        blame.crashed(at(boot * 50), &crash(boot, vec![sound]));
        blame.survived(at(boot * 50), &[part("all"), part("s"), content(7)]);
        assert_eq!(verdict(&blame), None);
    }
}

#[test]
fn crash_that_two_gateways_have_seen_counts_once() {
    let mut blame = Blame::default();
    for boot in 0..3 {
        for gateway in 0..4 {
            let runs = vec![run(&[part("bad"), content(10 * boot + gateway)], 0)];
            blame.crashed(at(boot), &crash(boot, runs));
        }
    }
    assert_eq!(verdict(&blame), None, "three crashes, each reported by four gateways");
}

#[test]
fn start_that_goes_on_announcing_itself_has_not_crashed() {
    let mut blame = Blame::default();
    for boot in 0..4 {
        let runs = vec![run(&[part("bad"), content(boot)], 0)];
        blame.crashed(at(0), &crash(boot, runs));
    }
    assert_eq!(verdict(&blame), Some(part("bad")));
    blame.announced_before(&start(1), 4);
    let delayed = [(600, 2), (700, 3), (800, 4)];
    for (millis, sequence) in delayed.into_iter().chain([(900, 5), (1_000, 5), (2_100, 6)]) {
        blame.heard(at(millis), &start(1), sequence);
        assert_eq!(verdict(&blame), Some(part("bad")), "some may have been delayed or repeated");
    }
    blame.heard(at(3_300), &start(1), 7);
    assert_eq!(verdict(&blame), None);
}

#[test]
fn part_is_blocked_though_its_first_requests_were_sent_again_and_again() {
    let mut blame = Blame::default();
    let mut blocked = BTreeSet::new();
    for boot in 0..5 {
        // The first three crashes are of one content, which is blocked first.
        let id = if boot < 3 { 0 } else { boot };
        let runs = vec![run(&[part("all"), part("bad"), content(id)], 0)];
        blame.crashed(at(boot * 100), &crash(boot, runs));
        blame.survived(at(boot * 50), &[part("all")]);
        blocked.extend(blame.verdict(at(5_000), &blocked).map(|v| v.cause));
    }
    assert!(blocked.contains(&part("bad")), "{blocked:?}");
    assert!(!blocked.contains(&part("all")));
}

#[test]
fn content_that_was_in_the_crashes_of_another_one_is_taken_for_sound() {
    let mut blame = Blame::default();
    for boot in 0..3 {
        let runs =
            vec![run(&[content(1)], 0), run(&[content(2)], 0), run(&[content(10 + boot)], 0)];
        blame.crashed(at(boot * 50), &crash(boot, runs));
    }
    let first = blame.verdict(at(200), &BTreeSet::new()).map(|v| v.cause);
    let blocked: BTreeSet<Cause> = first.into_iter().collect();
    assert_eq!(blame.verdict(at(200), &blocked), None, "the first one explains all crashes");
    let suspects: Vec<Cause> =
        blame.suspects(at(200), &blocked).into_iter().map(|v| v.cause).collect();
    let other = [content(1), content(2)].into_iter().find(|cause| !blocked.contains(cause));
    assert_eq!(suspects, other.into_iter().collect::<Vec<_>>());
    blame.survived(at(300), &suspects);
    assert!(blame.suspects(at(300), &blocked).is_empty(), "a run of it went on");
}

#[test]
fn content_that_went_on_shortly_before_is_suspected_like_any_other() {
    let suspected = |known: bool, crashes: u64| {
        let mut blame = Blame::default();
        if known {
            blame.survived(at(0), &[content(1)]);
        }
        for boot in 0..crashes {
            blame.crashed(at(100 + boot), &crash(boot, vec![run(&[content(1)], 0)]));
        }
        !blame.suspects(at(200), &BTreeSet::new()).is_empty()
    };
    assert!(!suspected(false, 1) && suspected(false, 2));
    assert!(!suspected(true, 5) && suspected(true, 6));
}

#[test]
fn late_report_of_a_crash_speaks_against_what_has_gone_on_since() {
    let mut blame = Blame::default();
    for boot in 0..3 {
        blame.crashed(at(0), &crash(boot, vec![run(&[content(9)], 0)]));
    }
    blame.survived(at(100), &[content(1)]);
    for boot in 0..3 {
        blame.crashed(at(300), &crash(boot, vec![run(&[content(1), content(2)], 0)]));
    }
    let suspects = blame.suspects(at(300), &BTreeSet::new());
    let suspects: BTreeSet<Cause> = suspects.into_iter().map(|v| v.cause).collect();
    assert_eq!(suspects, BTreeSet::from([content(2), content(9)]));
}

#[test]
fn evidence_is_bounded() {
    let mut blame = Blame::default();
    for boot in 0..2_000 {
        let runs = (0..300).map(|id| run(&[content(boot * 1_000 + id)], 0)).collect();
        blame.crashed(at(boot), &crash(boot, runs));
    }
    assert!(blame.count() <= 256, "{} crashes", blame.count());
    blame.crashed(at(700_000), &crash(3, Vec::new()));
    assert_eq!(blame.count(), 1, "the others have expired");
}

/// A sound or faulty run of the fuzz.
#[derive(Debug, Clone)]
struct Live {
    causes: Vec<Cause>,
    began: u64,
    endpoint: usize,
    gateway: u64,
}

/// A random load on random endpoints, with faulty causes known to the oracle.
struct Fuzz {
    rng: Pcg64Mcg,
    now: u64,
    live: Vec<Live>,
    boots: Vec<u64>,
    up_at: Vec<u64>,
    faulty: BTreeSet<Cause>,
    blame: Blame,
    blocked: BTreeSet<Cause>,
    /// When each faulty cause has crashed endpoints.
    caused: BTreeMap<Cause, Vec<u64>>,
    /// How many runs of each faulty cause began too late.
    late: BTreeMap<Cause, usize>,
    next: u64,
}

impl Fuzz {
    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn begin(&mut self, causes: Vec<Cause>) {
        if causes.iter().any(|c| self.blocked.contains(c)) {
            return;
        }
        let up: Vec<usize> = (0..self.boots.len()).filter(|e| self.up_at[*e] <= self.now).collect();
        if up.is_empty() {
            return;
        }
        let endpoint = up[self.below(up.len() as u64) as usize];
        let gateway = self.below(5);
        for cause in causes.iter().filter(|c| self.faulty.contains(c)) {
            let crashes = match cause {
                Cause::Part(_) => PART_CRASHES,
                Cause::Content(_) => CONTENT_CRASHES,
            };
            let last = self.caused.get(cause).and_then(|all| all.get(crashes - 1));
            if last.is_some_and(|at| self.now > at + SETTLING_MS) {
                *self.late.entry(*cause).or_default() += 1;
            }
        }
        self.live.push(Live { causes, began: self.now, endpoint, gateway });
    }

    /// Ends an endpoint and reports its runs, each gateway its own.
    fn crash(&mut self, endpoint: usize) {
        let (gone, rest): (Vec<Live>, Vec<Live>) =
            std::mem::take(&mut self.live).into_iter().partition(|l| l.endpoint == endpoint);
        self.live = rest;
        self.boots[endpoint] += 100;
        self.up_at[endpoint] = self.now + 2_500;
        for gateway in 0..5 {
            let of = gone.iter().filter(|l| l.gateway == gateway);
            let runs: Vec<BrokenRun> =
                of.map(|l| run(&l.causes, (self.now - l.began).saturating_sub(60))).collect();
            if !runs.is_empty() {
                let crash = crash(self.boots[endpoint], runs);
                self.blame.crashed(at(self.now), &crash);
            }
        }
    }

    fn judge(&mut self) {
        while let Some(verdict) = self.blame.verdict(at(self.now), &self.blocked) {
            self.blocked.insert(verdict.cause);
        }
    }

    fn step(&mut self) {
        self.now += 10;
        let due = |l: &&Live, faulty: &BTreeSet<Cause>, now: u64| {
            now - l.began >= 50 && l.causes.iter().any(|c| faulty.contains(c))
        };
        while let Some(bad) = self.live.iter().find(|l| due(l, &self.faulty, self.now)).cloned() {
            for cause in bad.causes.iter().filter(|c| self.faulty.contains(c)) {
                self.caused.entry(*cause).or_default().push(self.now);
            }
            self.crash(bad.endpoint);
        }
        let now = self.now;
        let survived = self.live.iter().filter(|l| now - l.began == 350);
        let survived: Vec<Cause> = survived.flat_map(|l| l.causes.clone()).collect();
        self.blame.survived(at(now), &survived);
        if now.is_multiple_of(100) {
            self.judge();
        }
        self.live.retain(|l| now - l.began < 3_000);
    }
}

/// Plays one seed and returns what went wrong.
fn fuzz(seed: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let faulty_parts = rng.next_u64() % 3;
    let background = rng.next_u64() % 3;
    let gap = 40 + rng.next_u64() % 400;
    let mut faulty: BTreeSet<Cause> = (0..faulty_parts).map(|n| part(&format!("bad{n}"))).collect();
    let poison = rng.next_u64() % 2 == 0;
    if poison {
        faulty.insert(content(u64::MAX));
    }
    let mut f = Fuzz {
        rng,
        now: 0,
        live: Vec::new(),
        boots: (0..12).collect(),
        up_at: vec![0; 12],
        faulty,
        blame: Blame::default(),
        blocked: BTreeSet::new(),
        caused: BTreeMap::new(),
        late: BTreeMap::new(),
        next: 0,
    };
    for tick in 0..2_000u64 {
        f.step();
        f.next += 1;
        let (id, shared) = (f.next, f.below(200));
        if tick % 6 == 0 {
            f.begin(vec![part("all"), part(&format!("s{shared}")), content(id)]);
        }
        if faulty_parts > 0 && tick % (gap / 10) == 0 {
            let which = f.below(faulty_parts);
            let again = f.below(8);
            let id = if again == 0 { id.saturating_sub(7) } else { id };
            f.begin(vec![part("all"), part(&format!("bad{which}")), content(1_000_000 + id)]);
        }
        if poison && tick % 130 == 0 {
            f.begin(vec![part("all"), part("s3"), content(u64::MAX)]);
        }
        if background > 0 && tick % (300 / background) == 7 {
            let endpoint = f.below(12) as usize;
            if f.up_at[endpoint] <= f.now {
                f.crash(endpoint);
            }
        }
    }
    let mut problems = Vec::new();
    for cause in &f.blocked {
        let holds_faulty = f.faulty.contains(cause) || matches!(cause, Cause::Content(_));
        if !holds_faulty {
            problems.push(format!("seed {seed}: sound {cause} blocked"));
        }
    }
    let sound: Vec<Cause> = (0..=f.next).map(content).collect();
    for cause in f.blocked.iter().filter(|c| sound.contains(c)) {
        problems.push(format!("seed {seed}: sound {cause} blocked"));
    }
    for (cause, count) in f.late.iter().filter(|(_, count)| **count > MAX_LATE) {
        problems.push(format!("seed {seed}: {count} runs with {cause} began too late"));
    }
    problems
}

#[test]
fn fuzz_blocks_the_faulty_in_time_and_no_sound_one() {
    let seeds = std::env::var("DOTTERELPIN_FUZZ_SEEDS").ok().and_then(|n| n.parse().ok());
    let problems: Vec<String> = (0..seeds.unwrap_or(SEEDS)).flat_map(fuzz).collect();
    assert!(problems.is_empty(), "{} problems:\n{}", problems.len(), problems.join("\n"));
}
