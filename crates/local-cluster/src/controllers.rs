//! Controllers as child processes: their files, their logs, and their restarts.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use olivelatch_worker::processes::Processes;

use crate::addresses::ClusterAddresses;
use crate::settings::{Platform, controller_name, controller_settings};

/// A controller that ended is started again after this.
const RESTART_DELAY_MS: u64 = 3_000;

/// The program of the controllers, and what it gets besides its settings.
#[derive(Debug, Clone)]
pub struct ControllerPlan {
    /// The program; it is started with `arguments`, then `--tunables FILE --config FILE`.
    pub program: PathBuf,
    /// These arguments.
    pub arguments: Vec<String>,
    /// The text of the tunables file (HCL).
    pub tunables: String,
    /// `error`, `info` or `debug`.
    pub log_level: String,
}

/// A controller's files, and its process while it runs.
struct Controller {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    restart_at: u64,
}

/// All controllers of the region.
pub struct Controllers {
    controller_plan: ControllerPlan,
    tunables: PathBuf,
    controllers: Vec<Controller>,
}

impl Controllers {
    /// Writes the files that they read; `restart_exited` starts them.
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
            // A process group of its own, as tasks have: the next region ends leftovers by their groups.
            .process_group(0)
            .spawn()
    }

    /// Starts the controllers that are due, and records their process ids.
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

    /// The process id of each controller that runs, by its position.
    pub fn pids(&self) -> Vec<Option<u32>> {
        self.controllers.iter().map(|controller| controller.child.as_ref().map(Child::id)).collect()
    }

    /// Kills a controller; `restart_exited` starts it again.
    pub fn kill_controller(&mut self, index: usize) {
        if let Some(child) = self.controllers.get_mut(index).and_then(|controller| controller.child.as_mut())
        {
            // One that has ended already needs no signal; `restart_exited` finds it.
            let _ = child.kill();
        }
    }

    /// Kills all controllers for good.
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
