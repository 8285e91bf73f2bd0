use lagoon_core::counter_type;

counter_type!(
    /// Place of an executor in the fleet of one owner; never used twice.
    ExecutorSlot,
    u32,
    "executor slot"
);

impl ExecutorSlot {
    /// Returns the place as an index.
    pub const fn index(self) -> usize {
        self.get() as usize
    }
}
