//! Tests of `bits`.

use super::*;

#[test]
fn blocks_come_back_as_they_were_written() {
    let mut bits = Bits::new(5000);
    for at in [0, 3, 2047, 2048, 4095, 4096, 4999] {
        assert!(bits.set(at));
    }
    assert!(!bits.set(4999) && !bits.set(5000));
    let mut copy = Bits::new(5000);
    for block in 0..3 {
        assert!(bits.block_hex(block).len() <= 512);
        copy.add_hex(block, &bits.block_hex(block));
    }
    assert_eq!(copy, bits);
    assert_eq!(copy.missing().count(), 4993);
}
