//! Names as dense indices.

use std::collections::HashMap;

/// Maps names to dense indices of one type and back.
///
/// It only grows: whoever interns names that come from outside has to bound their number.
#[derive(Debug, Clone)]
pub struct Interner<I> {
    index: HashMap<Box<str>, I>,
    names: Vec<Box<str>>,
}

impl<I> Default for Interner<I> {
    fn default() -> Self {
        Interner { index: HashMap::new(), names: Vec::new() }
    }
}

impl<I: Copy + From<u32>> Interner<I> {
    /// The index of a name that is known.
    pub fn find(&self, name: &str) -> Option<I> {
        self.index.get(name).copied()
    }

    /// The index of a name, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(ix) = self.index.get(name) {
            return *ix;
        }
        let ix = I::from(self.names.len() as u32);
        self.index.insert(name.into(), ix);
        self.names.push(name.into());
        ix
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The name of an index, or `?`.
    pub fn name_or_unknown(&self, index: usize) -> &str {
        self.names.get(index).map_or("?", |name| name)
    }
}
