use crate::admission::QueueLoad;
use crate::policy::Policy;
use crate::work::WorkKind;

/// What keeps a queue from taking one more item of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Full {
    Items,
    Bytes,
}

/// Checks that the queue can take an item of `bytes`, in the part guaranteed to its kind or in the open part.
pub(super) fn check_room(
    policy: &Policy,
    load: &QueueLoad,
    kind: WorkKind,
    bytes: u64,
) -> Result<(), Full> {
    let items = |kind| load.items(kind);
    if !fits(policy, policy.queue.items, items, kind, 1) {
        return Err(Full::Items);
    }
    let size = |kind| load.bytes(kind).get();
    if !fits(policy, policy.queue.bytes.get(), size, kind, bytes) {
        return Err(Full::Bytes);
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
    let mut open = limit;
    let mut taken = 0_u64;
    for each in WorkKind::ALL {
        let added = if *each == kind { added } else { 0 };
        let after = used(*each).saturating_add(added);
        open = open.saturating_sub(guaranteed(*each));
        taken = taken.saturating_add(after.saturating_sub(guaranteed(*each)));
    }
    let own_part = used(kind).saturating_add(added) <= guaranteed(kind);
    own_part || taken <= open
}
