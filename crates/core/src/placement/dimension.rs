use crate::unit::Resources;

/// Dimension by which best fit compares workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Dimension {
    Cpu,
    Memory,
}

impl Dimension {
    /// Returns the dimension of which `need` takes the larger share.
    pub(super) fn dominant(need: &Resources, total: &Resources) -> Self {
        let cpu = u128::from(need.cpu.get()) * u128::from(total.memory.get());
        let memory = u128::from(need.memory.get()) * u128::from(total.cpu.get());
        if cpu >= memory {
            Self::Cpu
        } else {
            Self::Memory
        }
    }
}
