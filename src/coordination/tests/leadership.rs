//! Tests of `leadership`.

use super::*;
use crate::bookkeeping::store_cache::ObservedLeader;
use crate::coordination::kv_client::Purpose;
use crate::settings::KvLimits;

const LEASE_MS: u64 = 5_000;
const START: Millis = Millis(10_000);
const LEASE: LeaseId = LeaseId(9);

/// A controller's leadership together with its cache and its client of the store.
struct Candidate {
    leadership: Leadership,
    kv: KvClient,
    cache: StoreCache,
    now: Millis,
}

impl Candidate {
    /// Creates a candidate that has read all records at a time when there is no leader.
    fn new() -> Candidate {
        let limits = KvLimits { rps: 100.0, write_rps: 100.0, max_value_kb: 16.0, max_txn_ops: 64 };
        let mut kv = KvClient::new(limits, 3, START);
        kv.loaded = true;
        let leadership = Leadership::new("n1", LEASE_MS);
        let mut candidate = Candidate { leadership, kv, cache: StoreCache::default(), now: START };
        assert_eq!(candidate.tick_at(START), []);
        candidate
    }

    fn clock(&self) -> Clock {
        Clock { now: self.now, wall_ms: 0 }
    }

    /// Returns the requests that the candidate sends at this time, with a poll answered just before.
    fn tick_at(&mut self, now: Millis) -> Vec<KvRequest> {
        self.answer_poll(now);
        self.tick_without_poll(now, false)
    }

    /// Makes the client behave as if a poll had been sent and answered at this time.
    fn answer_poll(&mut self, now: Millis) {
        self.kv.last_applied_poll = Some(OutboundId(self.kv.last_sent().0 + 1));
        self.kv.fresh_as_of = Some(now);
    }

    fn tick_without_poll(&mut self, now: Millis, preferred: bool) -> Vec<KvRequest> {
        self.now = now;
        let mut out = Vec::new();
        self.leadership.tick(self.clock(), preferred, &self.cache, &mut self.kv, &mut out);
        requests(out)
    }

    fn reply(&mut self, request: &KvRequest, reply: KvReply) -> (LeadershipChange, Vec<KvRequest>) {
        let completed = CompletedRequest {
            purpose: Purpose::Leadership,
            request: request.clone(),
            reply,
            outbound: self.kv.last_sent(),
            sent_at: self.now,
        };
        let mut out = Vec::new();
        let change = self.leadership.handle_reply(self.clock(), completed, &mut self.kv, &mut out);
        (change, requests(out))
    }

    /// Runs a campaign up to and including the given reply to the transaction that creates the leader key.
    fn campaign(&mut self, reply: KvReply) -> (LeadershipChange, Vec<KvRequest>) {
        let grant = self.tick_at(START.saturating_add(PREFERRED_HEAD_START_MS)).remove(0);
        let (_, sent) = self.reply(&grant, KvReply::LeaseGranted { lease: LEASE });
        self.reply(&sent[0], reply)
    }

    /// Creates a candidate that leads and whose cache shows its leader record.
    fn leading() -> Candidate {
        let mut candidate = Candidate::new();
        let committed = KvReply::Committed { revision: Revision(42) };
        assert_eq!(candidate.campaign(committed).0, LeadershipChange::Acquired(FencingToken(42)));
        candidate.observe_own_record(LEASE);
        candidate
    }

    fn observe_own_record(&mut self, lease: LeaseId) {
        self.cache.leader = Some(ObservedLeader {
            controller: "n1".into(),
            revision: Revision(42),
            lease: Some(lease),
            config_format: None,
        });
    }
}

fn requests(out: Vec<Action>) -> Vec<KvRequest> {
    let request = |action| match action {
        Action::CallKv { request, .. } => request,
        other => panic!("{other:?}"),
    };
    out.into_iter().map(request).collect()
}

fn grant() -> KvRequest {
    KvRequest::GrantLease { ttl_ms: LEASE_MS }
}

/// After the preferred controller's head start, the candidate requests a lease and creates the leader key
/// only if there is none.
#[test]
fn a_candidate_acquires_the_leader_key() {
    let mut candidate = Candidate::new();
    assert_eq!(candidate.tick_at(START.saturating_add(PREFERRED_HEAD_START_MS - 1)), []);
    assert_eq!(candidate.tick_at(START.saturating_add(PREFERRED_HEAD_START_MS)), [grant()]);
    assert_eq!(candidate.leadership.token(), None);
    let (change, sent) = candidate.reply(&grant(), KvReply::LeaseGranted { lease: LEASE });
    assert_eq!(change, LeadershipChange::Unchanged);
    let [KvRequest::Transaction { preconditions, mutations }] = sent.as_slice() else { panic!("{sent:?}") };
    assert_eq!(*preconditions, [Precondition { key: LEADER_KEY.into(), revision: Revision(0) }]);
    assert!(matches!(&mutations[..], [KvMutation::Put { key, lease: Some(LEASE), .. }] if key == LEADER_KEY));
    let (change, _) = candidate.reply(&sent[0], KvReply::Committed { revision: Revision(42) });
    assert_eq!(change, LeadershipChange::Acquired(FencingToken(42)));
    assert_eq!(candidate.leadership.token(), Some(FencingToken(42)));
}

