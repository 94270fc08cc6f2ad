//! Options of a soak that is run by hand, from environment variables.

use std::ops::RangeInclusive;

use crate::faults::{Fault, FAULTS};

/// Which seeds to run, for how long each, with how many workers and which faults.
#[derive(Debug, PartialEq)]
pub struct Options {
    pub seeds: RangeInclusive<u64>,
    /// Time under faults, per seed.
    pub seconds: u64,
    pub workers: usize,
    pub faults: Vec<Fault>,
}

impl Options {
    /// Parses the variables, with a default for each that is unset; an error names the
    /// variable that is invalid.
    pub fn from_variables(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let number = |name: &str, default: u64, range: RangeInclusive<u64>| {
            let Some(text) = variable(name) else {
                return Ok(default);
            };
            let number: u64 = text
                .parse()
                .map_err(|_| format!("{name}: `{text}` is no number"))?;
            if !range.contains(&number) {
                return Err(format!("{name}: {number} is not within {range:?}"));
            }
            Ok(number)
        };
        let seeds = variable("SOAK_SEEDS").unwrap_or_else(|| "1-5".to_owned());
        let malformed = || format!("SOAK_SEEDS: `{seeds}` is not like `1-50`");
        let (first, last) = seeds.split_once('-').ok_or_else(malformed)?;
        let first: u64 = first.parse().map_err(|_| malformed())?;
        let last: u64 = last.parse().map_err(|_| malformed())?;
        if first > last {
            return Err(malformed());
        }
        let faults = match variable("SOAK_FAULTS") {
            None => FAULTS.iter().map(|(_, fault)| *fault).collect(),
            Some(names) => names
                .split(',')
                .map(|name| name.trim().parse())
                .collect::<Result<Vec<Fault>, String>>()
                .map_err(|e| format!("SOAK_FAULTS: {e}"))?,
        };
        Ok(Self {
            seeds: first..=last,
            seconds: number("SOAK_SECONDS", 30, 5..=3600)?,
            workers: number("SOAK_WORKERS", 20, 1..=400)? as usize,
            faults,
        })
    }
}
