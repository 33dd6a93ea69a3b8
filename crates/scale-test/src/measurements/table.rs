//! Renders the report as a text table.

use std::fmt::{Result, Write};

use super::{RunReport, URGENT_OBJECTIVE_MS};

impl RunReport {
    /// Returns the report as text, with one line for each value or group of values.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write_table(&mut text);
        text
    }

    fn write_table(&self, text: &mut String) -> Result {
        writeln!(text, "{}: {}, seed {}", self.plan, self.end_reason, self.seed)?;
        self.write_throughput(text)?;
        self.write_jobs(text)?;
        self.write_start_latencies(text)?;
        self.write_workers(text)?;
        self.write_kv_store(text)?;
        self.write_leader_changes(text)?;
        self.write_urgent_tasks(text)?;
        self.write_config_changes(text)?;
        self.write_processes(text)?;
        writeln!(
            text,
            "late submissions: {} jobs, at most {:.1} s late",
            self.late_submissions, self.load_late_max_s
        )?;
        writeln!(
            text,
            "checker: {} events checked, {} violations",
            self.events_checked,
            self.violations.len()
        )
    }

    fn write_throughput(&self, text: &mut String) -> Result {
        writeln!(
            text,
            "task starts per second: {:.0} at the peak (10 s mean); tasks on machines: at most {}",
            self.starts_per_s_peak, self.running_peak
        )?;
        for phase in &self.phases {
            writeln!(
                text,
                "  {:<14} {:>6.0} planned {:>6.0} started",
                phase.name, phase.planned_starts_per_s, phase.starts_per_s
            )?;
        }
        Ok(())
    }

    fn write_jobs(&self, text: &mut String) -> Result {
        writeln!(
            text,
            "jobs: {} submitted, {} accepted (p50 {:.3} p99 {:.3} max {:.2} s), {} abandoned, {} done, {} cancelled, {} unfinished at the end, {} without a response to the final poll",
            self.submitted,
            self.accepted,
            self.acceptance_latency.p50_s,
            self.acceptance_latency.p99_s,
            self.acceptance_latency.max_s,
            self.abandoned,
            self.done,
            self.cancelled,
            self.unfinished_at_end,
            self.unanswered_at_end
        )
    }

    fn write_start_latencies(&self, text: &mut String) -> Result {
        writeln!(text, "latency from planned submission to first start, s:")?;
        for (class, phases) in &self.start_latencies {
            for (phase, latency) in phases {
                writeln!(
                    text,
                    "  {class:<12} {phase:<14} {:>8} tasks  p50 {:>7.2}  p99 {:>7.2}  max {:>7.2}",
                    latency.count, latency.p50_s, latency.p99_s, latency.max_s
                )?;
            }
        }
        Ok(())
    }

    fn write_workers(&self, text: &mut String) -> Result {
        let workers = &self.workers;
        writeln!(
            text,
            "workers: at most {}; each {:.2}% of a core, {:.2} MB (processes divided by workers), {:.0} B/s in, {:.0} B/s out; all: {:.0} heartbeats, {:.0} commands per second",
            workers.workers_peak,
            workers.cpu_share * 100.0,
            workers.memory_mb,
            workers.bytes_in_per_s,
            workers.bytes_out_per_s,
            workers.heartbeats_per_s,
            workers.commands_per_s
        )
    }

    fn write_kv_store(&self, text: &mut String) -> Result {
        let kv_store = &self.state;
        writeln!(
            text,
            "kv store: {:.0} requests, {:.0} mutations per second; {} requests refused, {} keys",
            kv_store.requests_per_s, kv_store.mutations_per_s, kv_store.refused, kv_store.keys
        )
    }

    fn write_leader_changes(&self, text: &mut String) -> Result {
        let seconds = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.1} s"));
        for change in &self.leader_changes {
            writeln!(
                text,
                "leader change: {} at {:.1} s, after the kill {}, until its first task start {}",
                change.controller,
                change.at_s,
                seconds(change.after_kill_s),
                seconds(change.first_start_s)
            )?;
        }
        Ok(())
    }

    fn write_urgent_tasks(&self, text: &mut String) -> Result {
        writeln!(
            text,
            "urgent tasks that waited longer than {:.1} s: {}, of these {} of jobs that did not fit under their team's limit",
            URGENT_OBJECTIVE_MS as f64 / 1000.0,
            self.urgent_past_objective,
            self.urgent_late_at_limit
        )
    }

    fn write_config_changes(&self, text: &mut String) -> Result {
        for (name, changes) in &self.changes {
            writeln!(
                text,
                "configuration changes, {name}: {} requested, {} failed; accepted p50 {:.3} p99 {:.3} max {:.2} s; in force p50 {:.3} p99 {:.3} max {:.2} s, {} later than 3 s",
                changes.requested,
                changes.failed,
                changes.acceptance_latency.p50_s,
                changes.acceptance_latency.p99_s,
                changes.acceptance_latency.max_s,
                changes.in_force_latency.p50_s,
                changes.in_force_latency.p99_s,
                changes.in_force_latency.max_s,
                changes.past_objective
            )?;
        }
        Ok(())
    }

    fn write_processes(&self, text: &mut String) -> Result {
        writeln!(
            text,
            "{:<18} {:>9} {:>9} {:>9} {:>7}",
            "process", "cpu mean", "cpu peak", "MB peak", "files"
        )?;
        for process in &self.processes {
            writeln!(
                text,
                "{:<18} {:>9.3} {:>9.3} {:>9.0} {:>7}",
                process.name, process.cpu_mean, process.cpu_peak, process.memory_peak_mb, process.files_peak
            )?;
        }
        Ok(())
    }
}
