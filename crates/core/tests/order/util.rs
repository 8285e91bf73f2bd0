use lagoon_core::id::{TeamId, WorkId};
use lagoon_core::order::{FairQueue, QueueEntry};
use lagoon_core::policy::{Policy, TeamPolicy, Weight};
use lagoon_core::unit::{Bytes, Millicores, Priority, Resources, Timestamp};
use lagoon_core::work::WorkKind;

pub(crate) const START: Timestamp = Timestamp::from_millis(1_000);

pub(crate) fn cpu(amount: u64) -> Resources {
    Resources::new(Millicores::new(amount), Bytes::ZERO)
}

pub(crate) fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}

pub(crate) fn work(number: u64) -> WorkId {
    format!("w:cluj:0:1:{number}").parse().unwrap()
}

pub(crate) fn at(millis: u64) -> Option<Timestamp> {
    Some(Timestamp::from_millis(millis))
}

pub(crate) fn limits(weight: u32, quota: u64) -> TeamPolicy {
    TeamPolicy {
        weight: Weight::new(weight),
        quota: cpu(quota),
        queue_limit: 1_000,
    }
}

/// Returns a queue with a capacity of 100; team `heavy` has three times the weight, and `small` a quota of 10.
pub(crate) fn queue() -> FairQueue {
    let mut policy = Policy {
        default_team: Some(limits(1, 1_000)),
        ..Policy::default()
    };
    policy.teams.insert(team("heavy"), limits(3, 1_000));
    policy.teams.insert(team("small"), limits(1, 10));
    let mut queue = FairQueue::new(policy);
    queue.set_total_capacity(cpu(100));
    queue
}

pub(crate) fn entry(number: u64, kind: WorkKind, name: &str, priority: Priority) -> QueueEntry {
    QueueEntry {
        work: work(number),
        kind,
        team: team(name),
        priority,
        deadline: None,
        need: cpu(1),
        bytes: Bytes::new(10),
        enqueued: START,
    }
}

pub(crate) fn batch(number: u64, name: &str) -> QueueEntry {
    entry(number, WorkKind::Batch, name, Priority::NORMAL)
}

/// Starts up to `count` entries, until none may start.
pub(crate) fn start(queue: &mut FairQueue, count: usize) -> Vec<QueueEntry> {
    let mut started = Vec::new();
    while started.len() < count
        && let Some(entry) = queue.next(START)
    {
        queue.charge(entry.kind, &entry.team, entry.need);
        started.push(entry);
    }
    started
}

pub(crate) fn count(started: &[QueueEntry], of: impl Fn(&QueueEntry) -> bool) -> usize {
    started.iter().filter(|entry| of(entry)).count()
}
