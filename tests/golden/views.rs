//! Types that controllers serialize and the client parses, and those that the client sends: one sample of each, with
//! every field and variant.

use olivelatch::protocol::config::{
    ConfigChangeRequest, ConfigEntryList, ConfigEntryView, PendingOn, PropagationBlocker, TeamQuota,
};
use olivelatch::protocol::graphs::{
    DagNodeRecord, DagNodeState, DagNodeView, DagRunDetail, DagRunHeader, DagRunList, DagRunState,
    FailedAttempt, GraphPart, NodeTemplate, PartsUpload, RerunRequest,
};
use olivelatch::protocol::operators::{
    ControllerStatus, Explanation, JobDetail, JobEventKind, JobEventList, JobList, JobPhase, ResponseSource,
    StateReason, TaskStateView,
};
use olivelatch_dag::{NodeOutcome, TriggerRule};
use serde_json::{Value, json};

use crate::messages::submission;
use crate::support::Golden;

fn job_row() -> Value {
    json!({"id": "job-000412", "state": "running", "team": "grid", "class": "ingest", "tasks": 12, "done": 3,
        "running": 4, "accepted_ms": 1_790_000_000_000_u64, "first_start_ms": 1_790_000_010_000_u64,
        "ended_ms": null})
}

fn minimal_job_row() -> Value {
    json!({"id": "job-000413", "state": "done", "team": null, "class": null, "tasks": null, "done": null,
        "running": null, "accepted_ms": null, "first_start_ms": null, "ended_ms": 1_790_000_060_000_u64})
}

fn job_detail() -> Value {
    let spec = json!({"shape": "gang", "urgency": "low", "cpus": 0.5, "gpus": 1.0, "memory_gb": 2.0,
        "kinds": ["small"], "zone": "north-a", "one_zone": true, "spread": false, "spot": true,
        "image": "readings:7", "image_gb": 2.5, "guess_s": 30.0, "checkpoint_s": 5.0,
        "due_ms": 1_790_000_600_000_u64});
    json!({"node": "n0", "source": "leader", "row": job_row(), "spec": spec, "next": 3, "tasks": [
        {"task": 1, "state": "placed", "attempt": 77, "machines": ["m-1", "m-2"]},
        {"task": 2, "state": "waiting", "attempt": null, "machines": []}]})
}

fn instance_offer() -> Value {
    json!({"kind": "small", "zone": "north-a", "spot": true, "count": 3, "rests_s": 12.5})
}

fn state_reasons() -> Value {
    let blocked_machine_type = json!({"kind": "small", "machines": 3, "most_free_cpus": 0.5, "most_free_gpus": 1.0,
        "most_free_memory_gb": 2.0, "full": 1, "parked": 2, "closed": 3, "failed_here": 4, "zone_rule": 5});
    json!([
        {"reason": "ended", "state": "withdrawn"},
        {"reason": "recording"},
        {"reason": "running", "tasks": 3},
        {"reason": "starting", "tasks": 3},
        {"reason": "image_fetch", "tasks": 3, "image": "readings:7", "image_gb": 2.5, "longest_s": 12.5},
        {"reason": "gathering", "tasks": 3},
        {"reason": "retry_wait", "tasks": 3, "next_s": 1.5, "failed_on": ["m-1"]},
        {"reason": "upstream", "run": "nightly-1", "rule": "all_success", "open": 2, "first": ["raw"]},
        {"reason": "run_waits", "run": "nightly-2", "most_runs": 1, "before": ["nightly-1"]},
        {"reason": "pool_full", "pool": "billing", "used": 8, "slots": 8},
        {"reason": "team_limit", "team": "grid", "used_cpus": 3.5, "limit_cpus": 4.0, "used_gpus": 0.0,
            "limit_gpus": null, "by": [{"job": "job-000411", "cpus": 3.5}]},
        {"reason": "behind", "jobs": 3, "tasks": 70, "cpu_seconds": 99.5, "first": ["job-000411"]},
        {"reason": "no_machine", "needs_cpus": 64.0, "needs_gpus": 1.0, "needs_memory_gb": 2.0, "machines": 9,
            "wrong_kind": 1, "wrong_zone": 2, "wrong_spot": 3, "too_small": 3},
        {"reason": "no_room", "needs_cpus": 2.0, "needs_gpus": 0.0, "needs_memory_gb": 2.0, "kinds": [blocked_machine_type]},
        {"reason": "held_for_gang", "machines": 2, "gangs": ["job-000410"]},
        {"reason": "gang_lacks", "needs": 8, "could_start": 5, "zone": "north-a"},
        {"reason": "booking", "offers": [instance_offer()], "booting": 2},
        {"reason": "cloud_refused", "offers": [instance_offer()]},
        {"reason": "due", "machines": 2},
        {"reason": "state_unreachable", "since_s": 7.5},
        {"reason": "no_leader", "silent": "n1"},
        {"reason": "no_leader", "silent": null}])
}

