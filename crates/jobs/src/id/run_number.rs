use lagoon_core::counter_type;
use lagoon_core::id::Epoch;

counter_type!(
    /// Number of a run of a task. It increases with each start; the tasks of a gang share it.
    RunNumber,
    u64,
    "run number"
);

impl RunNumber {
    /// Starts of one task that an owner can make before its numbers overlap with those of the next owner.
    const PER_EPOCH: u64 = 100_000;

    /// Returns the number before the first run of the owner at `epoch`.
    ///
    /// A new owner doesn't know every start of earlier owners, so each owner has a range of its own.
    pub fn before_first(epoch: Epoch) -> Self {
        Self::new(epoch.get().saturating_sub(1) * Self::PER_EPOCH)
    }
}
