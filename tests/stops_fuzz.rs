//! Random calls against a random stop of a gateway, in simulated time: every call that was read has
//! one true end before the gateway stops, and none begins that can't end.

mod gateway_fixture;
mod stops_world;

use stops_world::World;

/// The number of seeds without `DOTTERELPIN_FUZZ_SEEDS`.
const SEEDS: u64 = 300;
/// How many threads play seeds.
const THREADS: u64 = 4;

fn play_each_fourth(first: u64, seeds: u64) -> Vec<String> {
    let own = (first..seeds).step_by(THREADS as usize);
    own.flat_map(|seed| World::new(seed).play()).collect()
}

#[test]
fn every_call_has_one_true_end_before_the_gateway_stops() {
    let seeds = std::env::var("DOTTERELPIN_FUZZ_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = seeds.unwrap_or(SEEDS);
    let problems: Vec<String> = std::thread::scope(|scope| {
        let play = |first| scope.spawn(move || play_each_fourth(first, seeds));
        let threads: Vec<_> = (0..THREADS).map(play).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    });
    assert!(problems.is_empty(), "{} problems:\n{}", problems.len(), problems.join("\n"));
}
