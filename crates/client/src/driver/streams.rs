//! Sends the messages of streams.

use super::Driver;
use crate::core::{CallId, Event};
use bytes::Bytes;
use chalkdeck_net::grpc;
use chalkdeck_net::StreamId;

impl Driver {
    /// Sends another message on a stream. The message is not kept, so the stream cannot be retried afterwards.
    pub(super) fn send_message(&mut self, call: CallId, message: Bytes) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let stream = open_call.stream;
        let Some(state) = open_call.stream_state() else {
            return;
        };
        let Some(stream) = stream else {
            state.unsent_messages.push(message);
            return;
        };
        self.engine.send(stream, grpc::frame(&message));
        self.core_events.push(Event::RetryRuledOut { call });
    }

    /// Sends the messages that were queued before the attempt, and ends the request if there are no further messages.
    pub(super) fn send_unsent_messages(&mut self, call: CallId, stream: StreamId) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(state) = open_call.stream_state() else {
            // The message of a unary call is already sent.
            self.engine.finish(stream, None);
            return;
        };
        if !state.unsent_messages.is_empty() {
            self.core_events.push(Event::RetryRuledOut { call });
        }
        for message in state.unsent_messages.drain(..) {
            self.engine.send(stream, grpc::frame(&message));
        }
        if state.is_finished {
            self.engine.finish(stream, None);
        }
    }

    pub(super) fn finish_stream(&mut self, call: CallId) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let stream = open_call.stream;
        let Some(state) = open_call.stream_state() else {
            return;
        };
        state.is_finished = true;
        if let Some(stream) = stream {
            self.engine.finish(stream, None);
        }
    }

    /// Handles that bytes of a stream were passed to the connection.
    pub(super) fn on_sent(&mut self, stream: StreamId, bytes: usize) {
        let call = self.attempts.get(&stream).map(|id| id.call);
        let open_call = call.and_then(|call| self.calls.get_mut(&call));
        if let Some(state) = open_call.and_then(|open_call| open_call.stream_state()) {
            state.on_sent(bytes);
        }
    }
}
