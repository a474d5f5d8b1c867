//! Bytes on their way in one direction, in their order, each with the time at which it gets there.

use crate::rig::links::faults::Way;
use std::collections::VecDeque;
use std::io::{self, Write};

/// The most that is on the way in one direction; beyond, nothing is read.
pub(crate) const MOST: usize = 256 << 10;

/// One direction of one connection.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    queue: VecDeque<(u64, Vec<u8>)>,
    bytes: usize,
    /// Bytes of the first chunk that are through.
    through: usize,
    last: u64,
    /// The sender has ended; told on once all is through.
    pub(crate) ended: bool,
    told: bool,
    /// When a trickle lets the next byte through.
    next: u64,
}

/// What a look at a flow came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing more to do now.
    Idle,
    /// Again at that time.
    At(u64),
    /// The reader takes no more.
    Full,
    /// All is through, and the sender has ended.
    Ended,
}

impl Flow {
    pub(crate) fn has_room(&self) -> bool {
        self.bytes < MOST
    }

    /// All that came is through.
    pub(crate) fn is_through(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn push(&mut self, chunk: &[u8], due: u64) {
        // A stream keeps its order, whatever chance does to single segments.
        self.last = self.last.max(due);
        self.bytes += chunk.len();
        self.queue.push_back((self.last, chunk.to_vec()));
    }

    /// Writes what is due.
    pub(crate) fn write(&mut self, now: u64, way: &Way, out: &mut impl Write) -> io::Result<Step> {
        loop {
            if way.cut {
                return Ok(Step::Idle);
            }
            let Some((due, chunk)) = self.queue.front() else {
                let first = self.ended && !std::mem::replace(&mut self.told, self.ended);
                return Ok(if first { Step::Ended } else { Step::Idle });
            };
            if *due > now {
                return Ok(Step::At(*due));
            }
            if way.trickle > 0 && self.next > now {
                return Ok(Step::At(self.next));
            }
            let rest = &chunk[self.through..];
            // A trickle passes a tenth of a second's bytes at a time, one at the least.
            let most = if way.trickle > 0 {
                (way.trickle as usize / 10).max(1)
            } else {
                rest.len()
            };
            match out.write(&rest[..most.min(rest.len())]) {
                Ok(n) => {
                    self.through += n;
                    self.bytes -= n;
                    self.next = (n as u64 * 1_000_000)
                        .checked_div(way.trickle)
                        .map_or(0, |wait| now + wait);
                    if self.through == chunk.len() {
                        self.queue.pop_front();
                        self.through = 0;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Step::Full),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

#[cfg(test)]
mod tests;
