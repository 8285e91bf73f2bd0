use std::collections::{HashMap, HashSet};

use lagoon_core::id::WorkId;
use lagoon_core::order::{FairQueue, QueueEntry};
use lagoon_core::unit::{Bytes, Priority, Resources, Timestamp};
use lagoon_core::work::WorkKind;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::util::{cpu, entry, queue, team};

/// Guards against entries that are lost, repeated or started after their deadline, usage above the quota, and counters
/// that drift.
#[test]
fn random_operations_lose_no_entries() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut queue = queue();
        let mut waiting: HashMap<WorkId, QueueEntry> = HashMap::new();
        let mut held: HashSet<WorkId> = HashSet::new();
        let mut running: Vec<QueueEntry> = Vec::new();
        for step in 0..3_000_u64 {
            let now = Timestamp::from_millis(step);
            let known = waiting.keys().min().cloned();
            match rng.random_range(0..12) {
                0..5 => {
                    let kind = WorkKind::ALL[rng.random_range(0..3)];
                    let name = ["heavy", "small", "a", "b"][rng.random_range(0..4)];
                    let priority = Priority::try_from(rng.random_range(0..=100)).unwrap();
                    let mut added = entry(step, kind, name, priority);
                    added.need = cpu(rng.random_range(0..10));
                    added.enqueued = now;
                    added.deadline = rng
                        .random_bool(0.5)
                        .then(|| Timestamp::from_millis(step + 200));
                    waiting.insert(added.work.clone(), added.clone());
                    assert!(queue.push(added));
                }
                5..8 => {
                    if let Some(taken) = queue.next(now) {
                        assert!(!taken.is_expired(now), "seed {seed}");
                        assert!(!held.contains(&taken.work), "seed {seed}");
                        assert_eq!(waiting.get(&taken.work), Some(&taken), "seed {seed}");
                        if rng.random_bool(0.4) {
                            assert!(queue.defer(taken));
                        } else {
                            waiting.remove(&taken.work);
                            queue.charge(taken.kind, &taken.team, taken.need);
                            running.push(taken);
                        }
                    }
                }
                8 => {
                    if let Some(known) = known {
                        assert_eq!(queue.remove(&known), waiting.remove(&known), "seed {seed}");
                        held.remove(&known);
                    }
                }
                9 => {
                    if let Some(known) = known {
                        assert_eq!(queue.release(&known), held.remove(&known), "seed {seed}");
                        if rng.random_bool(0.5) {
                            assert!(queue.hold(&known));
                            held.insert(known);
                        }
                    }
                }
                10 => {
                    queue.retry(3);
                    for id in queue.take_expired(now) {
                        let entry = waiting.remove(&id).expect("reported once");
                        held.remove(&id);
                        assert!(entry.is_expired(now), "seed {seed}");
                    }
                    assert!(
                        waiting.values().all(|entry| !entry.is_expired(now)),
                        "seed {seed}"
                    );
                }
                _ if !running.is_empty() => {
                    let ended = running.swap_remove(rng.random_range(0..running.len()));
                    queue.uncharge(ended.kind, &ended.team, ended.need);
                }
                _ => {}
            }
            check_totals(&queue, &waiting, &running, seed);
        }
        drain(&mut queue, waiting, held, running, seed);
    }
}

fn check_totals(
    queue: &FairQueue,
    waiting: &HashMap<WorkId, QueueEntry>,
    running: &[QueueEntry],
    seed: u64,
) {
    assert_eq!(queue.len(), waiting.len(), "seed {seed}");
    let small = running.iter().filter(|entry| entry.team == team("small"));
    let used = small.fold(Resources::ZERO, |sum, entry| sum.saturating_add(entry.need));
    assert_eq!(queue.team_in_use(&team("small")), used, "seed {seed}");
    assert!(used.fits_in(&cpu(10)), "seed {seed}");
    for kind in WorkKind::ALL {
        let entries = waiting.values().filter(|entry| entry.kind == *kind);
        let bytes = entries.map(|entry| entry.bytes.get()).sum();
        assert_eq!(queue.bytes_of(*kind), Bytes::new(bytes), "seed {seed}");
    }
}

/// Ends all running work and takes the remaining entries one at a time. Every entry must be returned.
fn drain(
    queue: &mut FairQueue,
    mut waiting: HashMap<WorkId, QueueEntry>,
    held: HashSet<WorkId>,
    running: Vec<QueueEntry>,
    seed: u64,
) {
    for entry in running {
        queue.uncharge(entry.kind, &entry.team, entry.need);
    }
    for id in &held {
        assert!(queue.release(id), "seed {seed}");
    }
    queue.retry(usize::MAX);
    while let Some(taken) = queue.next(Timestamp::default()) {
        assert!(waiting.remove(&taken.work).is_some(), "seed {seed}");
    }
    assert!(waiting.is_empty() && queue.is_empty(), "seed {seed}");
}
