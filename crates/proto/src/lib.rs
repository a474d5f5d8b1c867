//! Generated protobuf types: chalkdeck's own messages and the parts of the public Envoy and Google APIs that it uses. The
//! `text` module reads and writes the protobuf text format, with line numbers in parse errors.
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

/// The encoded `FileDescriptorSet` of all generated messages and services.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/descriptors.bin"));

pub mod text;
