//! The text of a graph file, by which errors get their lines.

use olivelatch::source_location::find_line;

use crate::file::DagFileError;

/// A file's name and text.
pub(crate) struct SourceText<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl SourceText<'_> {
    pub(crate) fn file_error(&self, problem: impl Into<String>) -> DagFileError {
        DagFileError::Form { file: self.file.into(), problem: problem.into() }
    }

    /// The line where the `nth` block of a label begins.
    pub(crate) fn line_of_block(&self, label: &str, nth: usize) -> usize {
        let begins_block = |line: &str| {
            let mut words = line.split_whitespace();
            words.next() == Some("node") && words.next().is_some_and(|word| word.trim_matches('"') == label)
        };
        let lines = self.text.lines().enumerate().filter(|(_, line)| begins_block(line));
        lines.map(|(index, _)| index + 1).nth(nth).unwrap_or(1)
    }

    /// The line within a block that begins with a word; the block's own if there is none.
    pub(crate) fn line_of(&self, from: usize, word: &str) -> usize {
        find_line(self.text, from, word).unwrap_or(from)
    }

    pub(crate) fn node_error(&self, line: usize, node: &str, problem: impl Into<String>) -> DagFileError {
        DagFileError::Node { file: self.file.into(), line, node: node.into(), problem: problem.into() }
    }
}
