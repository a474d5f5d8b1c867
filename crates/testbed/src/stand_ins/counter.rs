//! Stand-in for the counter: named numbers in memory, and commands that make it silent, slow, refusing or empty.

use crate::common::control;
use crate::common::process::init_process;
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::{Engine, Event, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use clap::Args;
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

#[derive(Args)]
pub struct CounterArgs {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

const MOST_BYTES: usize = 1_024;
/// The most names that are kept; the oldest go first.
const MOST_NAMES: usize = 1 << 20;

struct Number {
    total: f64,
    until: u64,
}

/// The stand-in.
pub struct Counter {
    engine: Engine,
    listen: SocketAddr,
    control: SocketAddr,
    numbers: HashMap<u64, Number>,
    asking: HashMap<StreamId, UnaryMessage>,
    /// Streams of many adds.
    streams: HashMap<StreamId, Deframer>,
    late: HashMap<u64, (StreamId, AddResponse)>,
    next: u64,
    silent: bool,
    refusing: bool,
    slow_us: u64,
}

impl Counter {
    /// Binds both ports.
    pub fn start(listen: SocketAddr, control: SocketAddr) -> std::io::Result<Counter> {
        let mut engine = Engine::new()?;
        let limits = Limits {
            streams: 20_000,
            ..Limits::default()
        };
        let listen = engine.listen(listen, limits, false, false)?.1;
        let control = engine.listen(control, limits, false, true)?.1;
        let (numbers, asking, late) = (HashMap::new(), HashMap::new(), HashMap::new());
        let streams = HashMap::new();
        let (next, silent, refusing, slow_us) = (0, false, false, 0);
        Ok(Counter {
            engine,
            listen,
            control,
            numbers,
            asking,
            streams,
            late,
            next,
            silent,
            refusing,
            slow_us,
        })
    }
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Answers until it is asked to stop.
    pub fn run(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        while !signals.stop() {
            self.engine.turn(50_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event);
            }
        }
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Opened { stream, head, .. } if head.uri.path().ends_with("/Adds") => {
                self.engine.respond(stream, grpc::head(), false);
                self.streams.insert(stream, Deframer::default());
            }
            Event::Opened { stream, .. } => {
                drop(self.asking.insert(stream, UnaryMessage::default()))
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                if self.streams.contains_key(&stream) {
                    return self.on_adds(stream, &data);
                }
                let Some(gather) = self.asking.get_mut(&stream) else {
                    return;
                };
                if gather.push(&data, MOST_BYTES).is_err() {
                    self.asking.remove(&stream);
                    self.status(stream, Code::InvalidArgument);
                }
            }
            Event::End { stream, .. } if self.streams.remove(&stream).is_some() => {
                self.engine
                    .finish(stream, Some(grpc::trailers(Code::Ok, "")));
            }
            Event::End { stream, .. } => self.on_asked(stream),
            Event::StreamFailed { stream, .. } => {
                self.asking.remove(&stream);
                self.streams.remove(&stream);
            }
            Event::Timer(token) => {
                let Some((stream, answer)) = self.late.remove(&token) else {
                    return;
                };
                self.reply(stream, answer);
            }
            Event::Get { conn, path } => {
                let (_, pairs) = control::parse_target(&path);
                let done = self.set(&pairs);
                control::respond(&mut self.engine, conn, done);
            }
            _ => {}
        }
    }

    /// `silent`, `refusing` (1 or 0), `slow_ms`, `empty`.
    fn set(&mut self, pairs: &BTreeMap<String, String>) -> Result<(), String> {
        for (name, value) in pairs {
            match name.as_str() {
                "silent" => self.silent = value == "1",
                "refusing" => self.refusing = value == "1",
                "slow_ms" => {
                    let ms: f64 = value
                        .parse()
                        .map_err(|_| format!("slow_ms: expected a number, found {value}\n"))?;
                    self.slow_us = (ms * 1e3) as u64;
                }
                "empty" => self.numbers.clear(),
                _ => {
                    return Err(format!(
                        "{name}: expected silent, refusing, slow_ms or empty\n"
                    ))
                }
            }
        }
        Ok(())
    }

    fn on_asked(&mut self, stream: StreamId) {
        let Some(gather) = self.asking.remove(&stream) else {
            return;
        };
        if self.silent {
            return;
        }
        if self.refusing {
            return self.status(stream, Code::Unavailable);
        }
        let Some(add) = gather
            .message()
            .and_then(|m| AddRequest::decode(&m[..]).ok())
        else {
            return self.status(stream, Code::InvalidArgument);
        };
        if !add.amount.is_finite() {
            return self.status(stream, Code::InvalidArgument);
        }
        let total = self.add(&add);
        self.reply_in_time(
            stream,
            AddResponse {
                total,
                number: add.number,
                ..AddResponse::default()
            },
        );
    }

    fn reply_in_time(&mut self, stream: StreamId, answer: AddResponse) {
        if self.slow_us == 0 {
            return self.reply(stream, answer);
        }
        self.next += 1;
        self.late.insert(self.next, (stream, answer));
        self.engine
            .timer(self.engine.now() + self.slow_us, self.next);
    }

    fn on_adds(&mut self, stream: StreamId, data: &[u8]) {
        let Some(deframer) = self.streams.get_mut(&stream) else {
            return;
        };
        deframer.push(data);
        loop {
            let next = self.streams.get_mut(&stream).map(|d| d.next(MOST_BYTES));
            let add = match next {
                Some(Ok(Some(message))) => AddRequest::decode(&message[..])
                    .ok()
                    .filter(|a| a.amount.is_finite()),
                Some(Ok(None)) | None => return,
                Some(Err(_)) => None,
            };
            let Some(add) = add else {
                self.streams.remove(&stream);
                return self.engine.finish(
                    stream,
                    Some(grpc::trailers(Code::InvalidArgument, "expected an add")),
                );
            };
            if self.silent {
                continue;
            }
            if self.refusing {
                let status = Code::Unavailable as i32;
                self.reply(
                    stream,
                    AddResponse {
                        number: add.number,
                        status,
                        ..AddResponse::default()
                    },
                );
                continue;
            }
            let total = self.add(&add);
            self.reply_in_time(
                stream,
                AddResponse {
                    total,
                    number: add.number,
                    ..AddResponse::default()
                },
            );
        }
    }

    fn add(&mut self, add: &AddRequest) -> f64 {
        let now = self.engine.now();
        if self.numbers.len() >= MOST_NAMES {
            self.numbers.retain(|_, n| n.until > now);
        }
        let number = self.numbers.entry(add.name).or_insert(Number {
            total: 0.0,
            until: 0,
        });
        if number.until <= now {
            *number = Number {
                total: 0.0,
                until: now.saturating_add(add.lifetime_us),
            };
        }
        number.total += add.amount;
        number.total
    }

    fn reply(&mut self, stream: StreamId, answer: AddResponse) {
        let frame = grpc::frame(&answer.encode_to_vec());
        if self.streams.contains_key(&stream) {
            return self.engine.send(stream, frame);
        }
        self.engine.respond(stream, grpc::head(), false);
        self.engine.send(stream, frame);
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }
    fn status(&mut self, stream: StreamId, code: Code) {
        self.engine
            .respond(stream, grpc::trailers_only(grpc::trailers(code, "")), true);
    }
}

/// Runs it until it is stopped.
pub fn command(args: &CounterArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::take()?;
    let mut counter = Counter::start(args.listen, args.control)?;
    println!(
        "ready grpc={} control={}",
        counter.listen(),
        counter.control()
    );
    Ok(counter.run(&signals)?)
}
