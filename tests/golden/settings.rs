//! Files that are read and never written: the platform's settings, and tunables.

use olivelatch::settings::{Objective, Other, Settings, Team};
use olivelatch::tunables::{LogFormat, Tunables};
use serde_json::{Value, json};

use crate::golden;

/// A settings file with every field.
const PLATFORM: &str = include_str!("platform.json");
/// Tunables with every field set.
const EVERYTHING: &str = include_str!("tunables.hcl");

fn other(other: &Other) -> Value {
    json!({"node": other.node, "zone": other.zone, "addr": other.addr})
}

fn team(team: &Team) -> Value {
    json!({"name": team.name, "cpus_milli": team.guaranteed.cpu, "gpus_milli": team.guaranteed.gpu,
        "cpus_max_milli": team.most.cpu, "gpus_max_milli": team.most.gpu, "limit_cpus_milli": team.limit().cpu,
        "limit_gpus_milli": team.limit().gpu, "lowered": team.lowered_cpu})
}

fn objective(objective: &Objective) -> Value {
    json!({"kind": objective.kind, "class": objective.jobclass, "within_s": objective.within_s,
        "share": objective.share})
}

/// What was read, in the words of the file; times in milliseconds.
fn platform(settings: &Settings) -> Value {
    let (workers, state, quota) = (&settings.workers, &settings.state_limits, &settings.quota);
    json!({"node": settings.node, "zone": settings.zone, "front": settings.front, "mesh_addr": settings.mesh,
        "others": settings.others.iter().map(other).collect::<Vec<_>>(),
        "endpoints": {"cloud": settings.cloud, "state": settings.state},
        "cluster": {"count": settings.nodes, "zones": settings.zones,
            "teams": settings.teams.iter().map(team).collect::<Vec<_>>(),
            "objectives": settings.objectives.iter().map(objective).collect::<Vec<_>>(),
            "workers": {"report_ms": workers.report_ms, "lease_ms": workers.lease_ms,
                "gang_wait_ms": workers.gang_wait_ms, "gang_peer_ms": workers.gang_peer_ms,
                "cancel_ms": workers.cancel_ms},
            "state": {"rps": state.rps, "write_rps": state.write_rps, "value_kb": state.value_kb,
                "txn_ops": state.txn_ops},
            "cloud": {"rps": settings.cloud_rps, "list_lag_ms": settings.list_lag_ms},
            "quota": {"core_share": quota.core_share, "mem_mb": quota.mem_mb,
                "max_connections": quota.max_connections},
            "time_bound_ms": settings.time_bound_ms}})
}

/// The file without what has a default.
fn least(text: &str) -> String {
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
    for (name, text) in [("whole", PLATFORM.to_string()), ("least", least(PLATFORM))] {
        golden.case(name, platform(&Settings::parse("platform.json", &text).expect("settings")));
    }
    let mistakes = [
        ("no node", r#""node": "n0""#, r#""node": """#),
        ("lease", r#""lease_s": 12.0"#, r#""lease_s": 1.0"#),
        ("value_kb", r#""value_kb": 4.0"#, r#""value_kb": 1.0"#),
        ("txn_ops", r#""txn_ops": 8"#, r#""txn_ops": 2"#),
        ("a team", r#""cpus_max": 8.5"#, r#""cpus_max": -1"#),
    ];
    for (name, from, to) in mistakes {
        assert!(PLATFORM.contains(from), "{from}");
        let wrong = Settings::parse("platform.json", &PLATFORM.replacen(from, to, 1));
        golden.case(name, wrong.err().map(|error| error.to_string()));
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

/// What was read, in the words of the file.
fn tunables(read: &Tunables) -> Value {
    let (overload, operators, graphs) = (&read.overload, &read.operators, &read.graphs);
    json!({"t": read.t, "tt_s": read.tt_s, "fetch_gb_per_s": read.fetch_gb_per_s,
        "steal_wait_ms": read.steal_wait_ms, "steal_bound_s": read.steal_bound_s, "hold_s": read.hold_s,
        "leader_life_s": read.leader_life_s, "idle_s": read.idle_s, "drain_s": read.drain_s, "haste": read.haste,
        "overload": {"order": overload.order, "pressure": overload.pressure, "headroom": overload.headroom,
            "claims": overload.claims, "trials": overload.trials},
        "operators": {"enabled": operators.enabled, "events_per_job": operators.events_per_job,
            "explains_per_s": operators.explains_per_s},
        "graphs": {"enabled": graphs.enabled, "pools": graphs.pools, "kept_runs": graphs.kept_runs,
            "most_nodes": graphs.most_nodes, "sweep_s": graphs.sweep_s},
        "config": {"enabled": read.config.enabled}, "log": {"format": log_format(read.log.format)}})
}

fn deployed(name: &str) -> (String, String) {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(name);
    (name.into(), std::fs::read_to_string(path).expect("a file of tunables"))
}

#[test]
fn tunables_of_operators() {
    let mut golden = golden("tunables");
    let mut files: Vec<(String, String)> =
        ["config.hcl", "graphs.hcl", "operators.hcl", "overload.hcl"].into_iter().map(deployed).collect();
    files.push(("nothing set".into(), String::new()));
    files.push(("everything set".into(), EVERYTHING.into()));
    files.push(("lines as json".into(), "log {\n  format = \"json\"\n}\n".into()));
    for (name, text) in files {
        golden.case(&name, tunables(&Tunables::parse(&name, &text).expect("tunables")));
    }
    let mistakes = [
        ("a name", "tea = 1"),
        ("a range", "leader_life_s = 0.5"),
        ("a pool", "graphs {\n  pools = { billing = 0 }\n}\n"),
        ("graphs alone", "graphs {\n  enabled = true\n}\n"),
    ];
    for (name, text) in mistakes {
        let wrong = Tunables::parse("t.hcl", text).err();
        golden.case(&format!("wrong: {name}"), wrong.map(|error| error.to_string()));
    }
    golden.check();
}
