//! Buffers the body of a request for retries and tracks the flow control of the client's stream.
//!
//! At most `limit` bytes and one flow-control window are buffered. A longer body is discarded once it is forwarded;
//! the call can't be retried then.

use bytes::Bytes;

/// The buffered body of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestBuffer {
    chunks: Vec<Bytes>,
    buffered_bytes: usize,
    limit: usize,
    received_bytes: usize,
    /// Received bytes whose flow-control window was returned to the client.
    returned_bytes: usize,
    is_discarded: bool,
    /// Whether the client has sent the whole body.
    pub(crate) is_complete: bool,
}

/// The result of [`RequestBuffer::append`].
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Appended {
    /// The number of bytes of flow-control window to return to the client now.
    pub(crate) window_bytes: usize,
    /// Whether the body became too long and was discarded now.
    pub(crate) is_discarded: bool,
}

/// The bytes that a new attempt sends first.
pub(crate) struct Replay {
    pub(crate) chunks: Vec<Bytes>,
    /// The number of bytes at its beginning whose window was already returned.
    pub(crate) returned_bytes: usize,
    /// Whether the body was too long and was discarded now.
    pub(crate) is_discarded: bool,
}

impl RequestBuffer {
    pub(crate) fn new(limit: usize, is_complete: bool) -> RequestBuffer {
        RequestBuffer {
            limit,
            is_complete,
            ..RequestBuffer::default()
        }
    }

    /// Appends received bytes. If no attempt forwards them at once, their window is returned while the buffer has room.
    pub(crate) fn append(&mut self, data: &Bytes, is_forwarded: bool) -> Appended {
        self.received_bytes += data.len();
        if self.is_discarded {
            return Appended::default();
        }
        self.chunks.push(data.clone());
        self.buffered_bytes += data.len();
        let has_room = self.buffered_bytes <= self.limit;
        if is_forwarded {
            return Appended {
                window_bytes: 0,
                is_discarded: self.discard_if(!has_room),
            };
        }
        let window_bytes = if has_room { data.len() } else { 0 };
        self.returned_bytes += window_bytes;
        Appended {
            window_bytes,
            is_discarded: false,
        }
    }

    /// Returns all bytes received so far, for a new attempt.
    pub(crate) fn replay(&mut self) -> Replay {
        let unreturned = self.received_bytes - self.returned_bytes;
        let returned_bytes = self.buffered_bytes - unreturned.min(self.buffered_bytes);
        let chunks = self.chunks.clone();
        let is_discarded = self.discard_if(self.buffered_bytes > self.limit);
        Replay {
            chunks,
            returned_bytes,
            is_discarded,
        }
    }

    /// Records that an attempt sent bytes; the window of its next `returned_bytes` was already returned. Returns the number of
    /// bytes of window to return to the client.
    pub(crate) fn record_sent(&mut self, returned_bytes: &mut usize, bytes: usize) -> usize {
        let already_returned = bytes.min(*returned_bytes);
        *returned_bytes -= already_returned;
        let unreturned = self.received_bytes - self.returned_bytes;
        let window_bytes = (bytes - already_returned).min(unreturned);
        self.returned_bytes += window_bytes;
        window_bytes
    }

    /// Frees the body of a completed call.
    pub(crate) fn clear(&mut self) {
        self.chunks = Vec::new();
    }

    fn discard_if(&mut self, is_too_long: bool) -> bool {
        if is_too_long {
            self.is_discarded = true;
            self.chunks = Vec::new();
        }
        is_too_long
    }
}

#[cfg(test)]
mod tests;
