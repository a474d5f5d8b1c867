//! The gateway's side of the counter: adds pipelined on one stream, answers told in the order of the calls of each name.
//! It decides nothing: a call ends by its answer, its time-out or the stream's end.
//!
//! A link on which nothing was heard since a call that timed out was sent may be dead without a word; the next call takes
//! a new one.

use crate::counters::{News, Standing};
use bytes::BytesMut;
use chalkdeck::api::{CounterKey, Outcome};
use chalkdeck_net::clock::incarnation;
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::{ConnId, Engine, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use prost::Message;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Calls under way at once; further ones end as never sent.
const MOST_OPEN: usize = 10_000;
/// Longest answer that is read.
const ANSWER_BYTES: usize = 1_024;
const PATH: &str = "/chalkdeck.counter.v1.Counter/Adds";

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CounterResult {
    pub(crate) name: CounterKey,
    pub(crate) outcome: Outcome,
    pub(crate) total: f64,
}

/// Answers of each name in the order of its calls, whatever the order in which they come.
#[derive(Debug, Default)]
pub(crate) struct InOrder {
    names: FxHashMap<CounterKey, VecDeque<(u64, Option<CounterResult>)>>,
}

impl InOrder {
    pub(crate) fn asked(&mut self, name: CounterKey, call: u64) {
        self.names.entry(name).or_default().push_back((call, None));
    }
    /// A call ended; returns what can be told now. A call that ended before is no news.
    pub(crate) fn ended(&mut self, call: u64, told: CounterResult) -> Vec<CounterResult> {
        let Some(queue) = self.names.get_mut(&told.name) else {
            return Vec::new();
        };
        if let Some(slot) = queue.iter_mut().find(|slot| slot.0 == call) {
            slot.1.get_or_insert(told);
        }
        let mut out = Vec::new();
        while let Some((_, Some(told))) = queue.front() {
            out.push(*told);
            queue.pop_front();
        }
        if queue.is_empty() {
            self.names.remove(&told.name);
        }
        out
    }
}

enum Link {
    None,
    Connecting(ConnId, Vec<AddRequest>),
    Up(ConnId, StreamId, Deframer),
}

/// A call that was sent or waits for the link.
struct Open {
    name: CounterKey,
    sent: u64,
}

struct Until {
    at: u64,
    call: u64,
}

/// The client of one counter.
pub(crate) struct Counter {
    address: SocketAddr,
    link: Link,
    /// When something was last heard on the link.
    heard: u64,
    open: FxHashMap<u64, Open>,
    order: InOrder,
    /// Time-outs in the order of the calls; those that ended are dropped when they come first.
    until: VecDeque<Until>,
    next: u64,
    /// This gateway's incarnation: an add that arrives twice counts once.
    caller: u64,
    standing: Standing,
    /// Adds of this turn, which go out together. Bounded by the open calls.
    out: BytesMut,
    /// Bounded: taken out after each answer.
    pub(crate) news: Vec<News>,
    head: http::Request<()>,
}

impl Counter {
    pub(crate) fn new(address: SocketAddr, now: u64) -> Counter {
        let head = grpc::request(&address.to_string(), PATH)
            .expect("an address and a fixed path make a sound head");
        let (open, until, order) = (FxHashMap::default(), VecDeque::new(), InOrder::default());
        Counter {
            address,
            link: Link::None,
            heard: 0,
            open,
            order,
            until,
            next: 0,
            caller: incarnation(now),
            standing: Standing::default(),
            out: BytesMut::new(),
            news: Vec::new(),
            head,
        }
    }

    /// Asks, until that time; returns what can be told at once.
    pub(crate) fn add(
        &mut self,
        engine: &mut Engine,
        name: CounterKey,
        amount: f64,
        life: u64,
        until: u64,
    ) -> Vec<CounterResult> {
        self.next += 1;
        let call = self.next;
        let full = self.open.len() >= MOST_OPEN;
        self.order.asked(name, call);
        self.open.insert(
            call,
            Open {
                name,
                sent: engine.now(),
            },
        );
        if full {
            return self.end(call, Outcome::NeverSent, 0.0);
        }
        self.until.push_back(Until { at: until, call });
        let caller = self.caller;
        let request = AddRequest {
            name: name.0,
            amount,
            lifetime_us: life,
            number: call,
            caller,
        };
        if let Link::None = self.link {
            self.link = match engine.connect(self.address, Limits::default()) {
                Ok(conn) => Link::Connecting(conn, Vec::new()),
                Err(_) => return self.end(call, Outcome::ConnectFailed, 0.0),
            };
        }
        match &mut self.link {
            Link::Connecting(_, waiting) => waiting.push(request),
            Link::Up(..) => grpc::push_frame(&mut self.out, &request),
            Link::None => {}
        }
        Vec::new()
    }

    /// Sends what the turn has asked.
    pub(crate) fn flush(&mut self, engine: &mut Engine) {
        if let (Link::Up(_, stream, _), false) = (&self.link, self.out.is_empty()) {
            engine.send(*stream, self.out.split().freeze());
        }
    }

    fn end(&mut self, call: u64, outcome: Outcome, total: f64) -> Vec<CounterResult> {
        let Some(open) = self.open.remove(&call) else {
            return Vec::new();
        };
        self.order.ended(
            call,
            CounterResult {
                name: open.name,
                outcome,
                total,
            },
        )
    }

    /// When the first call that is still waited for times out.
    pub(crate) fn next_timeout(&mut self) -> Option<u64> {
        while self
            .until
            .front()
            .is_some_and(|u| !self.open.contains_key(&u.call))
        {
            self.until.pop_front();
        }
        self.until.front().map(|u| u.at)
    }

    /// Ends all calls whose time is up. Waiting for a connection proves that a call was never sent.
    pub(crate) fn timed_out(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let now = engine.now();
        let mut told = Vec::new();
        while self.next_timeout().is_some_and(|at| at <= now) {
            let Some(Until { call, .. }) = self.until.pop_front() else {
                break;
            };
            let sent = self.open.get(&call).map_or(now, |open| open.sent);
            let outcome = if matches!(self.link, Link::Up(..)) {
                Outcome::Timeout
            } else {
                Outcome::ConnectFailed
            };
            told.extend(self.end(call, outcome, 0.0));
            if self.heard < sent {
                told.extend(self.drop_link(engine));
            }
        }
        told
    }

    fn drop_link(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let link = std::mem::replace(&mut self.link, Link::None);
        self.out.clear();
        let (conn, outcome) = match &link {
            Link::None => return Vec::new(),
            Link::Connecting(conn, _) => (*conn, Outcome::ConnectFailed),
            Link::Up(conn, ..) => (*conn, Outcome::Reset),
        };
        engine.close(conn);
        self.end_all(outcome)
    }

    /// Ends all calls in their order.
    fn end_all(&mut self, outcome: Outcome) -> Vec<CounterResult> {
        let mut calls: Vec<u64> = self.open.keys().copied().collect();
        calls.sort_unstable();
        calls
            .into_iter()
            .flat_map(|call| self.end(call, outcome, 0.0))
            .collect()
    }

    /// A connection stands: whether it is the counter's.
    pub(crate) fn connected(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<Vec<CounterResult>> {
        let Link::Connecting(own, waiting) = &mut self.link else {
            return None;
        };
        if *own != conn {
            return None;
        }
        let waiting = std::mem::take(waiting);
        let Some(stream) = engine.open(conn, self.head.clone(), false) else {
            return Some(self.drop_link(engine));
        };
        self.heard = engine.now();
        self.link = Link::Up(conn, stream, Deframer::default());
        let live = waiting
            .into_iter()
            .filter(|add| self.open.contains_key(&add.number));
        live.for_each(|add| grpc::push_frame(&mut self.out, &add));
        Some(Vec::new())
    }

    /// A connection is over: whether it was the counter's.
    pub(crate) fn closed(&mut self, conn: ConnId) -> Option<Vec<CounterResult>> {
        let outcome = match &self.link {
            Link::Connecting(own, _) if *own == conn => Outcome::ConnectFailed,
            Link::Up(own, ..) if *own == conn => Outcome::Reset,
            _ => return None,
        };
        self.link = Link::None;
        self.out.clear();
        Some(self.end_all(outcome))
    }

    pub(crate) fn owns(&self, stream: StreamId) -> bool {
        matches!(&self.link, Link::Up(_, own, _) if *own == stream)
    }

    pub(crate) fn on_data(
        &mut self,
        engine: &mut Engine,
        stream: StreamId,
        data: &[u8],
    ) -> Vec<CounterResult> {
        engine.consume(stream, data.len());
        self.heard = engine.now();
        let Link::Up(_, _, deframer) = &mut self.link else {
            return Vec::new();
        };
        deframer.push(data);
        let mut told = Vec::new();
        loop {
            let Link::Up(_, _, deframer) = &mut self.link else {
                return told;
            };
            let answer = match deframer.next(ANSWER_BYTES) {
                Ok(None) => return told,
                Ok(Some(message)) => AddResponse::decode(&message[..]).ok(),
                Err(_) => None,
            };
            let Some(answer) = answer else {
                told.extend(self.drop_link(engine));
                return told;
            };
            self.news.extend(self.standing.heard(&answer));
            if Code::from_number(answer.status) == Code::Aborted {
                self.caller = incarnation(engine.now());
            }
            let outcome = outcome_of(&answer);
            told.extend(self.end(answer.number, outcome, answer.total));
        }
    }

    /// The stream is over, by its head, its trailers or a reset; the connection goes with it.
    pub(crate) fn on_over(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        self.drop_link(engine)
    }
}

fn outcome_of(answer: &AddResponse) -> Outcome {
    match Code::from_number(answer.status) {
        Code::Ok if answer.total.is_finite() => Outcome::Ok,
        Code::Unavailable | Code::ResourceExhausted => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;
