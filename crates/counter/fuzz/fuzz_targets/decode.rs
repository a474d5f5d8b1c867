//! Snapshots and records from arbitrary bytes: no panic, no memory beyond the input's size.
#![no_main]
use chalkdeck_counter::snapshot;
use chalkdeck_counter::state::Limits;
use chalkdeck_wal::record;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let _ = snapshot::decode(bytes, Limits::default());
    // The same in a record with the right checksum, so that the body is decoded.
    let mut framed = Vec::new();
    record::append_bytes(&mut framed, bytes);
    let _ = snapshot::decode(&framed, Limits::default());
});
