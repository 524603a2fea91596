//! Simulates placement and overload in virtual time: `cargo bench --bench policy`.
//!
//! `DOTTERELPIN_BENCH=quick` runs one seed. `DOTTERELPIN_BENCH_USER`, `..._LOAD`, `..._FAULT` and
//! `..._VARIANT` select cells by comma-separated names.

mod engine;
mod load;
mod report;
mod world;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use dotterelpin::entry::Entry;
use dotterelpin::entry::place::Variant;
use load::{USERS, User};
use report::{Row, median, svg, table};
use world::{Fault, World};

/// Offered load in percent of a user's capacity without cached prefixes.
const LOADS: [u32; 3] = [80, 100, 130];
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const THREADS: usize = 4;

/// One combination of parameters; gives one row of the table.
#[derive(Clone, Copy)]
struct Cell {
    user: User,
    load: u32,
    fault: Fault,
    variant: Variant,
}

/// Returns whether the environment variable names this value, or is empty or unset.
fn selected(variable: &str, name: &str) -> bool {
    let selected = std::env::var(format!("DOTTERELPIN_BENCH{variable}")).unwrap_or_default();
    selected.is_empty() || selected.split(',').any(|c| c == name)
}

fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for user in USERS.into_iter().filter(|u| selected("_USER", u.name)) {
        for load in LOADS.into_iter().filter(|l| selected("_LOAD", &l.to_string())) {
            for fault in Fault::ALL.into_iter().filter(|f| selected("_FAULT", f.as_str())) {
                for variant in Variant::ALL.into_iter().filter(|v| selected("_VARIANT", v.as_str()))
                {
                    cells.push(Cell { user, load, fault, variant });
                }
            }
        }
    }
    cells
}

fn measure(cell: &Cell, seeds: &[u64]) -> Row {
    let run = |seed: &u64| {
        World::new(cell.user, f64::from(cell.load) / 100.0, cell.fault, *seed, &|who, tenants| {
            Entry::new(who, tenants, cell.variant.placement(*seed))
        })
        .run()
    };
    let runs: Vec<_> = seeds.iter().map(run).collect();
    let (figures, spread) = median(&runs);
    Row {
        user: cell.user.name,
        load: cell.load,
        fault: cell.fault,
        variant: cell.variant.to_string(),
        best: cell.user.best(f64::from(cell.load) / 100.0),
        median: figures,
        spread,
    }
}

fn main() {
    let quick = std::env::var("DOTTERELPIN_BENCH").is_ok_and(|v| v == "quick");
    let seeds = if quick { &SEEDS[..1] } else { &SEEDS[..] };
    let cells = cells();
    for user in USERS {
        println!(
            "{}: {} prefill, {} decode, capacity {:.1} model calls/s, {:.1} with all prefixes cached",
            user.name,
            user.prefill,
            user.decode,
            user.capacity(false),
            user.capacity(true)
        );
    }
    let rows: Mutex<Vec<Option<Row>>> = Mutex::new(cells.iter().map(|_| None).collect());
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((index, cell)) = {
                    let index = next.fetch_add(1, Ordering::SeqCst);
                    cells.get(index).map(|c| (index, c))
                } {
                    let row = measure(cell, seeds);
                    eprintln!("{}", table(std::slice::from_ref(&row)).lines().last().unwrap_or(""));
                    rows.lock().unwrap_or_else(PoisonError::into_inner)[index] = Some(row);
                }
            });
        }
    });
    let rows: Vec<Row> =
        rows.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter().flatten().collect();
    println!("{}", table(&rows));
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/target/policy.svg");
    std::fs::write(path, svg(&rows)).expect("write target/policy.svg");
    println!("plot: target/policy.svg");
}
