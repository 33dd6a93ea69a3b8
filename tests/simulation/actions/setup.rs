//! Actions that set up a cluster: settings, teams, machines, controllers, and initial records.

use olivelatch_local_cluster::MachineTypeSpec;
use serde_json::{Value, json};

use super::super::{ControllerSlot, JobArguments, SimulatedCluster, named_argument, numeric_argument};
use super::{ActionResult, parse_argument, parse_seconds, usage_error};

impl SimulatedCluster {
    pub(super) fn set_settings(&mut self, words: &[&str]) -> ActionResult {
        let [section, pairs @ ..] = words else { return usage_error("SECTION NAME=VALUE ...") };
        for pair in pairs {
            let (name, value) =
                pair.split_once('=').ok_or_else(|| format!("expected NAME=VALUE, found {pair}"))?;
            let value: f64 = parse_argument(value, "a number")?;
            let exact = if value.fract() == 0.0 { json!(value as u64) } else { json!(value) };
            self.config["cluster"][*section][name] = exact;
        }
        Ok(())
    }

    pub(super) fn set_tunable(&mut self, words: &[&str]) -> ActionResult {
        let [name, value] = words else { return usage_error("NAME VALUE") };
        self.tunables.push_str(&format!("{name} = {value}\n"));
        Ok(())
    }

    /// Enables the operators' interface. The words are settings of the `operators` block.
    pub(super) fn set_operators(&mut self, words: &[&str]) -> ActionResult {
        let settings = words.iter().map(|pair| format!("  {}\n", pair.replace('=', " = ")));
        let block: String = settings.collect();
        self.tunables.push_str(&format!("operators {{\n  enabled = true\n{block}}}\n"));
        Ok(())
    }

    pub(super) fn add_team(&mut self, words: &[&str]) -> ActionResult {
        let [name, rest @ ..] = words else { return usage_error("NAME [guaranteed=] [max=]") };
        let team = json!({"name": name, "cpus": numeric_argument(rest, "guaranteed", 0.0),
            "cpus_max": numeric_argument(rest, "max", 0.0), "gpus": 0.0, "gpus_max": 0.0});
        self.config["cluster"]["teams"].as_array_mut().expect("teams").push(team);
        Ok(())
    }

    pub(super) fn add_objective(&mut self, words: &[&str]) -> ActionResult {
        let [class, within] = words else { return usage_error("CLASS SECONDS") };
        let objective = json!({"kind": "finished", "class": class, "within_s": parse_seconds(within)?});
        self.config["cluster"]["objectives"].as_array_mut().expect("objectives").push(objective);
        Ok(())
    }

    pub(super) fn add_machine_type(&mut self, words: &[&str]) -> ActionResult {
        let [name, rest @ ..] = words else { return usage_error("NAME, followed by NAME=VALUE ...") };
        self.cloud.machine_types.push(MachineTypeSpec {
            name: (*name).into(),
            cpus: numeric_argument(rest, "cpus", 4.0),
            memory_gb: numeric_argument(rest, "memory", 64.0),
            gpus: numeric_argument(rest, "gpus", 0.0),
            fetch_gb_per_s: numeric_argument(rest, "fetch", 1.0),
            boot_s: numeric_argument(rest, "boot", 5.0),
            zones: named_argument(rest, "zones").unwrap_or("a").split(',').map(String::from).collect(),
            on_demand_per_zone: numeric_argument(rest, "count", 10.0) as usize,
            spot_per_zone: numeric_argument(rest, "spot", 0.0) as usize,
        });
        Ok(())
    }

    pub(super) fn start_controllers(&mut self, zones: &[&str]) -> ActionResult {
        for (index, zone) in zones.iter().enumerate() {
            self.controllers.push(ControllerSlot::new(format!("n{index}"), zone));
        }
        (0..self.controllers.len()).for_each(|index| self.boot_controller(index));
        Ok(())
    }

    pub(super) fn add_machine(&mut self, words: &[&str]) -> ActionResult {
        let [kind, zone, rest @ ..] = words else { return usage_error("KIND ZONE [spot]") };
        self.cloud.add_machine(kind, zone, rest.contains(&"spot"), self.now, 0);
        Ok(())
    }

    pub(super) fn add_machines(&mut self, words: &[&str]) -> ActionResult {
        let [kind, zone, count] = words else { return usage_error("KIND ZONE COUNT") };
        for _ in 0_usize..parse_argument(count, "a number of machines")? {
            self.cloud.add_machine(kind, zone, false, self.now, 0);
        }
        Ok(())
    }

    /// Stores a record, for example one in the format of an earlier version.
    pub(super) fn put_record(&mut self, words: &[&str]) -> ActionResult {
        let [key, text @ ..] = words else { return usage_error("KEY JSON") };
        let value: Value = serde_json::from_str(&text.join(" ")).map_err(|error| error.to_string())?;
        self.kv_store.put(key, value);
        Ok(())
    }

    /// Declares a job whose submission has already been accepted, for example by an earlier version.
    pub(super) fn mark_accepted(&mut self, words: &[&str]) -> ActionResult {
        let JobArguments { id, .. } = self.describe_job(words);
        self.accepted_jobs.insert(id);
        Ok(())
    }
}
