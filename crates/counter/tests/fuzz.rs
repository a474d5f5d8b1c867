//! Decodes arbitrary bytes as records and snapshots: the result is an error or a state, never a panic.

use chalkdeck_counter::state::Limits;
use chalkdeck_counter::{recovery, snapshot};
use chalkdeck_proto::chalkdeck::counter::v1::{Batch, SnapshotHead, SnapshotPart};
use chalkdeck_wal::record;
use chalkdeck_wal::segment::SegmentHead;
use chalkdeck_wal::simulated_disk::SimulatedDisk;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Records with valid checksums around arbitrary bodies. Arbitrary bytes alone rarely pass the check of the checksum.
fn records_around(bodies: &[Vec<u8>]) -> Vec<u8> {
    let mut out = Vec::new();
    for body in bodies {
        record::append_bytes(&mut out, body);
    }
    out
}

proptest! {
    // A fixed seed makes every run test the same cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bytes_are_arbitrary_then_decoding_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400), bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..60), 0..6)) {
        for bytes in [bytes, records_around(&bodies)] {
            let _ = snapshot::decode(&bytes, Limits::default());
            let disk = SimulatedDisk::new(1);
            disk.put("segment-00000000000000000000-0000000001", bytes.clone());
            disk.put("snapshot-00000000000000000000", bytes);
            let _ = recovery::recover(&disk, Limits::default(), u64::MAX);
        }
    }

    #[test]
    fn messages_have_arbitrary_fields_then_totals_are_finite(position in 0..3_u64, names in proptest::collection::vec(0..4_u64, 0..6), amounts in proptest::collection::vec(any::<f64>(), 0..6),
        lifetimes in proptest::collection::vec(any::<u64>(), 0..6), callers in proptest::collection::vec(0..3_u64, 0..6), numbers in proptest::collection::vec(0..9_u64, 0..6)) {
        let mut segment = Vec::new();
        record::append_message(&mut segment, &SegmentHead { version: 1, incarnation: 5, epoch: 1, position: 0 });
        record::append_message(&mut segment, &Batch { position, time: 1, names: names.clone(), amounts: amounts.clone(), lifetimes: lifetimes.clone(), callers, numbers });
        let disk = SimulatedDisk::new(1);
        disk.put("segment-00000000000000000000-0000000001", segment);
        let recovered = recovery::recover(&disk, Limits::default(), u64::MAX);
        if let Ok(recovered) = recovered {
            prop_assert!(recovered.state.totals().iter().all(|t| t.total.is_finite()));
        }
        let mut bytes = Vec::new();
        record::append_message(&mut bytes, &SnapshotHead { version: 1, names: names.len() as u64, ..SnapshotHead::default() });
        record::append_message(&mut bytes, &SnapshotPart { names, totals: amounts, untils: lifetimes, callers: Vec::new() });
        let _ = snapshot::decode(&bytes, Limits::default());
    }
}
