//! A plain gRPC proxy on the same event loop, without the decision engine: the baseline for measuring the engine's cost.

use bytes::Bytes;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, StreamId};
use http::request;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;

/// A plain proxy that forwards calls to its servers in round-robin order.
pub struct Relay {
    engine: Engine,
    listen_address: SocketAddr,
    servers: Vec<SocketAddr>,
    /// One for each server; `None`: it is closed.
    connections: Vec<Option<ConnId>>,
    last_server: usize,
    /// The client's stream of each server stream, and the reverse.
    peer_stream: HashMap<StreamId, StreamId>,
    server_streams: HashSet<StreamId>,
}

impl Relay {
    /// Binds the socket and connects to the servers.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(listen: SocketAddr, servers: Vec<SocketAddr>) -> io::Result<Relay> {
        let mut engine = Engine::new()?;
        let (_, listen_address) = engine.listen(listen, Limits::default(), false, false)?;
        let connections = vec![None; servers.len()];
        let mut relay = Relay {
            engine,
            listen_address,
            servers,
            connections,
            last_server: 0,
            peer_stream: HashMap::new(),
            server_streams: HashSet::new(),
        };
        relay.connect();
        Ok(relay)
    }
    /// The address that accepts calls.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }
    fn connect(&mut self) {
        for (connection, address) in self.connections.iter_mut().zip(&self.servers) {
            if connection.is_none() {
                *connection = self.engine.connect(*address, Limits::default()).ok();
            }
        }
    }
    /// Forwards calls until a signal requests a stop.
    ///
    /// # Errors
    /// The system call that waits for events failed.
    pub fn run(&mut self, signals: &Signals) -> io::Result<()> {
        let mut events = Vec::new();
        while !signals.is_stop_requested() {
            self.engine.turn(100_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event);
            }
        }
        Ok(())
    }
    fn on_event(&mut self, event: Event) {
        match event {
            Event::StreamOpened { stream, head, .. } => self.on_call(stream, &head),
            Event::ResponseHead {
                stream,
                head,
                is_end_stream: is_ended,
            } => {
                let Some(&client_stream) = self.peer_stream.get(&stream) else {
                    return;
                };
                self.engine.respond(
                    client_stream,
                    http::Response::from_parts(*head, ()),
                    is_ended,
                );
                if is_ended {
                    self.remove_streams(client_stream, stream);
                }
            }
            Event::Data { stream, data } => self.on_data(stream, data),
            Event::StreamEnded { stream, trailers } => {
                let Some(&other) = self.peer_stream.get(&stream) else {
                    return;
                };
                self.engine.finish(other, trailers);
                // A call ends when the server ends its stream.
                if self.server_streams.contains(&stream) {
                    self.remove_streams(other, stream);
                }
            }
            Event::Sent { stream, bytes } => {
                let Some(&other) = self.peer_stream.get(&stream) else {
                    return;
                };
                self.engine.consume(other, bytes);
            }
            Event::StreamFailed { stream, .. } => {
                let Some(&other) = self.peer_stream.get(&stream) else {
                    return;
                };
                self.engine.reset(other, h2::Reason::CANCEL);
                self.remove_streams(stream, other);
            }
            Event::Closed { conn, .. } => {
                let closed = self
                    .connections
                    .iter_mut()
                    .filter(|connection| **connection == Some(conn));
                closed.for_each(|connection| *connection = None);
            }
            Event::Accepted { .. }
            | Event::Connected { .. }
            | Event::Timer(_)
            | Event::Get { .. }
            | Event::Bytes { .. } => {}
        }
    }
    fn on_call(&mut self, client_stream: StreamId, head: &request::Parts) {
        self.connect();
        self.last_server = (self.last_server + 1) % self.servers.len();
        let request =
            grpc::request_head(&self.servers[self.last_server].to_string(), head.uri.path());
        let opened =
            request
                .zip(self.connections[self.last_server])
                .and_then(|(mut request, conn)| {
                    request.headers_mut().extend(head.headers.clone());
                    self.engine.open_stream(conn, request, false)
                });
        let Some(server_stream) = opened else {
            let trailers = grpc::trailers(Code::Unavailable, "no connection");
            return self
                .engine
                .respond(client_stream, grpc::trailers_only(trailers), true);
        };
        self.peer_stream.insert(client_stream, server_stream);
        self.peer_stream.insert(server_stream, client_stream);
        self.server_streams.insert(server_stream);
    }
    fn on_data(&mut self, stream: StreamId, data: Bytes) {
        match self.peer_stream.get(&stream) {
            Some(&other) => self.engine.send(other, data),
            None => self.engine.consume(stream, data.len()),
        }
    }
    fn remove_streams(&mut self, stream: StreamId, other: StreamId) {
        self.peer_stream.remove(&stream);
        self.peer_stream.remove(&other);
        self.server_streams.remove(&stream);
        self.server_streams.remove(&other);
    }
}
