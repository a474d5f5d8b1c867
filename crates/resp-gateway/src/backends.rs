//! Connections to the backends, one request on each at a time: giving an attempt up closes its connection, and with it
//! whatever else waits there. The one fact that counts of a broken one: whether the last byte of its request was written.

use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::outcome::{answered, Answered};
use crate::request::Command;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::{EndpointId, EndpointState, LoadReport, Outcome, RequestId, UpdateScope};
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_resp::{take_reply, MessageLimits, ParsedReply};
use chalkdeck_time::TimeDelta;
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;

/// What is read of a backend's answer: a value, figures on use, a load report. A value may take so large a part of the memory
/// granted, all answers that are still coming in so large a one.
const ITEMS: usize = 8;
const VALUE_PART: f64 = 1.0 / 64.0;
const VALUES_PART: f64 = 1.0 / 8.0;
/// An error line with a report behind it.
const LINE: usize = 1_024;
/// A kept connection is let go this part of its idle time before the backend closes it.
const IDLE_PART: f64 = 0.8;
/// The longest that a kept connection stays unused, in microseconds.
const IDLE_MOST: u64 = 10_000_000;
/// A second copy or noise behind an answer has come by then, in microseconds; until then its connection is not used again, as
/// the next request would take it for its own answer. The latest of 69 that were seen came 4 ms behind.
const SETTLE: u64 = 10_000;
/// A write to a kept connection that ends as a reset within this time met one that its backend had closed unseen.
const UNSEEN: u64 = 5_000;
/// After that, connections are kept for this part of the time that one was unused, and never shorter than the least; each answer
/// on one that was unused for half of the time lengthens it by so much.
const KEEP_CUT: f64 = 0.5;
const KEEP_LEAST: u64 = 5_000;
const KEEP_GROW: f64 = 1.02;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: usize,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) attempt: AttemptId,
    pub(crate) server: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) took: u64,
    pub(crate) report: LoadReport,
    /// What a served client gets.
    pub(crate) value: Option<Bytes>,
}

/// What sending an attempt led to at once.
pub(crate) enum Sent {
    /// It is on its way.
    Under(Option<ConnId>),
    /// It ended.
    Ended(Ended),
}

struct Out {
    attempt: AttemptId,
    since: u64,
    until: u64,
    /// What is written once the connection stands.
    command: Option<Command>,
}

struct Link {
    server: EndpointId,
    address: SocketAddr,
    bytes: BytesMut,
    out: Option<Out>,
    /// Since when it is not in use, or was not before its request; none: never before.
    idle: Option<u64>,
}

impl Link {
    /// How long it was unused before its request; none: it is new.
    fn rested(&self) -> Option<u64> {
        Some(self.out.as_ref()?.since.saturating_sub(self.idle?))
    }
    /// Whether it has not been in use for so long.
    fn idle_for(&self, now: u64, span: u64) -> bool {
        self.out.is_none() && self.idle.is_some_and(|since| now >= since + span)
    }
}

/// All connections to backends. Bounds: `most` of them, and `most_held` bytes of answers that are still coming in.
pub(crate) struct Backends {
    servers: FxHashMap<EndpointId, SocketAddr>,
    links: FxHashMap<ConnId, Link>,
    out: FxHashMap<AttemptId, ConnId>,
    /// Kept connections, the one used last at the end.
    idle: FxHashMap<EndpointId, Vec<ConnId>>,
    most: usize,
    limits: MessageLimits,
    most_held: usize,
    held: usize,
    /// How long a connection is kept unused: at most, and as resets have taught.
    most_keep: u64,
    keep: u64,
}

impl Backends {
    /// `memory`: bytes granted. `idle`: when a backend closes a connection that is not used; 0: never.
    pub(crate) fn new(most: usize, memory: f64, idle_timeout: Option<TimeDelta>) -> Backends {
        let word = (memory * VALUE_PART) as usize;
        let most_keep = idle_timeout.map_or(IDLE_MOST, |idle| {
            idle.mul_f64(IDLE_PART).as_micros().min(IDLE_MOST)
        });
        Backends {
            servers: FxHashMap::default(),
            links: FxHashMap::default(),
            out: FxHashMap::default(),
            idle: FxHashMap::default(),
            most,
            limits: MessageLimits {
                max_elements: ITEMS,
                max_element_bytes: word,
                max_line_bytes: LINE,
                max_message_bytes: word + (8 << 10),
                accepts_inline: false,
            },
            most_held: (memory * VALUES_PART) as usize,
            held: 0,
            most_keep,
            keep: most_keep,
        }
    }

