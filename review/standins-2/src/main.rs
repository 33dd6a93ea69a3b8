//! Runs one case of the review: `review-case-2 NAME FOLDER ROOT COMMAND`. COMMAND is the run command of the deploy file.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With `TROUBLE=0` the disruption
//! is left out.

mod cases;
mod cloud;
mod deployment;
mod http;
mod jobs;
mod kv;
mod record;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// The result of a case that could run.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// Where a case runs.
pub struct Setting {
    pub root: PathBuf,
    pub run: String,
    pub record: Record,
    pub logs: PathBuf,
    pub trouble: bool,
}

fn run() -> Result<Verdict, String> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder, root, run] = words.as_slice() else {
        return Err("usage: review-case-2 NAME FOLDER ROOT COMMAND".into());
    };
    let failed = |error: std::io::Error| error.to_string();
    let record = Record::create(&PathBuf::from(folder).join("record.txt")).map_err(failed)?;
    let logs = std::env::temp_dir().join(format!("review-case-2-{}", std::process::id()));
    std::fs::create_dir_all(&logs).map_err(failed)?;
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(
        "case",
        &format!("{name}, {}", if trouble { "with the disruption" } else { "without the disruption" }),
    );
    let setting = Setting { root: root.into(), run: run.clone(), record: record.clone(), logs, trouble };
    let result = cases::run(name, &setting);
    match &result {
        Ok(Verdict::Held(text)) => record.line("case", &format!("the rule held: {text}")),
        Ok(Verdict::Broken(text)) => record.line("case", &format!("THE RULE WAS BROKEN: {text}")),
        Err(text) => record.line("case", &format!("could not run: {text}")),
    }
    result
}

/// A case that takes longer could not run.
const MAX_RUN: Duration = Duration::from_secs(119);

/// Ends the case and its controllers when it takes too long.
fn end_when_late() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        println!("could not run: the time is over");
        deployment::end_controllers();
        std::process::exit(2);
    });
}

fn main() -> ExitCode {
    end_when_late();
    match run() {
        Ok(Verdict::Held(text)) => {
            println!("held: {text}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Err(text) => {
            println!("could not run: {text}");
            ExitCode::from(2)
        }
    }
}
