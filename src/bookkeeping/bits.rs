//! A set of task numbers, stored durably in blocks.

/// Tasks in one durable block: its hexadecimal form stays far below any `value_kb` accepted.
pub const BLOCK: u32 = 2048;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bits {
    words: Vec<u64>,
    len: u32,
    count: u32,
}

impl Bits {
    pub fn new(len: u32) -> Bits {
        Bits { words: vec![0; (len as usize).div_ceil(64)], len, count: 0 }
    }

    pub fn len(&self) -> u32 {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    pub fn full(&self) -> bool {
        self.count == self.len
    }

    pub fn has(&self, at: u32) -> bool {
        at < self.len && self.words[at as usize / 64] >> (at % 64) & 1 == 1
    }

    /// True if the bit was not set before.
    pub fn set(&mut self, at: u32) -> bool {
        if at >= self.len || self.has(at) {
            return false;
        }
        self.words[at as usize / 64] |= 1 << (at % 64);
        self.count += 1;
        true
    }

    pub fn add_row(&mut self, first: u32, count: u32) {
        for at in first..first.saturating_add(count).min(self.len) {
            self.set(at);
        }
    }

    /// The numbers that are not in the set.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.len).filter(|at| !self.has(*at))
    }

    pub fn block_of(at: u32) -> u32 {
        at / BLOCK
    }

    /// Four tasks a digit, the first task in the lowest bit of the first digit.
    pub fn block_hex(&self, block: u32) -> String {
        let start = block * BLOCK;
        let end = self.len.min(start.saturating_add(BLOCK));
        let digits = end.saturating_sub(start).div_ceil(4);
        let digit = |d: u32| (0..4).fold(0, |acc, bit| acc | u32::from(self.has(start + d * 4 + bit)) << bit);
        (0..digits).filter_map(|d| char::from_digit(digit(d), 16)).collect()
    }

    /// Adds what a durable block holds; anything that does not fit the job is ignored.
    pub fn add_hex(&mut self, block: u32, hex: &str) {
        for (d, digit) in hex.chars().enumerate() {
            let digit = digit.to_digit(16).unwrap_or(0);
            for bit in 0..4 {
                if digit >> bit & 1 == 1 {
                    self.set(block.saturating_mul(BLOCK).saturating_add(d as u32 * 4 + bit));
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/bits.rs"]
mod tests;
