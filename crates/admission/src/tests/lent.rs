//! Tests of `lent`.

use super::*;

fn cpus(cpu: u64) -> Room {
    Room { cpu, gpu: 0 }
}

#[test]
fn no_more_is_claimed_than_lies_above_the_guarantee() {
    let mut lent: Lent<u32, u32> = Lent::default();
    lent.team(1, cpus(110), cpus(0), cpus(50));
    lent.team(2, cpus(50), cpus(0), cpus(50));
    lent.team(3, cpus(80), cpus(30), cpus(50));
    assert!(!lent.may_claim(2, cpus(1)), "it uses what it is guaranteed");
    assert!(!lent.may_claim(3, cpus(1)), "what is above is being stopped");
    assert!(!lent.claim(1, cpus(90), Some(7)), "a gang that is only partly above");
    assert!(lent.claim(1, cpus(40), Some(8)));
    assert!(lent.claim(1, cpus(40), Some(8)), "another machine of the same gang");
    assert!(!lent.claim(1, cpus(30), None), "20 are left");
    assert!(lent.claim(1, cpus(20), None));
    assert!(!lent.may_claim(1, cpus(1)));
}

#[test]
fn accelerators_are_claimed_as_cpus_are() {
    let mut lent: Lent<u32, u32> = Lent::default();
    lent.team(1, Room { cpu: 10, gpu: 8 }, Room::default(), Room { cpu: 50, gpu: 4 });
    assert!(lent.claim(1, Room { cpu: 5, gpu: 4 }, None));
    assert!(!lent.may_claim(1, Room { cpu: 5, gpu: 4 }));
}
