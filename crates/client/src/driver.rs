//! The core over sockets: one thread with a poll loop, calls from any thread, blocking or with a callback.

use crate::core::{Action, CallId, Core, Event, Outcome, Repeat, Settings, TryEnd};
use crate::handle::{Call, Command, Done, Live, Reply};
use crate::stats::Counters;
use crate::stream::{StreamEvent, MOST_QUEUED};
use crate::wire::{addresses_of, end_of, head, FileError};
use bytes::Bytes;
use chalkdeck_net::file_watch::FileWatch;
use chalkdeck_net::grpc::{self, Code, FrameError};
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::{ConnId, Engine, Event as NetEvent, Limits, StreamError, StreamId};
use http::HeaderMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::Arc;

/// The longest answer that is read.
const ANSWER_BYTES: usize = 4 << 20;
/// The loop looks at the time at least this often, in microseconds.
const LONGEST_WAIT: u64 = 1_000_000;
/// How often a file of gateways is looked at, and the timer for it.
const LOOK: u64 = 200_000;
const LOOK_TOKEN: u64 = u64::MAX;

enum Caller {
    Unary(Done),
    Stream(Live),
}

struct Open {
    call: Call,
    done: Caller,
    stream: Option<StreamId>,
    code: Option<Code>,
    text: String,
    gather: UnaryMessage,
    tries: u32,
    begun: u64,
    span: tracing::Span,
}

pub(crate) struct Carrier {
    core: Core,
    engine: Engine,
    inbox: Receiver<Command>,
    connect_timeout: u64,
    keepalive: u64,
    rng: fastrand::Rng,
    addresses: Vec<SocketAddr>,
    conns: Vec<Option<ConnId>>,
    open: HashMap<CallId, Open>,
    tries: HashMap<StreamId, (CallId, u32)>,
    connects: HashMap<u64, ConnId>,
    next: u64,
    todo: Vec<Event>,
    watch: Option<FileWatch>,
    pub(crate) stats: Arc<Counters>,
    stopped: bool,
}

impl Carrier {
    pub(crate) fn new(
        core: Core,
        engine: Engine,
        inbox: Receiver<Command>,
        settings: &Settings,
    ) -> Carrier {
        let (connect_timeout, keepalive, seed) =
            (settings.connect_timeout, settings.keepalive, settings.seed);
        Carrier {
            core,
            engine,
            inbox,
            connect_timeout,
            keepalive,
            rng: fastrand::Rng::with_seed(seed ^ fastrand::u64(..)),
            addresses: Vec::new(),
            conns: Vec::new(),
            open: HashMap::new(),
            tries: HashMap::new(),
            connects: HashMap::new(),
            next: 0,
            todo: Vec::new(),
            watch: None,
            stats: Arc::default(),
            stopped: false,
        }
    }

    pub(crate) fn run(&mut self) {
        let mut events = Vec::new();
        while !self.stopped {
            let now = self.engine.now();
            let wait = self
                .core
                .next_wake()
                .map_or(LONGEST_WAIT, |at| at.saturating_sub(now).min(LONGEST_WAIT));
            if let Err(e) = self.engine.turn(wait, &mut events) {
                tracing::error!(error = %e, "client event loop stopped");
                break;
            }
            while let Ok(command) = self.inbox.try_recv() {
                self.on_command(command);
            }
            for event in events.drain(..) {
                self.on_event(event);
                self.settle();
            }
            self.todo.push(Event::Tick);
            self.settle();
            self.stats.budget.set(self.core.budget());
        }
        let left: Vec<CallId> = self.open.keys().copied().collect();
        left.into_iter()
            .for_each(|id| self.finish(id, Outcome::Cancelled));
    }

