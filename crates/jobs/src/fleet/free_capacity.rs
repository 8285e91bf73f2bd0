use lagoon_core::unit::Resources;

/// Capacity of one executor for new runs during one placement pass.
#[derive(Debug, Clone, Copy)]
pub struct FreeCapacity {
    /// New runs may be placed on the executor.
    pub open: bool,
    /// Resources that are not reserved by runs or by work that was placed earlier in the pass.
    pub free: Resources,
    /// Resources that are free once all runs have ended that end by themselves.
    pub when_idle: Resources,
}

impl FreeCapacity {
    /// Returns how many tasks with the demand `need` fit into the free resources.
    pub fn fits(&self, need: &Resources) -> u32 {
        match self.open {
            true => quotient(&self.free, need),
            false => 0,
        }
    }

    /// Returns how many tasks with the demand `need` fit once all runs have ended that end by themselves.
    pub fn fits_empty(&self, need: &Resources) -> u32 {
        match self.open {
            true => quotient(&self.when_idle, need),
            false => 0,
        }
    }

    /// Reserves resources for the rest of the pass.
    pub fn take(&mut self, need: &Resources) {
        self.free = self.free.saturating_sub(*need);
    }
}

fn quotient(free: &Resources, need: &Resources) -> u32 {
    let times = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let cpu = times(free.cpu.get(), need.cpu.get());
    let memory = times(free.memory.get(), need.memory.get());
    let accelerators = times(
        free.accelerators.get().into(),
        need.accelerators.get().into(),
    );
    u32::try_from(cpu.min(memory).min(accelerators)).unwrap_or(u32::MAX)
}
