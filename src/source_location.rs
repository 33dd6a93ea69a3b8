//! Line numbers for errors in files that people write, as parsers of HCL report many errors without a location.

/// A parser's message on one line.
pub fn collapse_whitespace(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The first line at or behind line `from` that begins with a word; lines are counted from 1.
pub fn find_line(text: &str, from: usize, word: &str) -> Option<usize> {
    let starts_with_word =
        |line: &str| line.trim_start().split(|c: char| !c.is_alphanumeric() && c != '_').next() == Some(word);
    let mut lines = text.lines().enumerate().skip(from.saturating_sub(1));
    lines.find(|(_, line)| starts_with_word(line)).map(|(index, _)| index + 1)
}

/// The first name that a message quotes in backticks.
pub fn quoted_name(problem: &str) -> Option<&str> {
    problem.split('`').nth(1)
}

/// A parser's message on one line, with the number of the line that begins with the name it quotes, if there is one.
pub fn with_line_number(text: &str, problem: &str) -> String {
    let problem = collapse_whitespace(problem);
    match quoted_name(&problem).and_then(|name| find_line(text, 1, name)) {
        Some(line) => format!("line {line}: {problem}"),
        None => problem,
    }
}
