//! A connection to the counter, with its pipelined calls.

use super::reply::CounterReply;
use super::result::CounterResult;
use crate::clock;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::{CounterKey, Outcome};
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{take_reply, MessageLimits, ParsedReply};
use chalkdeck_time::Timestamp;
use std::collections::VecDeque;

/// The size limits of a reply.
const REPLY_LIMITS: MessageLimits = MessageLimits {
    max_elements: 1,
    max_element_bytes: 1_024,
    max_line_bytes: 1_024,
    max_message_bytes: 2_048,
    accepts_inline: false,
};

/// A call that has no reply yet.
pub(super) struct Call {
    key: CounterKey,
    sent_at: Timestamp,
    deadline: Timestamp,
    /// The command to write once the connection is established; `None` once it is written.
    unwritten: Option<Bytes>,
    /// The offset of the end of the command in the bytes written to the connection.
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

/// A connection to the counter, which is opened when its first call is made.
#[derive(Default)]
pub(super) struct Connection {
    /// `None` while no connection is open or being established.
    pub(super) conn: Option<ConnId>,
    is_established: bool,
    /// The calls without a reply, in order. The first `timed_out_count` of them have ended, but their replies may still arrive.
    calls: VecDeque<Call>,
    timed_out_count: usize,
    /// The received bytes of a reply that is not complete yet.
    partial_reply: BytesMut,
    /// The number of bytes written to the connection, including those still in the send buffer.
    queued_bytes: u64,
    last_received_at: Timestamp,
}

impl Connection {
    pub(super) fn is_established(&self) -> bool {
        self.is_established
    }

    /// The number of calls without a reply, also of those that have timed out.
    pub(super) fn pending_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether any call of the connection has not ended.
    pub(super) fn has_open_calls(&self) -> bool {
        self.timed_out_count < self.calls.len()
    }

    /// The earliest deadline of an open call.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.calls
            .get(self.timed_out_count)
            .map(|call| call.deadline)
    }

    /// Appends a call, which is written at once if the connection is established.
    pub(super) fn push(&mut self, engine: &mut Engine, mut call: Call) {
        if let Some(conn) = self.conn.filter(|_| self.is_established) {
            write_call(engine, conn, &mut self.queued_bytes, &mut call);
        }
        self.calls.push_back(call);
    }

    /// Writes the calls that wait for the connection to be established.
    pub(super) fn on_connected(&mut self, engine: &mut Engine, conn: ConnId) {
        self.is_established = true;
        for call in &mut self.calls {
            write_call(engine, conn, &mut self.queued_bytes, call);
        }
    }

    /// Handles received bytes; returns the results of the calls that they complete.
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
                // The reply belongs to no call.
                results.extend(self.close(engine));
                return results;
            };
            if self.timed_out_count > 0 {
                self.timed_out_count -= 1;
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

    /// Ends the calls whose deadline has passed, as never sent if they still wait for the connection to be established. Returns whether
    /// the connection may be dead: nothing has been received since a call that timed out was sent, or an incomplete reply blocks all
    /// later ones.
    pub(super) fn expire_calls(
        &mut self,
        now: Timestamp,
        results: &mut Vec<CounterResult>,
    ) -> bool {
        let mut is_silent = false;
        while let Some(call) = self.calls.get(self.timed_out_count) {
            if call.deadline > now {
                break;
            }
            if call.unwritten.is_some() {
                results.push(CounterResult::without_total(
                    call.key,
                    Outcome::ConnectFailed,
                ));
                self.calls.remove(self.timed_out_count);
            } else {
                results.push(CounterResult::without_total(call.key, Outcome::Timeout));
                is_silent |=
                    self.last_received_at <= call.sent_at || !self.partial_reply.is_empty();
                self.timed_out_count += 1;
            }
        }
        is_silent
    }

    /// Handles the end of the connection, on which `unsent` bytes were not written. Returns the results of its calls, which depend on
    /// whether each was written completely.
    pub(super) fn end(&mut self, unsent: usize) -> Vec<CounterResult> {
        let written = self.queued_bytes.saturating_sub(unsent as u64);
        let result_of = |call: &Call| {
            let outcome = if call.unwritten.is_none() && call.end_offset <= written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            CounterResult::without_total(call.key, outcome)
        };
        let results = self
            .calls
            .iter()
            .skip(self.timed_out_count)
            .map(result_of)
            .collect();
        *self = Connection::default();
        results
    }

    /// Closes the connection; returns the results of its calls.
    pub(super) fn close(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let Some(conn) = self.conn else {
            return Vec::new();
        };
        let unsent = engine.unsent_bytes(conn);
        engine.close(conn);
        self.end(unsent)
    }
}

/// Writes the command of a call, unless it is already written.
fn write_call(engine: &mut Engine, conn: ConnId, queued_bytes: &mut u64, call: &mut Call) {
    if let Some(command) = call.unwritten.take() {
        engine.write(conn, &command);
        *queued_bytes += command.len() as u64;
        call.end_offset = *queued_bytes;
    }
}
