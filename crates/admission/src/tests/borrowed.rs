//! Tests of borrowed capacity.

use super::*;

fn cpus(cpu: u64) -> QuotaAmount {
    QuotaAmount { cpu, gpu: 0 }
}

#[test]
fn reclaims_only_usage_above_the_guarantee() {
    let mut borrowed: BorrowedCapacity<u32, u32> = BorrowedCapacity::default();
    borrowed.add_team(1, cpus(110), cpus(0), cpus(50));
    borrowed.add_team(2, cpus(50), cpus(0), cpus(50));
    borrowed.add_team(3, cpus(80), cpus(30), cpus(50));
    assert!(!borrowed.can_reclaim(2, cpus(1)), "the team uses exactly its guarantee");
    assert!(!borrowed.can_reclaim(3, cpus(1)), "the usage above the guarantee is already being stopped");
    assert!(!borrowed.reclaim(1, cpus(90), Some(7)), "only part of the gang is above the guarantee");
    assert!(borrowed.reclaim(1, cpus(40), Some(8)));
    assert!(borrowed.reclaim(1, cpus(40), Some(8)), "another machine of the same gang is not deducted again");
    assert!(!borrowed.reclaim(1, cpus(30), None), "only 20 are still borrowed");
    assert!(borrowed.reclaim(1, cpus(20), None));
    assert!(!borrowed.can_reclaim(1, cpus(1)));
}

#[test]
fn gpus_are_reclaimed_like_cpus() {
    let mut borrowed: BorrowedCapacity<u32, u32> = BorrowedCapacity::default();
    borrowed.add_team(
        1,
        QuotaAmount { cpu: 10, gpu: 8 },
        QuotaAmount::default(),
        QuotaAmount { cpu: 50, gpu: 4 },
    );
    assert!(borrowed.reclaim(1, QuotaAmount { cpu: 5, gpu: 4 }, None));
    assert!(!borrowed.can_reclaim(1, QuotaAmount { cpu: 5, gpu: 4 }));
}
