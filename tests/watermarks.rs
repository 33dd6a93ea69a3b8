//! When an end may be told: the watermarks of docs/design.md, "Terminal states are reported".

use olivelatch::bookkeeping::store_cache::{NewTerminal, ObservedLeader};
use olivelatch::coordination::read_watermarks::ReadWatermarks;
use olivelatch::ids::{JobId, Millis, Revision};
use proptest::prelude::*;

const JOB: JobId = JobId(7);

fn watermarks_at_end(others: &[&str], revision: u64, cancelled: bool) -> ReadWatermarks {
    let names: Vec<String> = others.iter().map(|name| (*name).to_string()).collect();
    let mut marks = ReadWatermarks::new(&names);
    marks
        .add_terminal(vec![NewTerminal { id: JOB, revision: Revision(revision), cancelled }], Millis(10_000));
    marks
}

fn leader(node: &str, revision: u64) -> ObservedLeader {
    ObservedLeader { controller: node.into(), revision: Revision(revision), lease: None, config_format: None }
}

proptest! {
    /// Before the oldest read that anybody may answer by is over, only the word of every other node makes an end stable.
    #[test]
    fn a_terminal_state_is_reported_when_nobody_can_respond_older(
        revision in 1_u64..100, reads in prop::collection::vec(0_u64..120, 2..5), after in 0_u64..4_000,
    ) {
        let names: Vec<String> = (0..reads.len()).map(|at| format!("n{at}")).collect();
        let words: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut marks = watermarks_at_end(&words, revision, false);
        for (name, read) in names.iter().zip(&reads) {
            marks.record_peer_read(name, Revision(*read));
            // An older word that comes late takes nothing back.
            marks.record_peer_read(name, Revision(read / 2));
        }
        let all = reads.iter().all(|read| *read >= revision);
        let stable = marks.is_stable(JOB, Millis(10_000 + after), Revision(revision), None);
        prop_assert_eq!(stable, all || after >= 1_250);
        prop_assert!(all || after > 1_200 || !stable);
    }

    /// A leader that has not read the cancellation may start tasks for as long as its mirror counts as fresh.
    #[test]
    fn a_cancellation_is_reported_when_the_leader_starts_nothing(
        read in 0_u64..100, token in 1_u64..100, others in 0_u64..100, after in 0_u64..4_000,
    ) {
        let mut marks = watermarks_at_end(&["leads", "other"], 50, true);
        marks.record_peer_read("leads", Revision(read));
        marks.record_peer_read("other", Revision(others));
        let stable = marks.is_stable(JOB, Millis(10_000 + after), Revision(50), Some(&leader("leads", token)));
        let starts = read < 50 && token < 50 && after <= 2_500;
        prop_assert!(!(stable && starts), "told while the leader may start tasks");
        let older = (read < 50 || others < 50) && after <= 1_200;
        prop_assert!(!(stable && older), "told while another node may answer older");
        prop_assert!(stable || after < 2_600, "held for good");
    }
}

/// Who led when the end was recorded is known only once this node has read as far.
#[test]
fn the_leader_is_not_concluded_from_an_older_read() {
    let mut marks = watermarks_at_end(&["a", "b"], 50, true);
    marks.record_peer_read("a", Revision(60));
    marks.record_peer_read("b", Revision(60));
    assert!(!marks.is_stable(JOB, Millis(10_100), Revision(49), None));
    assert!(marks.is_stable(JOB, Millis(10_100), Revision(50), None));
}

/// Which of the ends are recent is not known when all records are read at once: all wait; and one node alone waits for none.
#[test]
fn what_is_read_as_a_whole_waits() {
    let mut marks = watermarks_at_end(&["a"], 50, false);
    marks.restart_load(Millis(20_000));
    assert!(!marks.is_stable(JobId(1), Millis(21_200), Revision(90), None));
    assert!(marks.is_stable(JobId(1), Millis(21_250), Revision(90), None));
    assert!(watermarks_at_end(&[], 50, true).is_stable(
        JOB,
        Millis(10_000),
        Revision(0),
        Some(&leader("gone", 1))
    ));
}

/// Each node says how far it has read when that takes in an end, and not again before there is another.
#[test]
fn a_read_is_announced_once() {
    let mut marks = watermarks_at_end(&["a"], 50, false);
    assert_eq!(marks.take_announcement(Revision(49)), None);
    assert_eq!(marks.take_announcement(Revision(51)), Some(Revision(51)));
    assert_eq!(marks.take_announcement(Revision(52)), None);
}
