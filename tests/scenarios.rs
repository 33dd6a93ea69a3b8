//! Runs every file of `tests/scenarios/` in virtual time. A failure names file and line.

mod world;

use std::path::Path;

use world::World;

/// Plays one file; the error names the line.
fn play(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let mut world = World::new();
    let mut lines = 0;
    for (at, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        lines += 1;
        let place = || format!("{}:{}: {line}", path.display(), at + 1);
        world.command(&words).map_err(|problem| format!("{}: {problem}", place()))?;
    }
    if lines == 0 { Err(format!("{}: empty", path.display())) } else { Ok(()) }
}

#[test]
fn every_scenario_holds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the scenarios")
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| only.as_ref().is_none_or(|only| path.to_string_lossy().contains(only.as_str())))
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scenarios");
    let failed: Vec<String> = files.iter().filter_map(|path| play(path).err()).collect();
    assert!(failed.is_empty(), "{} of {} scenarios:\n{}", failed.len(), files.len(), failed.join("\n"));
}

/// The runner itself must be able to fail, and must say where.
#[test]
fn a_wrong_scenario_fails_and_names_its_line() {
    let path = std::env::temp_dir().join(format!("olivelatch-wrong-{}.txt", std::process::id()));
    std::fs::write(&path, "team core\nkind k\nnodes a\nuntil 5 done 1\n").expect("a file");
    let result = play(&path);
    let _ = std::fs::remove_file(&path);
    let problem = result.expect_err("it cannot hold");
    assert!(problem.contains(":4: until 5 done 1"), "{problem}");
}
