//! Tasks as processes of the operating system.
//!
//! Each runs in a process group of its own, so that a signal reaches all that it started. A file lists the processes by
//! id and start time, so that the next local cluster can kill what this one left behind, and nothing else.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Program, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process_group};

use crate::description::ProcessCommand;

/// An attempt of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Name of the machine.
    pub machine: String,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
}

struct Process {
    child: Child,
    /// When it is killed if it has not exited: it was asked to terminate.
    kill_at: Option<u64>,
}

/// A process that has exited.
#[derive(Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// Whose process it was.
    pub key: AttemptKey,
    /// Its exit status; None: a signal killed it.
    pub code: Option<i32>,
}

/// The processes of a local cluster, and the file that lists them.
pub struct Processes {
    running: HashMap<AttemptKey, Process>,
    folder: PathBuf,
    pid_file: File,
}

const PID_FILE_NAME: &str = "pids";
/// Position of the start time in /proc/PID/stat among the fields after the name.
const START_TIME_FIELD: usize = 19;

/// The start time of a process in clock ticks since boot. With the id it identifies a process, as ids are reused.
fn process_start_ticks(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may contain anything; the fields after it are numbers and letters.
    let (_, rest) = stat.rsplit_once(')')?;
    rest.split_whitespace().nth(START_TIME_FIELD)?.parse().ok()
}

fn signal_group(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        // A group that no longer exists needs no signal.
        let _ = kill_process_group(pid, signal);
    }
}

impl Processes {
    /// Opens the folder of the logs and of the list of processes. Processes that an earlier local cluster left running
    /// are killed first, if they are still the same ones.
    ///
    /// # Errors
    /// The folder or the list cannot be created.
    pub fn open(folder: &Path) -> io::Result<Processes> {
        std::fs::create_dir_all(folder)?;
        kill_leftovers(&folder.join(PID_FILE_NAME));
        let pid_file =
            OpenOptions::new().create(true).write(true).truncate(true).open(folder.join(PID_FILE_NAME))?;
        Ok(Processes { running: HashMap::new(), folder: folder.into(), pid_file })
    }

    /// Adds a process to the list; also for processes that others started, such as controllers.
    ///
    /// # Errors
    /// The list cannot be written.
    pub fn record_pid(&mut self, pid: u32) -> io::Result<()> {
        let line = format!("{pid} {}\n", process_start_ticks(pid).unwrap_or(0));
        self.pid_file.write_all(line.as_bytes())
    }

    /// The file that the output of an attempt is written to.
    pub fn log_path(folder: &Path, task: &str, attempt: u64) -> PathBuf {
        folder.join("logs").join(format!("{task}.{attempt}.log"))
    }

    /// Starts a command, with environment variables that identify its task. Returns the process id.
    ///
    /// # Errors
    /// There is no command, it cannot be started, or its log cannot be written.
    pub fn start(
        &mut self,
        key: AttemptKey,
        command: &ProcessCommand,
        tasks: u32,
        variables: &[(String, String)],
    ) -> io::Result<u32> {
        let output = self.create_log(&key)?;
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

    fn create_log(&self, key: &AttemptKey) -> io::Result<File> {
        let path = Processes::log_path(&self.folder, &key.task, key.attempt);
        if let Some(parent) = path.parent() {
            std::fs::create_dir_all(parent)?;
        }
        OpenOptions::new().create(true).append(true).open(path)
    }

    /// Writes to a task's log why it was not started.
    pub fn log_start_failure(&self, key: &AttemptKey, text: &str) {
        let log = Processes::log_path(&self.folder, &key.task, key.attempt);
        // The failure itself is reported to the controller; the log is only for its user.
        let _ = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .and_then(|mut file| file.write_all(text.as_bytes()));
    }

    /// Asks a process to terminate; it is killed if it has not exited after the grace period.
    pub fn stop(&mut self, key: &AttemptKey, grace_ms: u64, now: u64) {
        if let Some(process) = self.running.get_mut(key) {
            signal_group(process.child.id(), Signal::TERM);
            let deadline = now + grace_ms;
            process.kill_at = Some(process.kill_at.map_or(deadline, |kill_at| kill_at.min(deadline)));
        }
    }

    /// Kills a process at once.
    pub fn kill(&mut self, key: &AttemptKey) {
        if let Some(process) = self.running.get(key) {
            signal_group(process.child.id(), Signal::KILL);
        }
    }

    /// Processes that have exited since the last call. Kills those whose grace period is over.
    pub fn collect_exits(&mut self, now: u64) -> Vec<ProcessExit> {
        let mut exits = Vec::new();
        self.running.retain(|key, process| {
            if process.kill_at.is_some_and(|kill_at| kill_at <= now) {
                signal_group(process.child.id(), Signal::KILL);
                process.kill_at = None;
            }
            match process.child.try_wait() {
                Ok(None) => true,
                Ok(Some(status)) => {
                    // Also kills what it started and left running.
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

    /// Processes that have not been collected.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Kills all processes and waits for them.
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

/// Longest wait for leftovers to exit, so that the ports that they listen on are free.
const LEFTOVER_WAIT_MS: u64 = 2_000;
const LEFTOVER_POLL_MS: u64 = 10;

/// Kills the processes that the file lists, if they are still the same ones, and waits until they have exited.
fn kill_leftovers(pid_file: &Path) {
    let Ok(text) = std::fs::read_to_string(pid_file) else { return };
    let mut killed = Vec::new();
    for line in text.lines() {
        let Some((pid, start)) = line.split_once(' ') else { continue };
        if let (Ok(pid), Ok(start)) = (pid.parse::<u32>(), start.parse::<u64>())
            && start > 0
            && process_start_ticks(pid) == Some(start)
        {
            signal_group(pid, Signal::KILL);
            killed.push((pid, start));
        }
    }
    let deadline = Instant::now() + Duration::from_millis(LEFTOVER_WAIT_MS);
    let is_running = |(pid, start): &(u32, u64)| process_start_ticks(*pid) == Some(*start);
    while killed.iter().any(is_running) && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(LEFTOVER_POLL_MS));
    }
}

#[cfg(test)]
#[path = "tests/processes.rs"]
mod tests;
