//! Random operations, compared with a scan of the fleet.

use std::collections::HashMap;

use lagoon_core::id::WorkerId;
use lagoon_core::placement::{ClosedReason, Fleet, WorkerSlot};
use lagoon_core::unit::Resources;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::util::{add, anywhere, id, over_racks, res};

/// Returns true if a scan finds an open worker on which `need` fits.
fn any_fits(fleet: &Fleet, need: &Resources) -> bool {
    let open = |worker: &&WorkerSlot| {
        worker.closed().is_empty() && worker.allocated().fits_in(&worker.capacity())
    };
    let mut workers = fleet.iter().filter(open);
    workers.any(|worker| need.fits_in(&fleet.free(worker.id()).unwrap()))
}

fn random_need(rng: &mut SmallRng) -> Resources {
    let accelerators = if rng.random_bool(0.2) {
        rng.random_range(1..4)
    } else {
        0
    };
    res(
        rng.random_range(0..40),
        rng.random_range(0..40),
        accelerators,
    )
}

/// Guards against an index that misses a fitting worker, allocations above capacity, and totals that drift.
#[test]
fn random_operations_match_a_scan() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let mut running: Vec<(WorkerId, Resources)> = Vec::new();
        for _ in 0..2_000 {
            let worker = rng.random_range(0..40);
            let need = random_need(&mut rng);
            match rng.random_range(0..12) {
                0 => {
                    let capacity = res(rng.random_range(50..100), rng.random_range(50..100), 4);
                    add(&mut fleet, worker, worker / 4, capacity);
                }
                1 => {
                    fleet.remove_worker(&id(worker));
                    running.retain(|(at, _)| *at != id(worker));
                }
                2 => drop(fleet.close(&id(worker), ClosedReason::Rested)),
                3 => drop(fleet.open(&id(worker), ClosedReason::Rested)),
                4 => drop(fleet.observe_usage(&id(worker), need)),
                5 => {
                    let task_count = rng.random_range(1..6);
                    let before = fleet.in_use();
                    let policy = [anywhere(), over_racks()].choose(&mut rng).unwrap().clone();
                    match fleet.place_gang(task_count, &need, &policy) {
                        Some(placed) => running.extend(placed.into_iter().map(|at| (at, need))),
                        None => assert_eq!(fleet.in_use(), before, "seed {seed}"),
                    }
                }
                6..9 => {
                    let expected = any_fits(&fleet, &need);
                    let placed = fleet.place(&need, &anywhere());
                    assert_eq!(placed.is_some(), expected, "seed {seed}");
                    if let Some(worker) = placed.as_ref().and_then(|at| fleet.get(at)) {
                        assert!(worker.closed().is_empty(), "seed {seed}");
                        assert!(
                            worker.allocated().fits_in(&worker.capacity()),
                            "seed {seed}"
                        );
                    }
                    running.extend(placed.map(|at| (at, need)));
                }
                _ if !running.is_empty() => {
                    let index = rng.random_range(0..running.len());
                    let (at, size) = running.swap_remove(index);
                    assert!(fleet.release(&at, size), "seed {seed}");
                }
                _ => {}
            }
            check_allocations(&fleet, &running, seed);
        }
    }
}

fn check_allocations(fleet: &Fleet, running: &[(WorkerId, Resources)], seed: u64) {
    let mut allocations: HashMap<&WorkerId, Resources> = HashMap::new();
    for (at, size) in running {
        let allocation = allocations.entry(at).or_default();
        *allocation = allocation.checked_add(*size).unwrap();
    }
    let (mut totals, mut in_use) = (Resources::ZERO, Resources::ZERO);
    for worker in fleet.iter() {
        let allocated = allocations.get(worker.id()).copied().unwrap_or_default();
        assert_eq!(worker.allocated(), allocated, "seed {seed}");
        totals = totals.saturating_add(worker.capacity());
        in_use = in_use.saturating_add(allocated);
    }
    assert_eq!(
        (fleet.total_capacity(), fleet.in_use()),
        (totals, in_use),
        "seed {seed}"
    );
}
