//! A fixed-size set of task numbers, stored durably in blocks.

/// Number of tasks in one durable block. Its hexadecimal form (512 bytes) is far below the smallest limit on the size
/// of a stored value that the settings accept.
const BLOCK_TASKS: u32 = 2048;
const WORD_BITS: u32 = u64::BITS;
/// Number of tasks in one hexadecimal digit of a block.
const DIGIT_TASKS: u32 = 4;

/// A set of numbers, all of them smaller than its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BitSet {
    words: Vec<u64>,
    capacity: u32,
    count: u32,
}

impl BitSet {
    /// Returns an empty set.
    pub fn new(capacity: u32) -> BitSet {
        BitSet { words: vec![0; capacity.div_ceil(WORD_BITS) as usize], capacity, count: 0 }
    }

    /// Returns the capacity: all numbers in the set are smaller.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns true if the set holds no number.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns how many numbers are in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns true if every number below the capacity is in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.capacity
    }

    /// Returns true if the number is in the set; false for numbers beyond the capacity.
    pub fn contains(&self, number: u32) -> bool {
        number < self.capacity && self.words[(number / WORD_BITS) as usize] >> (number % WORD_BITS) & 1 == 1
    }

    /// Adds a number and returns true if it was not in the set before. Numbers beyond the capacity are ignored.
    pub fn insert(&mut self, number: u32) -> bool {
        if number >= self.capacity || self.contains(number) {
            return false;
        }
        self.words[(number / WORD_BITS) as usize] |= 1 << (number % WORD_BITS);
        self.count += 1;
        true
    }

    /// Adds `count` consecutive numbers that begin with `first`; those beyond the capacity are ignored.
    pub fn insert_range(&mut self, first: u32, count: u32) {
        for number in first..first.saturating_add(count).min(self.capacity) {
            self.insert(number);
        }
    }

    /// Returns the numbers below the capacity that are not in the set.
    pub fn iter_missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.capacity).filter(|number| !self.contains(*number))
    }

    /// Returns the durable block that contains a number.
    pub fn block_of(number: u32) -> u32 {
        number / BLOCK_TASKS
    }

    /// Encodes a block in hexadecimal: each digit holds four numbers, and the lowest bit of the first digit stands for
    /// the first number of the block.
    pub fn encode_block(&self, block: u32) -> String {
        let start = block * BLOCK_TASKS;
        let end = self.capacity.min(start.saturating_add(BLOCK_TASKS));
        let digits = end.saturating_sub(start).div_ceil(DIGIT_TASKS);
        let bit = |position: u32| u32::from(self.contains(start + position));
        let digit = |index: u32| {
            (0..DIGIT_TASKS).fold(0, |digit, shift| digit | bit(index * DIGIT_TASKS + shift) << shift)
        };
        (0..digits).filter_map(|index| char::from_digit(digit(index), 16)).collect()
    }

    /// Adds the numbers of an encoded block; those beyond the capacity are ignored.
    pub fn insert_encoded_block(&mut self, block: u32, hex: &str) {
        let start = block.saturating_mul(BLOCK_TASKS);
        for (index, digit) in hex.chars().enumerate() {
            let digit = digit.to_digit(16).unwrap_or(0);
            for shift in (0..DIGIT_TASKS).filter(|shift| digit >> shift & 1 == 1) {
                self.insert(start.saturating_add(index as u32 * DIGIT_TASKS + shift));
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/bit_set.rs"]
mod tests;
