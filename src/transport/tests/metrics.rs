//! Tests of `metrics`.

use super::*;
use crate::protocol::operators::AccountView;

/// A follower shows no leader's figures; each line is one that a scraper takes.
#[test]
fn a_scrape_has_names_help_and_an_end() {
    let spread = Spread { sum_s: 0.5, count: 3, buckets: vec![(0.001, 2), (f64::INFINITY, 1)] };
    let scrape = |work| Scrape {
        status: NodeStatus {
            ready: true,
            work,
            accounts: vec![AccountView {
                team: "core".into(),
                class: "work".into(),
                done: 5,
                ..AccountView::default()
            }],
            ..NodeStatus::default()
        },
        answers: BTreeMap::from([(200, 4), (503, 1)]),
        events: vec![("report", spread.clone())],
        connections: 7,
        mesh_dropped: 2,
    };
    let leader = text(scrape(Some(LeaderStatus { starts: 9, ..LeaderStatus::default() })));
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
    assert!(!text(scrape(None)).contains("olivelatch_starts"));
}
