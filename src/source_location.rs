//! Line numbers for errors in hand-written HCL files, since the HCL parser reports many errors without a location.

/// Replaces each run of whitespace, including line breaks, by one space.
pub fn collapse_whitespace(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Returns the number of the first line, at or after line `from`, whose first word is `word`. Line numbers start at 1.
pub fn find_line(text: &str, from: usize, word: &str) -> Option<usize> {
    let starts_with_word =
        |line: &str| line.trim_start().split(|c: char| !c.is_alphanumeric() && c != '_').next() == Some(word);
    let mut lines = text.lines().enumerate().skip(from.saturating_sub(1));
    lines.find(|(_, line)| starts_with_word(line)).map(|(index, _)| index + 1)
}

/// Returns the first name that a message quotes in backticks.
pub fn quoted_name(problem: &str) -> Option<&str> {
    problem.split('`').nth(1)
}

/// Returns a parser's message on one line, prefixed with the number of the line whose first word is the quoted name, if
/// there is one.
pub fn with_line_number(text: &str, problem: &str) -> String {
    let problem = collapse_whitespace(problem);
    match quoted_name(&problem).and_then(|name| find_line(text, 1, name)) {
        Some(line) => format!("line {line}: {problem}"),
        None => problem,
    }
}
