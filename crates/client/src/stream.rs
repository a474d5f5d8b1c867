//! Streams of messages both ways.

use crate::core::CallId;
use crate::handle::{Command, Door, Full, Reply};
use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes of a stream that may wait to go out.
pub(crate) const MOST_QUEUED: usize = 1 << 20;

/// What a stream's caller hears, on the client's thread.
#[derive(Debug, Clone)]
pub enum StreamEvent {
    /// A message of the server.
    Message(Bytes),
    /// A message can be queued again, after `send` said that too many wait.
    Room,
    /// The one end.
    End(Reply),
}

/// A stream under way. Dropping it leaves the stream as it is; `finish` or `cancel` end it.
pub struct Stream {
    pub(crate) door: Arc<Door>,
    pub(crate) call: CallId,
    pub(crate) queued: Arc<AtomicUsize>,
}

impl Stream {
    /// Sends a further message. Errors: a MiB waits already; try again when the server has taken some. After the first
    /// message a stream does not go again.
    pub fn send(&self, message: Bytes) -> Result<(), Full> {
        if self.queued.load(Ordering::Relaxed) >= MOST_QUEUED {
            return Err(Full);
        }
        self.queued.fetch_add(message.len() + 5, Ordering::Relaxed);
        self.door.tell(Command::Message(self.call, message));
        Ok(())
    }
    /// Sends no more; the server may go on.
    pub fn finish(&self) {
        self.door.tell(Command::Finish(self.call));
    }
    /// Calls it off; the caller hears its end.
    pub fn cancel(&self) {
        self.door.tell(Command::Cancel(self.call));
    }
    /// Bytes that wait to go out.
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }
}
