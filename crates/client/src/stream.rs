//! Streams of messages in both directions.

use crate::call::Reply;
use crate::command::{Command, CommandSender};
use crate::core::CallId;
use bytes::Bytes;
use chalkdeck_net::grpc::{Deframer, FrameError};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum number of bytes of a stream that wait to be sent.
pub(crate) const MAX_QUEUED_BYTES: usize = 1 << 20;
/// The size of a gRPC frame header.
const FRAME_HEADER_BYTES: usize = 5;

/// Too many bytes of a stream wait to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many bytes of the stream wait to be sent")]
pub struct StreamFull;

/// An event of a stream, which its callback receives on the client's thread.
#[derive(Debug, Clone)]
pub enum StreamEvent {
    /// A message from the server.
    Message(Bytes),
    /// Messages can be sent again, after [`Stream::send`] returned [`StreamFull`].
    Writable,
    /// The stream has ended. No further event follows.
    Ended(Reply),
}

/// A handle of an open stream. Dropping it leaves the stream open; [`Stream::finish`] and [`Stream::cancel`] end it.
pub struct Stream {
    pub(crate) commands: Arc<CommandSender>,
    pub(crate) call: CallId,
    pub(crate) queued_bytes: Arc<AtomicUsize>,
}

impl Stream {
    /// Sends another message. A stream that has sent a second message is not retried.
    ///
    /// # Errors
    ///
    /// 1 MiB already waits to be sent. [`StreamEvent::Writable`] follows when the queue is shorter again.
    pub fn send(&self, message: Bytes) -> Result<(), StreamFull> {
        if self.queued_bytes() >= MAX_QUEUED_BYTES {
            return Err(StreamFull);
        }
        self.queued_bytes
            .fetch_add(message.len() + FRAME_HEADER_BYTES, Ordering::Relaxed);
        self.commands.send(Command::SendMessage {
            call: self.call,
            message,
        });
        Ok(())
    }

    /// Closes the sending side of the stream. The server can still send messages.
    pub fn finish(&self) {
        self.commands
            .send(Command::FinishStream { call: self.call });
    }

    /// Cancels the stream; [`StreamEvent::Ended`] follows.
    pub fn cancel(&self) {
        self.commands.send(Command::Cancel { call: self.call });
    }

    /// The number of bytes that wait to be sent.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }
}

/// The state of a stream on the client's thread.
pub(crate) struct StreamState {
    pub(crate) on_event: Box<dyn FnMut(StreamEvent) + Send>,
    queued_bytes: Arc<AtomicUsize>,
    deframer: Deframer,
    /// Messages from the caller while no attempt is in flight. Their size is bounded by `MAX_QUEUED_BYTES`.
    pub(crate) unsent_messages: Vec<Bytes>,
    /// Whether the caller has closed its sending side.
    pub(crate) is_finished: bool,
}

impl StreamState {
    pub(crate) fn new(
        on_event: Box<dyn FnMut(StreamEvent) + Send>,
        queued_bytes: Arc<AtomicUsize>,
    ) -> StreamState {
        StreamState {
            on_event,
            queued_bytes,
            deframer: Deframer::default(),
            unsent_messages: Vec::new(),
            is_finished: false,
        }
    }

    /// Reports the complete messages in the received bytes to the caller.
    pub(crate) fn on_data(&mut self, data: &[u8], max_bytes: usize) -> Result<(), FrameError> {
        self.deframer.push(data);
        while let Some(message) = self.deframer.next(max_bytes)? {
            (self.on_event)(StreamEvent::Message(message));
        }
        Ok(())
    }

    /// Handles that bytes were passed to the connection. The first message is not counted as queued, so the subtraction
    /// saturates at zero.
    pub(crate) fn on_sent(&mut self, bytes: usize) {
        let subtract = |queued: usize| Some(queued.saturating_sub(bytes));
        let before = self
            .queued_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .unwrap_or(0);
        let was_full = before >= MAX_QUEUED_BYTES;
        let is_full = before.saturating_sub(bytes) >= MAX_QUEUED_BYTES;
        if was_full && !is_full {
            (self.on_event)(StreamEvent::Writable);
        }
    }
}