    fn settle(&mut self) {
        while !self.todo.is_empty() {
            let mut actions = Vec::new();
            for event in std::mem::take(&mut self.todo) {
                self.core.handle(self.engine.now(), event, &mut actions);
            }
            actions.into_iter().for_each(|a| self.act(a));
        }
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Start(id, call, done) => self.start(id, call, Caller::Unary(done)),
            Command::Open(id, call, live) => self.start(id, call, Caller::Stream(live)),
            Command::Message(id, message) => self.message(id, message),
            Command::Finish(id) => self.end_of_messages(id),
            Command::Cancel(id) => self.todo.push(Event::Cancel(id)),
            Command::Gateways(addresses) => self.relist(addresses),
            Command::Watch(watch) => {
                self.watch = Some(watch);
                self.look();
            }
            Command::Stop => self.stopped = true,
        }
        self.settle();
    }

    fn start(&mut self, id: CallId, mut call: Call, done: Caller) {
        if matches!(call.repeat, Repeat::Keyed { .. }) {
            call.key
                .get_or_insert_with(|| format!("{:032x}", self.rng.u128(..)));
        }
        let (begun, left) = (
            self.engine.now(),
            u64::try_from(call.timeout.as_micros()).unwrap_or(u64::MAX),
        );
        self.todo
            .push(Event::Call(id, call.repeat, begun.saturating_add(left)));
        let span = tracing::debug_span!("call", id = id.0, path = %call.path, outcome = tracing::field::Empty);
        let (stream, code, text, gather, tries) =
            (None, None, String::new(), UnaryMessage::default(), 0);
        self.open.insert(
            id,
            Open {
                call,
                done,
                stream,
                code,
                text,
                gather,
                tries,
                begun,
                span,
            },
        );
        self.stats.open.set(self.open.len() as i64);
    }

    /// A further message of a stream. Once sent it is not kept, so from there on the stream does not go again.
    fn message(&mut self, id: CallId, message: Bytes) {
        let Some(Open {
            done: Caller::Stream(live),
            stream,
            ..
        }) = self.open.get_mut(&id)
        else {
            return;
        };
        let Some(stream) = stream else {
            return live.early.push(message);
        };
        self.engine.send(*stream, grpc::frame(&message));
        self.todo.push(Event::Started(id));
    }

    fn end_of_messages(&mut self, id: CallId) {
        let Some(Open {
            done: Caller::Stream(live),
            stream,
            ..
        }) = self.open.get_mut(&id)
        else {
            return;
        };
        live.ended = true;
        stream.iter().for_each(|s| self.engine.finish(*s, None));
    }

    /// Reads the file of gateways again if it changed.
    fn look(&mut self) {
        let Some(watch) = &mut self.watch else { return };
        self.engine.timer(self.engine.now() + LOOK, LOOK_TOKEN);
        let Some(bytes) = watch.poll() else { return };
        match bytes
            .map_err(FileError::from)
            .and_then(|b| addresses_of(&b))
        {
            Ok(addresses) => self.relist(addresses),
            Err(why) => {
                tracing::error!(
                    file = %watch.path().display(),
                    error = %why,
                    "gateway list not readable: keeping the last good one"
                )
            }
        }
    }

    /// Places keep their address as long as it is on the list; a place whose address changed is connected anew.
    fn relist(&mut self, addresses: Vec<SocketAddr>) {
        for (place, conn) in self.conns.iter_mut().enumerate() {
            if addresses.get(place) != self.addresses.get(place) {
                if let Some(conn) = conn.take() {
                    self.engine.close(conn);
                    self.todo.push(Event::Lost(place));
                }
            }
        }
        self.conns
            .resize(addresses.len().max(self.conns.len()), None);
        self.todo.push(Event::Gateways(addresses.len()));
        self.addresses = addresses;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Connect(place) => self.connect(place),
            Action::Send {
                call,
                number,
                gateway,
                left,
            } => self.send(call, number, gateway, left),
            Action::CallOff(call, _) => {
                if let Some(stream) = self.open.get_mut(&call).and_then(|o| o.stream.take()) {
                    self.tries.remove(&stream);
                    self.engine.reset(stream, h2::Reason::CANCEL);
                }
            }
            Action::Finish(call, outcome) => self.finish(call, outcome),
        }
    }

    fn finish(&mut self, id: CallId, outcome: Outcome) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let answered = outcome == Outcome::Answered;
        self.stats
            .ended(outcome, self.engine.now().saturating_sub(open.begun));
        self.stats.open.set(self.open.len() as i64);
        open.span.record("outcome", tracing::field::debug(outcome));
        tracing::debug!(parent: &open.span, attempts = open.tries, "call completed");
        let message = open.gather.message().filter(|_| answered).cloned();
        let reply = Reply {
            outcome,
            code: open.code,
            text: open.text,
            message,
            tries: open.tries,
        };
        match open.done {
            Caller::Unary(done) => done(reply),
            Caller::Stream(mut live) => (live.hear)(StreamEvent::End(reply)),
        }
    }

    fn connect(&mut self, place: usize) {
        let Some(address) = self.addresses.get(place) else {
            return;
        };
        match self.engine.connect(
            *address,
            Limits {
                streams: 10_000,
                keepalive: self.keepalive,
                ..Limits::default()
            },
        ) {
            Ok(conn) => {
                self.conns[place] = Some(conn);
                self.next += 1;
                self.connects.insert(self.next, conn);
                self.engine
                    .timer(self.engine.now() + self.connect_timeout, self.next);
            }
            Err(_) => self.todo.push(Event::Lost(place)),
        }
    }

    fn place_of(&self, conn: ConnId) -> Option<usize> {
        self.conns.iter().position(|c| *c == Some(conn))
    }

    fn send(&mut self, id: CallId, number: u32, place: usize, left: u64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        (open.code, open.gather, open.text) = (None, UnaryMessage::default(), String::new());
        let head = head(&open.call, self.addresses[place], number, left);
        let stream = head
            .zip(self.conns[place])
            .and_then(|(head, conn)| self.engine.open(conn, head, false));
        let Some(stream) = stream else {
            // It never left: the gateway is going away or takes no more.
            self.todo.push(Event::Ended(id, number, TryEnd::NeverRan));
            if let Some(conn) = self.conns[place].take() {
                tracing::debug!(?conn, "gateway is draining its connection");
                self.todo.push(Event::Lost(place));
            }
            return;
        };
        open.tries = number + 1;
        self.stats.tried();
        tracing::debug!(parent: &open.span, attempt = number, gateway = place, time_left_us = left, "attempt sent");
        open.stream = Some(stream);
        self.engine.send(stream, grpc::frame(&open.call.message));
        if let Caller::Stream(live) = &mut open.done {
            if !live.early.is_empty() {
                self.todo.push(Event::Started(id));
            }
            live.early
                .drain(..)
                .for_each(|m| self.engine.send(stream, grpc::frame(&m)));
        }
        if !matches!(&open.done, Caller::Stream(live) if !live.ended) {
            self.engine.finish(stream, None);
        }
        self.tries.insert(stream, (id, number));
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Connected { conn } => {
                if let Some(place) = self.place_of(conn) {
                    self.connects.retain(|_, c| *c != conn);
                    self.stats.connected();
                    self.todo.push(Event::Connected(place));
                }
            }
            NetEvent::Closed { conn, .. } => {
                if let Some(place) = self.place_of(conn) {
                    self.conns[place] = None;
                    self.todo.push(Event::Lost(place));
                }
            }
            NetEvent::Timer(LOOK_TOKEN) => self.look(),
            NetEvent::Timer(token) => {
                if let Some(conn) = self.connects.remove(&token) {
                    self.engine.close(conn);
                }
            }
            NetEvent::Head {
                stream,
                head,
                ended: true,
            } => self.on_end(stream, &head.headers),
            NetEvent::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                self.on_data(stream, &data);
            }
            NetEvent::Sent { stream, bytes } => self.on_sent(stream, bytes),
            NetEvent::End { stream, trailers } => {
                self.on_end(stream, &trailers.unwrap_or_default())
            }
            NetEvent::StreamFailed { stream, error } => self.ended(
                stream,
                match error {
                    StreamError::Refused | StreamError::GoneAway => TryEnd::NeverRan,
                    StreamError::Reset(_) | StreamError::Lost => TryEnd::MayHaveRun,
                },
            ),
            _ => {}
        }
    }

    /// The first message was not queued by the caller, so the sum may come out below nothing.
    fn on_sent(&mut self, stream: StreamId, bytes: usize) {
        let open = self
            .tries
            .get(&stream)
            .and_then(|t| self.open.get_mut(&t.0));
        if let Some(Open {
            done: Caller::Stream(live),
            ..
        }) = open
        {
            let take = |queued: usize| Some(queued.saturating_sub(bytes));
            let was = live
                .queued
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .unwrap_or(0);
            if was >= MOST_QUEUED && was.saturating_sub(bytes) < MOST_QUEUED {
                (live.hear)(StreamEvent::Room);
            }
        }
    }

    fn on_data(&mut self, stream: StreamId, data: &[u8]) {
        let Some(&(id, _)) = self.tries.get(&stream) else {
            return;
        };
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let pushed = match &mut open.done {
            Caller::Unary(_) => open.gather.push(data, ANSWER_BYTES),
            Caller::Stream(live) => hand_over(live, data),
        };
        if matches!(open.done, Caller::Stream(_)) {
            self.todo.push(Event::Started(id));
        }
        if let Err(e) = pushed {
            open.text = e.to_string();
            self.engine.reset(stream, h2::Reason::CANCEL);
            self.ended(stream, TryEnd::MayHaveRun);
        }
    }

    fn on_end(&mut self, stream: StreamId, trailers: &HeaderMap) {
        if let Some(open) = self
            .tries
            .get(&stream)
            .and_then(|t| self.open.get_mut(&t.0))
        {
            open.code = Code::from_trailers(trailers);
            open.text = grpc::message_of(trailers);
        }
        self.ended(stream, end_of(trailers));
    }

    fn ended(&mut self, stream: StreamId, end: TryEnd) {
        let Some((id, number)) = self.tries.remove(&stream) else {
            return;
        };
        self.open
            .get_mut(&id)
            .into_iter()
            .for_each(|o| o.stream = None);
        self.todo.push(Event::Ended(id, number, end));
    }
}

fn hand_over(live: &mut Live, data: &[u8]) -> Result<(), FrameError> {
    live.deframer.push(data);
    while let Some(message) = live.deframer.next(ANSWER_BYTES)? {
        (live.hear)(StreamEvent::Message(message));
    }
    Ok(())
}
