//! The queue of one direction of a relayed connection. It keeps the order of the bytes and delivers each chunk at its due time.

use crate::rig::links::faults::DirectionFaults;
use std::collections::VecDeque;
use std::io::{self, Write};

/// Maximum number of queued bytes in one direction; while the queue is full, the relay reads no more from the sender.
pub(crate) const MAX_QUEUED_BYTES: usize = 256 << 10;

/// One direction of one connection.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    /// Due time and bytes of each chunk; times are in microseconds.
    queue: VecDeque<(u64, Vec<u8>)>,
    queued_bytes: usize,
    /// Number of bytes of the first chunk that have been written.
    written: usize,
    /// Due time of the last chunk.
    last_due: u64,
    /// The sender has closed its side; the receiver's side is closed once the queue is empty.
    pub(crate) has_ended: bool,
    /// `WriteStatus::Ended` has been returned.
    has_reported_end: bool,
    /// With a throughput limit, the time of the next write.
    next_write: u64,
}

/// Why a write stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteStatus {
    /// The queue is empty, or the direction is cut.
    Idle,
    /// Nothing can be written before this time: the next chunk isn't due, or the throughput limit is reached.
    WaitUntil(u64),
    /// The receiver's socket buffer is full.
    Blocked,
    /// All bytes have been written, and the sender has closed its side. Returned once.
    Ended,
}

impl Flow {
    /// Whether more bytes may be read from the sender.
    pub(crate) fn has_room(&self) -> bool {
        self.queued_bytes < MAX_QUEUED_BYTES
    }

    /// Whether all received bytes have been written.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues bytes that are due at this time, or later if earlier bytes are.
    pub(crate) fn push(&mut self, chunk: &[u8], due: u64) {
        // Jitter and loss of single segments don't reorder a stream.
        self.last_due = self.last_due.max(due);
        self.queued_bytes += chunk.len();
        self.queue.push_back((self.last_due, chunk.to_vec()));
    }

    /// Writes the bytes that are due.
    pub(crate) fn write(
        &mut self,
        now: u64,
        faults: &DirectionFaults,
        out: &mut impl Write,
    ) -> io::Result<WriteStatus> {
        loop {
            if faults.is_cut {
                return Ok(WriteStatus::Idle);
            }
            let Some((due, chunk)) = self.queue.front() else {
                let is_first_report = self.has_ended
                    && !std::mem::replace(&mut self.has_reported_end, self.has_ended);
                return Ok(if is_first_report {
                    WriteStatus::Ended
                } else {
                    WriteStatus::Idle
                });
            };
            if *due > now {
                return Ok(WriteStatus::WaitUntil(*due));
            }
            if faults.bytes_per_second > 0 && self.next_write > now {
                return Ok(WriteStatus::WaitUntil(self.next_write));
            }
            let rest = &chunk[self.written..];
            // With a throughput limit, one write has the bytes of a tenth of a second, but at least one.
            let max_bytes = if faults.bytes_per_second > 0 {
                (faults.bytes_per_second as usize / 10).max(1)
            } else {
                rest.len()
            };
            match out.write(&rest[..max_bytes.min(rest.len())]) {
                Ok(n) => {
                    self.written += n;
                    self.queued_bytes -= n;
                    self.next_write = (n as u64 * 1_000_000)
                        .checked_div(faults.bytes_per_second)
                        .map_or(0, |wait| now + wait);
                    if self.written == chunk.len() {
                        self.queue.pop_front();
                        self.written = 0;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(WriteStatus::Blocked),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

#[cfg(test)]
mod tests;
