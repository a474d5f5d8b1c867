//! Tests of `record`.

use super::*;

fn two_records() -> Vec<u8> {
    let mut bytes = Vec::new();
    append_bytes(&mut bytes, b"first");
    append_bytes(&mut bytes, b"second");
    bytes
}

#[test]
fn records_are_read_in_order() {
    let bytes = two_records();
    let mut reader = RecordReader::new(&bytes);
    let bodies: Vec<&[u8]> = reader.by_ref().map(|record| record.body).collect();
    assert_eq!(bodies, [&b"first"[..], b"second"]);
    assert!(reader.is_at_end());
}

#[test]
fn bytes_end_anywhere_then_only_complete_records_are_read() {
    let bytes = two_records();
    let first_len = HEADER_BYTES + b"first".len();
    for len in 0..bytes.len() {
        let mut reader = RecordReader::new(&bytes[..len]);
        assert_eq!(reader.by_ref().count(), usize::from(len >= first_len));
        assert_eq!(reader.is_at_end(), len == 0 || len == first_len);
    }
}

#[test]
fn bit_is_flipped_then_record_is_not_read() {
    let intact = two_records();
    let first_len = HEADER_BYTES + b"first".len();
    for bit in 0..first_len * 8 {
        let mut bytes = intact.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(body_at(&bytes, 0), None, "bit {bit}");
        assert!(
            has_valid_record_from(&bytes, 1),
            "the second record is found"
        );
    }
}

#[test]
fn zeros_are_not_read_as_a_record() {
    assert_eq!(body_at(&[0; 64], 0), None);
    assert!(!has_valid_record_from(&[0; 64], 0));
}
