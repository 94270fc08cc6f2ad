//! Amounts of CPUs, accelerators and memory.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use crate::wire::{JobSpec, MachineType};

/// Tolerance in comparisons of amounts: sums of decimal numbers are inexact in binary
/// floating point.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;

/// Resources that a task takes or that a machine has.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Number of CPUs; may be a fraction.
    pub cpus: f64,
    /// Number of accelerators; may be a fraction.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// The resources that each task of a job takes.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// The resources of an empty machine of a type.
    pub fn of_type(machine_type: &MachineType) -> Self {
        Self {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether every amount is at most that of `capacity`, within [`AMOUNT_TOLERANCE`].
    pub fn fits_into(&self, capacity: &Self) -> bool {
        self.cpus <= capacity.cpus + AMOUNT_TOLERANCE
            && self.gpus <= capacity.gpus + AMOUNT_TOLERANCE
            && self.memory_gb <= capacity.memory_gb + AMOUNT_TOLERANCE
    }

    /// How many times `each` fits into these resources, within [`AMOUNT_TOLERANCE`]. The
    /// result is not rounded; it is negative if an amount that `each` needs is negative
    /// here, and [`f64::MAX`] if `each` needs nothing.
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

/// Resources that all tasks of a team use together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUsage {
    /// CPUs, summed over the tasks.
    pub cpus: f64,
    /// Accelerators, summed over the tasks.
    pub gpus: f64,
}
