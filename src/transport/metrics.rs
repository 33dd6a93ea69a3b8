//! The metrics of this controller as OpenMetrics text.
//!
//! Names and help texts are an interface to scrapers and dashboards: they stay as they are.

use std::collections::BTreeMap;
use std::fmt::Error;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use super::timings::DurationHistogram;
use crate::protocol::operators::{ControllerStatus, LeaderStatus};

/// The values of one scrape.
#[derive(Debug)]
pub(super) struct MetricsSnapshot {
    pub(super) status: ControllerStatus,
    /// Number of responses by their status.
    pub(super) responses_by_status: BTreeMap<u16, u64>,
    /// Durations by kind of work.
    pub(super) event_durations: Vec<(&'static str, DurationHistogram)>,
    pub(super) connections: u64,
    /// Messages of other controllers that were rejected.
    pub(super) mesh_dropped: u64,
}

/// Renders a scrape.
pub(super) fn render_openmetrics(snapshot: MetricsSnapshot) -> String {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(snapshot));
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => text,
        // Writing to a string does not fail. A partial scrape would be worse than none.
        Err(_) => String::new(),
    }
}

/// Name, help, value.
type Gauge = (&'static str, &'static str, f64);
/// Name, help, value.
type Counter = (&'static str, &'static str, u64);

fn bool_gauge(value: bool) -> f64 {
    f64::from(u8::from(value))
}

fn controller_gauges(status: &ControllerStatus, connections: u64) -> Vec<Gauge> {
    vec![
        ("olivelatch_ready", "Whether this controller takes requests", bool_gauge(status.ready)),
        ("olivelatch_leads", "Whether this controller leads", bool_gauge(status.is_leader)),
        (
            "olivelatch_state_reachable",
            "Whether the state service answers it",
            bool_gauge(status.kv_reachable),
        ),
        (
            "olivelatch_revision",
            "Revision of the state service up to which it knows all",
            status.revision as f64,
        ),
        (
            "olivelatch_mirror_age_seconds",
            "Since the last poll that was answered",
            status.cache_age_s.unwrap_or(f64::NAN),
        ),
        ("olivelatch_jobs_live", "Jobs with a record", status.jobs_active as f64),
        ("olivelatch_jobs_ended", "Jobs that are over", status.jobs_terminal as f64),
        (
            "olivelatch_requests_held",
            "Users' requests that wait for an answer",
            status.requests_pending as f64,
        ),
        ("olivelatch_connections", "Open connections of users, workers and operators", connections as f64),
        ("olivelatch_uptime_seconds", "Since this controller started", status.uptime_s),
    ]
}

fn leader_gauges(leader: &LeaderStatus) -> Vec<Gauge> {
    vec![
        ("olivelatch_machines_up", "Machines that report", leader.machines_up as f64),
        (
            "olivelatch_machines_booting",
            "Machines rented and not heard of yet",
            leader.machines_booting as f64,
        ),
        ("olivelatch_machines_silent", "Machines whose lease has ended", leader.machines_unreachable as f64),
        ("olivelatch_cpus", "CPUs of machines that are up", leader.cpus),
        ("olivelatch_cpus_used", "CPUs bound to tasks on them", leader.cpus_used),
        ("olivelatch_queued_shared_tasks", "Tasks in shared queues", leader.queued_shared as f64),
        ("olivelatch_queued_dedicated_tasks", "Tasks in dedicated queues", leader.queued_dedicated as f64),
        (
            "olivelatch_queued_nowhere_tasks",
            "Tasks that no present machine may take",
            leader.queued_backlog as f64,
        ),
        ("olivelatch_gangs_waiting", "Gangs and services with tasks to place", leader.gangs_waiting as f64),
        ("olivelatch_tasks_out", "Tasks that may be on machines", leader.tasks_placed as f64),
        ("olivelatch_log_parts", "Parts of the log in the state service", leader.log_segments as f64),
    ]
}

