//! The run's processes: started, sampled from the kernel's accounting, paused, killed, and all ended with the run.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use procfs::Current;
use procfs::process::Process;
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, setrlimit};
use serde::Serialize;

use crate::error::{ScaleError, io_error};

/// What a process does in a run.
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
    /// The run itself: users, cloud, checker.
    #[serde(rename = "load")]
    LoadGenerator,
}

/// A process in the kernel's accounting.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResourceSample {
    /// Seconds of processor time, user and system, since its start.
    pub cpu_time_s: f64,
    /// Resident memory.
    pub memory_bytes: u64,
    /// Open files, sockets above all.
    pub open_files: usize,
}

/// One process of the run.
pub struct ManagedProcess {
    /// Its name in the report and in errors.
    pub name: String,
    /// What it serves.
    pub role: Role,
    command: ProcessCommand,
    child: Option<Child>,
}

/// How a process is started and restarted.
#[derive(Clone)]
pub struct ProcessCommand {
    /// The program's file.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// File to which its output is appended.
    pub log: PathBuf,
    /// Its log level.
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
    /// The program or its log cannot be opened.
    pub fn start(name: String, role: Role, command: ProcessCommand) -> Result<ManagedProcess, ScaleError> {
        let child = command.start().map_err(io_error(format!("starting {name}")))?;
        Ok(ManagedProcess { name, role, command, child: Some(child) })
    }

    fn pid(&self) -> Option<Pid> {
        self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    /// What it uses; none if it does not run.
    pub fn sample(&self) -> Option<ResourceSample> {
        let child = self.child.as_ref()?;
        sample(&Process::new(child.id() as i32).ok()?)
    }

    /// Whether it has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => false,
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that has ended already needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process if it runs, and starts it again.
    ///
    /// # Errors
    ///
    /// The program or its log cannot be opened.
    pub fn restart(&mut self) -> Result<(), ScaleError> {
        self.kill();
        let child = self.command.start().map_err(io_error(format!("starting {} again", self.name)))?;
        self.child = Some(child);
        Ok(())
    }

    /// Pauses the process, or resumes it.
    pub fn set_paused(&self, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = self.pid() {
            // It fails only for a process that has ended, which needs neither.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn sample(process: &Process) -> Option<ResourceSample> {
    let stat = process.stat().ok()?;
    Some(ResourceSample {
        cpu_time_s: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
        memory_bytes: stat.rss * procfs::page_size(),
        open_files: process.fd_count().unwrap_or(0),
    })
}

/// What the run's own process uses.
pub fn sample_self() -> ResourceSample {
    Process::myself().ok().as_ref().and_then(sample).unwrap_or_default()
}

/// The machine's memory.
pub struct MachineMemory {
    /// All of it.
    pub total_bytes: u64,
    /// What processes can still allocate.
    pub free_bytes: u64,
}

/// Reads the machine's memory.
///
/// # Errors
///
/// The kernel's accounting cannot be read.
pub fn memory_totals() -> Result<MachineMemory, ScaleError> {
    let info = procfs::Meminfo::current()
        .map_err(|error| ScaleError::Process(format!("the machine's memory is not known: {error}")))?;
    let free_bytes = info.mem_available.unwrap_or(info.mem_free);
    Ok(MachineMemory { total_bytes: info.mem_total, free_bytes })
}

/// Raises the limit of open files for this process and those it starts, if it is below `wanted`.
///
/// # Errors
///
/// The machine does not allow so many.
pub fn raise_open_file_limit(wanted: u64) -> Result<(), ScaleError> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_none_or(|current| current >= wanted) {
        return Ok(());
    }
    if maximum.is_some_and(|maximum| maximum < wanted) {
        let most = maximum.unwrap_or(0);
        return Err(ScaleError::Refused(format!(
            "a process needs {wanted} open files, the machine allows {most} (ulimit -n)"
        )));
    }
    setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum })
        .map_err(|error| ScaleError::Refused(format!("{wanted} open files are not allowed: {error}")))
}

/// Creates the folder for logs, settings, the store's file and the report.
///
/// # Errors
///
/// It cannot be created.
pub fn create_folder(path: &Path) -> Result<(), ScaleError> {
    std::fs::create_dir_all(path).map_err(io_error(path.display().to_string()))
}
