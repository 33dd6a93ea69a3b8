//! Runs one case of the review: `review-standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod cloud;
mod cluster;
mod http;
mod json;
mod link;
mod record;
mod store;
mod worker;
mod world;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    record::open(path);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match cases::find(case) {
        Some(run) => std::panic::catch_unwind(|| run(trouble))
            .unwrap_or_else(|_| Verdict::CouldNotRun("the test itself failed".into())),
        None => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record::line(&text);
    println!("{case} (trouble: {trouble}): {text}");
    ExitCode::from(code)
}
