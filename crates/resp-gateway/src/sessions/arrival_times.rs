//! When the received bytes of a connection arrived, so that the deadline of a command counts from its last byte also if the command was
//! kept before it was handled.

use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Bytes that arrive within this time of each other share a mark.
const RESOLUTION: TimeDelta = TimeDelta::from_millis(5);
/// The maximum number of marks. Beyond it, later bytes count as having arrived with the last mark.
const MAX_MARKS: usize = 64;

/// The bytes up to a position in the stream, and when the first of them after the previous mark arrived.
#[derive(Debug)]
struct Mark {
    end: u64,
    at: Timestamp,
}

/// The arrival times of the bytes that were received and not consumed yet.
#[derive(Debug, Default)]
pub(super) struct ArrivalTimes {
    received: u64,
    consumed: u64,
    marks: VecDeque<Mark>,
}

impl ArrivalTimes {
    /// Records received bytes.
    pub(super) fn on_received(&mut self, bytes: usize, at: Timestamp) {
        self.received += bytes as u64;
        let is_full = self.marks.len() >= MAX_MARKS;
        match self.marks.back_mut() {
            Some(last) if is_full || at < last.at + RESOLUTION => last.end = self.received,
            _ => self.marks.push_back(Mark {
                end: self.received,
                at,
            }),
        }
    }

    /// Consumes bytes; returns when the last of them arrived.
    pub(super) fn on_consumed(&mut self, bytes: usize) -> Timestamp {
        self.consumed += bytes as u64;
        while self.marks.len() > 1 && self.marks[0].end < self.consumed {
            self.marks.pop_front();
        }
        let at = self.marks.front().map_or(Timestamp::ZERO, |mark| mark.at);
        if self.consumed >= self.received {
            self.marks.clear();
        }
        at
    }
}
