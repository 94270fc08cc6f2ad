//! Prices of machines, in the cloud's currency for each hour.

use crate::wire::MachineType;

/// Price of a machine, by the spot price of the moment if it is a spot machine.
pub(in crate::core) fn hourly_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// Price of a machine for each of its CPUs; one of less than one CPU counts as one.
pub(in crate::core) fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    hourly_price(machine_type, spot) / machine_type.cpus.max(1.0)
}
