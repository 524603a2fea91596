//! The steps of a simulation, and how a seed makes a schedule of them.

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::followers::Fate;
use crate::simulated::below;

/// The size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// The number of machines with a disk.
    pub machines: usize,
    /// How many of them may be lost at once.
    pub losses: usize,
}

/// The deployments that are simulated, one seed after the other.
pub const SHAPES: [Shape; 4] = [
    Shape { machines: 3, losses: 1 },
    Shape { machines: 5, losses: 2 },
    Shape { machines: 7, losses: 3 },
    Shape { machines: 5, losses: 1 },
];

/// The machine that a step is about, among those that are not lost at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Victim {
    /// The one whose control member leads.
    Leader,
    /// The one that was added first.
    Oldest,
    /// The one with this number, modulo their count.
    Any(usize),
    /// One that is still lost, if there is one.
    Lost(usize),
}

/// One step; durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A new machine starts, and the old one gets SIGTERM later.
    Planned { victim: Victim, overlap: u64, reuse: bool },
    /// A machine is lost for good, and a new one starts later.
    Unplanned { victim: Victim, down: u64, reuse: bool },
    /// A machine is killed, and returns with an empty disk.
    Wipe { victim: Victim, down: u64 },
    /// A machine gets SIGTERM, and returns with its disk after it has stopped.
    Restart { victim: Victim, down: u64 },
    /// A machine is killed, and returns with its disk.
    Kill { victim: Victim, down: u64 },
    /// A machine is cut off from all others.
    Cut { victim: Victim, millis: u64 },
    /// A machine is frozen.
    Pause { victim: Victim, millis: u64 },
    /// All machines lose power and return with their disks.
    PowerLoss { down: u64 },
    /// All machines lose power, and as many disks as may be lost are lost.
    PowerAndDisks { down: u64 },
    /// The machines are split into halves, which all processes reach.
    Split { millis: u64 },
    /// The connection from one machine to another loses all packets, until it is dialled again.
    Mute { from: usize, to: usize },
    /// One more process starts to follow control.
    Follow,
    /// An operator proposes a change of so many kilobytes.
    Large { kilobytes: usize },
    /// Something happens to the outsider with this number.
    Outsider(usize, Fate),
    /// Waits until no machine is lost, then checks the group.
    Quiet,
}

/// A simulation: its steps, each with the milliseconds that pass before it.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub shape: Shape,
    pub seed: u64,
    pub steps: Vec<(u64, Step)>,
}

impl Schedule {
    /// Makes the schedule of a seed.
    pub fn new(seed: u64) -> Schedule {
        let shape = SHAPES[(seed % SHAPES.len() as u64) as usize];
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut steps = Vec::new();
        let spells = 2 + below(&mut rng, 2);
        for spell in 0..spells {
            // In some spells, all steps are of one kind, and the victims are chosen in one way.
            let kind = (below(&mut rng, 3) == 0).then(|| below(&mut rng, KINDS));
            let victim = (below(&mut rng, 3) == 0).then(|| choose_victim(&mut rng));
            for _ in 0..3 + below(&mut rng, 4) {
                let kind = kind.unwrap_or_else(|| below(&mut rng, KINDS));
                let victim = victim.unwrap_or_else(|| choose_victim(&mut rng));
                let step = choose_step(&mut rng, kind, victim);
                steps.push((choose_gap(&mut rng), step));
            }
            if spell + 1 == spells && below(&mut rng, 3) == 0 {
                steps.push((0, Step::Quiet));
                let down = 200 + below(&mut rng, 1_300) as u64;
                steps.push((below(&mut rng, 50) as u64, Step::PowerAndDisks { down }));
            }
            steps.push((0, Step::Quiet));
        }
        Schedule { shape, seed, steps }
    }
}

/// The number of kinds that [`choose_step`] knows.
const KINDS: usize = 25;

fn choose_gap(rng: &mut Pcg64Mcg) -> u64 {
    let max = [1, 100, 600, 3_000][below(rng, 4)];
    below(rng, max) as u64
}

fn choose_victim(rng: &mut Pcg64Mcg) -> Victim {
    match below(rng, 10) {
        0..3 => Victim::Leader,
        3..5 => Victim::Oldest,
        5 => Victim::Lost(below(rng, 8)),
        _ => Victim::Any(below(rng, 840)),
    }
}

fn choose_step(rng: &mut Pcg64Mcg, kind: usize, victim: Victim) -> Step {
    let down = 200 + below(rng, 800) as u64;
    let millis = 300 + below(rng, 4_000) as u64;
    let reuse = below(rng, 4) == 0;
    match kind {
        0..5 => Step::Planned { victim, overlap: 800 + below(rng, 400) as u64, reuse },
        5..9 => Step::Unplanned { victim, down, reuse },
        9..13 => Step::Wipe { victim, down },
        13..15 => Step::Restart { victim, down },
        15..17 => Step::Kill { victim, down },
        17..19 => Step::Cut { victim, millis },
        19 => Step::Pause { victim, millis },
        20 => Step::PowerLoss { down },
        21 => Step::Split { millis },
        22 => Step::Mute { from: below(rng, 840), to: below(rng, 840) },
        23 => Step::Follow,
        _ => Step::Large { kilobytes: 100 + below(rng, 500) },
    }
}
