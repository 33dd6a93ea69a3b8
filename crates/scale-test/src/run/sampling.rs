//! What a run measures while it goes: a sample of every process each second, progress, and the sums at the end of the load.

use super::ScaleRun;
use crate::control::ZoneStatus;
use crate::error::ScaleError;
use crate::measurements::{PhaseThroughput, SecondSample};
use crate::processes::{Role, sample_self};

/// Between two lines of progress.
const PROGRESS_MS: u64 = 5_000;

impl ScaleRun {
    pub(super) fn sample_processes(&mut self, now: u64) -> Result<(), ScaleError> {
        self.last_sample_at = now;
        let mut second = SecondSample {
            at_s: now.saturating_sub(self.load_start_ms) / 1000,
            starts: std::mem::take(&mut self.starts),
            running: self.zones.iter().map(|zone| zone.status.tasks_on_machines).sum(),
            workers: self.zones.iter().map(|zone| zone.status.workers).sum(),
            waiting: self.waiting_tasks,
            heartbeats: self.zones.iter().map(|zone| zone.status.heartbeats_sent).sum(),
            state_requests: self.kv_measurements.requests,
            state_changes: self.kv_measurements.mutations,
            load_cpu: self.own_usage.add_sample(now, Some(sample_self())),
            ..SecondSample::default()
        };
        let leader = self.leader_index().map(|leader| self.controller_process_index(leader));
        let mut bytes = sample_self().memory_bytes;
        for at in 0..self.processes.len() {
            let sample = self.processes[at].sample();
            bytes += sample.map_or(0, |sample| sample.memory_bytes);
            let share = self.process_usage[at].add_sample(now, sample);
            match self.processes[at].role {
                Role::Controller => second.controllers_cpu += share,
                Role::KvStore => second.state_cpu += share,
                Role::SimulatedWorkers => second.workers_cpu += share,
                Role::LoadGenerator => {}
            }
            if leader == Some(at) {
                second.leader_cpu = share;
            }
            if self.processes[at].has_exited() {
                return Err(ScaleError::Process(format!("{} has ended by itself", self.processes[at].name)));
            }
        }
        if bytes > self.memory_limit {
            return Err(ScaleError::Refused(format!("the processes take {} MB", bytes / 1_000_000)));
        }
        if self.load_start_ms != u64::MAX {
            self.report.samples.push(second);
            self.show_progress(now);
        }
        Ok(())
    }

    fn show_progress(&mut self, now: u64) {
        if now < self.last_progress_at + PROGRESS_MS {
            return;
        }
        self.last_progress_at = now;
        let lately = self.report.samples.iter().rev().take(5);
        let starts: u64 = lately.clone().map(|second| second.starts).sum();
        let Some(second) = self.report.samples.last() else { return };
        println!(
            "{:>4} s {:<14} {:>5.0} starts/s {:>6} on workers {:>7} waiting {:>5} workers  leader {:.2} controllers {:.2} workers {:.2} load {:.2} of a core, {} violations",
            second.at_s,
            self.phase_at(second.at_s * 1000).unwrap_or("after"),
            starts as f64 / lately.len().max(1) as f64,
            second.running,
            second.waiting,
            second.workers,
            second.leader_cpu,
            second.controllers_cpu,
            second.workers_cpu,
            second.load_cpu,
            self.checker.violations().len()
        );
    }

    /// What counts over the load is taken at its end.
    pub(super) fn record_load_end(&mut self, load_end: u64) {
        let seconds = load_end.saturating_sub(self.load_start_ms) as f64 / 1000.0;
        if seconds <= 0.0 {
            return;
        }
        let since = |pick: fn(&ZoneStatus) -> u64| -> f64 {
            let moved = self.zones.iter().map(|zone| pick(&zone.status) - pick(&zone.status_at_load_start));
            moved.sum::<u64>() as f64 / seconds
        };
        let workers = self.report.samples.iter().map(|second| second.workers).max().unwrap_or(0);
        let one = workers.max(1) as f64;
        let (bytes_in, bytes_out) = (since(|news| news.bytes_in) / one, since(|news| news.bytes_out) / one);
        let (reports, commands) = (since(|news| news.heartbeats_sent), since(|news| news.commands_received));
        let figures = &mut self.report.workers;
        figures.workers_peak = workers;
        figures.bytes_in_per_s = bytes_in;
        figures.bytes_out_per_s = bytes_out;
        figures.heartbeats_per_s = reports;
        figures.commands_per_s = commands;
        let hollow = || self.process_usage.iter().filter(|figures| figures.role == Role::SimulatedWorkers);
        figures.cpu_share = hollow().map(|figures| figures.cpu_mean).sum::<f64>() / one;
        figures.memory_mb = hollow().map(|figures| figures.memory_peak_mb).sum::<f64>() / one;
        let (now, before) = (&self.kv_measurements, &self.kv_at_load_start);
        let per_s = |now: u64, before: u64| (now - before) as f64 / seconds;
        let state = &mut self.report.state;
        state.requests_per_s = per_s(now.requests, before.requests);
        state.mutations_per_s = per_s(now.mutations, before.mutations);
        state.bytes_in_per_s = per_s(now.bytes_in, before.bytes_in);
        state.bytes_out_per_s = per_s(now.bytes_out, before.bytes_out);
    }

    pub(super) fn phase_throughput(&self) -> Vec<PhaseThroughput> {
        let mut begin_s = 0.0;
        let mut phases = Vec::new();
        for (name, phase) in &self.plan.phases {
            let end_s = begin_s + phase.seconds;
            let within = |second: &&SecondSample| (begin_s..end_s).contains(&(second.at_s as f64));
            let starts: u64 = self.report.samples.iter().filter(within).map(|second| second.starts).sum();
            phases.push(PhaseThroughput {
                name: name.clone(),
                planned_starts_per_s: phase.starts_per_s,
                starts_per_s: starts as f64 / phase.seconds,
            });
            begin_s = end_s;
        }
        phases
    }
}
