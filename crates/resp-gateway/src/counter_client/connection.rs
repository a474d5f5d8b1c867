//! One connection to the counter, with its calls in their order.

use super::reply::CounterReply;
use super::result::CounterResult;
use crate::clock;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::{CounterKey, Outcome};
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{take_reply, MessageLimits, ParsedReply};
use chalkdeck_time::Timestamp;
use std::collections::VecDeque;

/// Calls of one connection without a reply; further ones are never sent.
const MAX_PENDING_CALLS: usize = 4_096;
/// What is read of a reply.
const REPLY_LIMITS: MessageLimits = MessageLimits {
    max_elements: 1,
    max_element_bytes: 1_024,
    max_line_bytes: 1_024,
    max_message_bytes: 2_048,
    accepts_inline: false,
};

/// A call without a reply.
pub(super) struct Call {
    key: CounterKey,
    sent_at: Timestamp,
    deadline: Timestamp,
    /// Its command, as long as the connection is not established; none: it was queued there.
    unwritten: Option<Bytes>,
    /// Bytes queued on the connection up to the end of its command.
    end_offset: u64,
}

impl Call {
    pub(super) fn new(
        key: CounterKey,
        sent_at: Timestamp,
        deadline: Timestamp,
        command: Bytes,
    ) -> Call {
        Call {
            key,
            sent_at,
            deadline,
            unwritten: Some(command),
            end_offset: 0,
        }
    }
}

/// A connection to the counter, or the place of one.
#[derive(Default)]
pub(super) struct Connection {
    /// None: it is not being established.
    pub(super) conn: Option<ConnId>,
    is_established: bool,
    /// In the order of the calls. The first `timed_out` have ended and only wait for their replies.
    calls: VecDeque<Call>,
    timed_out: usize,
    /// Bytes received of a reply that is not complete yet.
    partial_reply: BytesMut,
    /// Bytes queued since it was established.
    queued_bytes: u64,
    last_received_at: Timestamp,
}

impl Connection {
    pub(super) fn is_established(&self) -> bool {
        self.is_established
    }

    /// Whether it takes no further call.
    pub(super) fn is_full(&self) -> bool {
        self.calls.len() >= MAX_PENDING_CALLS
    }

    /// Whether a call of it has not ended.
    pub(super) fn has_open_calls(&self) -> bool {
        self.timed_out < self.calls.len()
    }

    /// When its next call times out.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.calls.get(self.timed_out).map(|call| call.deadline)
    }

    /// Appends a call, which is written at once if the connection is established.
    pub(super) fn push(&mut self, engine: &mut Engine, mut call: Call) {
        if let Some(conn) = self.conn.filter(|_| self.is_established) {
            write_call(engine, conn, &mut self.queued_bytes, &mut call);
        }
        self.calls.push_back(call);
    }

    /// It was established: writes the calls that waited for it.
    pub(super) fn on_connected(&mut self, engine: &mut Engine, conn: ConnId) {
        self.is_established = true;
        for call in &mut self.calls {
            write_call(engine, conn, &mut self.queued_bytes, call);
        }
    }

    /// Bytes were received; returns the results of the calls that they complete.
    pub(super) fn on_bytes(&mut self, engine: &mut Engine, data: &[u8]) -> Vec<CounterResult> {
        self.last_received_at = clock::now(engine);
        self.partial_reply.extend_from_slice(data);
        let mut results = Vec::new();
        loop {
            let reply = match take_reply(&mut self.partial_reply, &REPLY_LIMITS) {
                ParsedReply::Incomplete => return results,
                ParsedReply::Complete(frame) => CounterReply::parse(&frame),
                ParsedReply::Invalid(_) => CounterReply::INVALID,
            };
            let Some(call) = self.calls.pop_front() else {
                // A reply without a call.
                results.extend(self.close(engine));
                return results;
            };
            if self.timed_out > 0 {
                self.timed_out -= 1;
            } else {
                results.push(CounterResult {
                    key: call.key,
                    outcome: reply.outcome,
                    total: reply.total,
                });
            }
            if !reply.is_reusable {
                results.extend(self.close(engine));
                return results;
            }
        }
    }

    /// Ends the calls whose deadline has passed. Those that wait for the connection were never sent. Returns whether the connection
    /// may be dead: nothing was received on it since such a call was sent, or an incomplete reply stands before all others.
    pub(super) fn expire_calls(
        &mut self,
        now: Timestamp,
        results: &mut Vec<CounterResult>,
    ) -> bool {
        let mut is_silent = false;
        while let Some(call) = self.calls.get(self.timed_out) {
            if call.deadline > now {
                break;
            }
            if call.unwritten.is_some() {
                results.push(CounterResult::without_total(
                    call.key,
                    Outcome::ConnectFailed,
                ));
                self.calls.remove(self.timed_out);
            } else {
                results.push(CounterResult::without_total(call.key, Outcome::Timeout));
                is_silent |=
                    self.last_received_at <= call.sent_at || !self.partial_reply.is_empty();
                self.timed_out += 1;
            }
        }
        is_silent
    }

    /// The connection has ended, with so many bytes that were not written: ends its calls, each by whether it was written.
    pub(super) fn end(&mut self, unsent: usize) -> Vec<CounterResult> {
        let written = self.queued_bytes.saturating_sub(unsent as u64);
        let end_of = |call: &Call| {
            let outcome = if call.unwritten.is_none() && call.end_offset <= written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            CounterResult::without_total(call.key, outcome)
        };
        let results = self.calls.iter().skip(self.timed_out).map(end_of).collect();
        *self = Connection::default();
        results
    }

    /// Closes the connection and ends its calls.
    pub(super) fn close(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let Some(conn) = self.conn else {
            return Vec::new();
        };
        let unsent = engine.unsent(conn);
        engine.close(conn);
        self.end(unsent)
    }
}

/// Writes a call that was not written yet.
fn write_call(engine: &mut Engine, conn: ConnId, queued_bytes: &mut u64, call: &mut Call) {
    if let Some(command) = call.unwritten.take() {
        engine.write(conn, &command);
        *queued_bytes += command.len() as u64;
        call.end_offset = *queued_bytes;
    }
}
