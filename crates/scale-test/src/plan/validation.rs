//! Checks that the values of a plan are in range, before any process is started.

use super::{FaultKind, Plan};

/// Maximum number of processes that a run may start.
const MAX_PROCESSES: usize = 200;

/// A value that is out of range.
pub(super) struct InvalidValue {
    pub(super) field: String,
    pub(super) expected: String,
    pub(super) found: String,
}

impl Plan {
    /// Checks all values and returns the first one that is out of range as the error.
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        self.validate_sizes()?;
        self.validate_machines()?;
        self.validate_phases()?;
        self.validate_jobs()?;
        self.validate_faults()?;
        self.validate_changes()
    }

    fn validate_sizes(&self) -> Result<(), InvalidValue> {
        check_range("controllers", self.controllers as f64, 1.0, 100.0)?;
        check_range("zones: number of names", self.zones.len() as f64, 1.0, 100.0)?;
        check_range("machine: number of blocks", self.machine_types.len() as f64, 1.0, 20.0)?;
        check_range("phase: number of blocks", self.phases.len() as f64, 1.0, 100.0)?;
        check_range("job: number of blocks", self.job_classes.len() as f64, 1.0, 100.0)?;
        check_range("teams.count", self.teams.count as f64, 1.0, 10_000.0)?;
        check_range(
            "number of processes (controllers, zones, kv store, the run itself)",
            self.process_count() as f64,
            1.0,
            MAX_PROCESSES as f64,
        )
    }

    fn validate_machines(&self) -> Result<(), InvalidValue> {
        for (name, machine) in &self.machine_types {
            check_range(
                &format!("machine {name}: up_at_start"),
                machine.up_at_start as f64,
                0.0,
                machine.per_zone as f64,
            )?;
            check_range(&format!("machine {name}: cpus"), machine.cpus, 0.001, 1e6)?;
            check_range(&format!("machine {name}: fetch_gb_per_s"), machine.fetch_gb_per_s, 1e-6, 1e6)?;
        }
        Ok(())
    }

    fn validate_phases(&self) -> Result<(), InvalidValue> {
        for (name, phase) in &self.phases {
            check_range(&format!("phase {name}: seconds"), phase.seconds, 1.0, 86_400.0)?;
            check_range(&format!("phase {name}: starts_per_s"), phase.starts_per_s, 0.0, 1e5)?;
        }
        Ok(())
    }

    fn validate_jobs(&self) -> Result<(), InvalidValue> {
        for (name, job) in &self.job_classes {
            check_range(&format!("job {name}: share"), job.share, 0.0, 1.0)?;
            check_range(&format!("job {name}: cancelled"), job.cancelled_share, 0.0, 1.0)?;
            check_range(
                &format!("job {name}: tasks: smallest number (0 if the list is empty)"),
                job.tasks.iter().min().copied().unwrap_or(0).into(),
                1.0,
                100_000.0,
            )?;
            check_range(&format!("job {name}: images"), job.images.into(), 1.0, 1e6)?;
            check_range(
                &format!("job {name}: run_s: maximum minus minimum"),
                job.run_s[1] - job.run_s[0],
                0.0,
                1e6,
            )?;
        }
        Ok(())
    }

    fn validate_faults(&self) -> Result<(), InvalidValue> {
        for (name, fault) in &self.faults {
            check_range(&format!("fault {name}: at_s"), fault.at_s(), 0.0, self.load_s())?;
            if let FaultKind::PartitionZones { zones, .. } = fault
                && let Some(unknown) = zones.iter().find(|zone| !self.zones.contains(zone))
            {
                let expected = format!("one of {}", self.zones.join(", "));
                return Err(InvalidValue {
                    field: format!("fault {name}: zones"),
                    expected,
                    found: unknown.clone(),
                });
            }
        }
        Ok(())
    }

    fn validate_changes(&self) -> Result<(), InvalidValue> {
        for (name, series) in &self.change_series {
            check_range(&format!("change {name}: every_s"), series.every_s, 0.1, 86_400.0)?;
            check_range(&format!("change {name}: burst"), series.burst as f64, 1.0, 1000.0)?;
            check_range(&format!("change {name}: to_s"), series.to_s, series.from_s, self.load_s())?;
        }
        Ok(())
    }
}

fn check_range(field: &str, value: f64, low: f64, high: f64) -> Result<(), InvalidValue> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(InvalidValue { field: field.into(), expected: format!("{low} to {high}"), found: value.to_string() })
}
