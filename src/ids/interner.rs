//! Mapping of names to dense indices.

use std::collections::HashMap;

/// Maps names to dense indices of one type and back.
///
/// Names are never removed. Callers that intern names received from outside must bound their number.
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
    /// Returns the index of a name that has been interned.
    pub fn find(&self, name: &str) -> Option<I> {
        self.index.get(name).copied()
    }

    /// Returns the index of a name; a new name is added.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(ix) = self.index.get(name) {
            return *ix;
        }
        let ix = I::from(self.names.len() as u32);
        self.index.insert(name.into(), ix);
        self.names.push(name.into());
        ix
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the name with this index, or `?` if there is none.
    pub fn name_or_unknown(&self, index: usize) -> &str {
        self.names.get(index).map_or("?", |name| name)
    }
}