/// A controller does not campaign while there is a leader or while the store does not answer.
#[test]
fn a_campaign_needs_a_vacant_leadership() {
    let mut candidate = Candidate::new();
    let due = START.saturating_add(PREFERRED_HEAD_START_MS);
    candidate.kv.failing_since = Some(START);
    assert_eq!(candidate.tick_at(due.saturating_add(500)), [], "the store does not answer");
    candidate.kv.failing_since = None;
    candidate.cache.leader = Some(ObservedLeader {
        controller: "n2".into(),
        revision: Revision(7),
        lease: None,
        config_format: None,
    });
    assert_eq!(candidate.tick_at(due.saturating_add(600)), [], "n2 leads");
    candidate.cache.leader = None;
    assert_eq!(candidate.tick_at(due.saturating_add(700)), [], "there has been no leader only since now");
    assert_eq!(candidate.tick_at(due.saturating_add(700 + PREFERRED_HEAD_START_MS)), [grant()]);
}

/// The lease is renewed four times within its duration, and counts from when the renewal was sent.
#[test]
fn the_lease_is_renewed() {
    let mut leader = Candidate::leading();
    let acquired_at = leader.now;
    let safe_ms = 4_995 - SAFETY_MARGIN_MS;
    assert_eq!(leader.leadership.lease_valid_until(), acquired_at.saturating_add(safe_ms));
    assert!(!leader.leadership.has_valid_lease(acquired_at.saturating_add(safe_ms)));
    assert_eq!(leader.tick_at(acquired_at.saturating_add(LEASE_MS / 4 - 1)), []);
    let renewal = leader.tick_at(acquired_at.saturating_add(LEASE_MS / 4));
    assert_eq!(renewal, [KvRequest::RenewLease { lease: LEASE }]);
    let sent_at = leader.now;
    assert_eq!(leader.reply(&renewal[0], KvReply::LeaseUpdated).0, LeadershipChange::Unchanged);
    assert_eq!(leader.leadership.lease_valid_until(), sent_at.saturating_add(safe_ms));
}

/// A controller stops leading once its lease no longer exists. A renewal without an answer alone does not end
/// its leadership, but without a valid lease it may not act.
#[test]
fn a_lost_lease_ends_leadership() {
    let mut leader = Candidate::leading();
    let renewal = leader.tick_at(leader.now.saturating_add(LEASE_MS)).remove(0);
    assert_eq!(leader.reply(&renewal, KvReply::Unknown).0, LeadershipChange::Unchanged);
    assert!(leader.leadership.token().is_some() && !leader.leadership.has_valid_lease(leader.now));
    assert_eq!(leader.reply(&renewal, KvReply::LeaseNotFound).0, LeadershipChange::Lost);
    assert_eq!(leader.leadership.token(), None);
}

/// A candidate that lost, or does not know whether it won, revokes its lease and campaigns again only after a
/// poll that shows the winner.
#[test]
fn an_uncertain_campaign_is_revoked() {
    for reply in [KvReply::Unknown, KvReply::PreconditionFailed { failed_keys: vec![LEADER_KEY.into()] }] {
        let mut candidate = Candidate::new();
        let (change, sent) = candidate.campaign(reply);
        let revoke = KvRequest::RevokeLease { lease: LEASE };
        assert_eq!((change, sent), (LeadershipChange::Unchanged, vec![revoke.clone()]));
        assert_eq!(candidate.reply(&revoke, KvReply::LeaseUpdated).0, LeadershipChange::Unchanged);
        let requested_at = candidate.now;
        let retry_at = requested_at.saturating_add(CAMPAIGN_INTERVAL_MS);
        assert_eq!(candidate.tick_without_poll(retry_at, false), []);
        assert_eq!(candidate.tick_at(requested_at.saturating_add(CAMPAIGN_INTERVAL_MS - 1)), []);
        assert_eq!(candidate.tick_at(retry_at), [grant()]);
    }
}

/// A controller that stepped down lets others campaign first, unless it is preferred.
#[test]
fn stepping_down_is_followed_by_a_cooldown() {
    for preferred in [false, true] {
        let mut leader = Candidate::leading();
        let mut out = Vec::new();
        leader.leadership.step_down(leader.clock(), &mut leader.kv, &mut out);
        assert_eq!(requests(out), [KvRequest::RevokeLease { lease: LEASE }]);
        let stepped_down_at = leader.now;
        assert_eq!(leader.tick_at(stepped_down_at), [], "the cache still shows this controller's record");
        leader.cache.leader = None;
        assert_eq!(leader.tick_at(stepped_down_at.saturating_add(1)), []);
        let early = stepped_down_at.saturating_add(STEP_DOWN_COOLDOWN_MS - 1);
        leader.answer_poll(early);
        let expected = if preferred { vec![grant()] } else { Vec::new() };
        assert_eq!(leader.tick_without_poll(early, preferred), expected);
        if !preferred {
            assert_eq!(leader.tick_at(stepped_down_at.saturating_add(STEP_DOWN_COOLDOWN_MS)), [grant()]);
        }
    }
}

/// A restarted process revokes the lease of its previous process once, and lets others campaign first.
#[test]
fn the_lease_of_a_former_process_is_revoked() {
    let mut restarted = Candidate::new();
    restarted.observe_own_record(LeaseId(3));
    let revoke = KvRequest::RevokeLease { lease: LeaseId(3) };
    assert_eq!(restarted.tick_at(START.saturating_add(1)), std::slice::from_ref(&revoke));
    restarted.reply(&revoke, KvReply::LeaseUpdated);
    assert_eq!(restarted.tick_without_poll(restarted.now.saturating_add(CAMPAIGN_INTERVAL_MS), false), []);
    restarted.cache.leader = None;
    let vacant_since = restarted.now;
    assert_eq!(restarted.tick_at(vacant_since), []);
    assert_eq!(restarted.tick_at(vacant_since.saturating_add(RESTART_COOLDOWN_MS - 1)), []);
    assert_eq!(restarted.tick_at(vacant_since.saturating_add(RESTART_COOLDOWN_MS)), [grant()]);
}
