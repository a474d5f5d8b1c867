//! One keeper on sockets: commands, looks and sessions in, the agreement's messages both ways. What a turn has to say leaves after
//! its record is on the disk. It decides nothing.

mod peers;

use crate::agree::AgreeError;
use crate::core::{Asker, Keeper, Out, Set, Start};
use crate::journal::{Begun, Journal, JournalError};
use crate::settings::Settings;
use bytes::Bytes;
use chalkdeck_net::clock::incarnation;
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, ListenerId, StreamId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_wal::disk::Folder;
use chalkdeck_wal::error::OpenError;
use peers::Peers;
use prost::Message;
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Paths of the methods.
pub const TELL: &str = "/chalkdeck.keeper.v1.Keeper/Tell";
/// See [`TELL`].
pub const LOOK: &str = "/chalkdeck.keeper.v1.Keeper/Look";
/// See [`TELL`].
pub const SESSION: &str = "/chalkdeck.keeper.v1.Keeper/Session";
/// See [`TELL`].
pub const PEER: &str = "/chalkdeck.keeper.v1.Keeper/Peer";

/// The longest message of operators and gateways.
const MOST_ASKED: usize = 4 << 20;
/// The longest of another keeper: it may hold the whole state.
pub(crate) const MOST_STATE: usize = 512 << 20;
/// Bytes that may wait for a slow reader; its stream is reset then.
const UNREAD: usize = 64 << 20;
/// A connection is pinged this often, and lost when a ping is not answered by the next.
const KEEPALIVE: u64 = 1_000_000;
const TICK: u64 = 1;

/// Bounds of a keeper's connections.
pub fn limits() -> Limits {
    Limits {
        streams: 4_096,
        stream_window: 1 << 20,
        connection_window: 64 << 20,
        keepalive: KEEPALIVE,
        ..Limits::default()
    }
}

/// Why a keeper does not start, or ends.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum KeeperError {
    /// The system gives no poll handle, or the loop fails.
    #[error("poll: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// An address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    #[diagnostic(
        code(chalkdeck::keeper::listen),
        help(
            "see whether another process listens there, and whether the address is this machine's"
        )
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The folder cannot be made.
    #[error("folder {}: {source}", folder.display())]
    #[diagnostic(code(chalkdeck::keeper::folder), help("see its path, room and rights"))]
    Folder {
        /// Its path.
        folder: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// What is in the folder cannot be read back.
    #[error("folder {}: {source}", folder.display())]
    #[diagnostic(
        code(chalkdeck::keeper::damage),
        help("move the folder away and start with an empty one, without --first: this keeper comes back as a new member")
    )]
    Damage {
        /// Its path.
        folder: PathBuf,
        /// What is wrong there.
        source: OpenError,
    },
    /// See [`AgreeError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    Agree(#[from] AgreeError),
    /// See [`JournalError`].
    #[error(transparent)]
    #[diagnostic(transparent)]
    Journal(#[from] JournalError),
}

/// A stream that came in.
enum Incoming {
    Tell(Deframer),
    Look(Deframer),
    Session(Deframer),
    Peer(Deframer),
}

/// One keeper.
pub struct Service {
    engine: Engine,
    listener: ListenerId,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    core: Keeper,
    journal: Journal<Folder>,
    incoming: FxHashMap<StreamId, Incoming>,
    peers: Peers,
    tick: u64,
    commits: u64,
}

