//! Tests of `metrics`.

use super::*;
use crate::protocol::operators::JobCountersView;

/// The scrape of a leader contains the expected samples and ends with `# EOF`. A follower reports none of the leader's
/// metrics.
#[test]
fn scrape_contains_expected_samples_and_eof() {
    let durations = DurationHistogram { sum_s: 0.5, count: 3, buckets: vec![(0.001, 2), (f64::INFINITY, 1)] };
    let snapshot = |leader_status| MetricsSnapshot {
        status: ControllerStatus {
            ready: true,
            leader_status,
            job_counters: vec![JobCountersView {
                team: "core".into(),
                class: "work".into(),
                done: 5,
                ..JobCountersView::default()
            }],
            ..ControllerStatus::default()
        },
        responses_by_status: BTreeMap::from([(200, 4), (503, 1)]),
        event_durations: vec![("report", durations.clone())],
        connections: 7,
        mesh_dropped: 2,
    };
    let leader =
        render_openmetrics(snapshot(Some(LeaderStatus { tasks_bound: 9, ..LeaderStatus::default() })));
    for line in [
        "olivelatch_ready 1.0",
        "olivelatch_starts_total 9",
        "olivelatch_mesh_dropped_total 2",
        "olivelatch_answers_total{status=\"503\"} 1",
        "olivelatch_jobs_total{team=\"core\",class=\"work\",state=\"done\"} 5",
        "olivelatch_event_seconds_bucket{le=\"+Inf\",kind=\"report\"} 3",
        "# EOF",
    ] {
        assert!(leader.lines().any(|found| found == line), "{line} in\n{leader}");
    }
    assert!(!render_openmetrics(snapshot(None)).contains("olivelatch_starts"));
}
