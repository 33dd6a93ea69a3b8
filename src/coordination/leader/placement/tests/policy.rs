//! Tests of `policy`.

use super::*;
use crate::bookkeeping::jobs::{NodeInfo, Registry};
use crate::ids::JobId;
use crate::protocol::graphs::RunName;
use std::sync::Arc;

/// One who wants the last place: urgency, standing, ready at (s), due (s), path behind it (s; None: a plain job).
type Claim = (&'static str, Standing, u64, u64, Option<u64>);

const BORROWS: Standing = Standing { guaranteed: false, hopeless: None, behind: false };
const LENDS: Standing = Standing { guaranteed: true, ..BORROWS };
const LATE: Standing = Standing { hopeless: Some(1_000), ..BORROWS };
const LATER: Standing = Standing { hopeless: Some(100_000), ..BORROWS };
const BEHIND: Standing = Standing { behind: true, ..LATER };

fn turn(at: u32, (urgency, standing, ready, due, ahead): Claim) -> Turn {
    let spec = serde_json::json!({"uid": "job-000001", "jobclass": "c", "owner": "o", "shape": "array",
            "urgency": urgency, "pieces": 1, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "b",
            "size_gb": 0.0, "together": false, "scatter": false, "loaners": false, "guess_s": 0.0, "snapshot_s": 0.0,
            "flush_s": 0.0});
    let spec = serde_json::from_value(spec).expect("a specification");
    let mut names = Registry::default();
    let seq = Revision(u64::from(at));
    let mut info = JobInfo::new(JobId(u64::from(at)), &spec, 1_000_000 + ready * 1000, seq, &mut names);
    info.node = ahead.map(|ahead| {
        Arc::new(NodeInfo {
            run: RunName::parse("r").expect("a name"),
            name: "n".into(),
            retry: Default::default(),
            limit_ms: None,
            pool: None,
            ahead_ms: ahead * 1000,
            upstream: Vec::new(),
            input_mb: 0,
            feeds: ahead > 0,
        })
    });
    Turn::new(&Rank::new(JobIx(at), &info, due * 1000, 0), standing)
}

/// Whoever is passed over unseen would not have come first: held against looking at all.
#[test]
fn looking_no_further_finds_the_same() {
    let mut all = Vec::new();
    for urgency in ["high", "normal"] {
        let late = Standing { guaranteed: true, ..LATER };
        for standing in [LENDS, late, BORROWS, LATE, LATER, BEHIND] {
            for due in [60, 300, 900] {
                all.push((urgency, standing, 0, due, None));
            }
        }
    }
    for skipped in 0..all.len() {
        for some in [(true, true), (true, false), (false, true), (false, false)] {
            let some = Present { guaranteed: some.0, late: true, behind: some.1 };
            let there =
                |claim: &&Claim| (some.guaranteed || !claim.1.guaranteed) && (some.behind || !claim.1.behind);
            let claims = all.iter().skip(skipped).filter(there).step_by(skipped % 3 + 1);
            let mut turns: Vec<Turn> =
                claims.enumerate().map(|(at, claim)| turn(at as u32, *claim)).collect();
            turns.sort_by_key(|turn| turn.rank);
            let mut first: Option<Turn> = None;
            for turn in &turns {
                if first.is_some_and(|first| first.before_all_behind(&turn.rank, some)) {
                    break;
                }
                first = first.into_iter().chain([*turn]).min();
            }
            assert_eq!(first, turns.iter().min().copied());
        }
    }
}

/// The first of each pair gets the last place, whichever asks first.
#[test]
fn the_table_of_who_comes_first() {
    let plain = ("normal", BORROWS, 0, 600, None);
    let table: [(&str, Claim, Claim); 12] = [
        ("urgency before all", ("high", LATE, 900, 900, None), ("normal", LENDS, 0, 60, Some(500))),
        (
            "a guarantee before what is held up",
            ("normal", LENDS, 0, 600, None),
            ("normal", BORROWS, 0, 600, Some(500)),
        ),
        ("who can still meet an aim", plain, ("normal", LATE, 0, 60, Some(500))),
        (
            "of two hopeless ones what has less left",
            ("normal", LATE, 0, 900, None),
            ("normal", LATER, 0, 60, None),
        ),
        ("who is below its floor", ("normal", BEHIND, 900, 900, None), ("high", LENDS, 0, 60, None)),
        (
            "of two below their floors the more urgent",
            ("high", BEHIND, 900, 900, None),
            ("normal", BEHIND, 0, 60, None),
        ),
        ("the earlier aim", ("normal", BORROWS, 0, 300, None), plain),
        ("what holds up more", ("normal", BORROWS, 0, 600, Some(60)), plain),
        (
            "of two nodes the longer path",
            ("normal", BORROWS, 0, 600, Some(90)),
            ("normal", BORROWS, 0, 600, Some(30)),
        ),
        ("a node that came a little later", ("normal", BORROWS, 100, 600, Some(500)), plain),
        (
            "aged: a plain job that came two minutes earlier",
            plain,
            ("normal", BORROWS, 130, 600, Some(100_000)),
        ),
        ("a last node is like a plain job: the older one", plain, ("normal", BORROWS, 0, 600, Some(0))),
    ];
    for (why, first, second) in table {
        assert!(turn(1, first) < turn(2, second), "{why}");
    }
    assert!(turn(2, plain) > turn(1, plain), "the older one");
}
