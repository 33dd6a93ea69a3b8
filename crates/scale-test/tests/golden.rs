//! Parsed plans of scale runs and their first arrivals, compared with a golden file.

#[path = "../../../tests/golden/support.rs"]
mod support;

use std::path::Path;

use olivelatch_scale_test::{Arrival, Arrivals, FaultKind, Plan};
use serde_json::{Map, Value, json};
use support::Golden;

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scale").join(name);
    std::fs::read_to_string(path).expect("the example plan is readable")
}

fn fault(fault: &FaultKind) -> Value {
    match fault {
        FaultKind::KillLeader { at_s, back_s } => {
            json!({"kind": "kill_leader", "at_s": at_s, "back_s": back_s})
        }
        FaultKind::KillWorkers { at_s, share, back_s } => {
            json!({"kind": "kill_workers", "at_s": at_s, "share": share, "back_s": back_s})
        }
        FaultKind::PauseController { at_s, leader, for_s } => {
            json!({"kind": "freeze", "at_s": at_s, "leader": leader, "for_s": for_s})
        }
        FaultKind::PartitionZones { at_s, zones, for_s } => {
            json!({"kind": "cut_zones", "at_s": at_s, "zones": zones, "for_s": for_s})
        }
    }
}

/// Renders named blocks in the order of the file.
fn blocks<'a, T: 'a>(
    blocks: impl Iterator<Item = (&'a String, &'a T)>,
    render: impl Fn(&T) -> Value,
) -> Value {
    blocks.map(|(name, block)| json!([name, render(block)])).collect()
}

fn jobs(plan: &Plan) -> Value {
    blocks(plan.job_classes.iter(), |job| {
        json!({"shape": job.shape, "urgency": job.priority_class, "share": job.share, "tasks": job.tasks,
            "cpus": job.cpus, "memory_gb": job.memory_gb, "run_s": job.run_s, "one_zone": job.one_zone,
            "image_gb": job.image_gb, "images": job.images, "done_within_s": job.objective_s,
            "cancelled": job.cancelled_share})
    })
}

fn machines(plan: &Plan) -> Value {
    blocks(plan.machine_types.iter(), |machine| {
        json!({"cpus": machine.cpus, "memory_gb": machine.memory_gb, "fetch_gb_per_s": machine.fetch_gb_per_s,
            "boot_s": machine.boot_s, "per_zone": machine.per_zone, "up_at_start": machine.up_at_start})
    })
}

fn plan_fields(plan: &Plan) -> Value {
    let (teams, timings, limits, quota) = (&plan.teams, &plan.worker_timings, &plan.kv_limits, &plan.quota);
    let mut fields = Map::new();
    let mut add = |name: &str, value: Value| drop(fields.insert(name.into(), value));
    add("seed", json!(plan.seed));
    add("controllers", json!(plan.controllers));
    add("zones", json!(plan.zones));
    add("machine", machines(plan));
    add(
        "teams",
        json!({"count": teams.count, "guaranteed_cpus": teams.guaranteed_cpus,
            "limit_factor": teams.limit_factor, "least_limit_cpus": teams.min_limit_cpus}),
    );
    add(
        "workers",
        json!({"report_s": timings.heartbeat_s, "lease_s": timings.lease_s, "gang_wait_s": timings.gang_wait_s,
            "gang_peer_s": timings.gang_peer_s, "cancel_s": timings.cancel_s}),
    );
    add(
        "state",
        json!({"requests_per_s": limits.requests_per_s, "changes_per_s": limits.mutations_per_s,
            "value_kb": limits.value_kb, "txn_changes": limits.txn_mutations}),
    );
    add("cloud_requests_per_s", json!(plan.cloud_requests_per_s));
    add(
        "quota",
        json!({"core_share": quota.core_share, "memory_mb": quota.memory_mb, "connections": quota.connections}),
    );
    add("tunables", json!(plan.tunables));
    add("settle_s", json!(plan.settle_s));
    add(
        "phase",
        blocks(
            plan.phases.iter(),
            |phase| json!({"seconds": phase.seconds, "starts_per_s": phase.starts_per_s}),
        ),
    );
    add("drain_s", json!(plan.drain_s));
    add("job", jobs(plan));
    add("fault", blocks(plan.faults.iter(), fault));
    add(
        "change",
        blocks(
            plan.change_series.iter(),
            |series| json!({"from_s": series.from_s, "to_s": series.to_s, "every_s": series.every_s, "burst": series.burst}),
        ),
    );
    add("defect", json!(plan.defect));
    Value::Object(fields)
}

fn arrival(arrival: &Arrival) -> Value {
    json!({"at_ms": arrival.at_ms, "job": arrival.job, "class": arrival.class, "team": arrival.team,
        "tasks": arrival.tasks, "cpus": arrival.cpus, "submission": arrival.submission.to_string(),
        "description": arrival.description, "cancel_at_ms": arrival.cancel_at_ms})
}

#[test]
fn plans() {
    let mut golden = Golden::new(env!("CARGO_MANIFEST_DIR"), "plans");
    for name in ["small.hcl", "half.hcl", "planned.hcl"] {
        let plan = Plan::parse(name, &example(name)).expect("the plan is valid");
        golden.case(name, plan_fields(&plan));
        let mut arrivals = Arrivals::new(&plan);
        let first: Vec<Value> =
            std::iter::from_fn(|| arrivals.pop_due(u64::MAX)).take(8).map(|next| arrival(&next)).collect();
        golden.case(&format!("{name}: first jobs"), first);
    }
    for defect in ["hide_tasks", "ignore_halts"] {
        let text = format!("defect = \"{defect}\"\n{}", example("small.hcl"));
        golden.case(defect, json!(Plan::parse("plan.hcl", &text).expect("the plan is valid").defect));
    }
    let other_faults = [
        ("kill_workers", "kind = \"kill_workers\"\n  at_s = 1\n  share = 0.5\n  back_s = 2"),
        ("freeze", "kind = \"freeze\"\n  at_s = 1\n  leader = false\n  for_s = 2"),
        ("cut_zones", "kind = \"cut_zones\"\n  at_s = 1\n  zones = [\"north-a\"]\n  for_s = 2"),
    ];
    for (name, fields) in other_faults {
        let text = format!("{}\nfault \"other\" {{\n  {fields}\n}}\n", example("small.hcl"));
        let plan = Plan::parse("plan.hcl", &text).expect("the plan is valid");
        golden.case(name, blocks(plan.faults.iter(), fault));
    }
    golden.check();
}
