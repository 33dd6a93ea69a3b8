//! Runs tasks as operating system processes.
//!
//! Each task runs in its own process group, so that a signal also reaches its child processes. A file lists the
//! processes by process id and start time, so that the next local cluster in this folder can kill exactly those that
//! this one left running.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Program, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process_group};

use crate::description::ProcessCommand;

/// Identifies an attempt of a task on a machine.
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
    /// When the process is killed if it has not exited; set once it was sent SIGTERM.
    kill_at: Option<u64>,
}

/// A process that has exited.
#[derive(Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// The attempt that the process belonged to.
    pub key: AttemptKey,
    /// Exit status; `None` if a signal killed the process or its status could not be read.
    pub code: Option<i32>,
}

/// The running processes of a local cluster, and the file that lists them.
pub struct Processes {
    running: HashMap<AttemptKey, Process>,
    folder: PathBuf,
    pid_file: File,
}

const PID_FILE_NAME: &str = "pids";
/// Index of the start time among the fields of /proc/PID/stat that follow the process name.
const START_TIME_FIELD: usize = 19;

/// Returns the start time of a process in clock ticks since boot. Process ids are reused, so only id and start time
/// together identify a process.
fn process_start_ticks(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name is in parentheses and may itself contain parentheses; the fields after it contain none.
    let (_, fields) = stat.rsplit_once(')')?;
    fields.split_whitespace().nth(START_TIME_FIELD)?.parse().ok()
}

fn signal_group(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        // An error means that the group no longer exists, so there is nothing to signal.
        let _ = kill_process_group(pid, signal);
    }
}

impl Processes {
    /// Opens the folder of the logs and of the process list. First kills the processes that an earlier local cluster
    /// left running, if their start times show that they are still the same processes.
    ///
    /// # Errors
    /// The folder or the process list cannot be created.
    pub fn open(folder: &Path) -> io::Result<Processes> {
        std::fs::create_dir_all(folder)?;
        kill_orphans(&folder.join(PID_FILE_NAME));
        let pid_file =
            OpenOptions::new().create(true).write(true).truncate(true).open(folder.join(PID_FILE_NAME))?;
        Ok(Processes { running: HashMap::new(), folder: folder.into(), pid_file })
    }

    /// Adds a process to the process list. Also used for processes that are started elsewhere, such as controllers.
    ///
    /// # Errors
    /// The process list cannot be written.
    pub fn record_pid(&mut self, pid: u32) -> io::Result<()> {
        let line = format!("{pid} {}\n", process_start_ticks(pid).unwrap_or(0));
        self.pid_file.write_all(line.as_bytes())
    }

    /// Returns the path of the log file that receives the output of an attempt.
    pub fn log_path(folder: &Path, task: &str, attempt: u64) -> PathBuf {
        folder.join("logs").join(format!("{task}.{attempt}.log"))
    }

    /// Starts a command with environment variables that identify its task. Returns the process id.
    ///
    /// # Errors
    /// The command is empty or cannot be started, or its log or the process list cannot be written.
    pub fn start(
        &mut self,
        key: AttemptKey,
        command: &ProcessCommand,
        tasks: u32,
        variables: &[(String, String)],
    ) -> io::Result<u32> {
        let output = self.create_log(&key)?;
        let empty_command = || io::Error::new(io::ErrorKind::InvalidInput, "the command is empty");
        let (program, args) = command.command.split_first().ok_or_else(empty_command)?;
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

    /// Appends to a task's log the reason why the task could not be started.
    pub fn log_start_failure(&self, key: &AttemptKey, text: &str) {
        let log = Processes::log_path(&self.folder, &key.task, key.attempt);
        // An error here is ignored: the controller gets the failure from the heartbeat; the log only informs the user.
        let _ = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .and_then(|mut file| file.write_all(text.as_bytes()));
    }

    /// Sends SIGTERM to a process group. `collect_exits` kills the group if the process has not exited after the grace
    /// period.
    pub fn stop(&mut self, key: &AttemptKey, grace_ms: u64, now: u64) {
        if let Some(process) = self.running.get_mut(key) {
            signal_group(process.child.id(), Signal::TERM);
            let deadline = now + grace_ms;
            process.kill_at = Some(process.kill_at.map_or(deadline, |kill_at| kill_at.min(deadline)));
        }
    }

    /// Kills a process group at once.
    pub fn kill(&mut self, key: &AttemptKey) {
        if let Some(process) = self.running.get(key) {
            signal_group(process.child.id(), Signal::KILL);
        }
    }

    /// Kills the processes whose grace period has expired, and returns those that have exited since the last call.
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
                    // Also kills child processes that the task left running.
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

    /// Returns the number of processes whose exit has not been collected.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Kills all processes and waits until they have exited.
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

/// How long to wait until killed orphans have exited, so that the ports that they listen on are free again.
const ORPHAN_EXIT_TIMEOUT_MS: u64 = 2_000;
const ORPHAN_POLL_INTERVAL_MS: u64 = 10;

/// Kills the processes that the file lists if their start times still match, and waits until they have exited.
fn kill_orphans(pid_file: &Path) {
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
    let deadline = Instant::now() + Duration::from_millis(ORPHAN_EXIT_TIMEOUT_MS);
    let is_running = |(pid, start): &(u32, u64)| process_start_ticks(*pid) == Some(*start);
    while killed.iter().any(is_running) && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(ORPHAN_POLL_INTERVAL_MS));
    }
}

#[cfg(test)]
#[path = "tests/processes.rs"]
mod tests;
