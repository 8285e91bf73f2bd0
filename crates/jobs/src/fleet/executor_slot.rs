use lagoon_core::counter_type;

counter_type!(
    /// Index of an executor in the fleet of one owner. Slots are never reused.
    ExecutorSlot,
    u32,
    "executor slot"
);

impl ExecutorSlot {
    /// Returns the slot as an index into per-executor lists.
    pub const fn index(self) -> usize {
        self.get() as usize
    }
}
