//! Tests of when a terminal state may be reported, by the read watermarks of
//! docs/design.md, "Terminal states are reported".

use olivelatch::bookkeeping::store_cache::{NewTerminal, ObservedLeader};
use olivelatch::coordination::read_watermarks::ReadWatermarks;
use olivelatch::ids::{JobId, Millis, Revision};
use proptest::prelude::*;

const JOB: JobId = JobId(7);

/// Returns the watermarks of a controller that read the terminal state of `JOB` at 10 s. The terminal state was
/// recorded at `revision`.
fn watermarks_with_terminal(peers: &[&str], revision: u64, cancelled: bool) -> ReadWatermarks {
    let names: Vec<String> = peers.iter().map(|name| (*name).to_string()).collect();
    let mut watermarks = ReadWatermarks::new(&names);
    watermarks
        .add_terminal(vec![NewTerminal { id: JOB, revision: Revision(revision), cancelled }], Millis(10_000));
    watermarks
}

/// Returns a leader that was elected at this revision.
fn leader(controller: &str, revision: u64) -> ObservedLeader {
    ObservedLeader {
        controller: controller.into(),
        revision: Revision(revision),
        lease: None,
        config_format: None,
    }
}

proptest! {
    /// While a peer may still respond from an older read, a terminal state is stable only once every peer has
    /// announced a read that includes it.
    #[test]
    fn a_terminal_state_is_reported_once_no_peer_can_respond_from_an_older_read(
        revision in 1_u64..100, reads in prop::collection::vec(0_u64..120, 2..5), after in 0_u64..4_000,
    ) {
        let names: Vec<String> = (0..reads.len()).map(|index| format!("n{index}")).collect();
        let peers: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut watermarks = watermarks_with_terminal(&peers, revision, false);
        for (name, read) in names.iter().zip(&reads) {
            watermarks.record_peer_read(name, Revision(*read));
            // A late announcement of an older revision does not lower the watermark.
            watermarks.record_peer_read(name, Revision(read / 2));
        }
        let all_read = reads.iter().all(|read| *read >= revision);
        let stable = watermarks.is_stable(JOB, Millis(10_000 + after), Revision(revision), None);
        prop_assert_eq!(stable, all_read || after >= 1_250);
        prop_assert!(all_read || after > 1_200 || !stable);
    }

    /// A leader that has not read the cancellation may start tasks of the job for as long as its cache counts as fresh.
    #[test]
    fn a_cancellation_is_reported_once_the_leader_cannot_start_its_tasks(
        leader_read in 0_u64..100, elected_at in 1_u64..100, other_read in 0_u64..100, after in 0_u64..4_000,
    ) {
        let mut watermarks = watermarks_with_terminal(&["leads", "other"], 50, true);
        watermarks.record_peer_read("leads", Revision(leader_read));
        watermarks.record_peer_read("other", Revision(other_read));
        let leader = leader("leads", elected_at);
        let stable = watermarks.is_stable(JOB, Millis(10_000 + after), Revision(50), Some(&leader));
        let may_start_tasks = leader_read < 50 && elected_at < 50 && after <= 2_500;
        prop_assert!(!(stable && may_start_tasks), "reported while the leader may start tasks of the job");
        let may_respond_older = (leader_read < 50 || other_read < 50) && after <= 1_200;
        prop_assert!(!(stable && may_respond_older), "reported while another controller may respond from an older read");
        prop_assert!(stable || after < 2_600, "not reported after {after} ms");
    }
}

/// Only once a controller has read up to the revision of the terminal state does it know who led at that revision.
#[test]
fn the_leader_is_not_inferred_from_an_older_read() {
    let mut watermarks = watermarks_with_terminal(&["a", "b"], 50, true);
    watermarks.record_peer_read("a", Revision(60));
    watermarks.record_peer_read("b", Revision(60));
    assert!(!watermarks.is_stable(JOB, Millis(10_100), Revision(49), None));
    assert!(watermarks.is_stable(JOB, Millis(10_100), Revision(50), None));
}

/// A full load of the store does not show which terminal states are recent, so the reports of all of them are
/// delayed. A controller without peers delays none.
#[test]
fn a_full_load_delays_all_reports() {
    let mut watermarks = watermarks_with_terminal(&["a"], 50, false);
    watermarks.record_page_load(Millis(20_000));
    assert!(!watermarks.is_stable(JobId(1), Millis(21_200), Revision(90), None));
    assert!(watermarks.is_stable(JobId(1), Millis(21_250), Revision(90), None));
    assert!(watermarks_with_terminal(&[], 50, true).is_stable(
        JOB,
        Millis(10_000),
        Revision(0),
        Some(&leader("gone", 1))
    ));
}

/// A controller announces the first read that includes a terminal state, and no later read until there is another
/// terminal state.
#[test]
fn a_read_is_announced_once() {
    let mut watermarks = watermarks_with_terminal(&["a"], 50, false);
    assert_eq!(watermarks.take_announcement(Revision(49)), None);
    assert_eq!(watermarks.take_announcement(Revision(51)), Some(Revision(51)));
    assert_eq!(watermarks.take_announcement(Revision(52)), None);
}
