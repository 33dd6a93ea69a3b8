//! Tests of borrowed capacity.

use super::*;

fn cpus(cpu: u64) -> QuotaAmount {
    QuotaAmount { cpu, gpu: 0 }
}

#[test]
fn reclaims_no_more_than_lies_above_the_guarantee() {
    let mut borrowed: BorrowedCapacity<u32, u32> = BorrowedCapacity::default();
    borrowed.add_team(1, cpus(110), cpus(0), cpus(50));
    borrowed.add_team(2, cpus(50), cpus(0), cpus(50));
    borrowed.add_team(3, cpus(80), cpus(30), cpus(50));
    assert!(!borrowed.can_reclaim(2, cpus(1)), "it uses what it is guaranteed");
    assert!(!borrowed.can_reclaim(3, cpus(1)), "what is above is being stopped");
    assert!(!borrowed.reclaim(1, cpus(90), Some(7)), "a gang that is only partly above");
    assert!(borrowed.reclaim(1, cpus(40), Some(8)));
    assert!(borrowed.reclaim(1, cpus(40), Some(8)), "another machine of the same gang");
    assert!(!borrowed.reclaim(1, cpus(30), None), "20 are left");
    assert!(borrowed.reclaim(1, cpus(20), None));
    assert!(!borrowed.can_reclaim(1, cpus(1)));
}

#[test]
fn accelerators_are_reclaimed_as_cpus_are() {
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
