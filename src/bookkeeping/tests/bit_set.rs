//! Tests of `bit_set`.

use super::*;

#[test]
fn encoded_blocks_round_trip() {
    let mut bits = BitSet::new(5000);
    for number in [0, 3, 2047, 2048, 4095, 4096, 4999] {
        assert!(bits.insert(number));
    }
    assert!(!bits.insert(4999) && !bits.insert(5000));
    let mut copy = BitSet::new(5000);
    for block in 0..3 {
        assert!(bits.encode_block(block).len() <= 512);
        copy.insert_encoded_block(block, &bits.encode_block(block));
    }
    assert_eq!(copy, bits);
    assert_eq!(copy.iter_missing().count(), 4993);
}