fn leader_counters(leader: &LeaderStatus) -> Vec<Counter> {
    vec![
        ("olivelatch_starts", "Tasks bound to machines in this leadership", leader.tasks_bound),
        ("olivelatch_steals", "Steals that found something", leader.steals),
        ("olivelatch_stolen_tasks", "Tasks moved by steals and earlier turns", leader.stolen_tasks),
        ("olivelatch_spilled_tasks", "Tasks moved from dedicated to shared queues", leader.spilled_tasks),
        ("olivelatch_preempted_tasks", "Tasks stopped to make room", leader.preempted_tasks),
        ("olivelatch_machines_lost", "Machines lost with what was on them", leader.machines_lost),
        ("olivelatch_state_changes", "Changes asked of the state service", leader.kv_mutations),
    ]
}

impl Collector for MetricsSnapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), Error> {
        let leader = self.status.leader_status.as_ref();
        let mut gauges = controller_gauges(&self.status, self.connections);
        gauges.extend(leader.map(leader_gauges).unwrap_or_default());
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(value);
            gauge.encode(encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)?;
        }
        let mut counters = leader.map(leader_counters).unwrap_or_default();
        counters.push((
            "olivelatch_takeovers",
            "Times that it began to lead",
            self.status.leaderships_started,
        ));
        let help =
            "Late, doubled or foreign words of other controllers, and connections that newer ones replaced";
        counters.push(("olivelatch_mesh_dropped", help, self.mesh_dropped));
        for (name, help, value) in counters {
            let counter = ConstCounter::new(value);
            counter.encode(encoder.encode_descriptor(name, help, None, MetricType::Counter)?)?;
        }
        self.encode_responses(&mut encoder)?;
        self.encode_job_counters(&mut encoder)?;
        self.encode_teams(&mut encoder)?;
        self.encode_events(&mut encoder)
    }
}

impl MetricsSnapshot {
    fn encode_responses(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let help = "Answers by status; 503 are requests sent away to come back";
        let mut family = encoder.encode_descriptor("olivelatch_answers", help, None, MetricType::Counter)?;
        for (status, count) in &self.responses_by_status {
            let status = status.to_string();
            let labels = [("status", status.as_str())];
            family.encode_family(&labels)?.encode_counter::<NoLabelSet, _, u64>(count, None)?;
        }
        Ok(())
    }

    fn encode_job_counters(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let help =
            "Jobs by team, class and what became of them, by the records; told: by this controller alone";
        let mut family = encoder.encode_descriptor("olivelatch_jobs", help, None, MetricType::Counter)?;
        for row in &self.status.job_counters {
            let counts = [
                ("accepted", row.accepted),
                ("started", row.started),
                ("done", row.done),
                ("withdrawn", row.cancelled),
                ("told", row.completions_reported),
            ];
            for (state, count) in counts {
                let labels = [("team", row.team.as_str()), ("class", row.class.as_str()), ("state", state)];
                family.encode_family(&labels)?.encode_counter::<NoLabelSet, _, u64>(&count, None)?;
            }
        }
        Ok(())
    }

    fn encode_teams(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let Some(leader) = &self.status.leader_status else { return Ok(()) };
        let help = "CPUs that a team's tasks take";
        let mut family =
            encoder.encode_descriptor("olivelatch_team_cpus_used", help, None, MetricType::Gauge)?;
        for team in &leader.teams {
            family.encode_family(&[("team", team.team.as_str())])?.encode_gauge(&team.used_cpus)?;
        }
        Ok(())
    }

    fn encode_events(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let (name, help) = ("olivelatch_event_seconds", "How long an event was worked on, by kind");
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Histogram)?;
        for (kind, durations) in &self.event_durations {
            let labels = [("kind", *kind)];
            let mut member = family.encode_family(&labels)?;
            member.encode_histogram::<NoLabelSet>(
                durations.sum_s,
                durations.count,
                &durations.buckets,
                None,
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "tests/metrics.rs"]
mod tests;
