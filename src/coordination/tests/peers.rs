//! Tests of `peers`.

use super::*;

const NOW: Millis = Millis(100_000);

/// Returns peers with one beacon each from controllers that all reach the store. A beacon is given as the
/// controller's name and its numbers of misdirected workers at itself and elsewhere.
fn peers_with(beacons: &[(&str, u32, u32)]) -> Peers {
    let mut peers = Peers::default();
    for (name, misdirected, elsewhere) in beacons {
        peers.receive_beacon(NOW, name, true, *misdirected, *elsewhere);
    }
    peers
}

/// The best candidate has the largest sum of misdirected workers at itself and at the controllers that it
/// reaches.
#[test]
fn the_best_candidate_counts_the_most_misdirected_workers() {
    let peers = peers_with(&[("a", 3, 0), ("b", 1, 4), ("c", 2, 2)]);
    assert_eq!(peers.best_candidate(NOW), Some(("b".into(), 5)));
    let equal = peers_with(&[("b", 2, 0), ("a", 0, 2), ("c", 1, 1)]);
    assert_eq!(equal.best_candidate(NOW), Some(("a".into(), 2)), "equal counts: the first name wins");
    assert_eq!(Peers::default().best_candidate(NOW), None);
}

/// A controller that does not reach the store is no candidate, and a silent one does not count as live.
#[test]
fn only_live_controllers_that_reach_the_store_are_candidates() {
    let mut peers = peers_with(&[("a", 1, 0)]);
    peers.receive_beacon(NOW, "b", false, 9, 9);
    assert_eq!(peers.best_candidate(NOW), Some(("a".into(), 1)));
    let late = NOW.saturating_add(PEER_TIMEOUT_MS);
    peers.receive_beacon(late, "b", false, 9, 9);
    assert!(peers.is_peer_live(late, "b") && !peers.is_peer_live(late, "a"));
    assert!(peers.has_live_peer(late) && !peers.any_peer_reaches_store(late));
    assert_eq!(peers.best_candidate(late), None);
}

/// A beacon counts the workers that recently reported here, and those of the other controllers except the
/// receiver.
#[test]
fn beacons_count_misdirected_workers() {
    let mut peers = peers_with(&[("a", 3, 7), ("b", 5, 0)]);
    peers.record_misdirected(NOW, "worker-1");
    peers.record_misdirected(NOW, "worker-1");
    let names = ["a".to_string(), "b".to_string()];
    let sent = |peers: &mut Peers, now: Millis| {
        let mut out = Vec::new();
        peers.send_beacons(now, &names, true, &mut out);
        let counts = out.into_iter().map(|action| match action {
            Action::SendPeerMessage {
                controller,
                message: PeerMessage::HealthStatus { misdirected_workers, misdirected_workers_elsewhere, .. },
            } => (controller, misdirected_workers, misdirected_workers_elsewhere),
            other => panic!("{other:?}"),
        });
        counts.collect::<Vec<_>>()
    };
    assert_eq!(sent(&mut peers, NOW), [("a".to_string(), 1, 5), ("b".to_string(), 1, 3)]);
    assert_eq!(sent(&mut peers, NOW.saturating_add(BEACON_INTERVAL_MS - 1)), []);
    let late = NOW.saturating_add(MISDIRECTED_WINDOW_MS);
    assert_eq!(sent(&mut peers, late), [("a".to_string(), 0, 0), ("b".to_string(), 0, 0)]);
}

/// The number of remembered workers is bounded, however many report here.
#[test]
fn misdirected_workers_are_bounded() {
    let mut peers = Peers::default();
    for worker in 0..2 * MAX_MISDIRECTED {
        peers.record_misdirected(NOW, &format!("worker-{worker}"));
    }
    assert_eq!(peers.misdirected_workers.len(), MAX_MISDIRECTED);
    peers.clear_misdirected();
    assert!(peers.misdirected_workers.is_empty());
}
