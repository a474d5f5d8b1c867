//! Messages of chalkdeck's programs, and the parts of public ones that they speak, with a text form that names the
//! line of an error.
#![forbid(unsafe_code)]

#[allow(
    clippy::all,
    missing_docs,
    reason = "generated from the .proto files, whose comments are the documentation"
)]
mod generated {
    include!(concat!(env!("OUT_DIR"), "/all.rs"));
}
pub use generated::*;

/// The encoded `FileDescriptorSet` of all these messages and services.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/descriptors.bin"));

pub mod text;
