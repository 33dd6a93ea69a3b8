//! Where in a file that a person wrote something is wrong: parsers of HCL tell many mistakes without their place.

/// A message of a parser in one line.
pub fn collapse_whitespace(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The first line, from this one on, that begins with a word; lines are counted from 1.
pub fn find_line(text: &str, from: usize, word: &str) -> Option<usize> {
    let starts_with_word =
        |line: &str| line.trim_start().split(|c: char| !c.is_alphanumeric() && c != '_').next() == Some(word);
    let mut lines = text.lines().enumerate().skip(from.saturating_sub(1));
    lines.find(|(_, line)| starts_with_word(line)).map(|(at, _)| at + 1)
}

/// The name that a message has between backticks, if it has one.
pub fn quoted_name(problem: &str) -> Option<&str> {
    problem.split('`').nth(1)
}

/// An unknown key is reported without its place; people want the line.
pub fn with_line_number(text: &str, problem: &str) -> String {
    let problem = collapse_whitespace(problem);
    match quoted_name(&problem).and_then(|name| find_line(text, 1, name)) {
        Some(line) => format!("line {line}: {problem}"),
        None => problem,
    }
}
