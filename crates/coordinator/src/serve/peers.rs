//! Links to the other keepers: one connection each, dialled when there is something to say.

use super::{limits, LOOK, MOST_STATE, PEER};
use chalkdeck_net::grpc;
use chalkdeck_net::unary::Gather;
use chalkdeck_net::{ConnId, Engine, StreamId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use prost::Message;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// After a connection was lost or not made, in microseconds.
const REDIAL: u64 = 100_000;
/// A connection that does not stand by then is given up, in microseconds.
const DIAL: u64 = 2_000_000;
/// Bytes that may wait for one that does not read; then the connection goes.
const UNREAD: usize = 1 << 30;
/// Looks that are under way with one keeper.
const MOST_LOOKS: usize = 8;

#[derive(Default)]
struct Peer {
    conn: Option<ConnId>,
    stands: bool,
    stream: Option<StreamId>,
    /// Not dialled before.
    dial_at: u64,
    /// Given up at this time, unless it stands.
    until: u64,
}

/// All other keepers.
pub(super) struct Peers {
    own: u32,
    addresses: Vec<SocketAddr>,
    peers: Vec<Peer>,
    looks: FxHashMap<StreamId, Gather>,
}

impl Peers {
    pub(super) fn new(addresses: &[SocketAddr], own: u32) -> Peers {
        let peers = addresses.iter().map(|_| Peer::default()).collect();
        Peers {
            own,
            addresses: addresses.to_vec(),
            peers,
            looks: FxHashMap::default(),
        }
    }

    /// Sends a message of the agreement, or drops it where there is no connection: the core says again what it needs.
    pub(super) fn send(&mut self, engine: &mut Engine, slot: u32, between: &wire::Between) {
        let place = slot as usize - 1;
        let Some(conn) = self.conn(engine, place) else {
            return;
        };
        if self.peers[place].stream.is_none_or(|s| !engine.is_open(s)) {
            let head = grpc::request(&self.addresses[place].to_string(), PEER);
            self.peers[place].stream = head.and_then(|head| engine.open(conn, head, false));
        }
        let Some(stream) = self.peers[place].stream else {
            return;
        };
        if engine.queued(stream) > UNREAD {
            engine.close(conn);
            self.lost(engine.now(), place);
            return;
        }
        engine.send(stream, grpc::frame(&between.encode_to_vec()));
    }

    /// Asks which configuration it is in.
    pub(super) fn ask(&mut self, engine: &mut Engine, slot: u32, request: &wire::LookRequest) {
        let place = slot as usize - 1;
        let Some(conn) = self.conn(engine, place) else {
            return;
        };
        self.looks.retain(|stream, _| engine.is_open(*stream));
        if self.looks.len() >= MOST_LOOKS * self.peers.len() {
            return;
        }
        let head = grpc::request(&self.addresses[place].to_string(), LOOK);
        let Some(stream) = head.and_then(|head| engine.open(conn, head, false)) else {
            return;
        };
        engine.send(stream, grpc::frame(&request.encode_to_vec()));
        engine.finish(stream, None);
        self.looks.insert(stream, Gather::default());
    }

    /// The connection, if it stands; otherwise it is dialled.
    fn conn(&mut self, engine: &mut Engine, place: usize) -> Option<ConnId> {
        if place + 1 == self.own as usize {
            return None;
        }
        let (now, address, peer) = (
            engine.now(),
            *self.addresses.get(place)?,
            self.peers.get_mut(place)?,
        );
        if peer.conn.is_none() && now >= peer.dial_at {
            peer.conn = engine.connect(address, limits()).ok();
            (peer.dial_at, peer.until) = (now + REDIAL, now + DIAL);
        }
        peer.conn.filter(|_| peer.stands)
    }

    /// Connections that do not come to stand are given up.
    pub(super) fn tick(&mut self, engine: &mut Engine) {
        let now = engine.now();
        for place in 0..self.peers.len() {
            let peer = &self.peers[place];
            if let Some(conn) = peer.conn.filter(|_| !peer.stands && now >= peer.until) {
                engine.close(conn);
                self.lost(now, place);
            }
        }
    }

    fn lost(&mut self, now: u64, place: usize) {
        self.peers[place] = Peer {
            dial_at: now + REDIAL,
            ..Peer::default()
        };
    }
    pub(super) fn connected(&mut self, conn: ConnId) {
        self.peers
            .iter_mut()
            .filter(|p| p.conn == Some(conn))
            .for_each(|p| p.stands = true);
    }
    pub(super) fn closed(&mut self, engine: &Engine, conn: ConnId) {
        if let Some(place) = self.peers.iter().position(|p| p.conn == Some(conn)) {
            self.lost(engine.now(), place);
        }
    }
    pub(super) fn over(&mut self, stream: StreamId) {
        self.looks.remove(&stream);
        self.peers
            .iter_mut()
            .filter(|p| p.stream == Some(stream))
            .for_each(|p| p.stream = None);
    }
    /// Bytes of an answer to a look: the answer, once it is whole.
    pub(super) fn data(&mut self, stream: StreamId, data: &[u8]) -> Option<wire::LookAnswer> {
        let gather = self.looks.get_mut(&stream)?;
        let whole = gather.push(data, MOST_STATE).is_ok();
        let answer = gather
            .message()
            .and_then(|m| wire::LookAnswer::decode(&m[..]).ok());
        if !whole || answer.is_some() {
            self.looks.remove(&stream);
        }
        answer
    }
}
