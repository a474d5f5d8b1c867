//! Whether a service's new version breaks those that subscribers still speak, free of I/O.
//!
//! A [`Version`] is a set of descriptors together with what the gateways' decisions promise of each method. [`check`] reads old requests
//! with the new publisher's eyes and new answers with old subscribers', at a stated [`Level`], and names each [`Break`] with a
//! witness. [`Spoken`] knows which versions are spoken.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod breaks;
mod promise;
mod reads;
mod service;
mod spoken;
mod types;
mod version;
mod walk;
mod witness;

pub use breaks::{Break, Direction, Rule, Witness};
pub use promise::{Effect, Group, Promise};
pub use service::{hold_back, HoldBack};
pub use spoken::{Spoken, Use};
pub use version::{Level, Version, VersionError, MOST_BYTES};
pub use walk::{check, Bounds};
