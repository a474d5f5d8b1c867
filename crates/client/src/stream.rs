//! Streams of messages in both directions.

use crate::call::Reply;
use crate::command::{Command, CommandSender};
use crate::core::CallId;
use bytes::Bytes;
use chalkdeck_net::grpc::{Deframer, FrameError};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes of a stream that may wait to be sent.
pub(crate) const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Length of a message's header on the wire.
const FRAME_HEADER_LEN: usize = 5;

/// Too many bytes of a stream wait to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many bytes of the stream wait to be sent")]
pub struct StreamFull;

/// What the caller of a stream is told, on the client's thread.
#[derive(Debug, Clone)]
pub enum StreamEvent {
    /// A message of the server.
    Message(Bytes),
    /// A message can be sent again, after [`Stream::send`] reported that too many wait.
    Writable,
    /// The stream ended; nothing follows.
    Ended(Reply),
}

/// A stream under way. Dropping it leaves the stream open; [`Stream::finish`] and [`Stream::cancel`] end it.
pub struct Stream {
    pub(crate) commands: Arc<CommandSender>,
    pub(crate) call: CallId,
    pub(crate) queued_bytes: Arc<AtomicUsize>,
}

impl Stream {
    /// Sends a further message. A stream that has sent a second message is not retried.
    ///
    /// # Errors
    ///
    /// A MiB waits already; [`StreamEvent::Writable`] follows when the server has taken some of it.
    pub fn send(&self, message: Bytes) -> Result<(), StreamFull> {
        if self.queued_bytes() >= MAX_QUEUED_BYTES {
            return Err(StreamFull);
        }
        self.queued_bytes
            .fetch_add(message.len() + FRAME_HEADER_LEN, Ordering::Relaxed);
        self.commands.send(Command::SendMessage {
            call: self.call,
            message,
        });
        Ok(())
    }

    /// Ends the messages of this side; the server may go on.
    pub fn finish(&self) {
        self.commands
            .send(Command::FinishStream { call: self.call });
    }

    /// Cancels the stream; [`StreamEvent::Ended`] follows.
    pub fn cancel(&self) {
        self.commands.send(Command::Cancel { call: self.call });
    }

    /// Bytes that wait to be sent.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }
}

/// A stream on the client's thread.
pub(crate) struct StreamState {
    pub(crate) on_event: Box<dyn FnMut(StreamEvent) + Send>,
    queued_bytes: Arc<AtomicUsize>,
    deframer: Deframer,
    /// Messages that were sent while no attempt was in flight; bounded by `queued_bytes`.
    pub(crate) unsent: Vec<Bytes>,
    /// Whether the caller sends no more.
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
            unsent: Vec::new(),
            is_finished: false,
        }
    }

    /// Hands the whole messages in the server's bytes to the caller.
    pub(crate) fn on_data(&mut self, data: &[u8], max_len: usize) -> Result<(), FrameError> {
        self.deframer.push(data);
        while let Some(message) = self.deframer.next(max_len)? {
            (self.on_event)(StreamEvent::Message(message));
        }
        Ok(())
    }

    /// Bytes were handed to the connection. The first message was not counted as queued, so the sum may fall below zero.
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
