use lagoon_core::unit::Resources;

/// What one executor can still take during one pass of placement.
#[derive(Debug, Clone, Copy)]
pub struct FreeCapacity {
    /// It may get new runs.
    pub open: bool,
    /// Not reserved by runs or claimed by work that comes earlier.
    pub free: Resources,
    /// Capacity, whether reserved or not.
    pub capacity: Resources,
}

impl FreeCapacity {
    /// Returns how many tasks that need `need` fit into the free part.
    pub fn fits(&self, need: &Resources) -> u32 {
        match self.open {
            true => quotient(&self.free, need),
            false => 0,
        }
    }

    /// Returns how many tasks that need `need` fit if nothing else runs.
    pub fn fits_empty(&self, need: &Resources) -> u32 {
        match self.open {
            true => quotient(&self.capacity, need),
            false => 0,
        }
    }

    /// Takes resources for placed or claimed work.
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
