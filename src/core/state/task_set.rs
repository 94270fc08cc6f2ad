//! A set of task indices, kept as a bitmap with a count.
//!
//! A job has up to tens of thousands of tasks, and scheduling rounds read the size of a
//! set very often. So the count is updated with each change instead of computed.

/// A set of task indices below a fixed bound, the number of the job's tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
    count: u32,
}

impl TaskSet {
    /// An empty set for indices below `len`.
    pub fn new(len: u32) -> Self {
        Self {
            words: vec![0; len.div_ceil(64) as usize],
            len,
            count: 0,
        }
    }

    /// The set of all indices below `len`.
    pub fn full(len: u32) -> Self {
        let mut set = Self::new(len);
        for (i, word) in set.words.iter_mut().enumerate() {
            let left = len - i as u32 * 64;
            *word = if left >= 64 { u64::MAX } else { (1 << left) - 1 };
        }
        set.count = len;
        set
    }

    /// Number of indices in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether `index` is in the set.
    pub fn contains(&self, index: u32) -> bool {
        index < self.len && self.words[(index / 64) as usize] >> (index % 64) & 1 == 1
    }

    /// Inserts `index`. Returns false if it is in the set already or out of bounds.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.len || self.contains(index) {
            return false;
        }
        self.words[(index / 64) as usize] |= 1 << (index % 64);
        self.count += 1;
        true
    }

    /// Removes `index`. Returns whether it was in the set.
    pub fn remove(&mut self, index: u32) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.words[(index / 64) as usize] &= !(1 << (index % 64));
        self.count -= 1;
        true
    }

    /// The smallest index in the set.
    pub fn first(&self) -> Option<u32> {
        let (i, word) = self.words.iter().enumerate().find(|(_, word)| **word != 0)?;
        Some(i as u32 * 64 + word.trailing_zeros())
    }

    /// The indices in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(i, word)| {
            let base = i as u32 * 64;
            (0..64)
                .filter(move |bit| word >> bit & 1 == 1)
                .map(move |bit| base + bit)
        })
    }
}
