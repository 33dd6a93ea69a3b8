//! Tests of `job_listing`.

use super::*;
use crate::bookkeeping::records::{RecordKey, TerminalDetail, TerminalRecord};
use crate::ids::Revision;
use crate::protocol::kv::KvEntry;

fn cache_with_terminals(count: u64) -> StoreCache {
    let mut cache = StoreCache::default();
    for job in 0..count {
        let team = if job % 1000 == 999 { "rare" } else { "core" };
        let detail = TerminalDetail {
            team: team.into(),
            class: "work".into(),
            tasks: 3,
            accepted_wall_ms: 5,
            first_start_wall_ms: None,
        };
        let record = TerminalRecord::new(TerminalState::Done, 7, Some(detail));
        let value = serde_json::to_string(&record).ok();
        cache.apply(&KvEntry {
            key: RecordKey::Terminal(JobId(job)).encode(),
            value,
            revision: Revision(job + 1),
        });
    }
    cache
}

fn list_all(cache: &StoreCache, query: &ListQuery) -> (Vec<String>, usize) {
    let (mut listed, mut pages, mut query) = (Vec::new(), 0, query.clone());
    loop {
        let (rows, next) = job_page(cache, &query, &|_| 0);
        pages += 1;
        listed.extend(rows.into_iter().map(|row| row.id));
        query.after = next;
        if next.is_none() {
            return (listed, pages);
        }
    }
}

/// With any filter, the pages together list each matching job once, and no page scans more jobs than its bound.
#[test]
fn pages_list_each_job_once_at_a_bounded_cost() {
    let cache = cache_with_terminals(10_000);
    let all = ListQuery { limit: 300, ..ListQuery::default() };
    let (listed, pages) = list_all(&cache, &all);
    assert_eq!((listed.len(), pages), (10_000, 34));
    assert!(listed.is_sorted());
    let rare = ListQuery { limit: 300, team: Some("rare".into()), ..ListQuery::default() };
    let (listed, pages) = list_all(&cache, &rare);
    assert_eq!((listed.len(), pages), (10, 3));
    let live = ListQuery { limit: 300, state: Some(StateFilter::Active), ..ListQuery::default() };
    assert_eq!(list_all(&cache, &live).0.len(), 0);
}
