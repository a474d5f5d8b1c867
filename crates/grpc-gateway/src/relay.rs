//! A bare relay on the same sockets, without the decisions: the yardstick for what those cost.

use bytes::Bytes;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use http::request;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;

/// Passes each call to the next of its servers, in turn.
pub struct Relay {
    engine: Engine,
    listen: SocketAddr,
    servers: Vec<SocketAddr>,
    conns: Vec<Option<ConnId>>,
    turn: usize,
    peer: HashMap<StreamId, StreamId>,
    backs: HashSet<StreamId>,
}

impl Relay {
    /// Binds the socket and connects to the servers. Errors: an address that cannot be bound.
    pub fn start(listen: SocketAddr, servers: Vec<SocketAddr>) -> io::Result<Relay> {
        let mut engine = Engine::new()?;
        let (_, listen) = engine.listen(listen, Limits::default(), false, false)?;
        let conns = vec![None; servers.len()];
        let mut relay = Relay {
            engine,
            listen,
            servers,
            conns,
            turn: 0,
            peer: HashMap::new(),
            backs: HashSet::new(),
        };
        relay.connect();
        Ok(relay)
    }
    /// Where calls come in.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
    fn connect(&mut self) {
        for (slot, address) in self.conns.iter_mut().zip(&self.servers) {
            if slot.is_none() {
                *slot = self.engine.connect(*address, Limits::default()).ok();
            }
        }
    }
    /// Carries calls until it is asked to stop.
    pub fn run(&mut self, signals: &Signals) -> io::Result<()> {
        let mut events = Vec::new();
        while !signals.stop() {
            self.engine.turn(100_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event);
            }
        }
        Ok(())
    }
    fn on_event(&mut self, event: Event) {
        match event {
            Event::Opened { stream, head, .. } => self.on_call(stream, &head),
            Event::Head {
                stream,
                head,
                ended,
            } => {
                let Some(&front) = self.peer.get(&stream) else {
                    return;
                };
                self.engine
                    .respond(front, http::Response::from_parts(*head, ()), ended);
                if ended {
                    self.forget(front, stream);
                }
            }
            Event::Data { stream, data } => self.on_data(stream, data),
            Event::End { stream, trailers } => {
                let Some(&other) = self.peer.get(&stream) else {
                    return;
                };
                self.engine.finish(other, trailers);
                // The server's end is the call's.
                if self.backs.contains(&stream) {
                    self.forget(other, stream);
                }
            }
            Event::Sent { stream, bytes } => {
                let Some(&other) = self.peer.get(&stream) else {
                    return;
                };
                self.engine.consume(other, bytes);
            }
            Event::StreamFailed { stream, .. } => {
                let Some(&other) = self.peer.get(&stream) else {
                    return;
                };
                self.engine.reset(other, h2::Reason::CANCEL);
                self.forget(stream, other);
            }
            Event::Closed { conn, .. } => {
                let gone = self.conns.iter_mut().filter(|c| **c == Some(conn));
                gone.for_each(|slot| *slot = None);
            }
            Event::Accepted { .. }
            | Event::Connected { .. }
            | Event::Timer(_)
            | Event::Get { .. }
            | Event::Bytes { .. } => {}
        }
    }
    fn on_call(&mut self, front: StreamId, head: &request::Parts) {
        self.connect();
        self.turn = (self.turn + 1) % self.servers.len();
        let request = grpc::request(&self.servers[self.turn].to_string(), head.uri.path());
        let opened = request
            .zip(self.conns[self.turn])
            .and_then(|(mut request, conn)| {
                request.headers_mut().extend(head.headers.clone());
                self.engine.open(conn, request, false)
            });
        let Some(back) = opened else {
            let trailers = grpc::trailers(Code::Unavailable, "no connection");
            return self
                .engine
                .respond(front, grpc::trailers_only(trailers), true);
        };
        self.peer.insert(front, back);
        self.peer.insert(back, front);
        self.backs.insert(back);
    }
    fn on_data(&mut self, stream: StreamId, data: Bytes) {
        match self.peer.get(&stream) {
            Some(&other) => self.engine.send(other, data),
            None => self.engine.consume(stream, data.len()),
        }
    }
    fn forget(&mut self, a: StreamId, b: StreamId) {
        self.peer.remove(&a);
        self.peer.remove(&b);
        self.backs.remove(&a);
        self.backs.remove(&b);
    }
}
