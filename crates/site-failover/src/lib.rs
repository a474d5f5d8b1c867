//! What a gateway makes of whole sites: whether one is lost or only out of reach from here, which part of the load each
//! should bear, what is refused first when the rest cannot bear all, and how fast a site that came back gets its part.
//!
//! Free of I/O: events with their times go in, a [`Plan`] comes out. Same events, same plan. Nothing here sends or
//! refuses a request; the plan reaches the module that does as figures. `docs/site-loss.md` has the reasons.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
mod core;
mod evidence;
pub mod level;
pub mod order;
pub mod pace;
pub mod room;
pub mod share;
pub mod states;

pub use api::*;
pub use core::Core;