impl Service {
    /// Reads the folder back and binds the ports. `first`: all keepers start for the first time. Errors: see [`KeeperError`].
    pub fn start(set: &Settings, first: bool) -> Result<Service, KeeperError> {
        let mut engine = Engine::new().map_err(KeeperError::Poll)?;
        let folder = Folder::open(&set.folder).map_err(|source| KeeperError::Folder {
            folder: set.folder.clone(),
            source,
        })?;
        let life = incarnation(engine.now());
        let Begun {
            mut journal,
            kept,
            position,
            identity,
            ..
        } = Journal::open(folder, life).map_err(|source| KeeperError::Damage {
            folder: set.folder.clone(),
            source,
        })?;
        // At least so that the state's own copy in each configuration fits several times.
        journal.snapshot_after(kept.configuration.base.len().max(16 << 20) * 2);
        let core_set = Set {
            slot: set.slot,
            keepers: set.keepers.len() as u32,
            terms: set.terms,
            move_ms: set.move_ms,
            dead_after_ms: set.dead_after_ms,
            snapshot_entries: set.snapshot_entries,
            duties: set.duties.clone(),
            // A keeper without a place is known by its disk, so that a restart asks for the same one.
            incarnation: if kept.configuration.number == 0 {
                identity.incarnation
            } else {
                life
            },
            epoch: identity.epoch,
        };
        let start = if first { Start::First } else { Start::Join };
        let core = Keeper::new(core_set, kept, position, start, engine.now())?;
        let mut bind = |address, http1| {
            engine
                .listen(address, limits(), false, http1)
                .map_err(|source| KeeperError::Listen { address, source })
        };
        let (listener, listen) = bind(set.listen, false)?;
        let admin = set.admin.map(|a| bind(a, true)).transpose()?.map(|a| a.1);
        let peers = Peers::new(&set.keepers, set.slot);
        engine.timer(engine.now(), TICK);
        Ok(Service {
            engine,
            listener,
            listen,
            admin,
            core,
            journal,
            incoming: FxHashMap::default(),
            peers,
            tick: set.tick,
            commits: 0,
        })
    }
    /// Where it listens for gRPC.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
    /// Where it listens for GETs.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Takes part until it is asked to stop. Errors: the disk, or the loop; nothing was said that is not on the disk.
    pub fn run(mut self, signals: &Signals) -> Result<(), KeeperError> {
        let mut events = Vec::new();
        self.write()?;
        while !signals.stop() {
            self.engine
                .turn(50_000, &mut events)
                .map_err(KeeperError::Poll)?;
            self.core.at(self.engine.now());
            for event in events.drain(..) {
                self.on_event(event);
            }
            self.write()?;
        }
        self.engine.drain(self.listener);
        self.engine.turn(0, &mut events).map_err(KeeperError::Poll)
    }

    /// The record of a turn, then what it has to say.
    fn write(&mut self) -> Result<(), KeeperError> {
        if let Some(record) = self.core.end_turn() {
            self.journal.write(&record)?;
            self.commits += 1;
            if self.journal.has_grown() {
                self.journal.snapshot(&self.core.kept())?;
            }
        }
        for out in self.core.take_out() {
            self.carry(out);
        }
        Ok(())
    }

    fn carry(&mut self, out: Out) {
        match out {
            Out::Peer(slot, between) => self.peers.send(&mut self.engine, slot, &between),
            Out::AskMembers(slot, request) => self.peers.ask(&mut self.engine, slot, &request),
            Out::Answer(asker, answer) => self.reply(asker, &answer),
            Out::Looked(asker, answer) => self.reply(asker, answer.as_ref()),
            Out::Down(asker, down) => self.down(asker, &down.encode_to_vec()),
        }
    }

    /// The one answer of a unary call.
    fn reply(&mut self, asker: Asker, message: &impl Message) {
        let stream = StreamId(asker.0);
        if self.incoming.remove(&stream).is_none() {
            return;
        }
        self.engine.respond(stream, grpc::head(), false);
        self.engine
            .send(stream, grpc::frame(&message.encode_to_vec()));
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }

