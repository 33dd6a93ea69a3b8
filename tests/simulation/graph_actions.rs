//! Actions on graphs: describing nodes, uploading and committing a graph, cancelling a run and rerunning nodes.

use olivelatch_worker::TaskWork;
use serde_json::json;

use super::actions::{ActionResult, parse_status, usage_error};
use super::{SimulatedCluster, named_argument, numeric_argument};

const DEFAULT_PART_BYTES: f64 = 3_900.0;

impl SimulatedCluster {
    /// Enables the interfaces for graphs and for operators: [pool:NAME=SLOTS ...] [NAME=VALUE ...]. The first add
    /// pools, the others are tunables in the `graphs` block.
    pub fn set_graphs(&mut self, words: &[&str]) -> ActionResult {
        let (pools, tunables): (Vec<&str>, Vec<&str>) =
            words.iter().partition(|word| word.starts_with("pool:"));
        let line = |pair: &str| format!("  {}\n", pair.replace('=', " = "));
        let pools: String = pools.iter().map(|pool| line(&pool["pool:".len()..])).collect();
        let tunables: String = tunables.iter().map(|pair| line(pair)).collect();
        self.tunables.push_str("operators {\n  enabled = true\n}\n");
        self.tunables
            .push_str(&format!("graphs {{\n  enabled = true\n{tunables}  pools = {{\n{pools}  }}\n}}\n"));
        Ok(())
    }

    /// Adds a node to the draft of a run: RUN NAME JOB [after=A,B*] [map=A] [rule= tries= wait= max_wait= limit= pool=
    /// output=], followed by the arguments of a job.
    pub fn add_node(&mut self, words: &[&str]) -> ActionResult {
        let [run, name, rest @ ..] = words else { return usage_error("RUN NAME JOB ...") };
        let job: u64 = rest.first().and_then(|job| job.parse().ok()).ok_or("a job's number")?;
        let mut spec = self.describe_job(rest).spec;
        spec["uid"] = json!("");
        let template = json!({"spec": spec, "rule": named_argument(rest, "rule").unwrap_or("all_success"),
            "tries": numeric_argument(rest, "tries", 1.0) as u32, "wait_s": numeric_argument(rest, "wait", 1.0),
            "most_wait_s": numeric_argument(rest, "max_wait", 60.0), "limit_s": named_argument(rest, "limit").map(|l| l.parse::<f64>().expect("limit")),
            "pool": named_argument(rest, "pool"), "output_gb": numeric_argument(rest, "output", 0.0)});
        let template = serde_json::from_value(template).map_err(|error| error.to_string())?;
        let after: Vec<&str> =
            named_argument(rest, "after").map_or(Vec::new(), |after| after.split(',').collect());
        self.dag_runs.draft(run).add(name, job, template, &after, named_argument(rest, "map"));
        Ok(())
    }

    /// Adds many identical nodes: RUN PREFIX FIRST-JOB COUNT, followed by the arguments of a node.
    pub fn add_fan_out(&mut self, words: &[&str]) -> ActionResult {
        let [run, prefix, job, count, rest @ ..] = words else {
            return usage_error("RUN PREFIX JOB COUNT ...");
        };
        let job: u64 = job.parse().map_err(|_| "a job's number")?;
        for index in 0..count.parse::<u64>().map_err(|_| "a count")? {
            let (name, job) = (format!("{prefix}{index}"), (job + index).to_string());
            let words: Vec<&str> =
                [*run, name.as_str(), job.as_str()].into_iter().chain(rest.iter().copied()).collect();
            self.add_node(&words)?;
        }
        Ok(())
    }

    /// Uploads only the first parts of a run: RUN COUNT [bytes=].
    pub fn upload_graph(&mut self, words: &[&str]) -> ActionResult {
        let [run, count, rest @ ..] = words else { return usage_error("RUN COUNT [bytes=]") };
        let max_parts = count.parse().map_err(|_| "a count")?;
        self.dag_runs.upload(
            self.now,
            run,
            numeric_argument(rest, "bytes", DEFAULT_PART_BYTES) as usize,
            max_parts,
        );
        Ok(())
    }

    /// Uploads and commits a run: RUN GRAPH [max_runs=] [bytes=] [expect=] [without-upload]. `max_runs` is how many runs
    /// of the graph may be active at once, `bytes` the maximum size of a part, and `expect` the status of the response.
    /// With `without-upload` the run is committed without an upload.
    pub fn commit_graph(&mut self, words: &[&str]) -> ActionResult {
        let [run, graph, rest @ ..] = words else { return usage_error("RUN GRAPH ...") };
        let bytes = numeric_argument(rest, "bytes", DEFAULT_PART_BYTES) as usize;
        let max_parts = if rest.contains(&"without-upload") { 0 } else { usize::MAX };
        let parts = self.dag_runs.upload(self.now, run, bytes, max_parts);
        let expect = named_argument(rest, "expect").map(parse_status).transpose()?;
        self.dag_runs.commit(
            self.now,
            run,
            graph,
            parts,
            numeric_argument(rest, "max_runs", 1.0) as u64,
            expect,
        );
        Ok(())
    }

    pub fn cancel_run(&mut self, words: &[&str]) -> ActionResult {
        let [run] = words else { return usage_error("RUN") };
        self.dag_runs.cancel(self.now, run);
        Ok(())
    }

    /// Reruns a node and all nodes downstream of it: RUN NODE FIRST-JOB. The new jobs do not fail.
    pub fn rerun(&mut self, words: &[&str]) -> ActionResult {
        let [run, node, job] = words else { return usage_error("RUN NODE JOB") };
        let job = job.parse().map_err(|_| "a job's number")?;
        for (old, new) in self.dag_runs.rerun(self.now, run, node, job) {
            if let (Some(mut description), Some(spec)) =
                (self.jobs.get(&old).cloned(), self.submissions.get(&old).cloned())
            {
                if let TaskWork::Simulated { fails, .. } = &mut description.work {
                    *fails = false;
                }
                self.jobs.insert(new.clone(), description);
                self.submissions.insert(new, spec);
            }
        }
        Ok(())
    }
}
