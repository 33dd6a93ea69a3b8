//! A set of task numbers, stored durably in blocks.

/// Tasks in one durable block: its hexadecimal form stays far below any `value_kb` accepted.
pub const BLOCK_TASKS: u32 = 2048;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BitSet {
    words: Vec<u64>,
    capacity: u32,
    count: u32,
}

impl BitSet {
    pub fn new(capacity: u32) -> BitSet {
        BitSet { words: vec![0; (capacity as usize).div_ceil(64)], capacity, count: 0 }
    }

    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    pub fn is_full(&self) -> bool {
        self.count == self.capacity
    }

    pub fn contains(&self, at: u32) -> bool {
        at < self.capacity && self.words[at as usize / 64] >> (at % 64) & 1 == 1
    }

    /// True if the bit was not set before.
    pub fn insert(&mut self, at: u32) -> bool {
        if at >= self.capacity || self.contains(at) {
            return false;
        }
        self.words[at as usize / 64] |= 1 << (at % 64);
        self.count += 1;
        true
    }

    pub fn insert_range(&mut self, first: u32, count: u32) {
        for at in first..first.saturating_add(count).min(self.capacity) {
            self.insert(at);
        }
    }

    /// The numbers that are not in the set.
    pub fn iter_missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.capacity).filter(|at| !self.contains(*at))
    }

    pub fn block_of(at: u32) -> u32 {
        at / BLOCK_TASKS
    }

    /// Four tasks a digit, the first task in the lowest bit of the first digit.
    pub fn encode_block(&self, block: u32) -> String {
        let start = block * BLOCK_TASKS;
        let end = self.capacity.min(start.saturating_add(BLOCK_TASKS));
        let digits = end.saturating_sub(start).div_ceil(4);
        let digit =
            |d: u32| (0..4).fold(0, |acc, bit| acc | u32::from(self.contains(start + d * 4 + bit)) << bit);
        (0..digits).filter_map(|d| char::from_digit(digit(d), 16)).collect()
    }

    /// Adds what a durable block holds; anything that does not fit the job is ignored.
    pub fn insert_encoded_block(&mut self, block: u32, hex: &str) {
        for (d, digit) in hex.chars().enumerate() {
            let digit = digit.to_digit(16).unwrap_or(0);
            for bit in 0..4 {
                if digit >> bit & 1 == 1 {
                    self.insert(block.saturating_mul(BLOCK_TASKS).saturating_add(d as u32 * 4 + bit));
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/bit_set.rs"]
mod tests;
