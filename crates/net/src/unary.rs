//! Receives the single message of a unary request or response.

use crate::grpc::{Deframer, FrameError};
use bytes::Bytes;

/// The message of a unary request or response while it is received.
#[derive(Debug, Default)]
pub struct UnaryMessage {
    deframer: Deframer,
    message: Option<Bytes>,
}

impl UnaryMessage {
    /// Appends received bytes. Messages after the first one are ignored.
    ///
    /// # Errors
    /// A message is longer than `max_bytes`, or compressed.
    pub fn push(&mut self, data: &[u8], max_bytes: usize) -> Result<(), FrameError> {
        self.deframer.push(data);
        while let Some(message) = self.deframer.next(max_bytes)? {
            self.message.get_or_insert(message);
        }
        Ok(())
    }
    /// The message, once it is complete.
    pub fn message(&self) -> Option<&Bytes> {
        self.message.as_ref()
    }
}
