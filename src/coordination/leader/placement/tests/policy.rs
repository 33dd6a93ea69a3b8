//! Tests of `policy`.

use super::*;
use crate::bookkeeping::jobs::{NameRegistry, NodeSpec};
use crate::ids::JobId;
use crate::protocol::graphs::DagRunName;
use std::sync::Arc;

/// One who wants the last place: urgency, standing, ready at (s), due (s), path behind it (s; None: a plain job).
type Candidate = (&'static str, PriorityInputs, u64, u64, Option<u64>);

const BORROWING: PriorityInputs =
    PriorityInputs { guaranteed: false, past_slo_work: None, below_minimum_share: false };
const WITHIN_GUARANTEE: PriorityInputs = PriorityInputs { guaranteed: true, ..BORROWING };
const PAST_SLO_LITTLE_LEFT: PriorityInputs = PriorityInputs { past_slo_work: Some(1_000), ..BORROWING };
const PAST_SLO_MUCH_LEFT: PriorityInputs = PriorityInputs { past_slo_work: Some(100_000), ..BORROWING };
const BELOW_MINIMUM_SHARE: PriorityInputs =
    PriorityInputs { below_minimum_share: true, ..PAST_SLO_MUCH_LEFT };

fn queue_order(at: u32, (urgency, standing, ready, due, ahead): Candidate) -> QueueOrder {
    let spec = serde_json::json!({"uid": "job-000001", "jobclass": "c", "owner": "o", "shape": "array",
            "urgency": urgency, "pieces": 1, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "b",
            "size_gb": 0.0, "together": false, "scatter": false, "loaners": false, "guess_s": 0.0, "snapshot_s": 0.0,
            "flush_s": 0.0});
    let spec = serde_json::from_value(spec).expect("a specification");
    let mut names = NameRegistry::default();
    let seq = Revision(u64::from(at));
    let mut info = JobSpec::new(JobId(u64::from(at)), &spec, 1_000_000 + ready * 1000, seq, &mut names);
    info.node = ahead.map(|ahead| {
        Arc::new(NodeSpec {
            run: DagRunName::parse("r").expect("a name"),
            name: "n".into(),
            retry_policy: Default::default(),
            timeout_ms: None,
            pool: None,
            downstream_path_ms: ahead * 1000,
            upstream_jobs: Vec::new(),
            input_mb: 0,
            has_downstream: ahead > 0,
        })
    });
    QueueOrder::new(&Rank::new(JobIx(at), &info, due * 1000, 0), standing)
}

/// Whoever is passed over unseen would not have come first: held against looking at all.
#[test]
fn early_exit_finds_the_same_first() {
    let mut all = Vec::new();
    for urgency in ["high", "normal"] {
        let late = PriorityInputs { guaranteed: true, ..PAST_SLO_MUCH_LEFT };
        for standing in
            [WITHIN_GUARANTEE, late, BORROWING, PAST_SLO_LITTLE_LEFT, PAST_SLO_MUCH_LEFT, BELOW_MINIMUM_SHARE]
        {
            for due in [60, 300, 900] {
                all.push((urgency, standing, 0, due, None));
            }
        }
    }
    for skipped in 0..all.len() {
        for present_flags in [(true, true), (true, false), (false, true), (false, false)] {
            let present = PresentInputs {
                guaranteed: present_flags.0,
                past_slo: true,
                below_minimum_share: present_flags.1,
            };
            let is_present = |claim: &&Candidate| {
                (present.guaranteed || !claim.1.guaranteed)
                    && (present.below_minimum_share || !claim.1.below_minimum_share)
            };
            let candidates = all.iter().skip(skipped).filter(is_present).step_by(skipped % 3 + 1);
            let mut orders: Vec<QueueOrder> =
                candidates.enumerate().map(|(at, claim)| queue_order(at as u32, *claim)).collect();
            orders.sort_by_key(|turn| turn.rank);
            let mut first: Option<QueueOrder> = None;
            for turn in &orders {
                if first.is_some_and(|first| first.precedes_all_from(&turn.rank, present)) {
                    break;
                }
                first = first.into_iter().chain([*turn]).min();
            }
            assert_eq!(first, orders.iter().min().copied());
        }
    }
}

/// The first of each pair gets the last place, whichever asks first.
#[test]
fn queue_order_table() {
    let plain = ("normal", BORROWING, 0, 600, None);
    let table: [(&str, Candidate, Candidate); 12] = [
        (
            "urgency before all",
            ("high", PAST_SLO_LITTLE_LEFT, 900, 900, None),
            ("normal", WITHIN_GUARANTEE, 0, 60, Some(500)),
        ),
        (
            "a guarantee before what is held up",
            ("normal", WITHIN_GUARANTEE, 0, 600, None),
            ("normal", BORROWING, 0, 600, Some(500)),
        ),
        ("who can still meet an aim", plain, ("normal", PAST_SLO_LITTLE_LEFT, 0, 60, Some(500))),
        (
            "of two hopeless ones what has less left",
            ("normal", PAST_SLO_LITTLE_LEFT, 0, 900, None),
            ("normal", PAST_SLO_MUCH_LEFT, 0, 60, None),
        ),
        (
            "who is below its floor",
            ("normal", BELOW_MINIMUM_SHARE, 900, 900, None),
            ("high", WITHIN_GUARANTEE, 0, 60, None),
        ),
        (
            "of two below their floors the more urgent",
            ("high", BELOW_MINIMUM_SHARE, 900, 900, None),
            ("normal", BELOW_MINIMUM_SHARE, 0, 60, None),
        ),
        ("the earlier aim", ("normal", BORROWING, 0, 300, None), plain),
        ("what holds up more", ("normal", BORROWING, 0, 600, Some(60)), plain),
        (
            "of two nodes the longer path",
            ("normal", BORROWING, 0, 600, Some(90)),
            ("normal", BORROWING, 0, 600, Some(30)),
        ),
        ("a node that came a little later", ("normal", BORROWING, 100, 600, Some(500)), plain),
        (
            "aged: a plain job that came two minutes earlier",
            plain,
            ("normal", BORROWING, 130, 600, Some(100_000)),
        ),
        ("a last node is like a plain job: the older one", plain, ("normal", BORROWING, 0, 600, Some(0))),
    ];
    for (why, first, second) in table {
        assert!(queue_order(1, first) < queue_order(2, second), "{why}");
    }
    assert!(queue_order(2, plain) > queue_order(1, plain), "the older one");
}
