//! Tests of `retention`.

use super::*;
use crate::simulated_disk::SimulatedDisk;
use crate::test_state::Harness;

#[test]
fn one_snapshot_exists_then_everything_is_retained() {
    let disk = SimulatedDisk::new(1);
    let mut harness = Harness::open(&disk);
    harness.append(&[1, 2]);
    harness.snapshot();
    let before = disk.list().expect("a list");
    remove_superseded(&disk).expect("removed");
    assert_eq!(disk.list().expect("a list"), before);
}

#[test]
fn three_snapshots_exist_then_two_and_the_segments_after_them_are_retained() {
    let disk = SimulatedDisk::new(1);
    let mut harness = Harness::open(&disk);
    for values in [[1, 2], [3, 4], [5, 6]] {
        harness.append(&values);
        harness.snapshot();
    }
    remove_superseded(&disk).expect("removed");
    let retained = [
        file_names::segment(4, 1),
        file_names::segment(6, 1),
        file_names::snapshot(4),
        file_names::snapshot(6),
    ];
    assert_eq!(disk.list().expect("a list"), retained);
    assert_eq!(Harness::open(&disk).sum.total, 21);
}
