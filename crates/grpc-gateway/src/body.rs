//! What of a call's bytes is kept, and whose window has been given back for them.
//!
//! Of a request at most `most` bytes and one window are held; beyond that its body cannot be sent again.

use bytes::Bytes;

/// The request's side.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    chunks: Vec<Bytes>,
    bytes: usize,
    most: usize,
    /// Bytes that came, and those for which the client's window was given back.
    received: usize,
    consumed: usize,
    gone: bool,
    /// The client sent its last.
    pub(crate) ended: bool,
}

/// What follows from bytes that came.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Taken {
    /// Give back so much of the client's window now.
    pub(crate) consume: usize,
    /// From here on the body is no longer held.
    pub(crate) gone: bool,
}

/// What an attempt starts with.
pub(crate) struct Replay {
    pub(crate) chunks: Vec<Bytes>,
    /// So many of its first bytes had their window given back before.
    pub(crate) skip: usize,
    pub(crate) gone: bool,
}

impl Kept {
    pub(crate) fn new(most: usize, ended: bool) -> Kept {
        Kept {
            most,
            ended,
            ..Kept::default()
        }
    }
    /// Takes bytes; `forwarded`: an attempt sends them on at once.
    pub(crate) fn take(&mut self, data: &Bytes, forwarded: bool) -> Taken {
        self.received += data.len();
        if self.gone {
            return Taken::default();
        }
        self.chunks.push(data.clone());
        self.bytes += data.len();
        let fits = self.bytes <= self.most;
        if forwarded {
            return Taken {
                consume: 0,
                gone: self.drop_if(!fits),
            };
        }
        let consume = if fits { data.len() } else { 0 };
        self.consumed += consume;
        Taken {
            consume,
            gone: false,
        }
    }
    /// An attempt starts: it sends all that came so far.
    pub(crate) fn replay(&mut self) -> Replay {
        let skip = self.bytes - (self.received - self.consumed).min(self.bytes);
        let chunks = self.chunks.clone();
        let gone = self.drop_if(self.bytes > self.most);
        Replay { chunks, skip, gone }
    }
    /// So many bytes of an attempt went out; returns how much of the client's window that gives back.
    pub(crate) fn sent(&mut self, skip: &mut usize, bytes: usize) -> usize {
        let known = bytes.min(*skip);
        *skip -= known;
        let consume = (bytes - known).min(self.received - self.consumed);
        self.consumed += consume;
        consume
    }
    /// The call is over: all that came counts as taken.
    pub(crate) fn drop_all(&mut self) {
        self.chunks = Vec::new();
    }
    fn drop_if(&mut self, too_much: bool) -> bool {
        if too_much {
            self.gone = true;
            self.chunks = Vec::new();
        }
        too_much
    }
}

#[cfg(test)]
mod tests;
