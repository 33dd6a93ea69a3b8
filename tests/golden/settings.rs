//! Files that controllers read but never write: the platform's settings and the operators' tunables.

use olivelatch::settings::{PeerController, ServiceLevelObjective, Settings, TeamSettings};
use olivelatch::tunables::{LogFormat, Tunables};
use serde_json::{Value, json};

use crate::golden;

/// A settings file with every field.
const ALL_SETTINGS: &str = include_str!("platform.json");
/// Tunables with every field set.
const ALL_TUNABLES: &str = include_str!("tunables.hcl");

fn peer(peer: &PeerController) -> Value {
    json!({"node": peer.controller, "zone": peer.zone, "addr": peer.addr})
}

fn team(team: &TeamSettings) -> Value {
    json!({"name": team.name, "cpus_milli": team.guaranteed.cpu, "gpus_milli": team.guaranteed.gpu,
        "cpus_max_milli": team.configured_limit.cpu, "gpus_max_milli": team.configured_limit.gpu, "limit_cpus_milli": team.effective_limit().cpu,
        "limit_gpus_milli": team.effective_limit().gpu, "lowered": team.lowered_cpu_limit})
}

fn objective(objective: &ServiceLevelObjective) -> Value {
    json!({"kind": objective.kind, "class": objective.job_class, "within_s": objective.target_s,
        "share": objective.share})
}

/// Renders parsed settings with the file's field names and with times in milliseconds.
fn settings_json(settings: &Settings) -> Value {
    let (workers, kv, quota) = (&settings.worker_timings, &settings.kv_limits, &settings.limits);
    json!({"node": settings.controller, "zone": settings.zone, "front": settings.http_addr, "mesh_addr": settings.peer_addr,
        "others": settings.peers.iter().map(peer).collect::<Vec<_>>(),
        "endpoints": {"cloud": settings.cloud_addr, "state": settings.kv_addr},
        "cluster": {"count": settings.controller_count, "zones": settings.zones,
            "teams": settings.teams.iter().map(team).collect::<Vec<_>>(),
            "objectives": settings.objectives.iter().map(objective).collect::<Vec<_>>(),
            "workers": {"report_ms": workers.heartbeat_interval_ms, "lease_ms": workers.lease_duration_ms,
                "gang_wait_ms": workers.gang_wait_ms, "gang_peer_ms": workers.gang_peer_ms,
                "cancel_ms": workers.cancel_deadline_ms},
            "state": {"rps": kv.rps, "write_rps": kv.write_rps, "value_kb": kv.max_value_kb,
                "txn_ops": kv.max_txn_ops},
            "cloud": {"rps": settings.cloud_rps, "list_lag_ms": settings.cloud_list_lag_ms},
            "quota": {"core_share": quota.core_share, "mem_mb": quota.memory_mb,
                "max_connections": quota.max_connections},
            "time_bound_ms": settings.time_bound_ms}})
}

/// Returns the settings file without the fields that have a default.
fn required_fields(text: &str) -> String {
    let mut value: Value = serde_json::from_str(text).expect("JSON");
    let remove = |value: &mut Value, names: &[&str]| {
        let object = value.as_object_mut().expect("an object");
        names.iter().for_each(|name| drop(object.remove(*name)));
    };
    remove(&mut value, &["others"]);
    let cluster = &mut value["cluster"];
    remove(cluster, &["teams", "objectives", "time_bound_ms"]);
    remove(&mut cluster["cloud"], &["list_lag_s"]);
    remove(&mut cluster["quota"], &["core_share", "mem_mb", "max_connections"]);
    value.to_string()
}

#[test]
fn platform_settings() {
    let mut golden = golden("settings");
    for (name, text) in [("whole", ALL_SETTINGS.to_string()), ("least", required_fields(ALL_SETTINGS))] {
        golden.case(name, settings_json(&Settings::parse("platform.json", &text).expect("settings")));
    }
    let invalid_files = [
        ("no node", r#""node": "n0""#, r#""node": """#),
        ("lease", r#""lease_s": 12.0"#, r#""lease_s": 1.0"#),
        ("value_kb", r#""value_kb": 4.0"#, r#""value_kb": 1.0"#),
        ("txn_ops", r#""txn_ops": 8"#, r#""txn_ops": 2"#),
        ("a team", r#""cpus_max": 8.5"#, r#""cpus_max": -1"#),
    ];
    for (name, from, to) in invalid_files {
        assert!(ALL_SETTINGS.contains(from), "{from}");
        let parsed = Settings::parse("platform.json", &ALL_SETTINGS.replacen(from, to, 1));
        golden.case(name, parsed.err().map(|error| error.to_string()));
    }
    golden.check();
}

fn log_format(format: LogFormat) -> &'static str {
    match format {
        LogFormat::Text => "text",
        LogFormat::Logfmt => "logfmt",
        LogFormat::Json => "json",
    }
}

/// Renders parsed tunables with the file's field names.
fn tunables_json(tunables: &Tunables) -> Value {
    let (overload, operators, graphs) = (&tunables.overload, &tunables.operators, &tunables.graphs);
    json!({"t": tunables.fetch_ratio_threshold, "tt_s": tunables.spill_threshold_s, "fetch_gb_per_s": tunables.fetch_gb_per_s,
        "steal_wait_ms": tunables.steal_backoff_ms, "steal_bound_s": tunables.max_steal_backoff_s, "hold_s": tunables.machine_hold_s,
        "leader_life_s": tunables.leader_lease_s, "idle_s": tunables.idle_return_s, "drain_s": tunables.queue_drain_target_s, "haste": tunables.start_deadline_fraction,
        "overload": {"order": overload.overload_ordering, "pressure": overload.load_shedding, "headroom": overload.headroom,
            "claims": overload.preemption, "trials": overload.probation},
        "operators": {"enabled": operators.enabled, "events_per_job": operators.events_per_job,
            "explains_per_s": operators.queries_per_s},
        "graphs": {"enabled": graphs.enabled, "pools": graphs.pools, "kept_runs": graphs.retained_runs,
            "most_nodes": graphs.max_nodes, "sweep_s": graphs.upload_expiry_s},
        "config": {"enabled": tunables.config.enabled}, "log": {"format": log_format(tunables.log.format)}})
}

fn deployed(name: &str) -> (String, String) {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(name);
    (name.into(), std::fs::read_to_string(path).expect("a tunables file in deploy/"))
}

#[test]
fn tunables_of_operators() {
    let mut golden = golden("tunables");
    let mut files: Vec<(String, String)> =
        ["config.hcl", "graphs.hcl", "operators.hcl", "overload.hcl"].into_iter().map(deployed).collect();
    files.push(("nothing set".into(), String::new()));
    files.push(("everything set".into(), ALL_TUNABLES.into()));
    files.push(("lines as json".into(), "log {\n  format = \"json\"\n}\n".into()));
    for (name, text) in files {
        golden.case(&name, tunables_json(&Tunables::parse(&name, &text).expect("tunables")));
    }
    let invalid_files = [
        ("a name", "tea = 1"),
        ("a range", "leader_life_s = 0.5"),
        ("a pool", "graphs {\n  pools = { billing = 0 }\n}\n"),
        ("graphs alone", "graphs {\n  enabled = true\n}\n"),
    ];
    for (name, text) in invalid_files {
        let error = Tunables::parse("t.hcl", text).err();
        golden.case(&format!("wrong: {name}"), error.map(|error| error.to_string()));
    }
    golden.check();
}