fn event_kinds() -> Value {
    json!([
        "accepted",
        "inherited",
        "queued_shared",
        "queued_dedicated",
        "queued_nowhere",
        "stolen",
        "spilled",
        "bound",
        "running",
        "halted_for_urgent",
        "halted_for_drain",
        "halted_withdrawn",
        "done",
        "failed",
        "refused",
        "stopped",
        "gang_left",
        "machine_gone",
        "withdrawn",
        "job_done"
    ])
}

fn status() -> Value {
    let job_counters = json!({"team": "grid", "class": "ingest", "accepted": 9, "started": 8, "done": 7, "withdrawn": 1,
        "told": 6});
    let leader_status = json!({"machines_up": 1, "machines_booting": 2, "machines_silent": 3, "cpus": 4.0, "cpus_used": 3.5,
        "queued_shared": 5, "queued_dedicated": 6, "queued_nowhere": 7, "gangs_waiting": 8, "tasks_out": 9,
        "starts": 10, "steals": 11, "stolen_tasks": 12, "spilled_tasks": 13, "preempted_tasks": 14,
        "machines_lost": 15, "orphan_tasks": 18, "duplicate_heartbeats": 19,
        "superseded_attempts": 20, "tokens_raised": 21, "forgets_deferred": 22, "max_tasks_per_heartbeat": 23, "state_changes": 16, "log_parts": 17, "teams": [
            {"team": "grid", "used_cpus": 3.5, "guaranteed_cpus": 2.0, "limit_cpus": 4.0},
            {"team": "field", "used_cpus": 0.0, "guaranteed_cpus": 0.0, "limit_cpus": null}]});
    json!({"node": "n0", "zone": "north-a", "ready": true, "leads": true, "leader": "n0", "revision": 99,
        "mirror_age_s": 0.25, "state_reachable": true, "jobs_live": 3, "jobs_ended": 4, "requests_held": 5,
        "takeovers": 6, "uptime_s": 70.5, "accounts": [job_counters], "work": leader_status})
}

pub fn add_operator_cases(golden: &mut Golden) {
    golden.round_trip::<JobList>(
        "list",
        &json!({"node": "n0", "revision": 99, "jobs": [job_row(), minimal_job_row()], "next": "job-000413"}),
    );
    golden.round_trip::<Vec<JobPhase>>("states of jobs", &json!(["pending", "running", "done", "withdrawn"]));
    golden.round_trip::<JobDetail>("detail", &job_detail());
    golden.round_trip::<Vec<ResponseSource>>("sources", &json!(["leader", "records"]));
    golden.round_trip::<Vec<TaskStateView>>(
        "states of tasks",
        &json!([
            "waiting",
            "retry_wait",
            "placed",
            "starting",
            "fetching",
            "gathering",
            "running",
            "saving",
            "stopping"
        ]),
    );
    golden.round_trip::<Vec<StateReason>>("reasons", &state_reasons());
    golden.round_trip::<Explanation>(
        "explanation",
        &json!({"node": "n0", "job": "job-000412", "task": 3, "state": "pending", "tasks": 12, "done": 3,
            "reasons": [{"reason": "recording"}]}),
    );
    golden.round_trip::<Vec<JobEventKind>>("words of events", &event_kinds());
    golden.round_trip::<JobEventList>(
        "events",
        &json!({"node": "n0", "job": "job-000412", "earlier_unknown": true, "events": [
            {"at_ms": 1_790_000_000_000_u64, "event": "bound", "first_task": 3, "tasks": 2, "machine": "m-1"},
            {"at_ms": 1_790_000_000_001_u64, "event": "job_done", "first_task": null, "tasks": 0,
                "machine": null}]}),
    );
    golden.round_trip::<ControllerStatus>("status, leading", &status());
}

