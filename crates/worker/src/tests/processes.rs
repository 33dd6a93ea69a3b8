//! Tests of the module `processes`.

use super::*;

fn key(task: &str) -> AttemptKey {
    AttemptKey { machine: "m".into(), task: task.into(), attempt: 1 }
}

fn shell(script: &str) -> ProcessCommand {
    ProcessCommand { command: vec!["sh".into(), "-c".into(), script.into()], ..ProcessCommand::default() }
}

fn wait_for_exits(processes: &mut Processes, started: Instant) -> Vec<ProcessExit> {
    loop {
        let exits = processes.collect_exits(started.elapsed().as_millis() as u64);
        if !exits.is_empty() || started.elapsed() > Duration::from_secs(20) {
            return exits;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn exit_status_and_output_are_collected() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut processes = Processes::open(folder.path()).expect("processes");
    let started = Instant::now();
    processes
        .start(key("job-000001/3"), &shell("echo $OLIVELATCH_JOB $OLIVELATCH_TASK; exit 7"), 4, &[])
        .expect("a start");
    assert_eq!(
        wait_for_exits(&mut processes, started),
        [ProcessExit { key: key("job-000001/3"), code: Some(7) }]
    );
    let log = Processes::log_path(folder.path(), "job-000001/3", 1);
    assert_eq!(std::fs::read_to_string(log).expect("a log"), "job-000001 3\n");
    let missing = ProcessCommand { command: vec!["/no/such/program".into()], ..ProcessCommand::default() };
    assert!(processes.start(key("job-000001/4"), &missing, 4, &[]).is_err());
}

/// A process that ignores SIGTERM is killed after the grace period, together with its child processes.
#[test]
fn stop_sends_sigterm_then_kills_the_process_group() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut processes = Processes::open(folder.path()).expect("processes");
    let started = Instant::now();
    processes
        .start(key("a/0"), &shell("trap 'exit 0' TERM; echo up; sleep 60 & wait"), 1, &[])
        .expect("a start");
    processes
        .start(key("b/0"), &shell("trap '' TERM; echo up; sleep 60 & wait; wait; sleep 60"), 1, &[])
        .expect("a start");
    let has_output = |task| {
        std::fs::read_to_string(Processes::log_path(folder.path(), task, 1)).is_ok_and(|log| !log.is_empty())
    };
    while !(has_output("a/0") && has_output("b/0")) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let now = started.elapsed().as_millis() as u64;
    processes.stop(&key("a/0"), 60_000, now);
    processes.stop(&key("b/0"), 100, now);
    let mut exits = wait_for_exits(&mut processes, started);
    while exits.len() < 2 && started.elapsed() < Duration::from_secs(20) {
        exits.extend(wait_for_exits(&mut processes, started));
    }
    exits.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(
        exits,
        [ProcessExit { key: key("a/0"), code: Some(0) }, ProcessExit { key: key("b/0"), code: None }]
    );
}

/// A local cluster that is killed leaves its processes running. The next one must kill exactly those, and no unrelated
/// process that has since got the same process id.
#[test]
fn orphans_are_killed_only_if_id_and_start_time_match() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut orphan = Program::new("sleep").arg("60").process_group(0).spawn().expect("a process");
    let mut other = Program::new("sleep").arg("60").process_group(0).spawn().expect("a process");
    let start_ticks = |pid| process_start_ticks(pid).expect("a running process");
    let text = format!(
        "{} {}\n{} {}\nnonsense\n",
        orphan.id(),
        start_ticks(orphan.id()),
        other.id(),
        start_ticks(other.id()) + 1
    );
    std::fs::write(folder.path().join(PID_FILE_NAME), text).expect("a file");
    let _processes = Processes::open(folder.path()).expect("processes");
    assert_eq!(orphan.wait().expect("an exit status").code(), None);
    assert!(
        other.try_wait().expect("a status").is_none(),
        "a process with another start time must not be killed"
    );
    other.kill().expect("a child process");
    other.wait().expect("an exit status");
}
