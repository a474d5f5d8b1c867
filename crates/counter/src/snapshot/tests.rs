//! Tests of `snapshot`.

use super::*;
use crate::state::Increment;
use chalkdeck_time::TimeDelta;

const IDENTITY: Identity = Identity {
    incarnation: 5,
    epoch: 2,
};

/// A state with two names and one caller.
fn state() -> CounterState {
    let mut state = CounterState::new(Limits::default());
    for number in 1..=4 {
        let increment = Increment {
            name: NameId(number % 2),
            amount: 1.0,
            lifetime: TimeDelta::from_secs(1),
            caller: CallerId(3),
            number,
        };
        state.apply(Timestamp::from_micros(number), &increment);
    }
    state
}

fn error_of(bytes: &[u8]) -> String {
    let error = decode(bytes, Limits::default()).expect_err("damage");
    error.to_string()
}

#[test]
fn snapshot_is_decoded_then_state_and_identity_are_the_same() {
    let bytes = encode(&state(), IDENTITY);
    let decoded = decode(&bytes, Limits::default()).expect("a valid snapshot");
    assert_eq!(decoded.identity, IDENTITY);
    assert_eq!(decoded.state.position(), 4);
    assert_eq!(decoded.state.totals(), state().totals());
    assert_eq!(encode(&decoded.state, IDENTITY), bytes);
}

#[test]
fn snapshot_is_truncated_anywhere_then_decoding_fails() {
    let bytes = encode(&state(), IDENTITY);
    for len in 0..bytes.len() {
        assert!(decode(&bytes[..len], Limits::default()).is_err(), "{len}");
    }
}

#[test]
fn record_is_missing_then_error_names_the_counts() {
    let bytes = encode(&state(), IDENTITY);
    let last = RecordReader::new(&bytes).last().expect("a record");
    let error = error_of(&bytes[..last.offset]);
    assert!(error.contains("expected 2 names and 1 callers"), "{error}");
}

#[test]
fn version_differs_then_error_names_both_versions() {
    let head = SnapshotHead {
        version: VERSION + 1,
        ..SnapshotHead::default()
    };
    let mut bytes = Vec::new();
    record::append_message(&mut bytes, &head);
    let error = error_of(&bytes);
    assert!(error.contains("expected version 1, found 2"), "{error}");
}
