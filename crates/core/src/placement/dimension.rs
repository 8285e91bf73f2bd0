use crate::unit::Resources;

/// Dimension in which a task is fitted best.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Dimension {
    Cpu,
    Memory,
}

impl Dimension {
    /// Returns the dimension of which `need` takes the larger share of `totals`.
    pub(super) fn dominant(need: &Resources, total_capacity: &Resources) -> Self {
        let cpu = u128::from(need.cpu.get()) * u128::from(total_capacity.memory.get());
        let memory = u128::from(need.memory.get()) * u128::from(total_capacity.cpu.get());
        if cpu >= memory {
            Self::Cpu
        } else {
            Self::Memory
        }
    }
}
