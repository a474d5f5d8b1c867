//! A unary call to one replica.

use crate::server::MAX_STATE_MESSAGE_BYTES;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::{ConnId, Engine, Event, StreamId};
use std::net::SocketAddr;

/// A unary call on a connection of its own.
pub(super) struct ReplicaCall {
    /// The index of the replica in the address list.
    pub(super) replica_index: usize,
    pub(super) connection: ConnId,
    address: SocketAddr,
    path: &'static str,
    request: Vec<u8>,
    stream: Option<StreamId>,
    response: UnaryMessage,
}

/// The state of a call.
pub(super) enum CallState {
    Pending,
    Answered(Vec<u8>),
    Failed,
}

impl ReplicaCall {
    pub(super) fn new(
        replica_index: usize,
        connection: ConnId,
        address: SocketAddr,
        path: &'static str,
        request: Vec<u8>,
    ) -> ReplicaCall {
        ReplicaCall {
            replica_index,
            connection,
            address,
            path,
            request,
            stream: None,
            response: UnaryMessage::default(),
        }
    }

    /// Sends the request on the established connection.
    pub(super) fn send_request(&mut self, engine: &mut Engine) {
        let head = grpc::request_head(&self.address.to_string(), self.path);
        self.stream = head.and_then(|head| engine.open_stream(self.connection, head, false));
        if let Some(stream) = self.stream {
            engine.send(stream, grpc::frame(&self.request));
            engine.finish(stream, None);
        }
    }

    fn is_own_stream(&self, stream: StreamId) -> bool {
        self.stream == Some(stream)
    }

    /// Handles an event, which may concern another call.
    pub(super) fn on_event(&mut self, engine: &mut Engine, event: &Event) -> CallState {
        match event {
            Event::Connected { conn } if *conn == self.connection => {
                self.send_request(engine);
                CallState::Pending
            }
            Event::Closed { conn, .. } if *conn == self.connection => CallState::Failed,
            Event::Data { stream, data } if self.is_own_stream(*stream) => {
                engine.consume(*stream, data.len());
                match self.response.push(data, MAX_STATE_MESSAGE_BYTES) {
                    Ok(()) => CallState::Pending,
                    Err(_) => CallState::Failed,
                }
            }
            Event::StreamEnded { stream, trailers } if self.is_own_stream(*stream) => {
                let status = trailers.as_ref().and_then(Code::from_trailers);
                match self.response.message() {
                    Some(body) if status == Some(Code::Ok) => CallState::Answered(body.to_vec()),
                    _ => CallState::Failed,
                }
            }
            Event::StreamFailed { stream, .. }
            | Event::ResponseHead {
                stream,
                is_end_stream: true,
                ..
            } if self.is_own_stream(*stream) => CallState::Failed,
            _ => CallState::Pending,
        }
    }
}
