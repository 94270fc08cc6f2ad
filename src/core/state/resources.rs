//! Amounts of CPUs, accelerators and memory.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use crate::wire::{JobSpec, MachineType};

/// Slack in comparisons of amounts, which are sums of decimal numbers.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;

/// What a task takes of its machine, or a machine has to give.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// What each task of a job takes.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// What an empty machine of a type has.
    pub fn of_type(machine_type: &MachineType) -> Self {
        Self {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether all of it fits into what is there, within [`AMOUNT_TOLERANCE`].
    pub fn fits_into(&self, capacity: &Self) -> bool {
        self.cpus <= capacity.cpus + AMOUNT_TOLERANCE
            && self.gpus <= capacity.gpus + AMOUNT_TOLERANCE
            && self.memory_gb <= capacity.memory_gb + AMOUNT_TOLERANCE
    }

    /// How many times `each` fits into this, within [`AMOUNT_TOLERANCE`]; a fraction,
    /// negative if this is, and [`f64::MAX`] if `each` is nothing.
    pub(in crate::core) fn multiples_of(&self, each: &Self) -> f64 {
        let multiples = |have: f64, need: f64| {
            if need > 0.0 {
                (have + AMOUNT_TOLERANCE) / need
            } else {
                f64::MAX
            }
        };
        multiples(self.cpus, each.cpus)
            .min(multiples(self.gpus, each.gpus))
            .min(multiples(self.memory_gb, each.memory_gb))
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Sum for Resources {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::default(), Self::add)
    }
}

/// What a team's tasks use together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUsage {
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}
