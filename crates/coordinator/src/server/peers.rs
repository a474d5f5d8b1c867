//! Connections to the other replicas: one per replica, established on demand.

use super::{connection_limits, MAX_STATE_MESSAGE_BYTES, PEER_PATH, READ_PATH};
use crate::ids::Slot;
use crate::protocol::{PeerMessage, ReadRequest, ReadResponse};
use chalkdeck_net::grpc;
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::{ConnId, Engine, StreamId};
use chalkdeck_time::{TimeDelta, Timestamp};
use prost::Message;
use std::net::SocketAddr;

/// Minimum time between two connect attempts.
const RECONNECT_DELAY: TimeDelta = TimeDelta::from_millis(100);
/// Timeout of a connect attempt.
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(2_000);
/// Maximum size of a replica's send queue. The connection to a replica that reads too slowly is closed beyond that.
const MAX_PEER_SEND_QUEUE_BYTES: usize = 1 << 30;

/// A read whose response has not been received completely.
struct PendingRead {
    stream: StreamId,
    response: UnaryMessage,
}

/// The connection to one replica.
struct PeerConnection {
    address: SocketAddr,
    connection: Option<ConnId>,
    is_established: bool,
    stream: Option<StreamId>,
    /// At most one read is pending, because a response contains the whole state: repeated reads would load a slow replica or link more
    /// with each repeat. The pending one ends with its connection at the latest.
    read: Option<PendingRead>,
    /// No connect attempt is made before this time.
    next_connect_at: Timestamp,
    /// When the connect attempt times out.
    connect_deadline: Timestamp,
}

impl PeerConnection {
    fn new(address: SocketAddr) -> PeerConnection {
        PeerConnection {
            address,
            connection: None,
            is_established: false,
            stream: None,
            read: None,
            next_connect_at: Timestamp::ZERO,
            connect_deadline: Timestamp::ZERO,
        }
    }

    /// The connection, if it is established. Starts a connect attempt if there is none.
    fn connect_if_needed(&mut self, engine: &mut Engine) -> Option<ConnId> {
        let now = Timestamp::from_micros(engine.now());
        if self.connection.is_none() && now >= self.next_connect_at {
            self.connection = engine.connect(self.address, connection_limits()).ok();
            self.next_connect_at = now + RECONNECT_DELAY;
            self.connect_deadline = now + CONNECT_TIMEOUT;
        }
        self.connection.filter(|_| self.is_established)
    }

    /// The stream for consensus messages, which is opened if needed.
    fn open_stream_if_needed(
        &mut self,
        engine: &mut Engine,
        connection: ConnId,
    ) -> Option<StreamId> {
        if self.stream.is_none_or(|stream| !engine.is_open(stream)) {
            self.stream = open_stream(engine, connection, self.address, PEER_PATH);
        }
        self.stream
    }

    fn on_connection_lost(&mut self, now: Timestamp) {
        let address = self.address;
        *self = PeerConnection {
            next_connect_at: now + RECONNECT_DELAY,
            ..PeerConnection::new(address)
        };
    }
}

fn open_stream(
    engine: &mut Engine,
    connection: ConnId,
    address: SocketAddr,
    path: &str,
) -> Option<StreamId> {
    let head = grpc::request_head(&address.to_string(), path)?;
    engine.open_stream(connection, head, false)
}

/// Connections to all other replicas.
pub(super) struct PeerConnections {
    own_slot: Slot,
    /// By index in the address list. The entry of the replica's own slot is not used.
    peers: Vec<PeerConnection>,
}

impl PeerConnections {
    pub(super) fn new(addresses: &[SocketAddr], own_slot: Slot) -> PeerConnections {
        PeerConnections {
            own_slot,
            peers: addresses.iter().copied().map(PeerConnection::new).collect(),
        }
    }

    /// The connection to another replica; `None` for the replica's own slot or an unknown slot.
    fn peer(&mut self, slot: Slot) -> Option<&mut PeerConnection> {
        if slot == self.own_slot {
            return None;
        }
        self.peers.get_mut(slot.index())
    }

    /// Sends a message, or drops it if there is no connection: the consensus library resends messages as needed.
    pub(super) fn send(&mut self, engine: &mut Engine, slot: Slot, message: &PeerMessage) {
        let Some(peer) = self.peer(slot) else {
            return;
        };
        let Some(connection) = peer.connect_if_needed(engine) else {
            return;
        };
        let Some(stream) = peer.open_stream_if_needed(engine, connection) else {
            return;
        };
        if engine.queued_bytes(stream) > MAX_PEER_SEND_QUEUE_BYTES {
            engine.close(connection);
            peer.on_connection_lost(Timestamp::from_micros(engine.now()));
            return;
        }
        engine.send(stream, grpc::frame(&message.encode_to_vec()));
    }

    /// Sends a read of a replica's configuration, or drops it if there is no connection or a read is pending.
    pub(super) fn send_read(&mut self, engine: &mut Engine, slot: Slot, request: &ReadRequest) {
        let Some(peer) = self.peer(slot) else {
            return;
        };
        let address = peer.address;
        let Some(connection) = peer.connect_if_needed(engine) else {
            return;
        };
        let pending = peer.read.as_ref();
        if pending.is_some_and(|read| engine.is_open(read.stream)) {
            return;
        }
        let Some(stream) = open_stream(engine, connection, address, READ_PATH) else {
            return;
        };
        engine.send(stream, grpc::frame(&request.encode_to_vec()));
        engine.finish(stream, None);
        peer.read = Some(PendingRead {
            stream,
            response: UnaryMessage::default(),
        });
    }

    /// Closes connections that were not established before their deadline.
    pub(super) fn tick(&mut self, engine: &mut Engine) {
        let now = Timestamp::from_micros(engine.now());
        for peer in &mut self.peers {
            let is_timed_out = !peer.is_established && now >= peer.connect_deadline;
            if let Some(connection) = peer.connection.filter(|_| is_timed_out) {
                engine.close(connection);
                peer.on_connection_lost(now);
            }
        }
    }

    pub(super) fn on_connected(&mut self, connection: ConnId) {
        for peer in &mut self.peers {
            if peer.connection == Some(connection) {
                peer.is_established = true;
            }
        }
    }

    pub(super) fn on_connection_closed(&mut self, engine: &Engine, connection: ConnId) {
        let now = Timestamp::from_micros(engine.now());
        let mut peers = self.peers.iter_mut();
        if let Some(peer) = peers.find(|peer| peer.connection == Some(connection)) {
            peer.on_connection_lost(now);
        }
    }

    pub(super) fn on_stream_closed(&mut self, stream: StreamId) {
        for peer in &mut self.peers {
            if peer.stream == Some(stream) {
                peer.stream = None;
            }
            peer.read.take_if(|read| read.stream == stream);
        }
    }

    /// Buffers received bytes of a read's response, and returns the response once it is complete.
    pub(super) fn receive_read_data(
        &mut self,
        stream: StreamId,
        data: &[u8],
    ) -> Option<ReadResponse> {
        let is_reading = |peer: &&mut PeerConnection| {
            let read = peer.read.as_ref();
            read.is_some_and(|read| read.stream == stream)
        };
        let peer = self.peers.iter_mut().find(is_reading)?;
        let read = peer.read.as_mut()?;
        let is_valid = read.response.push(data, MAX_STATE_MESSAGE_BYTES).is_ok();
        let response = read
            .response
            .message()
            .and_then(|body| ReadResponse::decode(&body[..]).ok());
        if !is_valid || response.is_some() {
            peer.read = None;
        }
        response
    }
}

#[cfg(test)]
mod tests;
