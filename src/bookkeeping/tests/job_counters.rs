//! Tests of `accounts`.

use super::*;

#[test]
fn parties_beyond_the_bound_share_one_account() {
    let mut accounts = JobCounterTable::default();
    for class in 0..1000 {
        let party = accounts.team_class(TeamIx(1), ClassIx(class));
        assert_eq!(accounts.team_class(TeamIx(1), ClassIx(class)), party);
        accounts.counters_mut(party).expect("an account").accepted += 1;
    }
    assert_eq!(accounts.rows().count(), MAX_TEAM_CLASSES + 1);
    assert_eq!(accounts.rows().map(|(_, account)| account.accepted).sum::<u64>(), 1000);
    assert_eq!(accounts.rows().filter(|(party, _)| party.is_none()).count(), 1);
}
