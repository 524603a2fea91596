//! The bound on the use of an account, over all windows of time.

use super::Use;

/// Returns by how many tokens the use exceeds `rate` x W + `burst` in the worst window of W seconds
/// that begins at `from` microseconds or later; 0 if it never does.
pub fn excess(used: &[Use], from: u64, rate: u64, burst: u64) -> u64 {
    let (mut level, mut last, mut worst) = (0.0_f64, from, 0.0_f64);
    for one in used.iter().filter(|one| one.at >= from) {
        let passed = one.at.saturating_sub(last) as f64 / 1e6;
        level = (level - passed * rate as f64).max(0.0) + one.tokens as f64;
        last = one.at;
        worst = worst.max(level - burst as f64);
    }
    worst.ceil() as u64
}
