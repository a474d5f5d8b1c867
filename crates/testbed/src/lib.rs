//! The laboratory: stand-ins for the counter and the servers, a load tool, scripted days and their audit.
//!
//! Arrows between the folders run one way: `parts` knows nobody, stand-ins, load and audit know parts, the rig knows
//! these, measurement and soak know the rig.
#![forbid(unsafe_code)]

pub mod audit;
pub mod cli;
pub mod load;
pub mod measure;
pub mod parts;
pub mod rig;
pub mod soak;
pub mod stand_ins;
