use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::unit::{Accelerators, Bytes, Millicores, ParseUnitError};

const EXPECTED: &str = "resources such as cpu=500m,memory=2GiB,accelerators=1";

/// Amounts of CPU, memory and accelerators that a task requests or a host has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: Millicores,
    /// Memory, in bytes.
    pub memory: Bytes,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self::new(Millicores::ZERO, Bytes::ZERO);

    /// Creates amounts of CPU and memory, without accelerators.
    pub const fn new(cpu: Millicores, memory: Bytes) -> Self {
        Self {
            cpu,
            memory,
            accelerators: Accelerators::ZERO,
        }
    }

    /// Returns the same amounts of CPU and memory with `accelerators`.
    pub const fn with_accelerators(self, accelerators: Accelerators) -> Self {
        Self {
            cpu: self.cpu,
            memory: self.memory,
            accelerators,
        }
    }

    /// Returns true if no dimension exceeds that of `other`.
    pub fn fits_in(&self, other: &Self) -> bool {
        self.cpu <= other.cpu
            && self.memory <= other.memory
            && self.accelerators <= other.accelerators
    }

    /// Returns the sum in each dimension, or `None` on overflow.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_add(other.cpu)?,
            memory: self.memory.checked_add(other.memory)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Returns the difference in each dimension, or `None` if any would be negative.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_sub(other.cpu)?,
            memory: self.memory.checked_sub(other.memory)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Returns the sum in each dimension, limited to the maximum.
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference in each dimension, or zero where it would be negative.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns each dimension multiplied by `count`, or `None` on overflow.
    pub fn checked_mul(self, count: u32) -> Option<Self> {
        Some(Self {
            cpu: Millicores::new(self.cpu.get().checked_mul(u64::from(count))?),
            memory: Bytes::new(self.memory.get().checked_mul(u64::from(count))?),
            accelerators: Accelerators::new(self.accelerators.get().checked_mul(count)?),
        })
    }

    /// Returns the larger amount in each dimension.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the dominant share: the largest fraction of `total` over all dimensions, from 0 to 1 if `self` fits in
    /// `total`.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => part as f64 / whole as f64,
        };
        let cpu = share(self.cpu.get(), total.cpu.get());
        let memory = share(self.memory.get(), total.memory.get());
        let accelerators = share(
            self.accelerators.get().into(),
            total.accelerators.get().into(),
        );
        cpu.max(memory).max(accelerators)
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cpu={},memory={},accelerators={}",
            self.cpu, self.memory, self.accelerators
        )
    }
}

impl FromStr for Resources {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseUnitError::new(text, EXPECTED);
        let mut resources = Self::ZERO;
        for part in text.split(',') {
            let (key, value) = part.split_once('=').ok_or_else(invalid)?;
            match key.trim() {
                "cpu" => resources.cpu = value.parse()?,
                "memory" => resources.memory = value.parse()?,
                "accelerators" => resources.accelerators = value.parse()?,
                _ => return Err(invalid()),
            }
        }
        Ok(resources)
    }
}
