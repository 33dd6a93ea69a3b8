//! Tests of the order of service.

use super::*;
use crate::bookkeeping::jobs::NodeSpec;
use crate::coordination::leader::placement::job_specs::array_job;
use crate::protocol::graphs::DagRunName;
use std::sync::Arc;

/// A waiting job, with the inputs that determine its position in the order.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    priority_class: &'static str,
    inputs: PriorityInputs,
    ready_s: u64,
    objective_s: u64,
    /// Length of a node's longest downstream path in seconds; None for a plain job.
    downstream_s: Option<u64>,
}

const fn candidate(
    priority_class: &'static str,
    inputs: PriorityInputs,
    ready_s: u64,
    objective_s: u64,
    downstream_s: Option<u64>,
) -> Candidate {
    Candidate { priority_class, inputs, ready_s, objective_s, downstream_s }
}

const BORROWING: PriorityInputs =
    PriorityInputs { guaranteed: false, past_slo_work: None, below_minimum_share: false };
const WITHIN_GUARANTEE: PriorityInputs = PriorityInputs { guaranteed: true, ..BORROWING };
const PAST_SLO_LITTLE_LEFT: PriorityInputs = PriorityInputs { past_slo_work: Some(1_000), ..BORROWING };
const PAST_SLO_MUCH_LEFT: PriorityInputs = PriorityInputs { past_slo_work: Some(100_000), ..BORROWING };
const BELOW_MINIMUM_SHARE: PriorityInputs =
    PriorityInputs { below_minimum_share: true, ..PAST_SLO_MUCH_LEFT };

fn queue_order(index: u32, candidate: Candidate) -> QueueOrder {
    let mut spec = array_job(index, candidate.priority_class, candidate.ready_s);
    spec.node = candidate.downstream_s.map(|downstream_s| {
        Arc::new(NodeSpec {
            run: DagRunName::parse("r").expect("a name"),
            name: "n".into(),
            retry_policy: Default::default(),
            timeout_ms: None,
            pool: None,
            downstream_path_ms: downstream_s * 1000,
            upstream_jobs: Vec::new(),
            input_mb: 0,
            has_downstream: downstream_s > 0,
        })
    });
    let rank = Rank::new(JobIx(index), &spec, candidate.objective_s * 1000, 0);
    QueueOrder::new(&rank, candidate.inputs)
}

/// Returns the first of `orders`, which are sorted by rank, and stops early as placement does.
fn first_with_early_exit(orders: &[QueueOrder], present: PresentInputs) -> Option<QueueOrder> {
    let mut first: Option<QueueOrder> = None;
    for order in orders {
        if first.is_some_and(|first| first.precedes_all_from(&order.rank, present)) {
            break;
        }
        first = first.into_iter().chain([*order]).min();
    }
    first
}

/// Guards against an early exit that skips the job to be served first, by comparison with a scan of all jobs.
#[test]
fn early_exit_finds_the_same_first() {
    let mut all = Vec::new();
    for priority_class in ["high", "normal"] {
        let guaranteed_past_slo = PriorityInputs { guaranteed: true, ..PAST_SLO_MUCH_LEFT };
        for inputs in [
            WITHIN_GUARANTEE,
            guaranteed_past_slo,
            BORROWING,
            PAST_SLO_LITTLE_LEFT,
            PAST_SLO_MUCH_LEFT,
            BELOW_MINIMUM_SHARE,
        ] {
            for objective_s in [60, 300, 900] {
                all.push(candidate(priority_class, inputs, 0, objective_s, None));
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
            let is_present = |candidate: &&Candidate| {
                (present.guaranteed || !candidate.inputs.guaranteed)
                    && (present.below_minimum_share || !candidate.inputs.below_minimum_share)
            };
            let candidates = all.iter().skip(skipped).filter(is_present).step_by(skipped % 3 + 1);
            let mut orders: Vec<QueueOrder> =
                candidates.enumerate().map(|(index, job)| queue_order(index as u32, *job)).collect();
            orders.sort_by_key(|order| order.rank);
            assert_eq!(first_with_early_exit(&orders, present), orders.iter().min().copied());
        }
    }
}

/// In each row the first job is served before the second.
#[test]
fn queue_order_table() {
    let plain = candidate("normal", BORROWING, 0, 600, None);
    let table: [(&str, Candidate, Candidate); 12] = [
        (
            "the priority class comes before guarantees and objectives",
            candidate("high", PAST_SLO_LITTLE_LEFT, 900, 900, None),
            candidate("normal", WITHIN_GUARANTEE, 0, 60, Some(500)),
        ),
        (
            "a guarantee comes before the downstream path",
            candidate("normal", WITHIN_GUARANTEE, 0, 600, None),
            candidate("normal", BORROWING, 0, 600, Some(500)),
        ),
        (
            "a job that can still meet an objective comes before one past its objectives",
            plain,
            candidate("normal", PAST_SLO_LITTLE_LEFT, 0, 60, Some(500)),
        ),
        (
            "of two jobs past their objectives, the one with less remaining work comes first",
            candidate("normal", PAST_SLO_LITTLE_LEFT, 0, 900, None),
            candidate("normal", PAST_SLO_MUCH_LEFT, 0, 60, None),
        ),
        (
            "a job below its minimum share comes before a more urgent one",
            candidate("normal", BELOW_MINIMUM_SHARE, 900, 900, None),
            candidate("high", WITHIN_GUARANTEE, 0, 60, None),
        ),
        (
            "of two jobs below their minimum shares, the more urgent comes first",
            candidate("high", BELOW_MINIMUM_SHARE, 900, 900, None),
            candidate("normal", BELOW_MINIMUM_SHARE, 0, 60, None),
        ),
        ("the earlier objective comes first", candidate("normal", BORROWING, 0, 300, None), plain),
        (
            "a node with a downstream path comes before a plain job",
            candidate("normal", BORROWING, 0, 600, Some(60)),
            plain,
        ),
        (
            "of two nodes, the one with the longer downstream path comes first",
            candidate("normal", BORROWING, 0, 600, Some(90)),
            candidate("normal", BORROWING, 0, 600, Some(30)),
        ),
        (
            "a node with a long downstream path passes a slightly older plain job",
            candidate("normal", BORROWING, 100, 600, Some(500)),
            plain,
        ),
        (
            "a plain job two minutes older comes before a node, however long its downstream path",
            plain,
            candidate("normal", BORROWING, 130, 600, Some(100_000)),
        ),
        (
            "a node without a downstream path is ordered by age like a plain job",
            plain,
            candidate("normal", BORROWING, 0, 600, Some(0)),
        ),
    ];
    for (why, first, second) in table {
        assert!(queue_order(1, first) < queue_order(2, second), "{why}");
    }
    assert!(queue_order(2, plain) > queue_order(1, plain), "the older of two equal jobs comes first");
}
