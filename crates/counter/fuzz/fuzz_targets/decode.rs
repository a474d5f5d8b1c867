//! Decodes snapshots and records from arbitrary bytes: there is no panic, and memory stays in proportion to the input's
//! size.
#![no_main]
use chalkdeck_counter::snapshot;
use chalkdeck_counter::state::Limits;
use chalkdeck_wal::record;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let _ = snapshot::decode(bytes, Limits::default());
    // The same bytes in a record with a valid checksum, so that the body is decoded.
    let mut framed = Vec::new();
    record::append_bytes(&mut framed, bytes);
    let _ = snapshot::decode(&framed, Limits::default());
});