pub fn add_config_cases(golden: &mut Golden) {
    let value = json!({"limit_cpus": 4.0, "guaranteed_cpus": null});
    let view = json!({"entry": "team/grid", "version": 12, "value": value, "platform": value, "holds": value,
        "by": "ada", "why": "a quiet week", "at_ms": 1_790_000_000_000_u64, "in_force": false,
        "waits_for": {"node": "n1", "reason": "leader_behind", "since_s": 1.5}, "used_cpus": 3.5,
        "above_cpus": 0.5});
    golden.round_trip::<TeamQuota>("value", &value);
    golden.round_trip::<ConfigChangeRequest>(
        "change",
        &json!({"value": value, "expected": null, "by": "ada", "why": "", "change": "c-1"}),
    );
    golden.round_trip::<Vec<PropagationBlocker>>(
        "reasons",
        &json!(["not_read", "leader_behind", "leader_ignores", "not_understood"]),
    );
    golden.round_trip::<PendingOn>("waits", &json!({"node": null, "reason": "not_read", "since_s": 0.0}));
    golden.round_trip::<ConfigEntryView>("entry", &view);
    golden
        .round_trip::<ConfigEntryList>("entries", &json!({"node": "n0", "revision": 99, "entries": [view]}));
}

fn node_template() -> Value {
    let mut spec = submission();
    spec["uid"] = json!("");
    json!({"spec": spec, "rule": "one_failed", "tries": 3, "wait_s": 0.5, "most_wait_s": 2.0, "limit_s": 60.0,
        "pool": "billing", "output_gb": 1.5})
}

/// A graph part with every field set.
pub fn graph_part() -> Value {
    json!({"templates": [node_template()], "edges": [[1, 0, 1]], "redo": [[0, 2, 900_000_000_000_000_007_u64]],
        "nodes": [{"n": "raw", "j": 900_000_000_000_000_001_u64, "t": 0},
            {"n": "balance", "j": 900_000_000_000_000_002_u64, "t": 0, "m": 0}]})
}

fn run_row() -> Value {
    json!({"run": "nightly-1", "graph": "nightly", "state": "running", "nodes": 3,
        "states": {"success": 1, "waiting": 2}, "accepted_ms": 1_790_000_000_000_u64, "ended_ms": null,
        "next_part": 2})
}

fn node_view() -> Value {
    json!({"name": "balance", "job": "job-900000000000000002", "state": "up_for_retry", "rule": "all_done",
        "after": [[0, 1]], "map": 0, "tasks": 4, "done": 1, "running": 2, "guess_s": 1.5, "ahead_s": 3.5,
        "attempt": 77, "gave": 4, "ended_ms": null,
        "evidence": [{"t": 2, "a": 76, "m": "m-1", "c": "exit 1"}]})
}

pub fn add_graph_cases(golden: &mut Golden) {
    golden.round_trip::<NodeTemplate>("template", &node_template());
    golden.round_trip::<NodeTemplate>("template, short", &json!({"spec": submission(), "tries": 1}));
    golden.round_trip::<DagNodeRecord>("row", &json!({"n": "raw", "j": 7, "t": 0}));
    golden.round_trip::<GraphPart>("part", &graph_part());
    golden.round_trip::<GraphPart>("part, empty", &json!({}));
    golden.round_trip::<PartsUpload>("parts", &json!({"first": 1, "parts": [graph_part()]}));
    golden.round_trip::<DagRunHeader>(
        "header",
        &json!({"graph": "nightly", "parts": 2, "nodes": 3, "most_runs": 4}),
    );
    golden.round_trip::<RerunRequest>("redo", &json!({"from": 2, "parts": 1}));
    golden.round_trip::<Vec<DagRunState>>(
        "states of runs",
        &json!(["waiting", "running", "cancelling", "success", "failed", "cancelled"]),
    );
    golden.round_trip::<Vec<DagNodeState>>(
        "states of nodes",
        &json!([
            "waiting",
            "ready",
            "running",
            "up_for_retry",
            "success",
            "failed",
            "upstream_failed",
            "skipped",
            "cancelled"
        ]),
    );
    golden.round_trip::<Vec<TriggerRule>>(
        "rules",
        &json!([
            "all_success",
            "all_failed",
            "all_done",
            "one_success",
            "one_failed",
            "none_failed",
            "none_failed_min_one_success"
        ]),
    );
    golden.round_trip::<Vec<NodeOutcome>>(
        "outcomes",
        &json!(["success", "failed", "upstream_failed", "skipped", "cancelled"]),
    );
    golden.round_trip::<FailedAttempt>("evidence", &json!({"t": 2, "a": 76, "m": "m-1", "c": "exit 1"}));
    golden.round_trip::<DagNodeView>("node", &node_view());
    golden.round_trip::<DagRunList>(
        "runs",
        &json!({"node": "n0", "revision": 99, "runs": [run_row()], "next": "nightly-1"}),
    );
    golden.round_trip::<DagRunDetail>(
        "run",
        &json!({"node": "n0", "row": run_row(), "first": 1, "nodes": [node_view()], "next": 2}),
    );
}
