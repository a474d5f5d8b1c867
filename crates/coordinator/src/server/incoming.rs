//! Incoming gRPC streams, which gateways, operators and other replicas open.

use super::{MAX_STATE_MESSAGE_BYTES, PEER_PATH, READ_PATH, SESSION_PATH, SUBMIT_PATH};
use crate::protocol::{wire, ClientMessage, PeerMessage, ReadRequest};
use bytes::Bytes;
use chalkdeck_net::grpc::Deframer;
use prost::Message;

/// Maximum size of a message from operators and gateways.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// A method of the gRPC service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Submit,
    Read,
    Session,
    Peer,
}

impl Method {
    pub(super) fn from_path(path: &str) -> Option<Method> {
        match path {
            SUBMIT_PATH => Some(Method::Submit),
            READ_PATH => Some(Method::Read),
            SESSION_PATH => Some(Method::Session),
            PEER_PATH => Some(Method::Peer),
            _ => None,
        }
    }

    /// Whether the method is bidirectional streaming.
    pub(super) fn is_streaming(self) -> bool {
        matches!(self, Method::Session | Method::Peer)
    }

    fn max_message_bytes(self) -> usize {
        match self {
            Method::Submit | Method::Read | Method::Session => MAX_REQUEST_BYTES,
            Method::Peer => MAX_STATE_MESSAGE_BYTES,
        }
    }
}

/// A received message.
pub(super) enum IncomingMessage {
    Submit(wire::Command),
    Read(ReadRequest),
    Session(ClientMessage),
    Peer(PeerMessage),
}

/// The received bytes are not a message of the method.
#[derive(Debug)]
pub(super) struct MalformedMessage;

/// A stream that a client has opened.
pub(super) struct IncomingStream {
    pub(super) method: Method,
    deframer: Deframer,
}

impl IncomingStream {
    pub(super) fn new(method: Method) -> IncomingStream {
        IncomingStream {
            method,
            deframer: Deframer::default(),
        }
    }

    pub(super) fn push_data(&mut self, data: &[u8]) {
        self.deframer.push(data);
    }

    /// The next complete message; `None` if more bytes are needed.
    pub(super) fn next_message(&mut self) -> Result<Option<IncomingMessage>, MalformedMessage> {
        let max_bytes = self.method.max_message_bytes();
        let body: Option<Bytes> = self
            .deframer
            .next(max_bytes)
            .map_err(|_| MalformedMessage)?;
        let Some(body) = body else {
            return Ok(None);
        };
        let message = match self.method {
            Method::Submit => wire::Command::decode(body).map(IncomingMessage::Submit),
            Method::Read => ReadRequest::decode(body).map(IncomingMessage::Read),
            Method::Session => ClientMessage::decode(body).map(IncomingMessage::Session),
            Method::Peer => PeerMessage::decode(body).map(IncomingMessage::Peer),
        };
        message.map(Some).map_err(|_| MalformedMessage)
    }
}
