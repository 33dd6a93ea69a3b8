//! A fixed-size set of task numbers, stored durably in blocks.

/// Tasks in one durable block: its hexadecimal form stays far below any limit of a value that the settings accept.
const BLOCK_TASKS: u32 = 2048;
const WORD_BITS: u32 = u64::BITS;
/// Tasks in one hexadecimal digit of a block.
const DIGIT_TASKS: u32 = 4;

/// A set of numbers below its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BitSet {
    words: Vec<u64>,
    capacity: u32,
    count: u32,
}

impl BitSet {
    /// The empty set.
    pub fn new(capacity: u32) -> BitSet {
        BitSet { words: vec![0; capacity.div_ceil(WORD_BITS) as usize], capacity, count: 0 }
    }

    /// Numbers in the set are smaller than this.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// No number is in the set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// How many numbers are in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// All numbers below the capacity are in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.capacity
    }

    /// False for numbers beyond the capacity.
    pub fn contains(&self, number: u32) -> bool {
        number < self.capacity && self.words[(number / WORD_BITS) as usize] >> (number % WORD_BITS) & 1 == 1
    }

    /// True if the number was not in the set before. Numbers beyond the capacity are ignored.
    pub fn insert(&mut self, number: u32) -> bool {
        if number >= self.capacity || self.contains(number) {
            return false;
        }
        self.words[(number / WORD_BITS) as usize] |= 1 << (number % WORD_BITS);
        self.count += 1;
        true
    }

    /// Adds `count` numbers from `first` on, as far as the capacity goes.
    pub fn insert_range(&mut self, first: u32, count: u32) {
        for number in first..first.saturating_add(count).min(self.capacity) {
            self.insert(number);
        }
    }

    /// The numbers below the capacity that are not in the set.
    pub fn iter_missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.capacity).filter(|number| !self.contains(*number))
    }

    /// The durable block that a number belongs to.
    pub fn block_of(number: u32) -> u32 {
        number / BLOCK_TASKS
    }

    /// A block in hexadecimal: four numbers a digit, the first one in the lowest bit of the first digit.
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
