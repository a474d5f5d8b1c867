//! Helpers that the tests of this package share.
#![allow(dead_code, reason = "each test uses a part of it")]

pub mod program;

use chalkdeck_counter::state::{CallerId, Increment, NameId};
use chalkdeck_time::TimeDelta;

/// A lifetime that ends after every test.
pub const FOREVER: TimeDelta = TimeDelta::from_micros(u64::MAX / 2);

/// An increment of a name by 1 that does not expire.
pub fn increment(caller: u64, number: u64, name: u64) -> Increment {
    Increment {
        name: NameId(name),
        amount: 1.0,
        lifetime: FOREVER,
        caller: CallerId(caller),
        number,
    }
}
