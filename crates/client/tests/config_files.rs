//! Configuration files: errors name their location, and differences from the stored entries are found.

use olivelatch::protocol::config::{ConfigEntryList, ConfigEntryView, TeamQuota};
use olivelatch_client::ConfigFile;

fn entry(name: &str, limit_cpus: Option<f64>) -> ConfigEntryView {
    ConfigEntryView {
        key: name.into(),
        version: 3,
        configured: TeamQuota { limit_cpus, guaranteed_cpus: None },
        ceiling: TeamQuota::default(),
        effective: TeamQuota::default(),
        changed_by: None,
        reason: None,
        changed_at_ms: None,
        is_effective: true,
        pending_on: None,
        used_cpus: 0.0,
        cpus_over_limit: 0.0,
    }
}

#[test]
fn only_differing_entries_are_changed() {
    let team = |name: &str, limit: u32| format!("team \"{name}\" {{\n  limit_cpus = {limit}\n}}\n");
    let text = [team("a", 4), team("b", 5), team("c", 6)].concat();
    let file = ConfigFile::parse("f.hcl", &text).expect("a file");
    let entries = vec![entry("team/a", Some(4.0)), entry("team/b", None), entry("team/d", Some(1.0))];
    let list = ConfigEntryList { controller: "n".into(), revision: 9, entries };
    let names: Vec<(String, bool)> = file
        .differences(&list)
        .into_iter()
        .map(|difference| (difference.key, difference.current.is_some()))
        .collect();
    assert_eq!(names, [("team/b".to_string(), true), ("team/c".to_string(), false)]);
}

#[test]
fn errors_name_the_location_and_what_was_expected() {
    let error = |text: &str| ConfigFile::parse("f.hcl", text).expect_err("an error").to_string();
    let unknown = error("team \"a\" {\n  limit = 4\n}\n");
    assert!(unknown.starts_with("f.hcl: line 2: "), "{unknown}");
    assert_eq!(error("team \"a\" {\n}\n"), "f.hcl: team a: expected limit_cpus, guaranteed_cpus or both");
}
