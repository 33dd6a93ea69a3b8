//! Verbs about graphs.

use olivelatch_worker::Work;
use serde_json::json;

use super::verbs::{Done, status_of, wrong};
use super::{World, number, word};

impl World {
    /// Turns the graphs' interface on, with the operators': pool:NAME=SLOTS, other settings as they are.
    pub fn graphs(&mut self, words: &[&str]) -> Done {
        let (pools, settings): (Vec<&str>, Vec<&str>) =
            words.iter().partition(|word| word.starts_with("pool:"));
        let line = |pair: &str| format!("  {}\n", pair.replace('=', " = "));
        let pools: String = pools.iter().map(|pool| line(&pool[5..])).collect();
        let settings: String = settings.iter().map(|pair| line(pair)).collect();
        self.tunables.push_str("operators {\n  enabled = true\n}\n");
        self.tunables
            .push_str(&format!("graphs {{\n  enabled = true\n{settings}  pools = {{\n{pools}  }}\n}}\n"));
        Ok(())
    }

    /// A node of a run that is being drafted: RUN NAME JOB [after=A,B*] [map=A] [rule= tries= wait= limit= pool=
    /// output=], and the words of a job.
    pub fn node_of(&mut self, words: &[&str]) -> Done {
        let [run, name, rest @ ..] = words else { return wrong("RUN NAME JOB ...") };
        let job: u64 = rest.first().and_then(|job| job.parse().ok()).ok_or("a job's number")?;
        let (_, mut spec, _) = self.describe(rest);
        spec["uid"] = json!("");
        let template = json!({"spec": spec, "rule": word(rest, "rule").unwrap_or("all_success"),
            "tries": number(rest, "tries", 1.0) as u32, "wait_s": number(rest, "wait", 1.0),
            "most_wait_s": number(rest, "most_wait", 60.0), "limit_s": word(rest, "limit").map(|l| l.parse::<f64>().expect("limit")),
            "pool": word(rest, "pool"), "output_gb": number(rest, "output", 0.0)});
        let template = serde_json::from_value(template).map_err(|error| error.to_string())?;
        let after: Vec<&str> = word(rest, "after").map_or(Vec::new(), |after| after.split(',').collect());
        self.flows.draft(run).add(name, job, template, &after, word(rest, "map"));
        Ok(())
    }

    /// Many nodes alike: RUN PREFIX FIRST-JOB COUNT, and the words of a node.
    pub fn fan(&mut self, words: &[&str]) -> Done {
        let [run, prefix, job, count, rest @ ..] = words else { return wrong("RUN PREFIX JOB COUNT ...") };
        let job: u64 = job.parse().map_err(|_| "a job's number")?;
        for at in 0..count.parse::<u64>().map_err(|_| "a count")? {
            let (name, job) = (format!("{prefix}{at}"), (job + at).to_string());
            let words: Vec<&str> =
                [*run, name.as_str(), job.as_str()].into_iter().chain(rest.iter().copied()).collect();
            self.node_of(&words)?;
        }
        Ok(())
    }

    /// Uploads the first parts of a run and no more: RUN COUNT [bytes=].
    pub fn upload(&mut self, words: &[&str]) -> Done {
        let [run, count, rest @ ..] = words else { return wrong("RUN COUNT [bytes=]") };
        let most = count.parse().map_err(|_| "a count")?;
        self.flows.upload(self.now, run, number(rest, "bytes", 3_900.0) as usize, most);
        Ok(())
    }

    /// Uploads and commits: RUN GRAPH [most=] [bytes=] [expect=]; `alone`: without the upload.
    pub fn commit(&mut self, words: &[&str]) -> Done {
        let [run, graph, rest @ ..] = words else { return wrong("RUN GRAPH ...") };
        let bytes = number(rest, "bytes", 3_900.0) as usize;
        let most = if rest.contains(&"alone") { 0 } else { usize::MAX };
        let parts = self.flows.upload(self.now, run, bytes, most);
        let expect = word(rest, "expect").map(status_of).transpose()?;
        self.flows.commit(self.now, run, graph, parts, number(rest, "most", 1.0) as u64, expect);
        Ok(())
    }

    pub fn cancel_run(&mut self, words: &[&str]) -> Done {
        let [run] = words else { return wrong("RUN") };
        self.flows.cancel(self.now, run);
        Ok(())
    }

    /// Does a node and all behind it over: RUN NODE FIRST-JOB; the new jobs fail no more.
    pub fn redo(&mut self, words: &[&str]) -> Done {
        let [run, node, job] = words else { return wrong("RUN NODE JOB") };
        let job = job.parse().map_err(|_| "a job's number")?;
        for (old, new) in self.flows.redo(self.now, run, node, job) {
            if let (Some(mut facts), Some(spec)) =
                (self.jobs.get(&old).cloned(), self.specs.get(&old).cloned())
            {
                if let Work::Takes { fails, .. } = &mut facts.work {
                    *fails = false;
                }
                self.jobs.insert(new.clone(), facts);
                self.specs.insert(new, spec);
            }
        }
        Ok(())
    }
}
