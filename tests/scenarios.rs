//! Runs every file of `tests/scenarios/` in virtual time, each as a separate test with the name of the file. A failure
//! names file and line.

mod simulation;

use std::path::{Path, PathBuf};

use libtest_mimic::{Arguments, Failed, Trial};
use simulation::SimulatedCluster;

/// Runs one scenario file. The error names the line.
fn run_scenario(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let mut cluster = SimulatedCluster::traced(&scenario_name(path));
    let mut action_count = 0;
    for (index, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        action_count += 1;
        log::info!("{} s: {line}", cluster.now as f64 / 1000.0);
        cluster
            .run_action(&words)
            .map_err(|problem| format!("{}:{}: {line}: {problem}", path.display(), index + 1))?;
    }
    if action_count == 0 { Err(format!("{}: no actions in the file", path.display())) } else { Ok(()) }
}

fn scenario_name(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(folder).expect("the scenarios");
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    assert!(!files.is_empty(), "no scenarios");
    files
}

/// The scenario runner itself must be able to fail, and must name the line that failed.
fn a_failing_scenario_names_its_line() -> Result<(), Failed> {
    let path = std::env::temp_dir().join(format!("olivelatch-wrong-{}.txt", std::process::id()));
    std::fs::write(&path, "team core\nmachine-type k\ncontrollers a\nuntil 5 done 1\n")?;
    let result = run_scenario(&path);
    let _ = std::fs::remove_file(&path);
    match result {
        Err(problem) if problem.contains(":4: until 5 done 1") => Ok(()),
        Err(problem) => Err(problem.into()),
        Ok(()) => Err("the scenario passed, but its condition cannot hold".into()),
    }
}

fn main() {
    // `LOG_LEVEL=info SCENARIO=steal` prints the controllers' logs in the scenarios whose names contain `steal`.
    if std::env::var("LOG_LEVEL").is_ok() {
        olivelatch::logging::init("scenario", olivelatch::tunables::LogFormat::Text);
    }
    let mut arguments = Arguments::from_args();
    // `SCENARIO` holds a part of a test name, and replaces the filter of the command line.
    if let Ok(part_of_name) = std::env::var("SCENARIO") {
        arguments.filter = Some(part_of_name);
    }
    let scenario = |path: PathBuf| {
        Trial::test(scenario_name(&path), move || {
            Ok(std::panic::catch_unwind(|| run_scenario(&path))
                .unwrap_or_else(|_| Err(format!("{}: panicked", path.display())))?)
        })
    };
    let mut trials: Vec<Trial> = scenario_files().into_iter().map(scenario).collect();
    trials.push(Trial::test("a_failing_scenario_names_its_line", a_failing_scenario_names_its_line));
    libtest_mimic::run(&arguments, trials).exit();
}
