//! One part of the counter on sockets: adds in, batches to the log, answers out.

use crate::log::{self, AppendError, Opened};
use crate::settings::{Part, Settings};
use crate::state::{Add, Counts, Refusal};
use crate::top::Top;
use crate::waiting::Waiting;
use crate::writer::{Done, Promise, Writer, Written};
use crate::{meters::Meters, snapshot};
use bytes::BytesMut;
use chalkdeck_net::clock::incarnation;
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::{ConnId, Engine, Event, Limits, ListenerId, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{self as wire, AddRequest, AddResponse};
use chalkdeck_wal::disk::Folder;
use chalkdeck_wal::recovery::{RecoveryReport, TornTail};
use chalkdeck_wal::retention;
use chalkdeck_wal::state::Identity;
use prost::Message;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// The longest add that is read.
const MOST_BYTES: usize = 1_024;
/// Adds in one batch; a record of so many is far below the longest.
const BATCH: usize = 16_384;
/// Answers that may wait for a slow reader, in bytes; its stream is reset then.
const UNREAD: usize = 4 << 20;
/// Of so many adds one is looked at for the hottest names.
const SAMPLE: u64 = 8;
const ADDS: &str = "/chalkdeck.counter.v1.Counter/Adds";
const ADD: &str = "/chalkdeck.counter.v1.Counter/Add";

/// An add and where its answer goes.
struct Asked {
    stream: StreamId,
    add: Add,
}

/// Streams that ask.
struct Asker {
    conn: ConnId,
    deframer: Deframer,
    /// One add, and the end with its answer.
    single: bool,
}

/// One part.
pub struct Service {
    engine: Engine,
    listener: ListenerId,
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    counts: Counts,
    identity: Identity,
    /// None: nothing is kept on disk.
    writer: Option<Writer>,
    disk: Option<Folder>,
    askers: FxHashMap<StreamId, Asker>,
    waiting: Waiting<ConnId, Asked>,
    /// The batch on its way to the disk, and the time of its adds.
    out: Vec<Asked>,
    out_time: u64,
    answers: FxHashMap<StreamId, BytesMut>,
    top: Top,
    sampled: u64,
    meters: Meters,
    /// Bytes of log since the last snapshot was begun, and whether one is under way.
    grown: u64,
    snapshot_bytes: u64,
    snapping: bool,
    closed: bool,
}

impl Service {
    /// Reads the folder back and binds the ports. Errors: damage, the disk, a port taken.
    pub fn start(part: &Part, settings: &Settings) -> anyhow::Result<Service> {
        let mut engine = Engine::new()?;
        let limits = Limits {
            streams: 20_000,
            ..Limits::default()
        };
        let (mut counts, mut identity) = (
            Counts::new(settings.limits),
            Identity {
                incarnation: incarnation(engine.now()),
                epoch: 1,
            },
        );
        let (mut writer, mut disk) = (None, None);
        if let Some(path) = &part.folder {
            let folder = Folder::open(path)
                .map_err(|e| anyhow::anyhow!("folder {}: {e}", path.display()))?;
            let opened = log::open(folder.clone(), settings.limits, identity.incarnation)
                .map_err(|e| anyhow::anyhow!("folder {}: {e}", path.display()))?;
            let Opened {
                log,
                state: found_counts,
                report: found,
            } = opened;
            say(path, &found, &found_counts, log.identity());
            (counts, identity) = (found_counts, log.identity());
            let promise = match settings.promise {
                wire::Promise::Write => Promise::Write,
                _ => Promise::Sync,
            };
            writer = Some(Writer::start(
                folder.clone(),
                log,
                promise,
                engine.waker()?,
            )?);
            disk = Some(folder);
        }
        let (listener, listen) = engine.listen(part.listen, limits, false, false)?;
        let admin = part
            .admin
            .map(|a| engine.listen(a, limits, false, true))
            .transpose()?
            .map(|l| l.1);
        Ok(Service {
            engine,
            listener,
            listen,
            admin,
            counts,
            identity,
            writer,
            disk,
            askers: FxHashMap::default(),
            waiting: Waiting::new(settings.waiting),
            out: Vec::new(),
            out_time: 0,
            answers: FxHashMap::default(),
            top: Top::default(),
            sampled: 0,
            meters: Meters::new(),
            grown: 0,
            snapshot_bytes: settings.snapshot_bytes,
            snapping: false,
            closed: false,
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

    /// Answers until it is asked to stop; then what waits is answered and a snapshot is made.
    pub fn run(mut self, signals: &Signals) -> anyhow::Result<()> {
        let mut events = Vec::new();
        while !signals.stop() {
            self.turn(50_000, &mut events)?;
        }
        self.engine.drain(self.listener);
        let end = self.engine.now() + 2_000_000;
        while (!self.out.is_empty() || !self.waiting.is_empty()) && self.engine.now() < end {
            self.turn(5_000, &mut events)?;
        }
        // A last turn sends what was answered.
        self.turn(0, &mut events)?;
        self.last_snapshot()
    }

    fn turn(&mut self, wait: u64, events: &mut Vec<Event>) -> anyhow::Result<()> {
        let more = self.out.is_empty() && !self.waiting.is_empty();
        self.engine.turn(if more { 0 } else { wait }, events)?;
        for event in events.drain(..) {
            self.on_event(event);
        }
        while let Some(done) = self.writer.as_ref().and_then(Writer::done) {
            self.on_done(done);
        }
        self.begin_batch();
        self.send_answers();
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Opened {
                conn, stream, head, ..
            } => match head.uri.path() {
                ADDS => {
                    self.engine.respond(stream, grpc::head(), false);
                    self.askers.insert(
                        stream,
                        Asker {
                            conn,
                            deframer: Deframer::default(),
                            single: false,
                        },
                    );
                }
                ADD => {
                    self.askers.insert(
                        stream,
                        Asker {
                            conn,
                            deframer: Deframer::default(),
                            single: true,
                        },
                    );
                }
                other => {
                    let trailers =
                        grpc::trailers(Code::Unimplemented, &format!("no method {other}"));
                    self.engine
                        .respond(stream, grpc::trailers_only(trailers), true);
                }
            },
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data);
            }
            Event::End { stream, .. } if self.askers.get(&stream).is_some_and(|a| !a.single) => {
                self.askers.remove(&stream);
                self.engine
                    .finish(stream, Some(grpc::trailers(Code::Ok, "")));
            }
            Event::Broken { stream, .. } => drop(self.askers.remove(&stream)),
            // What a lost connection still has waiting is not counted: nobody would hear of it.
            Event::Closed { conn, .. } => self.waiting.forget(conn),
            Event::Get { conn, path } => self.on_get(conn, &path),
            _ => {}
        }
    }

    fn on_data(&mut self, stream: StreamId, data: &[u8]) {
        let Some(asker) = self.askers.get_mut(&stream) else {
            return;
        };
        asker.deframer.push(data);
        loop {
            let Some(asker) = self.askers.get_mut(&stream) else {
                return;
            };
            let (conn, next) = (asker.conn, asker.deframer.next(MOST_BYTES));
            let request = match next {
                Ok(None) => return,
                Ok(Some(message)) => AddRequest::decode(&message[..]).ok(),
                Err(_) => None,
            };
            let Some(r) = request else {
                let trailers = grpc::trailers(Code::InvalidArgument, "expected an AddRequest");
                match self.askers.remove(&stream) {
                    Some(Asker { single: true, .. }) => {
                        self.engine
                            .respond(stream, grpc::trailers_only(trailers), true);
                    }
                    _ => self.engine.finish(stream, Some(trailers)),
                }
                return;
            };
            let add = Add {
                name: r.name,
                amount: r.amount,
                lifetime: r.lifetime_us,
                caller: r.caller,
                number: r.number,
            };
            if self.closed {
                self.answer(stream, add.number, 0.0, Code::Unavailable);
            } else if let Err(asked) = self.waiting.push(conn, Asked { stream, add }) {
                self.answer(stream, asked.add.number, 0.0, Code::ResourceExhausted);
            }
        }
    }

    /// Takes the next batch, unless one is out.
    fn begin_batch(&mut self) {
        if !self.out.is_empty() || self.waiting.is_empty() {
            return;
        }
        let mut asked = self.waiting.take(BATCH);
        let time = self.counts.clock(self.engine.now());
        asked.retain(|a| match self.counts.check(&a.add) {
            Ok(()) => true,
            Err(refusal) => {
                self.answer(a.stream, a.add.number, 0.0, code_of(refusal));
                false
            }
        });
        if asked.is_empty() {
            return;
        }
        self.meters.batch(asked.len());
        (self.out, self.out_time) = (asked, time);
        let Some(writer) = &self.writer else {
            return self.count();
        };
        let adds: Vec<Add> = self.out.iter().map(|a| a.add).collect();
        writer.batch(self.counts.position(), time, adds);
    }

    /// Counts the batch that is out, and answers it.
    fn count(&mut self) {
        for Asked { stream, add } in std::mem::take(&mut self.out) {
            let total = self.counts.apply(self.out_time, &add);
            self.sampled += 1;
            if self.sampled.is_multiple_of(SAMPLE) {
                self.top.hit(add.name);
            }
            self.answer(stream, add.number, total, Code::Ok);
        }
    }

    fn on_done(&mut self, done: Done) {
        match done {
            Done::Batch(Written {
                result: Ok(()),
                took,
                bytes,
            }) => {
                self.meters.wrote(took);
                self.grown += bytes as u64;
                self.count();
                self.maybe_roll();
            }
            Done::Batch(Written {
                result: Err(failed),
                ..
            }) => self.on_failed(&failed),
            Done::Rolled(Ok(())) => {
                self.writer
                    .iter()
                    .for_each(|w| w.snapshot(self.counts.clone()));
                self.grown = 0;
            }
            Done::Rolled(Err(e)) | Done::Snapshot(Err(e)) => {
                tracing::error!("no snapshot, the log goes on growing: {e}");
                self.snapping = false;
            }
            Done::Snapshot(Ok(())) => self.snapping = false,
        }
    }

    fn on_failed(&mut self, failed: &AppendError) {
        let code = match failed {
            AppendError::NotWritten(_) | AppendError::Closed => Code::Unavailable,
            AppendError::OutcomeUnknown(_) => Code::DataLoss,
        };
        tracing::error!("{failed}");
        self.closed |= !matches!(failed, AppendError::NotWritten(_));
        self.meters.closed(self.closed);
        for asked in std::mem::take(&mut self.out) {
            self.answer(asked.stream, asked.add.number, 0.0, code);
        }
        if self.closed {
            for asked in self.waiting.take(usize::MAX) {
                self.answer(asked.stream, asked.add.number, 0.0, Code::Unavailable);
            }
        }
    }

    /// No batch is out here, so the counts are those of the log's end.
    fn maybe_roll(&mut self) {
        if self.grown < self.snapshot_bytes || self.snapping {
            return;
        }
        self.snapping = true;
        self.writer
            .iter()
            .for_each(|w| w.roll(self.counts.position()));
    }

    fn last_snapshot(mut self) -> anyhow::Result<()> {
        let Some(disk) = self.disk.take().filter(|_| !self.closed) else {
            return Ok(());
        };
        // Ends the writer, which syncs what it wrote.
        self.writer = None;
        snapshot::write(&disk, &self.counts, self.identity)?;
        retention::remove_superseded(&disk)?;
        tracing::info!(position = self.counts.position(), "stopped with a snapshot");
        Ok(())
    }

    fn answer(&mut self, stream: StreamId, number: u64, total: f64, code: Code) {
        self.meters.answered(code);
        let Some(asker) = self.askers.get(&stream) else {
            return;
        };
        let Identity { incarnation, epoch } = self.identity;
        let position = self.counts.position();
        let answer = AddResponse {
            total,
            number,
            status: code as i32,
            incarnation,
            epoch,
            position,
        };
        if asker.single {
            self.askers.remove(&stream);
            if code != Code::Ok {
                return self.engine.respond(
                    stream,
                    grpc::trailers_only(grpc::trailers(code, "")),
                    true,
                );
            }
            self.engine.respond(stream, grpc::head(), false);
            self.engine
                .send(stream, grpc::frame(&answer.encode_to_vec()));
            return self
                .engine
                .finish(stream, Some(grpc::trailers(Code::Ok, "")));
        }
        let out = self.answers.entry(stream).or_default();
        grpc::push_frame(out, &answer);
    }

    /// The answers of a turn go out together, a piece for each stream.
    fn send_answers(&mut self) {
        for (stream, bytes) in self.answers.drain() {
            if self.engine.queued(stream) > UNREAD {
                self.askers.remove(&stream);
                self.engine.reset(stream, h2::Reason::ENHANCE_YOUR_CALM);
                continue;
            }
            self.engine.send(stream, bytes.freeze());
        }
    }

    fn on_get(&mut self, conn: ConnId, path: &str) {
        match path {
            "/metrics" => {
                let text = self
                    .meters
                    .text(&self.counts, self.identity, self.waiting.len());
                self.engine.reply(conn, 200, &text);
            }
            "/healthz" if self.closed => {
                self.engine
                    .reply(conn, 503, "the log is closed; start again\n")
            }
            "/healthz" => self.engine.reply(conn, 200, "ok\n"),
            "/top" => {
                let mut text = format!(
                    "# name adds, one in {SAMPLE} looked at (at most {} too many)\n",
                    self.top.error()
                );
                for (name, adds) in self.top.hottest(20) {
                    text += &format!("{name:016x} {adds}\n");
                }
                self.engine.reply(conn, 200, &text);
            }
            _ => self
                .engine
                .reply(conn, 404, "expected /metrics, /healthz or /top\n"),
        }
    }
}

fn code_of(refusal: Refusal) -> Code {
    match refusal {
        Refusal::Names => Code::ResourceExhausted,
        Refusal::TooOld => Code::FailedPrecondition,
        Refusal::Forgotten => Code::Aborted,
        Refusal::NotFinite => Code::InvalidArgument,
    }
}

fn say(path: &std::path::Path, found: &RecoveryReport, counts: &Counts, identity: Identity) {
    found
        .damaged_snapshots
        .iter()
        .for_each(|s| tracing::error!("a damaged snapshot was passed over: {s}"));
    if let Some(TornTail { file, len: bytes }) = &found.torn_tail {
        tracing::warn!(
            file,
            bytes,
            "a torn tail was cut off: its adds were never answered as counted"
        );
    }
    tracing::info!(
        folder = %path.display(),
        incarnation = format!("{:x}", identity.incarnation),
        epoch = identity.epoch,
        position = counts.position(),
        names = counts.names(),
        snapshot = found.snapshot_position,
        replayed = found.replayed_changes,
        "recovered"
    );
}

/// Starts all parts on threads of their own, prints their addresses and waits for the stop. A part that ends with an error
/// leaves the others running; the error is returned at the end.
pub fn run(settings: &Settings, signals: &Signals) -> anyhow::Result<()> {
    let parts = settings.parts.iter().map(|p| Service::start(p, settings));
    let services = parts.collect::<anyhow::Result<Vec<Service>>>()?;
    let join = |a: Vec<String>| a.join(",");
    let grpc = join(services.iter().map(|s| s.listen().to_string()).collect());
    let admin = join(
        services
            .iter()
            .filter_map(|s| Some(s.admin()?.to_string()))
            .collect(),
    );
    println!("ready grpc={grpc} admin={admin}");
    let threads: Vec<_> = services
        .into_iter()
        .map(|service| {
            let signals = signals.clone();
            std::thread::spawn(move || {
                service
                    .run(&signals)
                    .inspect_err(|e| tracing::error!("a part ended: {e:#}"))
            })
        })
        .collect();
    let mut ended = Ok(());
    for thread in threads {
        let result = thread
            .join()
            .unwrap_or_else(|_| Err(anyhow::anyhow!("a part panicked")));
        if result.is_err() {
            ended = result;
        }
    }
    ended
}
