//! The gateway's side of the counter: adds pipelined on one connection, answers told in the order of the calls of
//! each name. It decides nothing: a call ends by its answer, its time-out or the connection's end.

use bytes::Bytes;
use chalkdeck::api::{CountName, Outcome};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::unary::Gather;
use chalkdeck_net::{Broken, ConnId, Engine, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use prost::Message;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Calls under way at once; further ones end as never sent.
const MOST_OPEN: usize = 10_000;
/// Longest answer that is read.
const ANSWER_BYTES: usize = 1_024;
const PATH: &str = "/chalkdeck.counter.v1.Counter/Add";

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Told {
    pub(crate) name: CountName,
    pub(crate) outcome: Outcome,
    pub(crate) total: f64,
}

/// Answers of each name in the order of its calls, whatever the order in which they come.
#[derive(Debug, Default)]
pub(crate) struct InOrder {
    names: FxHashMap<CountName, VecDeque<(u64, Option<Told>)>>,
    open: usize,
}

impl InOrder {
    pub(crate) fn asked(&mut self, name: CountName, call: u64) {
        self.names.entry(name).or_default().push_back((call, None));
        self.open += 1;
    }
    /// A call ended; returns what can be told now. A call that ended before is no news.
    pub(crate) fn ended(&mut self, call: u64, told: Told) -> Vec<Told> {
        let Some(queue) = self.names.get_mut(&told.name) else { return Vec::new() };
        if let Some(slot) = queue.iter_mut().find(|slot| slot.0 == call) {
            slot.1.get_or_insert(told);
        }
        let mut out = Vec::new();
        while let Some((_, Some(told))) = queue.front() {
            out.push(*told);
            queue.pop_front();
            self.open -= 1;
        }
        if queue.is_empty() {
            self.names.remove(&told.name);
        }
        out
    }
    pub(crate) fn is_waiting(&self, name: CountName, call: u64) -> bool {
        self.names.get(&name).is_some_and(|q| q.iter().any(|slot| slot.0 == call && slot.1.is_none()))
    }
}

enum Link {
    None,
    Connecting(ConnId, Vec<Add>),
    Up(ConnId),
}

#[derive(Debug, Clone, Copy)]
struct Add {
    call: u64,
    request: AddRequest,
}

struct Open {
    call: u64,
    name: CountName,
    gather: Gather,
    status: Option<Code>,
}

/// The client of one counter.
pub(crate) struct Counter {
    address: SocketAddr,
    link: Link,
    open: FxHashMap<StreamId, Open>,
    stream_of: FxHashMap<u64, StreamId>,
    order: InOrder,
    /// Times out in the order of the calls; those that ended are dropped when they come first.
    until: VecDeque<Until>,
    next: u64,
    head: http::Request<()>,
}

struct Until {
    at: u64,
    name: CountName,
    call: u64,
}

impl Counter {
    pub(crate) fn new(address: SocketAddr) -> Counter {
        let head =
            grpc::request(&address.to_string(), PATH).expect("an address and a fixed path make a sound head");
        let (open, stream_of) = (FxHashMap::default(), FxHashMap::default());
        Counter {
            address,
            link: Link::None,
            open,
            stream_of,
            order: InOrder::default(),
            until: VecDeque::new(),
            next: 0,
            head,
        }
    }

    fn limits() -> Limits {
        Limits { streams: MOST_OPEN as u32, ..Limits::default() }
    }

    /// Asks, until that time; returns what can be told at once.
    pub(crate) fn add(
        &mut self,
        engine: &mut Engine,
        name: CountName,
        amount: f64,
        life: u64,
        until: u64,
    ) -> Vec<Told> {
        self.next += 1;
        let call = self.next;
        let full = self.order.open >= MOST_OPEN;
        self.order.asked(name, call);
        let add = Add { call, request: AddRequest { name: name.0, amount, lifetime_us: life } };
        if full {
            return self.end(call, name, Outcome::Moot, 0.0);
        }
        self.until.push_back(Until { at: until, name, call });
        if let Link::None = self.link {
            self.link = match engine.connect(self.address, Counter::limits()) {
                Ok(conn) => Link::Connecting(conn, Vec::new()),
                Err(_) => return self.end(call, name, Outcome::ConnectFailed, 0.0),
            };
        }
        match &mut self.link {
            Link::Connecting(_, waiting) => waiting.push(add),
            Link::Up(conn) => {
                let conn = *conn;
                if !self.send(engine, conn, add) {
                    // The peer is going away or takes no more; the next call connects anew.
                    self.link = Link::None;
                    return self.end(call, name, Outcome::Moot, 0.0);
                }
            }
            Link::None => {}
        }
        Vec::new()
    }

    /// When the first call that is still waited for times out.
    pub(crate) fn next_timeout(&mut self) -> Option<u64> {
        while self.until.front().is_some_and(|u| !self.order.is_waiting(u.name, u.call)) {
            self.until.pop_front();
        }
        self.until.front().map(|u| u.at)
    }

    /// Ends all calls whose time is up.
    pub(crate) fn timed_out(&mut self, engine: &mut Engine) -> Vec<Told> {
        let now = engine.now();
        let mut told = Vec::new();
        while self.next_timeout().is_some_and(|at| at <= now) {
            let Some(Until { name, call, .. }) = self.until.pop_front() else { break };
            told.extend(self.time_out(engine, name, call));
        }
        told
    }

    fn send(&mut self, engine: &mut Engine, conn: ConnId, add: Add) -> bool {
        let Some(stream) = engine.open(conn, self.head.clone(), false) else { return false };
        engine.send(stream, grpc::frame(&add.request.encode_to_vec()));
        engine.finish(stream, None);
        let name = CountName(add.request.name);
        self.open.insert(stream, Open { call: add.call, name, gather: Gather::default(), status: None });
        self.stream_of.insert(add.call, stream);
        true
    }

    fn end(&mut self, call: u64, name: CountName, outcome: Outcome, total: f64) -> Vec<Told> {
        if let Some(stream) = self.stream_of.remove(&call) {
            self.open.remove(&stream);
        }
        self.order.ended(call, Told { name, outcome, total })
    }

    /// Its time is up. Waiting for a connection proves that it was never sent.
    fn time_out(&mut self, engine: &mut Engine, name: CountName, call: u64) -> Vec<Told> {
        let stream = self.stream_of.get(&call).copied();
        if let Some(stream) = stream {
            engine.reset(stream, h2::Reason::CANCEL);
        }
        if let Link::Connecting(conn, waiting) = &mut self.link {
            waiting.retain(|add| add.call != call);
            if waiting.is_empty() {
                let conn = *conn;
                self.link = Link::None;
                engine.close(conn);
            }
        }
        let outcome = if stream.is_some() { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.end(call, name, outcome, 0.0)
    }

    pub(crate) fn connected(&mut self, engine: &mut Engine, conn: ConnId) -> Option<Vec<Told>> {
        let Link::Connecting(own, waiting) = &mut self.link else { return None };
        if *own != conn {
            return None;
        }
        let waiting = std::mem::take(waiting);
        self.link = Link::Up(conn);
        let mut told = Vec::new();
        for add in waiting {
            if !self.send(engine, conn, add) {
                told.extend(self.end(add.call, CountName(add.request.name), Outcome::Moot, 0.0));
            }
        }
        Some(told)
    }

    /// The connection is over; calls on it are told by their streams.
    pub(crate) fn closed(&mut self, conn: ConnId) -> Option<Vec<Told>> {
        let waiting = match &mut self.link {
            Link::Connecting(own, waiting) if *own == conn => std::mem::take(waiting),
            Link::Up(own) if *own == conn => Vec::new(),
            _ => return None,
        };
        self.link = Link::None;
        let names = waiting.into_iter().map(|add| (add.call, CountName(add.request.name)));
        let ends: Vec<_> = names.collect();
        Some(
            ends.into_iter()
                .flat_map(|(call, name)| self.end(call, name, Outcome::ConnectFailed, 0.0))
                .collect(),
        )
    }

    pub(crate) fn owns(&self, stream: StreamId) -> bool {
        self.open.contains_key(&stream)
    }

    pub(crate) fn on_head(
        &mut self,
        stream: StreamId,
        head: &http::response::Parts,
        ended: bool,
    ) -> Vec<Told> {
        let Some(open) = self.open.get_mut(&stream) else { return Vec::new() };
        if head.status != http::StatusCode::OK {
            open.status = Some(Code::Unavailable);
        }
        if !ended {
            return Vec::new();
        }
        let status = Code::read(&head.headers);
        self.answered(stream, status)
    }

    pub(crate) fn on_data(&mut self, engine: &mut Engine, stream: StreamId, data: &Bytes) -> Vec<Told> {
        engine.consume(stream, data.len());
        let Some(open) = self.open.get_mut(&stream) else { return Vec::new() };
        if open.gather.push(data, ANSWER_BYTES).is_err() {
            engine.reset(stream, h2::Reason::CANCEL);
            return self.answered(stream, Some(Code::Internal));
        }
        Vec::new()
    }

    pub(crate) fn on_end(&mut self, stream: StreamId, trailers: Option<&http::HeaderMap>) -> Vec<Told> {
        self.answered(stream, trailers.and_then(Code::read))
    }

    fn answered(&mut self, stream: StreamId, status: Option<Code>) -> Vec<Told> {
        let Some(open) = self.open.get(&stream) else { return Vec::new() };
        let (call, name) = (open.call, open.name);
        let answer = open.gather.message().and_then(|m| AddResponse::decode(&m[..]).ok());
        let status = open.status.or(status);
        let (outcome, total) = match (status, answer) {
            (Some(Code::Ok), Some(answer)) if answer.total.is_finite() => (Outcome::Ok, answer.total),
            (Some(Code::Unavailable | Code::ResourceExhausted), _) => (Outcome::Full, 0.0),
            _ => (Outcome::Error, 0.0),
        };
        self.end(call, name, outcome, total)
    }

    pub(crate) fn on_broken(&mut self, stream: StreamId, how: Broken) -> Vec<Told> {
        let Some(open) = self.open.get(&stream) else { return Vec::new() };
        self.end(open.call, open.name, crate::outcome::of_break(how), 0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(name: u64, total: f64) -> Told {
        Told { name: CountName(name), outcome: Outcome::Ok, total }
    }

    #[test]
    fn answers_of_a_name_are_told_in_order_of_its_calls() {
        let mut order = InOrder::default();
        for call in 1..=4 {
            order.asked(CountName(call % 2), call);
        }
        assert!(order.ended(3, told(1, 30.0)).is_empty(), "call 1 of that name is still out");
        assert_eq!(order.ended(2, told(0, 20.0)).len(), 1, "other names do not wait");
        let totals: Vec<f64> = order.ended(1, told(1, 10.0)).iter().map(|t| t.total).collect();
        assert_eq!(totals, [10.0, 30.0]);
        assert!(order.ended(1, told(1, 11.0)).is_empty(), "told once");
        assert_eq!(order.ended(4, told(0, 40.0)).len(), 1);
        assert!(order.names.is_empty() && order.open == 0);
    }
}
