//! Starts, samples, pauses and kills the processes of a run. Resource usage is read from procfs. Dropping a
//! process kills it, so none outlives the run.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use procfs::Current;
use procfs::process::Process;
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, setrlimit};
use serde::Serialize;

use crate::error::{ScaleError, io_error};

/// The role of a process in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A controller.
    Controller,
    /// The kv store.
    #[serde(rename = "state_service")]
    KvStore,
    /// The simulated workers of a zone.
    #[serde(rename = "hollow_workers")]
    SimulatedWorkers,
    /// The run's own process: users, cloud and checker.
    #[serde(rename = "load")]
    LoadGenerator,
}

/// The resource usage of a process at one time.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResourceSample {
    /// User and system processor time since the start of the process, in seconds.
    pub cpu_time_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Number of open files, most of which are sockets.
    pub open_files: usize,
}

/// One process of the run.
pub struct ManagedProcess {
    /// Name of the process in the report and in errors.
    pub name: String,
    /// Role of the process in the run.
    pub role: Role,
    command: ProcessCommand,
    child: Option<Child>,
}

/// How a process is started and restarted.
#[derive(Clone)]
pub struct ProcessCommand {
    /// Path of the program.
    pub program: PathBuf,
    /// Command-line arguments of the program.
    pub arguments: Vec<String>,
    /// File to which the output of the process is appended.
    pub log: PathBuf,
    /// Log level that the process gets in its environment.
    pub log_level: String,
}

impl ProcessCommand {
    fn start(&self) -> io::Result<Child> {
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log)?;
        Command::new(&self.program)
            .args(&self.arguments)
            .env("LOG_LEVEL", &self.log_level)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }
}

impl ManagedProcess {
    /// Starts a process.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or its log file cannot be opened.
    pub fn start(name: String, role: Role, command: ProcessCommand) -> Result<ManagedProcess, ScaleError> {
        let child = command.start().map_err(io_error(format!("starting {name}")))?;
        Ok(ManagedProcess { name, role, command, child: Some(child) })
    }

    fn pid(&self) -> Option<Pid> {
        self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    /// Returns the present resource usage; `None` if the process is not running.
    pub fn sample(&self) -> Option<ResourceSample> {
        let child = self.child.as_ref()?;
        sample_process(&Process::new(child.id() as i32).ok()?)
    }

    /// Returns whether the process exited without having been killed by the run.
    pub fn has_exited_unexpectedly(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => false,
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The signal fails only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process if it runs, and starts it again.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or its log file cannot be opened.
    pub fn restart(&mut self) -> Result<(), ScaleError> {
        self.kill();
        let child = self.command.start().map_err(io_error(format!("restarting {}", self.name)))?;
        self.child = Some(child);
        Ok(())
    }

    /// Pauses the process, or resumes it.
    pub fn set_paused(&self, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = self.pid() {
            // The signal fails only if the process has already exited, and then it is not needed.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn sample_process(process: &Process) -> Option<ResourceSample> {
    let stat = process.stat().ok()?;
    Some(ResourceSample {
        cpu_time_s: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
        memory_bytes: stat.rss * procfs::page_size(),
        open_files: process.fd_count().unwrap_or(0),
    })
}

/// Returns the resource usage of the run's own process.
pub fn sample_self() -> ResourceSample {
    Process::myself().ok().as_ref().and_then(sample_process).unwrap_or_default()
}

/// The memory of the machine.
pub struct MachineMemory {
    /// Total memory in bytes.
    pub total_bytes: u64,
    /// Memory in bytes that processes can still allocate.
    pub available_bytes: u64,
}

/// Reads the total and the available memory of the machine.
///
/// # Errors
///
/// `/proc/meminfo` cannot be read.
pub fn read_machine_memory() -> Result<MachineMemory, ScaleError> {
    let info = procfs::Meminfo::current()
        .map_err(|error| ScaleError::Process(format!("cannot read the memory of the machine: {error}")))?;
    let available_bytes = info.mem_available.unwrap_or(info.mem_free);
    Ok(MachineMemory { total_bytes: info.mem_total, available_bytes })
}

/// Raises the limit of open files for this process and the processes that it starts to `wanted`, if it is
/// lower.
///
/// # Errors
///
/// The hard limit is below `wanted`, or the limit cannot be set.
pub fn raise_open_file_limit(wanted: u64) -> Result<(), ScaleError> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    if maximum.is_some_and(|maximum| maximum < wanted) {
        let hard_limit = maximum.unwrap_or(0);
        return Err(ScaleError::Refused(format!(
            "a process needs {wanted} open files, but the hard limit is {hard_limit}; raise it (ulimit -Hn)"
        )));
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum }).map_err(|error| {
        ScaleError::Refused(format!("cannot raise the limit of open files to {wanted}: {error}"))
    })
}

/// Creates the output directory for logs, settings, the store's file and the report.
///
/// # Errors
///
/// The directory cannot be created.
pub fn create_output_directory(path: &Path) -> Result<(), ScaleError> {
    std::fs::create_dir_all(path).map_err(io_error(path.display().to_string()))
}
