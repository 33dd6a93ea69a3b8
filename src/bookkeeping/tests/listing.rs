//! Tests of `listing`.

use super::*;
use crate::bookkeeping::records::{EndDetail, EndRecord, Key};
use crate::ids::Revision;
use crate::protocol::state::Pair;

fn with_ends(count: u64) -> Mirror {
    let mut mirror = Mirror::default();
    for at in 0..count {
        let team = if at % 1000 == 999 { "rare" } else { "core" };
        let detail =
            EndDetail { team: team.into(), class: "work".into(), tasks: 3, accepted: 5, first: None };
        let record = EndRecord::new(End::Done, 7, Some(detail));
        let value = serde_json::to_string(&record).ok();
        mirror.apply(&Pair { key: Key::End(JobId(at)).text(), value, stamp: Revision(at + 1) });
    }
    mirror
}

fn walk(mirror: &Mirror, query: &ListQuery) -> (Vec<String>, usize) {
    let (mut seen, mut pages, mut query) = (Vec::new(), 0, query.clone());
    loop {
        let (rows, next) = page(mirror, &query, &|_| 0);
        pages += 1;
        seen.extend(rows.into_iter().map(|row| row.id));
        query.after = next;
        if next.is_none() {
            return (seen, pages);
        }
    }
}

/// Whatever the filter takes, the pages together list each job once, and none looks at more than its share.
#[test]
fn pages_list_each_job_once_at_a_bounded_cost() {
    let mirror = with_ends(10_000);
    let all = ListQuery { limit: 300, ..ListQuery::default() };
    let (seen, pages) = walk(&mirror, &all);
    assert_eq!((seen.len(), pages), (10_000, 34));
    assert!(seen.is_sorted());
    let rare = ListQuery { limit: 300, team: Some("rare".into()), ..ListQuery::default() };
    let (seen, pages) = walk(&mirror, &rare);
    assert_eq!((seen.len(), pages), (10, 3));
    let live = ListQuery { limit: 300, state: Some(StateFilter::Live), ..ListQuery::default() };
    assert_eq!(walk(&mirror, &live).0.len(), 0);
}