    /// Takes news of the list. Kept connections to what is gone, drained or moved are closed; what is under way goes on.
    pub(crate) fn update(&mut self, engine: &mut Engine, list: &EndpointList) {
        let mut old: Vec<EndpointId> = Vec::new();
        if list.scope == UpdateScope::Complete {
            old.extend(std::mem::take(&mut self.servers).into_keys());
        }
        let mut draining = FxHashSet::default();
        for ListedEndpoint { address, entry } in &list.endpoints {
            old.push(entry.endpoint);
            if entry.state == EndpointState::Removed {
                self.servers.remove(&entry.endpoint);
            } else {
                self.servers.insert(entry.endpoint, *address);
            }
            if entry.state == EndpointState::Draining {
                draining.insert(entry.endpoint);
            }
        }
        for id in old {
            let Some(kept) = self.idle.get(&id) else {
                continue;
            };
            let address = self.servers.get(&id).filter(|_| !draining.contains(&id));
            let stale = |c: &&ConnId| {
                self.links
                    .get(c)
                    .is_none_or(|l| address != Some(&l.address))
            };
            let stale: Vec<ConnId> = kept.iter().filter(stale).copied().collect();
            stale
                .into_iter()
                .for_each(|conn| self.drop_link(engine, conn));
        }
    }

    /// Sends an attempt to a backend, to be given up at `until`.
    pub(crate) fn send(
        &mut self,
        engine: &mut Engine,
        attempt: AttemptId,
        server: EndpointId,
        until: u64,
        command: &Command,
    ) -> Sent {
        let now = engine.now();
        let out = Out {
            attempt,
            since: now,
            until,
            command: None,
        };
        if let Some(conn) = self.take_idle(engine, server) {
            write(engine, conn, command, until);
            self.out.insert(attempt, conn);
            self.links.entry(conn).and_modify(|l| l.out = Some(out));
            return Sent::Under(None);
        }
        let not = |outcome| {
            Sent::Ended(Ended {
                attempt,
                server,
                outcome,
                took: 0,
                report: LoadReport::default(),
                value: None,
            })
        };
        let Some(address) = self.servers.get(&server).copied() else {
            return not(Outcome::ConnectFailed);
        };
        if self.links.len() >= self.most && !self.drop_longest_idle(engine) {
            return not(Outcome::NeverSent);
        }
        let Ok(conn) = engine.connect_raw(address) else {
            return not(Outcome::ConnectFailed);
        };
        let out = Some(Out {
            command: Some(command.clone()),
            ..out
        });
        self.links.insert(
            conn,
            Link {
                server,
                address,
                bytes: BytesMut::new(),
                out,
                idle: None,
            },
        );
        self.out.insert(attempt, conn);
        Sent::Under(Some(conn))
    }

    /// A kept connection that still stands and is quiet. One that ended, or that brings what nobody asked for, goes.
    fn take_idle(&mut self, engine: &mut Engine, server: EndpointId) -> Option<ConnId> {
        let now = engine.now();
        loop {
            let kept = self.idle.get(&server)?;
            let settled = |c: &&ConnId| self.links.get(c).is_some_and(|l| l.idle_for(now, SETTLE));
            let conn = *kept.iter().rev().find(settled)?;
            let old = self
                .links
                .get(&conn)
                .is_none_or(|l| l.idle_for(now, self.keep));
            if !old && engine.is_quiet(conn) {
                self.idle
                    .entry(server)
                    .and_modify(|kept| kept.retain(|c| *c != conn));
                return Some(conn);
            }
            self.drop_link(engine, conn);
        }
    }

    fn drop_link(&mut self, engine: &mut Engine, conn: ConnId) {
        self.unlink(conn);
        engine.close(conn);
    }

    /// Forgets a connection.
    fn unlink(&mut self, conn: ConnId) -> Option<Link> {
        let link = self.links.remove(&conn)?;
        self.held -= link.bytes.len().min(self.held);
        if let Some(kept) = self.idle.get_mut(&link.server) {
            kept.retain(|c| *c != conn);
            if kept.is_empty() {
                self.idle.remove(&link.server);
            }
        }
        if let Some(out) = &link.out {
            self.out.remove(&out.attempt);
        }
        Some(link)
    }

    /// Makes room for a connection to another backend.
    fn drop_longest_idle(&mut self, engine: &mut Engine) -> bool {
        let idle = self.links.iter().filter(|(_, l)| l.out.is_none());
        let Some(conn) = idle
            .min_by_key(|(conn, l)| (l.idle, **conn))
            .map(|(conn, _)| *conn)
        else {
            return false;
        };
        self.drop_link(engine, conn);
        true
    }

