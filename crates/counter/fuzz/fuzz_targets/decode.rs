//! Snapshots and records from arbitrary bytes: no panic, no memory beyond the input's size.
#![no_main]
use chalkdeck_counter::state::Limits;
use chalkdeck_counter::snapshot;
use chalkdeck_wal::record;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let _ = snapshot::decode(bytes, Limits::default());
    // The same behind a sound frame, so that the body is reached.
    let mut framed = (bytes.len() as u32).to_le_bytes().to_vec();
    framed.extend(record::checksum(bytes).to_le_bytes());
    framed.extend(bytes);
    let _ = snapshot::decode(&framed, Limits::default());
});
