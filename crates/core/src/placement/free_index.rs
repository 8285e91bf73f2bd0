use std::collections::BTreeMap;

use crate::placement::dimension::Dimension;
use crate::placement::search_forest::{EMPTY, SearchForest};
use crate::unit::{Accelerators, Resources};

/// Index of the open workers by their free resources.
#[derive(Debug, Default)]
pub(super) struct FreeIndex {
    by_cpu: SearchForest,
    by_memory: SearchForest,
    groups: BTreeMap<Accelerators, Roots>,
}

#[derive(Debug)]
struct Roots {
    cpu: u32,
    memory: u32,
}

impl FreeIndex {
    /// Adds `slot` with `free` resources.
    pub(super) fn insert(&mut self, slot: u32, free: &Resources) {
        let (cpu, memory) = (free.cpu.get(), free.memory.get());
        let empty = Roots {
            cpu: EMPTY,
            memory: EMPTY,
        };
        let roots = self.groups.entry(free.accelerators).or_insert(empty);
        roots.cpu = self.by_cpu.insert(roots.cpu, slot, cpu, memory);
        roots.memory = self.by_memory.insert(roots.memory, slot, memory, cpu);
    }

    /// Removes `slot`, which was added with `free` resources.
    pub(super) fn remove(&mut self, slot: u32, free: &Resources) {
        let Some(roots) = self.groups.get_mut(&free.accelerators) else {
            return;
        };
        roots.cpu = self.by_cpu.remove(roots.cpu, slot);
        roots.memory = self.by_memory.remove(roots.memory, slot);
        if roots.cpu == EMPTY {
            self.groups.remove(&free.accelerators);
        }
    }

    /// Returns the best fit for `need`: fewest free accelerators, then least free in `dimension`.
    ///
    /// Returns `None` only if no worker fits. Takes logarithmic time for each distinct number of free accelerators.
    pub(super) fn find(&self, need: &Resources, dimension: Dimension) -> Option<u32> {
        let (cpu, memory) = (need.cpu.get(), need.memory.get());
        let mut groups = self.groups.range(need.accelerators..);
        groups.find_map(|(_, roots)| match dimension {
            Dimension::Cpu => self.by_cpu.find(roots.cpu, cpu, memory),
            Dimension::Memory => self.by_memory.find(roots.memory, memory, cpu),
        })
    }
}
