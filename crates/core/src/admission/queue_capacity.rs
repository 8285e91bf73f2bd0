use crate::admission::QueueLoad;
use crate::policy::Policy;
use crate::work::WorkKind;

/// Limit of the queue that one more item of a kind would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueLimit {
    Items,
    Bytes,
}

/// Checks that the queue can take an item of `bytes`, in the guaranteed share of its kind or in the shared part.
pub(super) fn check_queue_capacity(
    policy: &Policy,
    load: &QueueLoad,
    kind: WorkKind,
    bytes: u64,
) -> Result<(), QueueLimit> {
    let items = |kind| load.items(kind);
    if !fits(policy, policy.queue.items, items, kind, 1) {
        return Err(QueueLimit::Items);
    }
    let size = |kind| load.bytes(kind).get();
    if !fits(policy, policy.queue.bytes.get(), size, kind, bytes) {
        return Err(QueueLimit::Bytes);
    }
    Ok(())
}

fn fits(
    policy: &Policy,
    limit: u64,
    used: impl Fn(WorkKind) -> u64,
    kind: WorkKind,
    added: u64,
) -> bool {
    let guaranteed = |kind| policy.kinds.get(kind).guaranteed_percent.of(limit);
    let mut shared = limit;
    let mut shared_used = 0_u64;
    for each in WorkKind::ALL {
        let added = if *each == kind { added } else { 0 };
        let after = used(*each).saturating_add(added);
        shared = shared.saturating_sub(guaranteed(*each));
        shared_used = shared_used.saturating_add(after.saturating_sub(guaranteed(*each)));
    }
    let within_guarantee = used(kind).saturating_add(added) <= guaranteed(kind);
    within_guarantee || shared_used <= shared
}
