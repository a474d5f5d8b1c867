//! Calls to the counter, written one behind another on a few connections and answered in order. Calls of one name share a
//! connection, so their answers are told in the order of the calls.
//!
//! A call ends by its answer, by its time or by its connection's end; an answer that comes later is passed over. A connection
//! on which nothing was heard since a call was sent whose time is up, or half an answer, may be dead without a word: the next
//! call takes a new one, and calls under way end on the old.

use crate::outcome::counted;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::{CounterKey, Outcome};
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{encode_command, take_reply, MessageLimits, ParsedReply};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Connections at one address. The counter holds 32; one that breaks takes the calls behind along, so there are some, and
/// each costs a system call where one could do, so there are few.
const LINKS: usize = 4;
/// Calls of one connection without an answer; further ones are never sent.
const MOST_OPEN: usize = 4_096;
/// Connections that only wait for the ends of their calls.
const MOST_OLD: usize = 12;
/// What is read of an answer.
const LIMITS: MessageLimits = MessageLimits {
    max_elements: 1,
    max_element_bytes: 1_024,
    max_line_bytes: 1_024,
    max_message_bytes: 2_048,
    accepts_inline: false,
};

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Told {
    pub(crate) name: CounterKey,
    pub(crate) outcome: Outcome,
    pub(crate) total: f64,
}

impl Told {
    fn not(name: CounterKey, outcome: Outcome) -> Told {
        Told {
            name,
            outcome,
            total: 0.0,
        }
    }
}

struct Call {
    name: CounterKey,
    sent: u64,
    until: u64,
    /// The command, as long as the connection does not stand.
    command: Option<Bytes>,
    /// Bytes queued on the connection up to its end.
    end: u64,
}

#[derive(Default)]
struct Link {
    conn: Option<ConnId>,
    up: bool,
    /// In the order of the calls. The first `told` have ended and wait for their answers only.
    calls: VecDeque<Call>,
    told: usize,
    bytes: BytesMut,
    /// Bytes queued since it stands.
    queued: u64,
    heard: u64,
}

impl Link {
    /// Ends all calls that were not told: by what was written of each.
    fn end(&mut self, unsent: usize) -> Vec<Told> {
        let written = self.queued.saturating_sub(unsent as u64);
        let outcome = |c: &Call| match c.command.is_none() && c.end <= written {
            true => Outcome::Reset,
            false => Outcome::ConnectFailed,
        };
        let told = self
            .calls
            .iter()
            .skip(self.told)
            .map(|c| Told::not(c.name, outcome(c)))
            .collect();
        *self = Link::default();
        told
    }
}

/// The client of one counter.
pub(crate) struct Counter {
    address: SocketAddr,
    links: Vec<Link>,
    /// Links to an earlier address or fallen silent, whose calls still end there.
    old: Vec<Link>,
    timeout: u64,
}

impl Counter {
    /// `timeout`: a call without an answer has ended after so many microseconds.
    pub(crate) fn new(address: SocketAddr, timeout: u64) -> Counter {
        Counter {
            address,
            links: (0..LINKS).map(|_| Link::default()).collect(),
            old: Vec::new(),
            timeout,
        }
    }

    /// New calls go to another address. Calls under way end at the old one, which closes by itself.
    pub(crate) fn moved(&mut self, engine: &mut Engine, address: SocketAddr) -> Vec<Told> {
        if address == self.address {
            return Vec::new();
        }
        self.address = address;
        for place in 0..LINKS {
            self.retire(place);
        }
        self.let_go(engine)
    }

    /// New calls of these names take a new connection.
    fn retire(&mut self, place: usize) {
        let link = std::mem::take(&mut self.links[place]);
        self.old.push(link);
    }

    /// Closes old connections on which nothing is waited for any more, and those beyond the bound.
    fn let_go(&mut self, engine: &mut Engine) -> Vec<Told> {
        let beyond = self.old.len().saturating_sub(MOST_OLD);
        let mut told = Vec::new();
        for (i, link) in self.old.iter_mut().enumerate() {
            if i < beyond || link.told == link.calls.len() {
                told.extend(cut(engine, link));
            }
        }
        self.old.retain(|l| l.conn.is_some());
        told
    }

    /// Adds to a count that lives so many microseconds. Returns what ended at once, and a connection that is being made.
    pub(crate) fn add(
        &mut self,
        engine: &mut Engine,
        name: CounterKey,
        amount: f64,
        life: u64,
    ) -> (Vec<Told>, Option<ConnId>) {
        let now = engine.now();
        let place = (name.0 % LINKS as u64) as usize;
        let link = &mut self.links[place];
        if link.calls.len() >= MOST_OPEN {
            return (vec![Told::not(name, Outcome::Rejected)], None);
        }
        let mut dialled = None;
        if link.conn.is_none() {
            let Ok(conn) = engine.connect_raw(self.address) else {
                return (vec![Told::not(name, Outcome::ConnectFailed)], None);
            };
            (link.conn, dialled) = (Some(conn), Some(conn));
        }
        let command = command(name, amount, life);
        let mut call = Call {
            name,
            sent: now,
            until: now + self.timeout,
            command: None,
            end: 0,
        };
        match link.conn.filter(|_| link.up) {
            Some(conn) => queue(engine, conn, &mut link.queued, &mut call, &command),
            None => call.command = Some(command),
        }
        link.calls.push_back(call);
        (Vec::new(), dialled)
    }

