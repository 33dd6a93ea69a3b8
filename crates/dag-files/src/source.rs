//! The text of a graph file, used to find line numbers for errors.

use olivelatch::source_location::find_line;

use crate::file::DagFileError;

/// The name of a graph file, as shown in errors, and its text.
pub(crate) struct SourceText<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl SourceText<'_> {
    pub(crate) fn file_error(&self, problem: impl Into<String>) -> DagFileError {
        DagFileError::File { file: self.file.into(), problem: problem.into() }
    }

    /// Returns the line on which the `nth` node block with this label begins, or 1 if it is not found. `nth` counts
    /// from 0, lines count from 1.
    pub(crate) fn line_of_block(&self, label: &str, nth: usize) -> usize {
        let begins_block = |line: &str| {
            let mut words = line.split_whitespace();
            words.next() == Some("node") && words.next().is_some_and(|word| word.trim_matches('"') == label)
        };
        let lines = self.text.lines().enumerate().filter(|(_, line)| begins_block(line));
        lines.map(|(index, _)| index + 1).nth(nth).unwrap_or(1)
    }

    /// Returns the first line at or after `from` that begins with the name, or `from` if there is none.
    pub(crate) fn line_of(&self, from: usize, name: &str) -> usize {
        find_line(self.text, from, name).unwrap_or(from)
    }

    pub(crate) fn node_error(&self, line: usize, node: &str, problem: impl Into<String>) -> DagFileError {
        DagFileError::Node { file: self.file.into(), line, node: node.into(), problem: problem.into() }
    }
}
