//! Runs the controllers as child processes: writes their settings, opens their logs and restarts them.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use olivelatch_worker::processes::Processes;

use crate::addresses::ClusterAddresses;
use crate::settings::{Platform, controller_name, controller_settings};

/// Delay before a controller that has exited is restarted.
const RESTART_DELAY_MS: u64 = 3_000;

/// How controllers are started: their program, and its arguments, tunables and log level.
#[derive(Debug, Clone)]
pub struct ControllerPlan {
    /// Path of the program. It is started with `arguments`, followed by `--tunables FILE --config FILE`.
    pub program: PathBuf,
    /// Arguments that precede the two flags.
    pub arguments: Vec<String>,
    /// Content of the tunables file, in HCL.
    pub tunables: String,
    /// Log level of the controllers: `error`, `info` or `debug`.
    pub log_level: String,
}

/// The files of a controller, and its process while it runs.
struct Controller {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    restart_at: u64,
}

/// All controllers of the cluster.
pub struct Controllers {
    controller_plan: ControllerPlan,
    tunables: PathBuf,
    controllers: Vec<Controller>,
}

impl Controllers {
    /// Writes the settings and the tunables file that the controllers read. `restart_exited` starts the controllers.
    pub fn write_settings(
        folder: &Path,
        controller_plan: ControllerPlan,
        addresses: &ClusterAddresses,
        platform: &Platform,
    ) -> io::Result<Controllers> {
        let tunables = folder.join("tunables.hcl");
        std::fs::write(&tunables, &controller_plan.tunables)?;
        let mut controllers = Vec::new();
        for index in 0..addresses.controllers.len() {
            let name = controller_name(index);
            let settings = folder.join(format!("{name}.json"));
            std::fs::write(&settings, controller_settings(addresses, index, platform).to_string())?;
            let log = folder.join(format!("{name}.log"));
            controllers.push(Controller { settings, log, child: None, restart_at: 0 });
        }
        Ok(Controllers { controller_plan, tunables, controllers })
    }

    fn start_controller(&self, controller: &Controller) -> io::Result<Child> {
        let log: File = OpenOptions::new().create(true).append(true).open(&controller.log)?;
        Command::new(&self.controller_plan.program)
            .args(&self.controller_plan.arguments)
            .arg("--tunables")
            .arg(&self.tunables)
            .arg("--config")
            .arg(&controller.settings)
            .env("LOG_LEVEL", &self.controller_plan.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            // Gives the controller its own process group, as tasks have: the next local cluster kills orphaned
            // processes by group.
            .process_group(0)
            .spawn()
    }

    /// Starts the controllers that do not run and whose restart delay has passed, and records their process ids.
    pub fn restart_exited(&mut self, now: u64, processes: &mut Processes) -> io::Result<()> {
        for index in 0..self.controllers.len() {
            let controller = &mut self.controllers[index];
            if let Some(child) = &mut controller.child
                && child.try_wait()?.is_some()
            {
                controller.child = None;
                controller.restart_at = now + RESTART_DELAY_MS;
            }
            if controller.child.is_none() && controller.restart_at <= now {
                let child = self.start_controller(&self.controllers[index])?;
                processes.record_pid(child.id())?;
                self.controllers[index].child = Some(child);
            }
        }
        Ok(())
    }

    /// Returns the process id of each controller, or `None` for one that does not run.
    pub fn pids(&self) -> Vec<Option<u32>> {
        self.controllers.iter().map(|controller| controller.child.as_ref().map(Child::id)).collect()
    }

    /// Kills a controller. `restart_exited` restarts it.
    pub fn kill_controller(&mut self, index: usize) {
        if let Some(child) = self.controllers.get_mut(index).and_then(|controller| controller.child.as_mut())
        {
            // An error means that the process has already exited; `restart_exited` notices that.
            let _ = child.kill();
        }
    }

    /// Kills all controllers and waits until they have exited.
    pub fn stop_all(&mut self) {
        for controller in &mut self.controllers {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        self.stop_all();
    }
}