    /// Closes kept connections that were not used for long.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) {
        let now = engine.now();
        let old = |l: &Link| l.idle_for(now, self.keep);
        let stale: Vec<ConnId> = self
            .links
            .iter()
            .filter(|(_, l)| old(l))
            .map(|(c, _)| *c)
            .collect();
        stale
            .into_iter()
            .for_each(|conn| self.drop_link(engine, conn));
    }

    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.links.contains_key(&conn)
    }

    /// A connection stands.
    pub(crate) fn connected(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(out) = self.links.get_mut(&conn).and_then(|l| l.out.as_mut()) else {
            return;
        };
        if let Some(command) = out.command.take() {
            write(engine, conn, &command, out.until);
        }
    }

    /// Bytes came.
    pub(crate) fn bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
    ) -> Option<Ended> {
        let link = self.links.get_mut(&conn)?;
        if link.out.is_none() {
            // Nobody asked for them.
            self.drop_link(engine, conn);
            return None;
        }
        link.bytes.extend_from_slice(data);
        let before = link.bytes.len() - data.len();
        let said = match take_reply(&mut link.bytes, &self.limits) {
            ParsedReply::Incomplete if self.held + data.len() <= self.most_held => {
                self.held += data.len();
                return None;
            }
            ParsedReply::Incomplete => Answered::Spoilt,
            ParsedReply::Complete(frame) => answered(frame),
            ParsedReply::Invalid(_) => Answered::Spoilt,
        };
        self.held -= before.min(self.held);
        // More than one answer, or bytes that no backend sends: of no further use.
        let over = said == Answered::Spoilt || !link.bytes.is_empty() || engine.unsent(conn) > 0;
        // What came was given back above, and a large answer's room is not kept.
        link.bytes = BytesMut::new();
        if link.rested().is_some_and(|rested| rested >= self.keep / 2) {
            self.keep = ((self.keep as f64 * KEEP_GROW) as u64).min(self.most_keep);
        }
        let out = link.out.take()?;
        let server = link.server;
        self.out.remove(&out.attempt);
        let (outcome, report, value) = match said {
            Answered::Served(value, report) => (Outcome::Ok, report, Some(value)),
            Answered::Not(outcome, report) => (outcome, report, None),
            // It has run, and what it made is lost.
            Answered::Spoilt => (Outcome::Error, LoadReport::default(), None),
        };
        let now = engine.now();
        if over {
            self.drop_link(engine, conn);
        } else {
            self.keep(now, conn);
        }
        let took = now.saturating_sub(out.since);
        Some(Ended {
            attempt: out.attempt,
            server,
            outcome,
            took,
            report,
            value,
        })
    }

    fn keep(&mut self, now: u64, conn: ConnId) {
        let Some(link) = self.links.get_mut(&conn) else {
            return;
        };
        link.idle = Some(now);
        self.idle.entry(link.server).or_default().push(conn);
    }

    /// A connection is over.
    pub(crate) fn closed(&mut self, now: u64, conn: ConnId, unsent: usize) -> Option<Ended> {
        let rested = self.links.get(&conn)?.rested();
        let ended = self.end(now, conn, unsent)?;
        // Guards against backends that close kept connections early and unseen: its request may have run for all that is known.
        if let Some(rested) =
            rested.filter(|_| ended.outcome == Outcome::Reset && ended.took < UNSEEN)
        {
            self.keep = ((rested as f64 * KEEP_CUT) as u64)
                .max(KEEP_LEAST)
                .min(self.keep);
        }
        Some(ended)
    }

    /// Forgets a connection and tells how the attempt on it ended.
    fn end(&mut self, now: u64, conn: ConnId, unsent: usize) -> Option<Ended> {
        let link = self.unlink(conn)?;
        let out = link.out?;
        let written = out.command.is_none() && unsent == 0;
        let outcome = if written {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        let took = now.saturating_sub(out.since);
        let (attempt, report) = (out.attempt, LoadReport::default());
        Some(Ended {
            attempt,
            server: link.server,
            outcome,
            took,
            report,
            value: None,
        })
    }

    /// Gives an attempt up: its connection is closed. `how`: the end of one that was written whole.
    pub(crate) fn give_up(
        &mut self,
        engine: &mut Engine,
        attempt: AttemptId,
        how: Outcome,
    ) -> Option<Ended> {
        let conn = *self.out.get(&attempt)?;
        let unsent = engine.unsent(conn);
        let mut ended = self.end(engine.now(), conn, unsent)?;
        engine.close(conn);
        ended.outcome = match (ended.outcome, how) {
            (Outcome::Reset, how) => how,
            (_, Outcome::Cancelled) => Outcome::NeverSent,
            (outcome, _) => outcome,
        };
        Some(ended)
    }

    /// A connection was not made in time.
    pub(crate) fn dial_over(&mut self, engine: &mut Engine, conn: ConnId) -> Option<Ended> {
        let waits = |l: &Link| l.out.as_ref().is_some_and(|o| o.command.is_some());
        if !self.links.get(&conn).is_some_and(waits) {
            return None;
        }
        let ended = self.end(engine.now(), conn, 0);
        engine.close(conn);
        ended
    }
}

fn write(engine: &mut Engine, conn: ConnId, command: &Command, until: u64) {
    let wait_ms = (until.saturating_sub(engine.now()) / 1_000).max(1);
    let mut out = BytesMut::new();
    command.push(&mut out, wait_ms);
    engine.write(conn, &out);
}
