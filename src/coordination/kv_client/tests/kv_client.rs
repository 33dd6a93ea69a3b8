//! Tests of `kv_client`.

use super::*;
use crate::bookkeeping::store_cache::StoreCache;
use crate::ids::Revision;
use crate::protocol::kv::KvEntry;

const START: Millis = Millis(10_000);
/// The leader may send 11 requests per second.
const LIMITS: KvLimits = KvLimits { rps: 20.0, write_rps: 10.0, max_value_kb: 16.0, max_txn_ops: 64 };

fn client() -> KvClient {
    KvClient::new(LIMITS, 3, Millis(0))
}

fn clock(now: Millis) -> Clock {
    Clock { now, wall_ms: 0 }
}

fn refresh(
    kv: &mut KvClient,
    now: Millis,
    has_waiters: bool,
    reserved: usize,
) -> Vec<(OutboundId, KvRequest)> {
    let mut out = Vec::new();
    kv.refresh_cache(clock(now), has_waiters, 1_000, reserved, &StoreCache::default(), &mut out);
    let call = |action| match action {
        Action::CallKv { outbound, request, .. } => (outbound, request),
        other => panic!("{other:?}"),
    };
    out.into_iter().map(call).collect()
}

fn entry(key: &str) -> KvEntry {
    KvEntry { key: key.into(), value: None, revision: Revision(1) }
}

/// The leader gets more than half of the limits, the followers share the rest, and a single controller gets
/// nearly all.
#[test]
fn the_rate_limits_are_shared() {
    let mut kv = client();
    let rates = |kv: &KvClient| (kv.request_bucket.rate(), kv.write_bucket.rate());
    assert_eq!(rates(&kv), (4.0, 2.0));
    kv.set_is_leader(true);
    assert_eq!(rates(&kv), (11.0, 5.5));
    assert_eq!(rates(&KvClient::new(LIMITS, 1, START)), (19.0, 9.5));
}

/// Pages are read one at a time up to the last; then changes are polled from the first page's revision on.
#[test]
fn the_cache_is_loaded_page_by_page() {
    let mut kv = client();
    let mut cache = StoreCache::default();
    let sent = refresh(&mut kv, START, true, 0);
    assert!(matches!(&sent[..], [(_, KvRequest::ListPage { after: None, .. })]), "{sent:?}");
    assert!(refresh(&mut kv, START, true, 0).is_empty(), "one page at a time");
    kv.complete_request(clock(START), sent[0].0, &HttpOutcome::Unknown);
    let page =
        KvReply::ListPage { entries: vec![entry("a"), entry("b")], has_more: true, revision: Revision(5) };
    assert!(!kv.apply_page(page, &mut cache));
    let sent = refresh(&mut kv, START, true, 0);
    assert!(
        matches!(&sent[..], [(_, KvRequest::ListPage { after: Some(last), .. })] if last == "b"),
        "{sent:?}"
    );
    let page = KvReply::ListPage { entries: Vec::new(), has_more: false, revision: Revision(8) };
    assert!(kv.apply_page(page, &mut cache));
    assert_eq!((kv.loaded, cache.revision), (true, Revision(5)));
    let sent = refresh(&mut kv, START, true, 0);
    assert!(matches!(&sent[..], [(_, KvRequest::PollChanges { .. })]), "{sent:?}");
    assert_eq!(kv.fresh_as_of, None, "the cache is not fresh before a poll is answered");
    let changes = KvReply::ChangedEntries { entries: Vec::new(), revision: Revision(9) };
    assert!(kv.apply_poll(sent[0].0, START, changes, &mut cache).is_some());
    assert_eq!((kv.fresh_as_of, cache.revision), (Some(START), Revision(9)));
    assert_eq!(kv.last_applied_poll, Some(sent[0].0));
    assert!(kv.apply_poll(sent[0].0, START, KvReply::Compacted, &mut cache).is_none());
    assert_eq!((kv.loaded, kv.fresh_as_of), (false, None), "all records have to be loaded again");
    assert_eq!(kv.last_applied_poll, None, "the discarded cache covers no request");
}

/// A poll without waiters is sent at the idle interval, unless `poll_now` was called. Polls leave reserved
/// requests for writes.
#[test]
fn polls_are_spaced_and_leave_reserved_requests() {
    let mut kv = client();
    kv.loaded = true;
    kv.set_is_leader(true);
    let poll = |kv: &mut KvClient, now: Millis, has_waiters: bool, reserved: usize| {
        let sent = refresh(kv, now, has_waiters, reserved);
        sent.iter().for_each(|(outbound, _)| {
            kv.complete_request(clock(now), *outbound, &HttpOutcome::Unknown);
        });
        !sent.is_empty()
    };
    assert!(poll(&mut kv, START, false, 11), "one request is left for polls");
    kv.poll_now();
    assert!(poll(&mut kv, START.saturating_add(1), false, 5));
    assert!(!poll(&mut kv, START.saturating_add(40), true, 0));
    assert!(poll(&mut kv, START.saturating_add(41), true, 0));
    assert!(!poll(&mut kv, START.saturating_add(1_040), false, 0));
    assert!(poll(&mut kv, START.saturating_add(1_041), false, 0));
    kv.poll_now();
    assert!(!poll(&mut kv, START.saturating_add(1_042), true, 10), "10 of 11 are reserved, and 10 are left");
    assert!(poll(&mut kv, START.saturating_add(1_042), true, 9));
}

/// Only a failure that lasts makes the store unreachable, and one served request makes it reachable again. A
/// refusal because of the rate limit is not a failure.
#[test]
fn a_store_that_does_not_answer_is_unreachable() {
    let mut kv = client();
    let complete = |kv: &mut KvClient, now: Millis, outcome: &HttpOutcome| {
        let mut out = Vec::new();
        let request = KvRequest::GrantLease { ttl_ms: 1 };
        let outbound = kv.send_leadership_request(clock(now), request, &mut out);
        kv.complete_request(clock(now), outbound, outcome).map(|completed| completed.reply)
    };
    let refused = HttpOutcome::Response { status: STATUS_TOO_MANY_REQUESTS, body: Vec::new() };
    complete(&mut kv, START, &refused);
    assert!(kv.is_reachable(START.saturating_add(60_000)));
    complete(&mut kv, START, &HttpOutcome::Unknown);
    complete(&mut kv, START.saturating_add(100), &HttpOutcome::Unknown);
    assert!(kv.is_reachable(START.saturating_add(UNREACHABLE_AFTER_MS - 1)));
    assert!(!kv.is_reachable(START.saturating_add(UNREACHABLE_AFTER_MS)));
    kv.record_health(clock(START.saturating_add(600)), &KvReply::LeaseUpdated);
    assert!(kv.is_reachable(START.saturating_add(60_000)));
}

/// An outcome is matched with its request only once.
#[test]
fn an_outcome_without_a_request_in_flight_is_dropped() {
    let mut kv = client();
    let mut out = Vec::new();
    let outbound = kv.send_leadership_request(clock(START), KvRequest::GrantLease { ttl_ms: 1 }, &mut out);
    assert!(kv.complete_request(clock(START), outbound, &HttpOutcome::Unknown).is_some());
    assert!(kv.complete_request(clock(START), outbound, &HttpOutcome::Unknown).is_none());
}
