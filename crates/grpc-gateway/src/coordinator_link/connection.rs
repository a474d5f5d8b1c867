//! The connection to one replica of the coordinator, and the session's stream on it.

use super::CoordinatorLink;
use chalkdeck_coordinator::server::{connection_limits, SESSION_PATH};
use chalkdeck_net::grpc::{self, Deframer};
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::Timestamp;
use prost::Message;

/// The longest message that is accepted from a replica: a whole state with 200,000 rules fits.
const MAX_MESSAGE_BYTES: usize = 256 << 20;

impl CoordinatorLink {
    /// Connects to a replica, given its index in the settings' addresses. An earlier connection is closed.
    pub(super) fn connect(&mut self, engine: &mut Engine, replica_index: usize) {
        self.close_connection(engine);
        let address = self.settings.addresses[replica_index];
        match engine.connect(address, connection_limits()) {
            Ok(conn) => self.conn = Some(conn),
            Err(_) => self.agent.on_connection_lost(loop_time(engine)),
        }
    }

    /// Opens the session's stream on the connection, which is established now.
    pub(super) fn open_session_stream(&mut self, engine: &mut Engine, conn: ConnId) {
        let authority = self.settings.addresses[self.agent.replica_index()].to_string();
        let head = grpc::request_head(&authority, SESSION_PATH);
        self.stream = head.and_then(|head| engine.open_stream(conn, head, false));
        match self.stream {
            Some(_) => self.agent.on_connected(loop_time(engine)),
            None => self.abandon_connection(engine),
        }
    }

    /// Closes the connection and reports its loss to the agent, which decides when and where to reconnect.
    pub(super) fn abandon_connection(&mut self, engine: &mut Engine) {
        self.close_connection(engine);
        self.agent.on_connection_lost(loop_time(engine));
    }

    /// Decodes received bytes and passes their messages to the agent. A malformed message ends the connection.
    pub(super) fn receive(&mut self, engine: &mut Engine, data: &[u8]) {
        self.deframer.push(data);
        // Ends when no whole message is left, or when a malformed one has closed the connection.
        while self.stream.is_some() {
            match self.next_message() {
                Ok(Some(message)) => self.agent.receive(loop_time(engine), message),
                Ok(None) => return,
                Err(MalformedMessage) => return self.abandon_connection(engine),
            }
        }
    }

    /// Sends a message to the replica if the session's stream is open.
    pub(super) fn send(&self, engine: &mut Engine, message: &wire::ClientMessage) {
        if let Some(stream) = self.stream {
            engine.send(stream, grpc::frame(&message.encode_to_vec()));
        }
    }

    fn next_message(&mut self) -> Result<Option<wire::ServerMessage>, MalformedMessage> {
        let frame = self
            .deframer
            .next(MAX_MESSAGE_BYTES)
            .map_err(|_| MalformedMessage)?;
        let Some(frame) = frame else { return Ok(None) };
        let message = wire::ServerMessage::decode(&frame[..]).map_err(|_| MalformedMessage)?;
        Ok(Some(message))
    }

    fn close_connection(&mut self, engine: &mut Engine) {
        self.stream = None;
        self.deframer = Deframer::default();
        if let Some(conn) = self.conn.take() {
            engine.close(conn);
        }
    }
}

/// A replica sent bytes that are not a valid message.
struct MalformedMessage;

/// The time of the event loop's clock, in the type that the agent uses.
pub(super) fn loop_time(engine: &Engine) -> Timestamp {
    Timestamp::from_micros(engine.now())
}
