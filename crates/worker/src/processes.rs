//! Tasks as operating system processes: each in a group of its own, so that a stop reaches all that it started.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Program, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process_group};

use crate::description::ProcessCommand;

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    pub machine: String,
    pub task: String,
    pub attempt: u64,
}

struct Process {
    child: Child,
    /// When the hard signal follows the polite one.
    kill_at: Option<u64>,
}

/// What became of a process.
#[derive(Debug, PartialEq, Eq)]
pub struct ProcessExit {
    pub key: AttemptKey,
    /// None: ended by a signal.
    pub code: Option<i32>,
}

/// The processes of a region, and the file that names them for whoever starts it next.
pub struct Processes {
    running: HashMap<AttemptKey, Process>,
    folder: PathBuf,
    pid_file: File,
}

const PID_FILE_NAME: &str = "pids";

/// Clock ticks since the machine started at which a process did: with its id, that names it for good.
fn process_start_ticks(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may hold anything; the fields after it are plain.
    let (_, rest) = stat.rsplit_once(')')?;
    rest.split_whitespace().nth(19)?.parse().ok()
}

fn signal_group(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        // A group that is gone needs no signal.
        let _ = kill_process_group(pid, signal);
    }
}

impl Processes {
    /// `folder` holds the logs and the list of process ids. What an earlier region left running is ended first: by id,
    /// and only if the process is the one that was started then.
    pub fn open(folder: &Path) -> io::Result<Processes> {
        std::fs::create_dir_all(folder)?;
        kill_leftovers(&folder.join(PID_FILE_NAME));
        let pids =
            OpenOptions::new().create(true).write(true).truncate(true).open(folder.join(PID_FILE_NAME))?;
        Ok(Processes { running: HashMap::new(), folder: folder.into(), pid_file: pids })
    }

    /// Also for processes that others started, such as controllers.
    pub fn record_pid(&mut self, pid: u32) -> io::Result<()> {
        let line = format!("{pid} {}\n", process_start_ticks(pid).unwrap_or(0));
        self.pid_file.write_all(line.as_bytes())
    }

    /// Where the output of an attempt goes.
    pub fn log_path(folder: &Path, task: &str, attempt: u64) -> PathBuf {
        folder.join("logs").join(format!("{task}.{attempt}.log"))
    }

    /// Starts a command with the variables that tell it which task it is. Returns the process id.
    pub fn start(
        &mut self,
        key: AttemptKey,
        command: &ProcessCommand,
        tasks: u32,
        variables: &[(String, String)],
    ) -> io::Result<u32> {
        let log = Processes::log_path(&self.folder, &key.task, key.attempt);
        if let Some(parent) = log.parent() {
            std::fs::create_dir_all(parent)?;
        }
        let output = OpenOptions::new().create(true).append(true).open(&log)?;
        let missing = || io::Error::new(io::ErrorKind::InvalidInput, "no command");
        let (program, args) = command.command.split_first().ok_or_else(missing)?;
        let (job, task) = key.task.split_once('/').unwrap_or((&key.task, "0"));
        let mut program = Program::new(program);
        program
            .args(args)
            .env("OLIVELATCH_JOB", job)
            .env("OLIVELATCH_TASK", task)
            .env("OLIVELATCH_TASKS", tasks.to_string())
            .env("OLIVELATCH_ATTEMPT", key.attempt.to_string())
            .env("OLIVELATCH_MACHINE", &key.machine)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .envs(&command.env)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .process_group(0);
        if let Some(dir) = &command.dir {
            program.current_dir(dir);
        }
        let child = program.spawn()?;
        let pid = child.id();
        self.running.insert(key, Process { child, kill_at: None });
        self.record_pid(pid)?;
        Ok(pid)
    }

    /// Says in a task's log why it never started.
    pub fn log_start_failure(&self, key: &AttemptKey, text: &str) {
        let log = Processes::log_path(&self.folder, &key.task, key.attempt);
        // Nobody misses the line more than the task.
        let _ = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .and_then(|mut f| f.write_all(text.as_bytes()));
    }

    /// Asks politely; the hard signal follows after the grace.
    pub fn stop(&mut self, key: &AttemptKey, grace_ms: u64, now: u64) {
        if let Some(process) = self.running.get_mut(key) {
            signal_group(process.child.id(), Signal::TERM);
            let hard_at = now + grace_ms;
            process.kill_at = Some(process.kill_at.map_or(hard_at, |at| at.min(hard_at)));
        }
    }

    pub fn kill(&mut self, key: &AttemptKey) {
        if let Some(process) = self.running.get(key) {
            signal_group(process.child.id(), Signal::KILL);
        }
    }

    /// Processes that have exited; those that took no notice of a polite stop get the hard one.
    pub fn collect_exits(&mut self, now: u64) -> Vec<ProcessExit> {
        let mut exits = Vec::new();
        self.running.retain(|key, process| {
            if process.kill_at.is_some_and(|at| at <= now) {
                signal_group(process.child.id(), Signal::KILL);
                process.kill_at = None;
            }
            match process.child.try_wait() {
                Ok(None) => true,
                Ok(Some(status)) => {
                    // What it started and left behind goes with it.
                    signal_group(process.child.id(), Signal::KILL);
                    exits.push(ProcessExit { key: key.clone(), code: status.code() });
                    false
                }
                Err(_) => {
                    exits.push(ProcessExit { key: key.clone(), code: None });
                    false
                }
            }
        });
        exits
    }

    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Ends all, hard, and waits for them.
    pub fn kill_all(&mut self) {
        for (_, mut process) in self.running.drain() {
            signal_group(process.child.id(), Signal::KILL);
            let _ = process.child.wait();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Until leftovers are gone, with the ports they listen on.
const LEFTOVER_WAIT_MS: u64 = 2_000;

/// Ends what the file names, if it is still the same process, and waits until it is gone.
fn kill_leftovers(pids: &Path) {
    let Ok(text) = std::fs::read_to_string(pids) else { return };
    let mut ended = Vec::new();
    for line in text.lines() {
        let Some((pid, at)) = line.split_once(' ') else { continue };
        if let (Ok(pid), Ok(at)) = (pid.parse::<u32>(), at.parse::<u64>())
            && at > 0
            && process_start_ticks(pid) == Some(at)
        {
            signal_group(pid, Signal::KILL);
            ended.push((pid, at));
        }
    }
    let end = Instant::now() + Duration::from_millis(LEFTOVER_WAIT_MS);
    while ended.iter().any(|(pid, at)| process_start_ticks(*pid) == Some(*at)) && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[cfg(test)]
#[path = "tests/processes.rs"]
mod tests;
