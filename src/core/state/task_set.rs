//! A set of task indices, kept as bits, that knows its size.
//!
//! A job has up to tens of thousands of tasks, and rounds ask for the size of a set
//! all the time: so the size is counted along, not computed.

/// A set of task indices below a fixed bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
    count: u32,
}

impl TaskSet {
    /// An empty set of numbers below `len`.
    pub fn new(len: u32) -> Self {
        Self {
            words: vec![0; len.div_ceil(64) as usize],
            len,
            count: 0,
        }
    }

    /// A set of all numbers below `len`.
    pub fn full(len: u32) -> Self {
        let mut set = Self::new(len);
        for (i, w) in set.words.iter_mut().enumerate() {
            let left = len - i as u32 * 64;
            *w = if left >= 64 { u64::MAX } else { (1 << left) - 1 };
        }
        set.count = len;
        set
    }

    /// How many numbers are in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether `i` is in the set.
    pub fn contains(&self, i: u32) -> bool {
        i < self.len && self.words[(i / 64) as usize] >> (i % 64) & 1 == 1
    }

    /// Puts `i` in; true if it was not.
    pub fn insert(&mut self, i: u32) -> bool {
        if i >= self.len || self.contains(i) {
            return false;
        }
        self.words[(i / 64) as usize] |= 1 << (i % 64);
        self.count += 1;
        true
    }

    /// Takes `i` out; true if it was in.
    pub fn remove(&mut self, i: u32) -> bool {
        if !self.contains(i) {
            return false;
        }
        self.words[(i / 64) as usize] &= !(1 << (i % 64));
        self.count -= 1;
        true
    }

    /// The smallest number in the set.
    pub fn first(&self) -> Option<u32> {
        let (i, w) = self.words.iter().enumerate().find(|(_, w)| **w != 0)?;
        Some(i as u32 * 64 + w.trailing_zeros())
    }

    /// The numbers in the set, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(i, w)| {
            let base = i as u32 * 64;
            (0..64).filter(move |b| w >> b & 1 == 1).map(move |b| base + b)
        })
    }
}
