//! Whole messages one way: what a unary call's bytes add up to.

use crate::grpc::{Deframer, FrameError};
use bytes::Bytes;

/// Gathers the single message of a unary request or answer.
#[derive(Debug, Default)]
pub struct Gather {
    deframer: Deframer,
    message: Option<Bytes>,
}

impl Gather {
    /// Takes bytes; a message longer than `most` is an error.
    pub fn push(&mut self, data: &[u8], most: usize) -> Result<(), FrameError> {
        self.deframer.push(data);
        while let Some(message) = self.deframer.next(most)? {
            self.message.get_or_insert(message);
        }
        Ok(())
    }
    /// The message, once it is whole.
    pub fn message(&self) -> Option<&Bytes> {
        self.message.as_ref()
    }
}
