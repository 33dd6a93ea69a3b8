//! Tests of `accounts`.

use super::*;

#[test]
fn parties_beyond_the_bound_share_one_account() {
    let mut accounts = Accounts::default();
    for class in 0..1000 {
        let party = accounts.party(TeamIx(1), ClassIx(class));
        assert_eq!(accounts.party(TeamIx(1), ClassIx(class)), party);
        accounts.of(party).expect("an account").accepted += 1;
    }
    assert_eq!(accounts.rows().count(), MOST_PARTIES + 1);
    assert_eq!(accounts.rows().map(|(_, account)| account.accepted).sum::<u64>(), 1000);
    assert_eq!(accounts.rows().filter(|(party, _)| party.is_none()).count(), 1);
}
