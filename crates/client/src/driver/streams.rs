//! Messages that the callers of streams send.

use super::Driver;
use crate::core::{CallId, Event};
use bytes::Bytes;
use chalkdeck_net::grpc;
use chalkdeck_net::StreamId;

impl Driver {
    /// Sends a further message of a stream. It is not kept, so from here on the stream cannot be retried.
    pub(super) fn send_message(&mut self, call: CallId, message: Bytes) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let stream = open_call.stream;
        let Some(state) = open_call.stream_state() else {
            return;
        };
        let Some(stream) = stream else {
            state.unsent.push(message);
            return;
        };
        self.engine.send(stream, grpc::frame(&message));
        self.core_events.push(Event::RetryRuledOut { call });
    }

    /// Sends what the caller sent before there was an attempt, and the end of the messages if it is known.
    pub(super) fn send_unsent_messages(&mut self, call: CallId, stream: StreamId) {
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(state) = open_call.stream_state() else {
            // A unary call has one message.
            self.engine.finish(stream, None);
            return;
        };
        if !state.unsent.is_empty() {
            self.core_events.push(Event::RetryRuledOut { call });
        }
        for message in state.unsent.drain(..) {
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

    /// Bytes of a stream were handed to the connection.
    pub(super) fn on_sent(&mut self, stream: StreamId, bytes: usize) {
        let call = self.attempts.get(&stream).map(|id| id.call);
        let open_call = call.and_then(|call| self.calls.get_mut(&call));
        if let Some(state) = open_call.and_then(|open_call| open_call.stream_state()) {
            state.on_sent(bytes);
        }
    }
}
