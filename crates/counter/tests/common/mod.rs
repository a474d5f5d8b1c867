//! What the tests of the log share.
#![allow(dead_code)]
use chalkdeck_counter::state::Add;
pub use chalkdeck_wal::simulated_disk::SimulatedDisk;

pub const FOREVER: u64 = u64::MAX / 2;

pub fn add(caller: u64, number: u64, name: u64) -> Add {
    Add {
        name,
        amount: 1.0,
        lifetime: FOREVER,
        caller,
        number,
    }
}
