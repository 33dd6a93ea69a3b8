//! Measurements during a run: samples every process once per second, prints progress, and computes the totals
//! at the end of the load.

use super::ScaleRun;
use crate::control::ZoneStatus;
use crate::error::ScaleError;
use crate::measurements::{LatencyHistogram, PhaseThroughput, SecondSample, StartLatencies};
use crate::processes::Role;

const SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Interval between two progress lines.
const PROGRESS_INTERVAL_MS: u64 = 5_000;
/// Number of samples over which the start rate in a progress line is averaged.
const PROGRESS_SAMPLES: usize = 5;

/// Measurements that are collected until the report is written.
#[derive(Default)]
pub(super) struct RunMeasurements {
    pub(super) start_latencies: StartLatencies,
    pub(super) acceptance_latency: LatencyHistogram,
    /// Task starts since the last sample.
    pub(super) starts: u64,
    /// Number of tasks of accepted jobs that have not started yet.
    pub(super) waiting_tasks: i64,
    last_sample_at: u64,
    last_progress_at: u64,
}

impl ScaleRun {
    /// Takes a sample if one is due.
    ///
    /// # Errors
    ///
    /// A process exited unexpectedly, or the processes together use more memory than the limit.
    pub(super) fn sample_processes(&mut self, now: u64) -> Result<(), ScaleError> {
        if now < self.measurements.last_sample_at + SAMPLE_INTERVAL_MS {
            return Ok(());
        }
        self.measurements.last_sample_at = now;
        let mut second = SecondSample {
            at_s: now.saturating_sub(self.load.start_ms) / 1000,
            starts: std::mem::take(&mut self.measurements.starts),
            running: self.zones.iter().map(|zone| zone.status.tasks_on_machines).sum(),
            workers: self.zones.iter().map(|zone| zone.status.workers).sum(),
            waiting: self.measurements.waiting_tasks,
            heartbeats: self.zones.iter().map(|zone| zone.status.heartbeats_sent).sum(),
            state_requests: self.kv.measurements.requests,
            state_changes: self.kv.measurements.mutations,
            ..SecondSample::default()
        };
        let leader = self.leader_index().map(|leader| self.controller_process_index(leader));
        self.processes.sample(now, leader, &mut second)?;
        if self.load.has_started() {
            self.report.samples.push(second);
            self.show_progress(now);
        }
        Ok(())
    }

    fn show_progress(&mut self, now: u64) {
        if now < self.measurements.last_progress_at + PROGRESS_INTERVAL_MS {
            return;
        }
        self.measurements.last_progress_at = now;
        let recent = self.report.samples.iter().rev().take(PROGRESS_SAMPLES);
        let starts: u64 = recent.clone().map(|second| second.starts).sum();
        let Some(second) = self.report.samples.last() else { return };
        println!(
            "{:>4} s {:<14} {:>5.0} starts/s {:>6} on workers {:>7} waiting {:>5} workers  leader {:.2} controllers {:.2} workers {:.2} load {:.2} of a core, {} violations",
            second.at_s,
            self.phase_at(second.at_s * 1000).unwrap_or("after"),
            starts as f64 / recent.len().max(1) as f64,
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

    /// Computes the rates over the load from the counters at its beginning and at its end.
    pub(super) fn record_load_end(&mut self, load_end: u64) {
        let seconds = load_end.saturating_sub(self.load.start_ms) as f64 / 1000.0;
        if seconds <= 0.0 {
            return;
        }
        self.record_worker_usage(seconds);
        self.record_kv_usage(seconds);
    }

    fn record_worker_usage(&mut self, seconds: f64) {
        let per_s = |counter: fn(&ZoneStatus) -> u64| -> f64 {
            let increase =
                |zone: &super::ZoneLink| counter(&zone.status) - counter(&zone.status_at_load_start);
            self.zones.iter().map(increase).sum::<u64>() as f64 / seconds
        };
        let workers_peak = self.report.samples.iter().map(|second| second.workers).max().unwrap_or(0);
        let workers = workers_peak.max(1) as f64;
        let process_usage = || self.processes.usage_of(Role::SimulatedWorkers);
        let usage = &mut self.report.workers;
        usage.workers_peak = workers_peak;
        usage.bytes_in_per_s = per_s(|status| status.bytes_in) / workers;
        usage.bytes_out_per_s = per_s(|status| status.bytes_out) / workers;
        usage.heartbeats_per_s = per_s(|status| status.heartbeats_sent);
        usage.commands_per_s = per_s(|status| status.commands_received);
        usage.cpu_share = process_usage().map(|usage| usage.cpu_mean).sum::<f64>() / workers;
        usage.memory_mb = process_usage().map(|usage| usage.memory_peak_mb).sum::<f64>() / workers;
    }

    fn record_kv_usage(&mut self, seconds: f64) {
        let (now, before) = (&self.kv.measurements, &self.kv.at_load_start);
        let per_s = |now: u64, before: u64| (now - before) as f64 / seconds;
        let usage = &mut self.report.state;
        usage.requests_per_s = per_s(now.requests, before.requests);
        usage.mutations_per_s = per_s(now.mutations, before.mutations);
        usage.bytes_in_per_s = per_s(now.bytes_in, before.bytes_in);
        usage.bytes_out_per_s = per_s(now.bytes_out, before.bytes_out);
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
