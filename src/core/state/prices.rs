//! Hourly prices of machines, in the cloud's currency.

use crate::wire::MachineType;

/// Hourly price of a machine: the current spot price if it is a spot machine.
pub(in crate::core) fn hourly_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// Hourly price per CPU; a machine with less than one CPU counts as having one.
pub(in crate::core) fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    hourly_price(machine_type, spot) / machine_type.cpus.max(1.0)
}
