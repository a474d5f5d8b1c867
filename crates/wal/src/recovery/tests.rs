//! Tests of `recovery`.

use super::*;
use crate::simulated_disk::SimulatedDisk;
use crate::test_state::{edit, encode, Harness, Sum, INCARNATION};

fn recover_all(disk: &SimulatedDisk) -> Result<RecoveredState<Sum>, OpenError> {
    recover(disk, &(), u64::MAX)
}

fn error_of(disk: &SimulatedDisk) -> String {
    let Err(error) = recover_all(disk) else {
        panic!("expected an error");
    };
    error.to_string()
}

/// Three segments: values 1 to 3, snapshot, 4 to 6, snapshot, 7 to 9.
fn folder() -> SimulatedDisk {
    let disk = SimulatedDisk::new(1);
    let mut harness = Harness::open(&disk);
    harness.append(&[1, 2, 3]);
    harness.snapshot();
    harness.append(&[4, 5, 6]);
    harness.snapshot();
    harness.append(&[7, 8, 9]);
    disk
}

fn newest_segment(disk: &SimulatedDisk) -> String {
    let mut names = list_segments(disk).expect("a list");
    names.pop().expect("a segment")
}

#[test]
fn folder_is_empty_then_state_is_empty() {
    let recovered = recover_all(&SimulatedDisk::new(1)).expect("a valid log");
    assert_eq!(recovered.state, Sum::default());
    assert_eq!(recovered.identity, Identity::default());
    assert_eq!(recovered.report, RecoveryReport::default());
}

#[test]
fn snapshot_exists_then_only_later_records_are_replayed() {
    let recovered = recover_all(&folder()).expect("a valid log");
    assert_eq!(recovered.state.total, 45);
    assert_eq!(recovered.report.snapshot_position, 6);
    assert_eq!(recovered.report.replayed_changes, 3);
    assert_eq!(recovered.identity.incarnation, INCARNATION);
}

#[test]
fn end_position_is_given_then_state_stops_there() {
    let disk = folder();
    for (end_position, total) in [(0, 0), (2, 3), (3, 6), (5, 15), (9, 45)] {
        let recovered: RecoveredState<Sum> =
            recover(&disk, &(), end_position).expect("a valid log");
        assert_eq!(recovered.state.position, end_position);
        assert_eq!(recovered.state.total, total);
    }
}

#[test]
fn newest_snapshot_is_damaged_then_older_one_and_all_records_give_the_state() {
    let disk = folder();
    edit(&disk, &file_names::snapshot(6), |bytes| bytes[9] ^= 1);
    let recovered = recover_all(&disk).expect("a valid log");
    assert_eq!(recovered.state.total, 45);
    assert_eq!(recovered.report.snapshot_position, 3);
    assert_eq!(recovered.report.replayed_changes, 6);
    assert_eq!(recovered.report.damaged_snapshots.len(), 1);
}

#[test]
fn tail_is_torn_then_it_is_reported_and_the_rest_is_recovered() {
    let disk = folder();
    let name = newest_segment(&disk);
    for torn in [vec![0; 100], encode(9, 10)[..9].to_vec(), vec![0xff]] {
        let intact = disk.read(&name).expect("a file");
        edit(&disk, &name, |bytes| bytes.extend(&torn));
        let recovered = recover_all(&disk).expect("a torn tail is not damage");
        let tail = recovered.report.torn_tail.expect("a torn tail");
        assert_eq!(tail.file, name);
        assert_eq!(tail.len, torn.len() as u64);
        assert_eq!(recovered.state.total, 45);
        disk.put(&name, intact);
    }
}

#[test]
fn head_of_newest_segment_is_torn_then_the_whole_file_is_the_torn_tail() {
    let disk = folder();
    let name = file_names::segment(9, 2);
    disk.put(&name, vec![0; 5]);
    let recovered = recover_all(&disk).expect("a torn tail is not damage");
    let tail = recovered.report.torn_tail.expect("a torn tail");
    assert_eq!((tail.file, tail.len), (name, 5));
    assert_eq!(recovered.identity.epoch, 2);
}

#[test]
fn record_in_the_middle_is_damaged_then_error_names_file_and_offset() {
    let disk = folder();
    let name = newest_segment(&disk);
    let intact_len = disk.read(&name).expect("a file").len();
    let record_len = encode(0, 0).len();
    let damaged_offset = intact_len - 2 * record_len;
    edit(&disk, &name, |bytes| {
        bytes[damaged_offset + record::HEADER_BYTES] ^= 1;
    });
    let error = error_of(&disk);
    assert!(error.contains(&name), "{error}");
    assert!(
        error.contains(&format!("offset {damaged_offset}")),
        "{error}"
    );
}

#[test]
fn older_segment_is_torn_then_error_is_returned() {
    let disk = folder();
    disk.remove(&file_names::snapshot(6)).expect("removed");
    let name = file_names::segment(3, 1);
    edit(&disk, &name, |bytes| bytes.truncate(bytes.len() - 1));
    let error = error_of(&disk);
    assert!(
        error.contains("a sound record, as others follow"),
        "{error}"
    );
}

#[test]
fn segment_is_missing_then_error_names_the_gap() {
    let disk = folder();
    disk.remove(&file_names::snapshot(6)).expect("removed");
    disk.remove(&file_names::segment(3, 1)).expect("removed");
    let error = error_of(&disk);
    assert!(
        error.contains("expected values from 3 on, found 6"),
        "{error}"
    );
}

#[test]
fn record_is_missing_then_error_names_the_gap() {
    let disk = folder();
    edit(&disk, &newest_segment(&disk), |bytes| {
        bytes.extend(encode(11, 1));
    });
    let error = error_of(&disk);
    assert!(
        error.contains("expected values from 9 on, found 11"),
        "{error}"
    );
}

#[test]
fn record_cannot_be_decoded_then_error_is_returned() {
    let disk = folder();
    edit(&disk, &newest_segment(&disk), |bytes| {
        record::append_bytes(bytes, &[1, 2, 3]);
    });
    let error = error_of(&disk);
    assert!(error.contains("expected a record of values"), "{error}");
}

#[test]
fn segment_head_has_another_version_or_incarnation_then_error_is_returned() {
    let heads = [
        (4, INCARNATION, "expected version 3, found 4"),
        (3, 78, "expected incarnation 4d, found 4e"),
    ];
    for (version, incarnation, expected) in heads {
        let disk = folder();
        let identity = Identity {
            incarnation,
            epoch: 2,
        };
        let mut bytes = Vec::new();
        record::append_message(&mut bytes, &SegmentHead::new(version, identity, 9));
        disk.put(&file_names::segment(9, 2), bytes);
        let error = error_of(&disk);
        assert!(error.contains(expected), "{error}");
    }
}
