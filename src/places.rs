//! Where in a file that a person wrote something is wrong: parsers of HCL tell many mistakes without their place.

/// A message of a parser in one line.
pub fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The first line, from this one on, that begins with a word; lines are counted from 1.
pub fn line_of(text: &str, from: usize, word: &str) -> Option<usize> {
    let begins =
        |line: &str| line.trim_start().split(|c: char| !c.is_alphanumeric() && c != '_').next() == Some(word);
    let mut lines = text.lines().enumerate().skip(from.saturating_sub(1));
    lines.find(|(_, line)| begins(line)).map(|(at, _)| at + 1)
}

/// The name that a message has between backticks, if it has one.
pub fn named(problem: &str) -> Option<&str> {
    problem.split('`').nth(1)
}

/// An unknown key is reported without its place; people want the line.
pub fn locate(text: &str, problem: &str) -> String {
    let problem = one_line(problem);
    match named(&problem).and_then(|name| line_of(text, 1, name)) {
        Some(line) => format!("line {line}: {problem}"),
        None => problem,
    }
}
