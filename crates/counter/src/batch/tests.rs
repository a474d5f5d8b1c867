//! Tests of `batch`.

use super::*;

fn batch() -> IncrementBatch {
    let increment = |number| Increment {
        name: NameId(7),
        amount: -1.5,
        lifetime: TimeDelta::from_secs(2),
        caller: CallerId(3),
        number,
    };
    IncrementBatch {
        position: 9,
        time: Timestamp::from_micros(11),
        increments: (1..=3).map(increment).collect(),
    }
}

fn encoded_body() -> Vec<u8> {
    let mut bytes = Vec::new();
    batch().encode(&mut bytes);
    bytes.split_off(record::HEADER_BYTES)
}

#[test]
fn batch_is_encoded_then_decoding_gives_it_back() {
    let decoded = IncrementBatch::decode(&encoded_body()).expect("a valid batch");
    assert_eq!(decoded, batch());
}

#[test]
fn columns_differ_in_length_then_decoding_fails() {
    let mut message = Batch::decode(&encoded_body()[..]).expect("a message");
    message.callers.pop();
    let decoded = IncrementBatch::decode(&message.encode_to_vec());
    assert!(matches!(decoded, Err(BatchError::Columns)));
}

#[test]
fn amount_is_not_finite_then_decoding_fails() {
    let mut message = Batch::decode(&encoded_body()[..]).expect("a message");
    message.amounts[1] = f64::INFINITY;
    let decoded = IncrementBatch::decode(&message.encode_to_vec());
    assert!(matches!(decoded, Err(BatchError::Columns)));
}

#[test]
fn body_is_not_a_message_then_decoding_fails() {
    let decoded = IncrementBatch::decode(&[0xff]);
    assert!(matches!(decoded, Err(BatchError::Message(_))));
}