    fn down(&mut self, asker: Asker, message: &[u8]) {
        let stream = StreamId(asker.0);
        if self.engine.queued(stream) > UNREAD {
            self.over(stream);
            return self.engine.reset(stream, h2::Reason::ENHANCE_YOUR_CALM);
        }
        self.engine.send(stream, grpc::frame(message));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Timer(TICK) => {
                self.core.tick();
                self.engine.timer(self.engine.now() + self.tick, TICK);
                self.peers.tick(&mut self.engine);
            }
            Event::Opened { stream, head, .. } => self.on_opened(stream, head.uri.path()),
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data);
            }
            Event::End { stream, .. } => {
                if matches!(
                    self.incoming.get(&stream),
                    Some(Incoming::Session(_) | Incoming::Peer(_))
                ) {
                    self.engine
                        .finish(stream, Some(grpc::trailers(Code::Ok, "")));
                    self.over(stream);
                }
                self.peers.over(stream);
            }
            Event::Broken { stream, .. } => {
                self.over(stream);
                self.peers.over(stream);
            }
            Event::Connected { conn } => self.peers.connected(conn),
            Event::Closed { conn, .. } => self.peers.closed(&self.engine, conn),
            Event::Get { conn, path } => self.on_get(conn, &path),
            _ => {}
        }
    }

    fn over(&mut self, stream: StreamId) {
        if let Some(Incoming::Session(_)) = self.incoming.remove(&stream) {
            self.core.gone(Asker(stream.0));
        }
    }

    fn on_opened(&mut self, stream: StreamId, path: &str) {
        let incoming = match path {
            TELL => Incoming::Tell(Deframer::default()),
            LOOK => Incoming::Look(Deframer::default()),
            SESSION | PEER => {
                self.engine.respond(stream, grpc::head(), false);
                let deframer = Deframer::default();
                if path == PEER {
                    Incoming::Peer(deframer)
                } else {
                    Incoming::Session(deframer)
                }
            }
            other => {
                let trailers = grpc::trailers(Code::Unimplemented, &format!("no method {other}"));
                return self
                    .engine
                    .respond(stream, grpc::trailers_only(trailers), true);
            }
        };
        self.incoming.insert(stream, incoming);
    }

    fn on_data(&mut self, stream: StreamId, data: &[u8]) {
        if let Some(answer) = self.peers.data(stream, data) {
            return self.core.members(&answer);
        }
        let most = match self.incoming.get_mut(&stream) {
            Some(Incoming::Peer(d)) => {
                d.push(data);
                MOST_STATE
            }
            Some(Incoming::Tell(d) | Incoming::Look(d) | Incoming::Session(d)) => {
                d.push(data);
                MOST_ASKED
            }
            None => return,
        };
        while let Some(incoming) = self.incoming.get_mut(&stream) {
            let (Incoming::Tell(d) | Incoming::Look(d) | Incoming::Session(d) | Incoming::Peer(d)) =
                incoming;
            match d.next(most) {
                Ok(None) => return,
                Ok(Some(message)) if self.on_message(stream, &message) => {}
                _ => return self.malformed(stream),
            }
        }
    }

    /// Whether a whole message could be read; what it asks for was handed on.
    fn on_message(&mut self, stream: StreamId, message: &Bytes) -> bool {
        let asker = Asker(stream.0);
        match self.incoming.get(&stream) {
            Some(Incoming::Tell(_)) => wire::Command::decode(&message[..])
                .map(|c| self.core.tell(asker, c))
                .is_ok(),
            Some(Incoming::Look(_)) => wire::LookRequest::decode(&message[..])
                .map(|r| self.core.look(asker, &r))
                .is_ok(),
            Some(Incoming::Session(_)) => wire::Up::decode(&message[..])
                .map(|up| self.core.up(asker, up))
                .is_ok(),
            Some(Incoming::Peer(_)) => wire::Between::decode(&message[..])
                .map(|b| self.core.heard(&b))
                .is_ok(),
            None => true,
        }
    }

    fn malformed(&mut self, stream: StreamId) {
        let trailers = grpc::trailers(Code::InvalidArgument, "expected a message of this method");
        match self.incoming.get(&stream) {
            Some(Incoming::Tell(_) | Incoming::Look(_)) => {
                self.engine
                    .respond(stream, grpc::trailers_only(trailers), true);
            }
            _ => self.engine.finish(stream, Some(trailers)),
        }
        self.over(stream);
    }

    fn on_get(&mut self, conn: ConnId, path: &str) {
        match path {
            "/healthz" if self.core.has_majority() => self.engine.reply(conn, 200, "ok\n"),
            "/healthz" => self.engine.reply(
                conn,
                503,
                "nothing is agreed on: no majority, or no place\n",
            ),
            "/metrics" => {
                let text = self.metrics();
                self.engine.reply(conn, 200, &text);
            }
            _ => self
                .engine
                .reply(conn, 404, "expected /healthz or /metrics\n"),
        }
    }

    fn metrics(&self) -> String {
        let state = self.core.state();
        let held = state.duties().filter(|d| d.holder > 0).count();
        let lines: [(&str, &str, u64); 9] = [
            (
                "majority",
                "1 while things are agreed on",
                u64::from(self.core.has_majority()),
            ),
            (
                "leads",
                "1 while this keeper leads",
                u64::from(self.core.leads()),
            ),
            (
                "outdated",
                "1 when its disk is older than what it took part in",
                u64::from(self.core.outdated),
            ),
            (
                "configuration",
                "number of the configuration",
                u64::from(self.core.configuration()),
            ),
            ("applied", "commands applied", state.index),
            ("version", "version of what gateways watch", state.version),
            (
                "sessions",
                "sessions that stand",
                state.sessions().count() as u64,
            ),
            ("duties_held", "duties with a holder", held as u64),
            ("records", "records written since the start", self.commits),
        ];
        let line = |(name, help, value): &(&str, &str, u64)| {
            format!("# HELP chalkdeck_keeper_{name} {help}\n# TYPE chalkdeck_keeper_{name} gauge\nchalkdeck_keeper_{name} {value}\n")
        };
        lines.iter().map(line).collect::<String>() + "# EOF\n"
    }
}
