//! Settings and tunables files: valid files are accepted, and errors name the file and the place in it.

use olivelatch::ids::Resources;
use olivelatch::settings::Settings;
use olivelatch::tunables::Tunables;
use serde_json::{Value, json};

/// Returns a valid settings file.
fn valid_settings() -> Value {
    json!({"node": "n0", "zone": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2", "new_field": 1,
        "others": [{"node": "n1", "zone": "a", "addr": "127.0.0.1:3"}],
        "endpoints": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "cluster": {"count": 2, "zones": ["a"],
            "teams": [{"name": "open", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "bound", "cpus": 4.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [{"kind": "deadline", "class": "c", "share": 0.9, "times": 1.0}],
            "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 32.0},
            "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 3.0, "list_lag_s": 8.0},
            "quota": {"core_share": 0.1, "mem_mb": 72.0, "max_connections": 1500}, "time_bound_ms": 100.0}})
}

/// Returns the error of settings that a change has made invalid.
fn error_after(change: impl Fn(&mut Value)) -> String {
    let mut settings = valid_settings();
    change(&mut settings);
    Settings::parse("f.json", &settings.to_string()).expect_err("invalid settings").to_string()
}

#[test]
fn a_maximum_of_zero_is_no_limit() {
    let settings = Settings::parse("f.json", &valid_settings().to_string()).expect("valid settings");
    let huge = Resources { cpu: 1 << 40, gpu: 1 << 40, mem: 1 << 40 };
    assert!(huge.fits_in(&settings.teams[0].effective_limit()));
    assert!(!huge.fits_in(&settings.teams[1].effective_limit()));
    assert!(Resources { cpu: 8000, gpu: 5, mem: 1 }.fits_in(&settings.teams[1].effective_limit()));
    assert!(!Resources { cpu: 8001, gpu: 0, mem: 1 }.fits_in(&settings.teams[1].effective_limit()));
}

#[test]
fn errors_in_settings_name_the_field() {
    assert!(error_after(|v| v["cluster"]["workers"]["lease_s"] = json!(1.0)).contains("workers.lease_s"));
    assert!(error_after(|v| v["cluster"]["state"]["value_kb"] = json!(0.5)).contains("state.value_kb"));
    assert!(error_after(|v| v["cluster"]["state"]["txn_ops"] = json!(1)).contains("state.txn_ops"));
    assert!(error_after(|v| v["cluster"]["count"] = json!(0)).contains("cluster.count"));
    assert!(error_after(|v| v["others"][0]["node"] = json!("n0")).contains("names this node"));
    assert!(error_after(|v| v["front"] = json!("nowhere")).contains("f.json"));
    assert!(error_after(|v| v["cluster"]["teams"][1]["cpus"] = json!(-1.0)).contains("teams.bound.cpus"));
    assert!(
        error_after(|v| drop(v["cluster"].as_object_mut().map(|c| c.remove("workers")))).contains("workers")
    );
}

#[test]
fn errors_in_tunables_name_their_line() {
    assert_eq!(Tunables::parse("f.hcl", "").expect("an empty file is valid"), Tunables::default());
    assert_eq!(Tunables::parse("f.hcl", "t = 0.75\n").expect("valid tunables").fetch_ratio_threshold, 0.75);
    let unknown = Tunables::parse("f.hcl", "t = 0.5\nbogus = 1\n").expect_err("an unknown name").to_string();
    assert!(unknown.contains("f.hcl: line 2") && unknown.contains("bogus"), "{unknown}");
    let range = Tunables::parse("f.hcl", "idle_s = -1\n").expect_err("a value out of range").to_string();
    assert!(range.contains("idle_s must be 0 to"), "{range}");
    assert!(Tunables::parse("f.hcl", "t = = 1").is_err());
}

/// The files in `deploy/`, which operators start from, can be loaded.
#[test]
fn the_deployed_tunables_are_valid() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let load = |file: &str| Tunables::load(&folder.join(file)).expect("a valid file");
    assert!(load("operators.hcl").operators.enabled && !load("operators.hcl").graphs.enabled);
    assert!(load("config.hcl").config.enabled && !load("operators.hcl").config.enabled);
    let graphs = load("graphs.hcl");
    assert!(graphs.operators.enabled && graphs.graphs.enabled && graphs.graphs.pools.contains_key("billing"));
    let alone = Tunables::parse("f.hcl", "graphs {\n  enabled = true\n}\n")
        .expect_err("graphs without operators")
        .to_string();
    assert!(alone.contains("turn operators on"), "{alone}");
    let pool = "operators {\n  enabled = true\n}\ngraphs {\n  pools = {\n    a = 0\n  }\n}\n";
    assert!(Tunables::parse("f.hcl", pool).expect_err("a pool without slots").to_string().contains("pool a"));
}
