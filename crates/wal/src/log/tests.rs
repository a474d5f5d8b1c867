//! Tests of `log`.

use super::*;
use crate::simulated_disk::SimulatedDisk;
use crate::test_state::{edit, encode, Harness, Sum};

#[test]
fn tail_is_torn_then_opening_truncates_it() {
    let disk = SimulatedDisk::new(1);
    Harness::open(&disk).append(&[1, 2]);
    let name = file_names::segment(0, 1);
    let intact = disk.read(&name).expect("a file");
    edit(&disk, &name, |bytes| bytes.extend([0xff; 4]));
    let opened = Harness::open(&disk);
    assert_eq!(opened.sum.total, 3);
    assert_eq!(opened.log.identity().epoch, 2);
    assert_eq!(disk.read(&name).expect("a file"), intact);
}

#[test]
fn head_is_torn_then_opening_removes_the_segment() {
    let disk = SimulatedDisk::new(1);
    Harness::open(&disk).append(&[1, 2]);
    let name = file_names::segment(2, 2);
    disk.put(&name, vec![0; 3]);
    let opened = Harness::open(&disk);
    assert_eq!(opened.sum.total, 3);
    assert!(!disk.list().expect("a list").contains(&name));
}

#[test]
fn log_is_damaged_then_opening_changes_nothing() {
    let disk = SimulatedDisk::new(1);
    Harness::open(&disk).append(&[1, 2]);
    let name = file_names::segment(0, 1);
    edit(&disk, &name, |bytes| {
        let first_record = bytes.len() - 2 * encode(0, 0).len();
        bytes[first_record] ^= 1;
    });
    let damaged = disk.read(&name).expect("a file");
    let opened = Log::open::<Sum>(disk.clone(), &(), 1);
    assert!(matches!(opened, Err(OpenError::Damage { .. })));
    assert_eq!(disk.list().expect("a list"), std::slice::from_ref(&name));
    assert_eq!(disk.read(&name).expect("a file"), damaged);
}

#[test]
fn append_fails_then_its_bytes_are_truncated_and_the_log_stays_open() {
    let disk = SimulatedDisk::new(1);
    let mut harness = Harness::open(&disk);
    disk.fail_next_append();
    let error = harness.log.append(&encode(0, 9));
    assert!(matches!(error, Err(AppendError::NotWritten(_))));
    assert!(!harness.log.is_closed());
    harness.append(&[1, 2]);
    assert_eq!(Harness::open(&disk).sum.total, 3);
}

#[test]
fn failed_append_cannot_be_truncated_then_log_closes() {
    let disk = SimulatedDisk::new(1);
    let mut harness = Harness::open(&disk);
    disk.fail_next_append();
    disk.fail_truncations();
    let error = harness.log.append(&encode(0, 9));
    assert!(matches!(error, Err(AppendError::OutcomeUnknown(_))));
    assert!(harness.log.is_closed());
    let error = harness.log.append(&encode(0, 9));
    assert!(matches!(error, Err(AppendError::Closed)));
}

#[test]
fn sync_fails_then_log_closes() {
    let disk = SimulatedDisk::new(1);
    let mut harness = Harness::open(&disk);
    disk.fail_syncs();
    harness.log.append(&encode(0, 9)).expect("appended");
    let error = harness.log.sync();
    assert!(matches!(error, Err(AppendError::OutcomeUnknown(_))));
    assert!(harness.log.is_closed());
    assert!(matches!(harness.log.sync(), Err(AppendError::Closed)));
}

#[test]
fn nothing_was_appended_then_roll_keeps_the_segment() {
    let disk = SimulatedDisk::new(1);
    let mut harness = Harness::open(&disk);
    let calls = disk.calls();
    harness.log.roll(0).expect("nothing to do");
    assert_eq!(disk.calls(), calls);
}
