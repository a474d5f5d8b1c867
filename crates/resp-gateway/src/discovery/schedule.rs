//! Decides when the next call to the discovery agent begins beside those in flight, and which call is given up when too many are. It does
//! no I/O and reads no clock.
//!
//! A call without a response may be on a silent connection, or its agent may be slow. The two cannot be told apart, so the call stays in
//! flight while the next one begins on another connection: a silent connection is replaced by the next call, and a late response is still
//! received. Calls that begin faster than a slow agent responds would load it more, so after late responses calls begin at a fraction of
//! the response time, and none is given up while the agent responds: it may serve a call whose caller has gone like any other.

use chalkdeck_time::{RecentMaximum, TimeDelta, Timestamp};

/// The maximum number of calls in flight, each of which takes a descriptor.
pub(super) const MAX_CALLS_IN_FLIGHT: usize = 7;
/// The number of calls that begin within the response time of a slow agent. It leaves room for calls on silent connections.
const CALLS_PER_RESPONSE_TIME: u64 = MAX_CALLS_IN_FLIGHT as u64 - 2;
/// A call in flight for longer than this is given up first. It is the longest time for which the agent may hold a long poll.
const MAX_CALL_AGE: TimeDelta = TimeDelta::from_secs(60);
/// After this many intervals without a response calls begin as often as if the agent were not slow.
const MAX_QUIET_INTERVALS: u64 = 2;
/// After this many of the usual times between two responses without one the agent is considered silent, and calls are given up for new ones.
const MAX_SILENT_GAPS: u64 = 2;

/// Whether another call may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// Few enough calls are in flight.
    Free,
    /// The call with this index has to be given up first.
    Replace(usize),
    /// Enough calls are in flight, and the agent responds.
    Full,
}

/// The response times of the agent.
#[derive(Debug)]
pub(super) struct CallSchedule {
    /// The time from one call to the next while the agent is not known to be slow.
    timeout: TimeDelta,
    response_time: RecentMaximum,
    /// The time from one response to the next, or the response time where that is shorter: no call was in flight before.
    response_gap: RecentMaximum,
    /// When the last response was received.
    responded_at: Timestamp,
}

impl CallSchedule {
    pub(super) fn new(timeout: TimeDelta) -> CallSchedule {
        CallSchedule {
            timeout,
            response_time: RecentMaximum::default(),
            response_gap: RecentMaximum::default(),
            responded_at: Timestamp::ZERO,
        }
    }

    /// Forgets the response times of the previous agent.
    pub(super) fn reset(&mut self) {
        self.response_time = RecentMaximum::default();
        self.response_gap = RecentMaximum::default();
    }

    /// Records a complete response.
    pub(super) fn on_response(&mut self, now: Timestamp, response_time: TimeDelta) {
        self.response_time.observe(response_time);
        let gap = (now - self.responded_at).min(response_time);
        self.response_gap.observe(gap);
        self.responded_at = now;
    }

    /// Whether a response that took this long is late.
    pub(super) fn is_late(&self, response_time: TimeDelta) -> bool {
        response_time > self.timeout
    }

    /// The time from the beginning of a call to that of the next one, if no response allows to begin it earlier.
    pub(super) fn interval(&self, now: Timestamp) -> TimeDelta {
        let interval = self.response_interval();
        if now > self.responded_at + interval * MAX_QUIET_INTERVALS {
            self.timeout
        } else {
            interval
        }
    }

    /// The time from one call to the next, and so from one response to the next, while the agent responds.
    fn response_interval(&self) -> TimeDelta {
        let fraction = self.response_time.get().as_micros() / CALLS_PER_RESPONSE_TIME;
        self.timeout.max(TimeDelta::from_micros(fraction))
    }

    /// Whether the agent has not responded for longer than a slow one would: a slow agent responds to one call after another.
    fn is_silent(&self, now: Timestamp) -> bool {
        let gap = self.response_gap.get().max(self.response_interval());
        now > self.responded_at + gap * MAX_SILENT_GAPS
    }

    /// Whether another call may begin beside those in flight, which began at these times, in order. Of too many, the oldest call stays, as
    /// the agent may be just about to respond to it, and of the others the one whose neighbours are closest to each other goes: the ages of
    /// the remaining calls cover every delay of the agent about evenly.
    pub(super) fn room(&self, now: Timestamp, begun_at: &[Timestamp]) -> Room {
        if begun_at.len() < MAX_CALLS_IN_FLIGHT {
            return Room::Free;
        }
        if !self.is_silent(now) {
            return Room::Full;
        }
        if now > begun_at[0] + MAX_CALL_AGE {
            return Room::Replace(0);
        }
        let gap = |index: usize| {
            let next = begun_at.get(index + 1).copied().unwrap_or(now);
            next - begun_at[index - 1]
        };
        let closest = (1..begun_at.len()).min_by_key(|index| gap(*index));
        closest.map_or(Room::Full, Room::Replace)
    }
}