    fn all(&mut self) -> impl Iterator<Item = &mut Link> {
        self.links.iter_mut().chain(&mut self.old)
    }

    fn link(&mut self, conn: ConnId) -> Option<&mut Link> {
        self.all().find(|l| l.conn == Some(conn))
    }

    /// When the next call ends without an answer.
    pub(crate) fn next_timeout(&self) -> Option<u64> {
        let links = self.links.iter().chain(&self.old);
        links
            .filter_map(|l| l.calls.get(l.told))
            .map(|c| c.until)
            .min()
    }

    /// Ends the calls whose time is up. Those that wait for a connection were never sent.
    pub(crate) fn timed_out(&mut self, engine: &mut Engine) -> Vec<Told> {
        let now = engine.now();
        let mut told = Vec::new();
        let mut silent = Vec::new();
        for (place, link) in self.all().enumerate() {
            while let Some(call) = link.calls.get(link.told).filter(|c| c.until <= now) {
                let (sent, call_sent) = (call.command.is_none(), call.sent);
                let outcome = if sent {
                    Outcome::Timeout
                } else {
                    Outcome::ConnectFailed
                };
                told.push(Told::not(call.name, outcome));
                if sent {
                    link.told += 1;
                    // Silent, or half an answer stands before all others.
                    if link.heard <= call_sent || !link.bytes.is_empty() {
                        silent.push(place);
                    }
                } else {
                    link.calls.remove(link.told);
                }
            }
        }
        silent.dedup();
        silent
            .into_iter()
            .filter(|place| *place < LINKS)
            .for_each(|place| self.retire(place));
        told.extend(self.let_go(engine));
        told
    }

    /// A connection stands; one that is not the counter's is passed over.
    pub(crate) fn connected(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(link) = self.link(conn) else { return };
        link.up = true;
        for call in &mut link.calls {
            if let Some(command) = call.command.take() {
                queue(engine, conn, &mut link.queued, call, &command);
            }
        }
    }

    /// Bytes came; none: not from the counter.
    pub(crate) fn bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
    ) -> Option<Vec<Told>> {
        let now = engine.now();
        let link = self.link(conn)?;
        link.heard = now;
        link.bytes.extend_from_slice(data);
        let mut told = Vec::new();
        loop {
            let (outcome, total, sound) = match take_reply(&mut link.bytes, &LIMITS) {
                ParsedReply::Incomplete => return Some(told),
                ParsedReply::Complete(frame) => counted(&frame),
                ParsedReply::Invalid(_) => (Outcome::Error, 0.0, false),
            };
            match link.calls.pop_front() {
                Some(_) if link.told > 0 => link.told -= 1,
                Some(call) => told.push(Told {
                    name: call.name,
                    outcome,
                    total,
                }),
                // An answer that nobody asked for.
                None => {
                    told.extend(cut(engine, link));
                    return Some(told);
                }
            }
            if !sound {
                told.extend(cut(engine, link));
                return Some(told);
            }
        }
    }

    /// A connection is over; none: it was not the counter's.
    pub(crate) fn closed(&mut self, conn: ConnId, unsent: usize) -> Option<Vec<Told>> {
        let told = self.link(conn)?.end(unsent);
        self.old.retain(|l| l.conn.is_some());
        Some(told)
    }

    /// A connection was not made in time.
    pub(crate) fn dial_over(&mut self, engine: &mut Engine, conn: ConnId) -> Vec<Told> {
        match self.link(conn).filter(|l| !l.up) {
            Some(link) => cut(engine, link),
            None => Vec::new(),
        }
    }
}

fn cut(engine: &mut Engine, link: &mut Link) -> Vec<Told> {
    let Some(conn) = link.conn else {
        return Vec::new();
    };
    let unsent = engine.unsent(conn);
    engine.close(conn);
    link.end(unsent)
}

fn queue(engine: &mut Engine, conn: ConnId, queued: &mut u64, call: &mut Call, command: &[u8]) {
    engine.write(conn, command);
    *queued += command.len() as u64;
    call.end = *queued;
}

fn command(name: CounterKey, amount: f64, life: u64) -> Bytes {
    let (name, amount) = (name.0.to_string(), amount.to_string());
    let life = life.div_ceil(1_000).max(1).to_string();
    let mut out = BytesMut::new();
    encode_command(
        &mut out,
        &[
            &[b"ADDGET"],
            &[name.as_bytes()],
            &[amount.as_bytes()],
            &[life.as_bytes()],
        ],
    );
    out.freeze()
}
