//! Readers of numbers whose unit stands in the field's name.

use std::time::Duration;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// The largest count that is taken: far above what any setting means, and exact in
/// floating point.
const MAX_COUNT: f64 = 1e9;

/// A duration in seconds.
pub(super) fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(seconds).map_err(|_| D::Error::custom("not a duration in seconds"))
}

/// A whole number of at most [`MAX_COUNT`], even if it is written as `4000.0`.
pub(super) fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if (0.0..=MAX_COUNT).contains(&number) && number.fract() == 0.0 {
        Ok(number as usize)
    } else {
        Err(D::Error::custom("not a whole number"))
    }
}

/// A duration in milliseconds.
pub(super) fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let millis = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(millis / 1e3).map_err(|_| D::Error::custom("not a duration in milliseconds"))
}
