//! Customers' access rules by region, free of I/O: a customer's set is checked and compiled once, and each call is decided by it
//! once, at arrival. Hits are counted for each rule and merge without counting twice.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod compiled;
mod held;
mod hits;
mod recent;
mod regions;
mod set;

pub use compiled::{Call, Compiled, Decision};
pub use held::{Held, Verdict, MOST_ALL, MOST_CUSTOMERS};
pub use hits::{Hits, Told, Totals};
pub use recent::{Recent, Seen, WouldHit};
pub use regions::{RegionError, Regions};
pub use set::{Action, Rule, RuleSet, SetError, Stale, MOST_RULES, MOST_TEXT, MOST_VALUES};
