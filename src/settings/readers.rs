//! Deserialization of numbers whose unit is part of the field's name.

use std::time::Duration;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// Largest count that is accepted: far above any sensible setting, and exact in floating
/// point.
const MAX_COUNT: f64 = 1e9;

/// Deserializes a duration that is given in seconds.
pub(super) fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(seconds).map_err(|_| D::Error::custom("not a duration in seconds"))
}

/// Deserializes a whole number of at most [`MAX_COUNT`]; `4000.0` is accepted too.
pub(super) fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if (0.0..=MAX_COUNT).contains(&number) && number.fract() == 0.0 {
        Ok(number as usize)
    } else {
        Err(D::Error::custom("not a whole number"))
    }
}

/// Deserializes a duration that is given in milliseconds.
pub(super) fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let millis = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(millis / 1e3).map_err(|_| D::Error::custom("not a duration in milliseconds"))
}
