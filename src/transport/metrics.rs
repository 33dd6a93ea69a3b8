//! Renders the metrics of this controller as OpenMetrics text.
//!
//! Metric names, labels and label values are an interface to scrapers and dashboards and must not change.

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

/// The values reported by one scrape.
#[derive(Debug)]
pub(super) struct MetricsSnapshot {
    pub(super) status: ControllerStatus,
    /// Number of responses by HTTP status.
    pub(super) responses_by_status: BTreeMap<u16, u64>,
    /// Durations by kind of work.
    pub(super) event_durations: Vec<(&'static str, DurationHistogram)>,
    /// Number of open connections accepted on the HTTP address.
    pub(super) connections: u64,
    /// Number of messages and connections of other controllers that were dropped.
    pub(super) mesh_dropped: u64,
}

/// Renders the response to a scrape.
pub(super) fn render_openmetrics(snapshot: MetricsSnapshot) -> String {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(snapshot));
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => text,
        // Writing to a string does not fail. An empty scrape is better than a partial one.
        Err(_) => String::new(),
    }
}

/// Name, help text and value of a gauge.
type Gauge = (&'static str, &'static str, f64);
/// Name, help text and value of a counter.
type Counter = (&'static str, &'static str, u64);

fn bool_gauge(value: bool) -> f64 {
    f64::from(u8::from(value))
}

fn controller_gauges(status: &ControllerStatus, connections: u64) -> Vec<Gauge> {
    vec![
        ("olivelatch_ready", "Whether this controller accepts requests", bool_gauge(status.ready)),
        ("olivelatch_leads", "Whether this controller is the leader", bool_gauge(status.is_leader)),
        (
            "olivelatch_state_reachable",
            "Whether the key-value store responds to this controller",
            bool_gauge(status.kv_reachable),
        ),
        (
            "olivelatch_revision",
            "Revision of the key-value store up to which this controller's cache is complete",
            status.revision as f64,
        ),
        (
            "olivelatch_mirror_age_seconds",
            "Seconds since the last successful poll of the key-value store",
            status.cache_age_s.unwrap_or(f64::NAN),
        ),
        ("olivelatch_jobs_live", "Jobs that are pending or running", status.jobs_active as f64),
        ("olivelatch_jobs_ended", "Jobs that are done or cancelled", status.jobs_terminal as f64),
        (
            "olivelatch_requests_held",
            "Users' requests that wait for a response and have no write to the key-value store in flight",
            status.requests_pending as f64,
        ),
        ("olivelatch_connections", "Open connections of users, workers and operators", connections as f64),
        ("olivelatch_uptime_seconds", "Seconds since this controller started", status.uptime_s),
    ]
}

fn leader_gauges(leader: &LeaderStatus) -> Vec<Gauge> {
    vec![
        ("olivelatch_machines_up", "Machines whose workers send heartbeats", leader.machines_up as f64),
        (
            "olivelatch_machines_booting",
            "Machines provisioned that have not sent a heartbeat yet",
            leader.machines_booting as f64,
        ),
        (
            "olivelatch_machines_silent",
            "Machines whose lease has expired",
            leader.machines_unreachable as f64,
        ),
        ("olivelatch_cpus", "CPUs of the machines that are up", leader.cpus),
        ("olivelatch_cpus_used", "CPUs bound to tasks on the machines that are up", leader.cpus_used),
        ("olivelatch_queued_shared_tasks", "Tasks in shared queues", leader.queued_shared as f64),
        ("olivelatch_queued_dedicated_tasks", "Tasks in dedicated queues", leader.queued_dedicated as f64),
        (
            "olivelatch_queued_nowhere_tasks",
            "Tasks that no current machine may run",
            leader.queued_backlog as f64,
        ),
        ("olivelatch_gangs_waiting", "Gangs and services with unplaced tasks", leader.gangs_waiting as f64),
        (
            "olivelatch_tasks_out",
            "Tasks that may be on machines, including those of finished and cancelled jobs",
            leader.tasks_placed as f64,
        ),
        (
            "olivelatch_heartbeat_tasks_max",
            "Highest number of tasks in one heartbeat since this controller became the leader",
            leader.max_tasks_per_heartbeat as f64,
        ),
        (
            "olivelatch_log_parts",
            "Segments of the assignment log in the key-value store",
            leader.log_segments as f64,
        ),
    ]
}

fn leader_counters(leader: &LeaderStatus) -> Vec<Counter> {
    vec![
        (
            "olivelatch_starts",
            "Tasks bound to machines since this controller became the leader",
            leader.tasks_bound,
        ),
        ("olivelatch_steals", "Steals that moved at least one task", leader.steals),
        (
            "olivelatch_stolen_tasks",
            "Tasks taken from queues of other machines, by steals or because of their priority",
            leader.stolen_tasks,
        ),
        ("olivelatch_spilled_tasks", "Tasks moved from dedicated to shared queues", leader.spilled_tasks),
        ("olivelatch_preempted_tasks", "Tasks preempted to free capacity for others", leader.preempted_tasks),
        ("olivelatch_machines_lost", "Machines lost with the tasks on them", leader.machines_lost),
        (
            "olivelatch_orphan_tasks",
            "Tasks that workers reported although the leader had not placed them there",
            leader.orphan_tasks,
        ),
        (
            "olivelatch_duplicate_heartbeats",
            "Heartbeats that were copies of earlier ones",
            leader.duplicate_heartbeats,
        ),
        (
            "olivelatch_superseded_attempts",
            "Tasks stopped because a newer attempt was placed on another machine",
            leader.superseded_attempts,
        ),
        (
            "olivelatch_tokens_raised",
            "Increases of the fencing token of a machine's messages",
            leader.tokens_raised,
        ),
        (
            "olivelatch_forgets_deferred",
            "Heartbeat responses without commands to forget, because the token could not be raised yet",
            leader.forgets_deferred,
        ),
        ("olivelatch_state_changes", "Mutations sent to the key-value store", leader.kv_mutations),
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
            "Number of times this controller became the leader",
            self.status.leaderships_started,
        ));
        let help = concat!(
            "Messages and connections of other controllers dropped: invalid, duplicate, from an unknown ",
            "sender, above the connection limit, or replaced by a newer connection"
        );
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
        let help = "HTTP responses by status; 503 asks the client to retry later";
        let mut family = encoder.encode_descriptor("olivelatch_answers", help, None, MetricType::Counter)?;
        for (status, count) in &self.responses_by_status {
            let status = status.to_string();
            let labels = [("status", status.as_str())];
            family.encode_family(&labels)?.encode_counter::<NoLabelSet, _, u64>(count, None)?;
        }
        Ok(())
    }

    fn encode_job_counters(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let help = concat!(
            "Jobs by team, class and state, from the stored records; the state told counts only ",
            "completions reported by this controller"
        );
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
        let help = "CPUs used by the tasks of each team";
        let mut family =
            encoder.encode_descriptor("olivelatch_team_cpus_used", help, None, MetricType::Gauge)?;
        for team in &leader.teams {
            family.encode_family(&[("team", team.team.as_str())])?.encode_gauge(&team.used_cpus)?;
        }
        Ok(())
    }

    fn encode_events(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), Error> {
        let (name, help) = ("olivelatch_event_seconds", "Time spent handling events, by kind");
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
