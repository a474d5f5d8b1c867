//! The body of a request while it may have to be sent again, and the flow control of the client's stream.
//!
//! At most `limit` bytes and one window are buffered. A longer body is discarded as it is sent, and cannot be sent again.

use bytes::Bytes;

/// The body of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestBuffer {
    chunks: Vec<Bytes>,
    buffered_bytes: usize,
    limit: usize,
    received_bytes: usize,
    /// Received bytes whose flow-control window was returned to the client.
    returned_bytes: usize,
    is_discarded: bool,
    /// Whether the client has sent all of it.
    pub(crate) is_complete: bool,
}

/// What follows from received bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Appended {
    /// Bytes of window to return to the client now.
    pub(crate) window: usize,
    /// Whether the body was discarded by this.
    pub(crate) is_discarded: bool,
}

/// What an attempt sends first.
pub(crate) struct Replay {
    pub(crate) chunks: Vec<Bytes>,
    /// The first bytes of it whose window was returned before.
    pub(crate) returned_bytes: usize,
    /// Whether the body was discarded by this.
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

    /// Takes received bytes. If no attempt forwards them at once, their window is returned as long as the buffer has room.
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
                window: 0,
                is_discarded: self.discard_if(!has_room),
            };
        }
        let window = if has_room { data.len() } else { 0 };
        self.returned_bytes += window;
        Appended {
            window,
            is_discarded: false,
        }
    }

    /// An attempt starts and sends all bytes that were received so far.
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

    /// Takes into account that an attempt has sent bytes, of which the first `returned_bytes` need no window any more. Returns the
    /// bytes of window to return to the client.
    pub(crate) fn record_sent(&mut self, returned_bytes: &mut usize, bytes: usize) -> usize {
        let already_returned = bytes.min(*returned_bytes);
        *returned_bytes -= already_returned;
        let unreturned = self.received_bytes - self.returned_bytes;
        let window = (bytes - already_returned).min(unreturned);
        self.returned_bytes += window;
        window
    }

    /// Frees the body of a call that is over.
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
