//! Tests of `job_counters`.

use super::*;

#[test]
fn pairs_beyond_the_bound_share_one_row() {
    let mut table = JobCounterTable::default();
    for class in 0..1000 {
        let row = table.team_class(TeamIx(1), ClassIx(class));
        assert_eq!(table.team_class(TeamIx(1), ClassIx(class)), row);
        table.counters_mut(row).expect("counters").accepted += 1;
    }
    assert_eq!(table.rows().count(), MAX_TEAM_CLASSES + 1);
    assert_eq!(table.rows().map(|(_, counters)| counters.accepted).sum::<u64>(), 1000);
    assert_eq!(table.rows().filter(|(team_class, _)| team_class.is_none()).count(), 1);
}
