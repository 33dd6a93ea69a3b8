//! Tests of `processes`.

use super::*;

fn key(task: &str) -> AttemptKey {
    AttemptKey { machine: "m".into(), task: task.into(), attempt: 1 }
}

fn shell(text: &str) -> ProcessCommand {
    ProcessCommand { command: vec!["sh".into(), "-c".into(), text.into()], ..ProcessCommand::default() }
}

fn wait(processes: &mut Processes, from: Instant) -> Vec<ProcessExit> {
    loop {
        let exits = processes.collect_exits(from.elapsed().as_millis() as u64);
        if !exits.is_empty() || from.elapsed() > Duration::from_secs(20) {
            return exits;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn exits_outputs_and_variables_are_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut processes = Processes::open(folder.path()).expect("processes");
    let from = Instant::now();
    processes
        .start(key("job-000001/3"), &shell("echo $OLIVELATCH_JOB $OLIVELATCH_TASK; exit 7"), 4, &[])
        .expect("a start");
    assert_eq!(wait(&mut processes, from), [ProcessExit { key: key("job-000001/3"), code: Some(7) }]);
    let log = Processes::log_path(folder.path(), "job-000001/3", 1);
    assert_eq!(std::fs::read_to_string(log).expect("a log"), "job-000001 3\n");
    let missing = ProcessCommand { command: vec!["/no/such/program".into()], ..ProcessCommand::default() };
    assert!(processes.start(key("job-000001/4"), &missing, 4, &[]).is_err());
}

/// Who ignores the polite signal gets the hard one, with all it has started.
#[test]
fn stops_are_polite_then_hard_and_reach_the_whole_group() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut processes = Processes::open(folder.path()).expect("processes");
    let from = Instant::now();
    processes
        .start(key("a/0"), &shell("trap 'exit 0' TERM; echo up; sleep 60 & wait"), 1, &[])
        .expect("a start");
    processes
        .start(key("b/0"), &shell("trap '' TERM; echo up; sleep 60 & wait; wait; sleep 60"), 1, &[])
        .expect("a start");
    let up = |task| {
        std::fs::read_to_string(Processes::log_path(folder.path(), task, 1)).is_ok_and(|log| !log.is_empty())
    };
    while !(up("a/0") && up("b/0")) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let now = from.elapsed().as_millis() as u64;
    processes.stop(&key("a/0"), 60_000, now);
    processes.stop(&key("b/0"), 100, now);
    let mut exits = wait(&mut processes, from);
    while exits.len() < 2 && from.elapsed() < Duration::from_secs(20) {
        exits.extend(wait(&mut processes, from));
    }
    exits.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(
        exits,
        [ProcessExit { key: key("a/0"), code: Some(0) }, ProcessExit { key: key("b/0"), code: None }]
    );
}

/// A region that was killed leaves processes behind: the next one ends exactly those, and no other with such an id.
#[test]
fn leftovers_are_ended_by_id_and_only_if_they_are_the_same() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut left = Program::new("sleep").arg("60").process_group(0).spawn().expect("a process");
    let mut other = Program::new("sleep").arg("60").process_group(0).spawn().expect("a process");
    let at = |pid| process_start_ticks(pid).expect("it runs");
    let text = format!("{} {}\n{} {}\nnonsense\n", left.id(), at(left.id()), other.id(), at(other.id()) + 1);
    std::fs::write(folder.path().join(PID_FILE_NAME), text).expect("a file");
    let _processes = Processes::open(folder.path()).expect("processes");
    assert_eq!(left.wait().expect("its end").code(), None);
    assert!(other.try_wait().expect("a look").is_none(), "another process with the id is none of ours");
    other.kill().expect("our own process");
    other.wait().expect("its end");
}
