//! Stand-in for the counter: keeps named counts in memory, and has control commands that make it unresponsive, slow, refuse
//! requests or lose its counts.

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

/// The largest request message that is accepted.
const MAX_MESSAGE_BYTES: usize = 1_024;
/// Number of names from which on expired ones are dropped.
const NAME_CLEANUP_THRESHOLD: usize = 1 << 20;

struct Count {
    total: f64,
    expires_at: u64,
}

/// The stand-in for the counter.
pub struct StandInCounter {
    engine: Engine,
    listen: SocketAddr,
    control: SocketAddr,
    counts: HashMap<u64, Count>,
    /// Requests of the `Add` method that have not arrived completely.
    unary_requests: HashMap<StreamId, UnaryMessage>,
    /// Streams of the `Adds` method.
    add_streams: HashMap<StreamId, Deframer>,
    /// Responses that wait for their timer.
    delayed_responses: HashMap<u64, (StreamId, AddResponse)>,
    last_timer: u64,
    silent: bool,
    refusing: bool,
    delay_us: u64,
}

impl StandInCounter {
    /// Binds both ports.
    pub fn start(listen: SocketAddr, control: SocketAddr) -> std::io::Result<StandInCounter> {
        let mut engine = Engine::new()?;
        let limits = Limits {
            max_streams: 20_000,
            ..Limits::default()
        };
        let listen = engine.listen(listen, limits, false, false)?.1;
        let control = engine.listen(control, limits, false, true)?.1;
        let (counts, unary_requests, delayed_responses) =
            (HashMap::new(), HashMap::new(), HashMap::new());
        let add_streams = HashMap::new();
        let (last_timer, silent, refusing, delay_us) = (0, false, false, 0);
        Ok(StandInCounter {
            engine,
            listen,
            control,
            counts,
            unary_requests,
            add_streams,
            delayed_responses,
            last_timer,
            silent,
            refusing,
            delay_us,
        })
    }
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Serves until a signal asks it to stop.
    pub fn run(&mut self, signals: &Signals) -> std::io::Result<()> {
        let mut events = Vec::new();
        while !signals.is_stop_requested() {
            self.engine.turn(50_000, &mut events)?;
            for event in events.drain(..) {
                self.on_event(event);
            }
        }
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::StreamOpened { stream, head, .. } if head.uri.path().ends_with("/Adds") => {
                self.engine.respond(stream, grpc::response_head(), false);
                self.add_streams.insert(stream, Deframer::default());
            }
            Event::StreamOpened { stream, .. } => {
                drop(self.unary_requests.insert(stream, UnaryMessage::default()))
            }
            Event::Data { stream, data } => {
                self.engine.consume(stream, data.len());
                if self.add_streams.contains_key(&stream) {
                    return self.on_stream_data(stream, &data);
                }
                let Some(request) = self.unary_requests.get_mut(&stream) else {
                    return;
                };
                if request.push(&data, MAX_MESSAGE_BYTES).is_err() {
                    self.unary_requests.remove(&stream);
                    self.reply_status(stream, Code::InvalidArgument);
                }
            }
            Event::StreamEnded { stream, .. } if self.add_streams.remove(&stream).is_some() => {
                self.engine
                    .finish(stream, Some(grpc::trailers(Code::Ok, "")));
            }
            Event::StreamEnded { stream, .. } => self.on_unary_end(stream),
            Event::StreamFailed { stream, .. } => {
                self.unary_requests.remove(&stream);
                self.add_streams.remove(&stream);
            }
            Event::Timer(token) => {
                let Some((stream, response)) = self.delayed_responses.remove(&token) else {
                    return;
                };
                self.reply(stream, response);
            }
            Event::Get { conn, path } => {
                let (_, pairs) = control::parse_target(&path);
                let result = self.apply_command(&pairs);
                control::respond(&mut self.engine, conn, result);
            }
            _ => {}
        }
    }

    /// Applies a control command: `silent` (no responses; 1 or 0), `refusing` (UNAVAILABLE to every request; 1 or 0), `slow_ms`
    /// (delay of responses), `empty` (drops all counts).
    fn apply_command(&mut self, pairs: &BTreeMap<String, String>) -> Result<(), String> {
        for (name, value) in pairs {
            match name.as_str() {
                "silent" => self.silent = value == "1",
                "refusing" => self.refusing = value == "1",
                "slow_ms" => {
                    let ms: f64 = value
                        .parse()
                        .map_err(|_| format!("slow_ms: expected a number, found {value}\n"))?;
                    self.delay_us = (ms * 1e3) as u64;
                }
                "empty" => self.counts.clear(),
                _ => {
                    return Err(format!(
                        "{name}: expected silent, refusing, slow_ms or empty\n"
                    ))
                }
            }
        }
        Ok(())
    }

    fn on_unary_end(&mut self, stream: StreamId) {
        let Some(request) = self.unary_requests.remove(&stream) else {
            return;
        };
        if self.silent {
            return;
        }
        if self.refusing {
            return self.reply_status(stream, Code::Unavailable);
        }
        let Some(add) = request
            .message()
            .and_then(|m| AddRequest::decode(&m[..]).ok())
        else {
            return self.reply_status(stream, Code::InvalidArgument);
        };
        if !add.amount.is_finite() {
            return self.reply_status(stream, Code::InvalidArgument);
        }
        let total = self.add(&add);
        self.reply_after_delay(
            stream,
            AddResponse {
                total,
                number: add.number,
                ..AddResponse::default()
            },
        );
    }

    fn reply_after_delay(&mut self, stream: StreamId, response: AddResponse) {
        if self.delay_us == 0 {
            return self.reply(stream, response);
        }
        self.last_timer += 1;
        self.delayed_responses
            .insert(self.last_timer, (stream, response));
        self.engine
            .set_timer(self.engine.now() + self.delay_us, self.last_timer);
    }

    fn on_stream_data(&mut self, stream: StreamId, data: &[u8]) {
        let Some(deframer) = self.add_streams.get_mut(&stream) else {
            return;
        };
        deframer.push(data);
        loop {
            let next = self
                .add_streams
                .get_mut(&stream)
                .map(|d| d.next(MAX_MESSAGE_BYTES));
            let add = match next {
                Some(Ok(Some(message))) => AddRequest::decode(&message[..])
                    .ok()
                    .filter(|a| a.amount.is_finite()),
                Some(Ok(None)) | None => return,
                Some(Err(_)) => None,
            };
            let Some(add) = add else {
                self.add_streams.remove(&stream);
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
            self.reply_after_delay(
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
        if self.counts.len() >= NAME_CLEANUP_THRESHOLD {
            self.counts.retain(|_, n| n.expires_at > now);
        }
        let count = self.counts.entry(add.name).or_insert(Count {
            total: 0.0,
            expires_at: 0,
        });
        if count.expires_at <= now {
            *count = Count {
                total: 0.0,
                expires_at: now.saturating_add(add.lifetime_us),
            };
        }
        count.total += add.amount;
        count.total
    }

    fn reply(&mut self, stream: StreamId, response: AddResponse) {
        let frame = grpc::frame(&response.encode_to_vec());
        if self.add_streams.contains_key(&stream) {
            return self.engine.send(stream, frame);
        }
        self.engine.respond(stream, grpc::response_head(), false);
        self.engine.send(stream, frame);
        self.engine
            .finish(stream, Some(grpc::trailers(Code::Ok, "")));
    }
    fn reply_status(&mut self, stream: StreamId, code: Code) {
        self.engine
            .respond(stream, grpc::trailers_only(grpc::trailers(code, "")), true);
    }
}

/// Runs the stand-in until a signal stops it.
pub fn command(args: &CounterArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::install()?;
    let mut counter = StandInCounter::start(args.listen, args.control)?;
    println!(
        "ready grpc={} control={}",
        counter.listen(),
        counter.control()
    );
    Ok(counter.run(&signals)?)
}
