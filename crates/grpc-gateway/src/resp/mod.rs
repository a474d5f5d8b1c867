//! The second front: programs that are no gRPC clients ask for limits over RESP. The decisions are asked as for a call; what
//! is granted, the caller does itself. One customer has one quota over both fronts.

mod command;
mod session;
mod wire;

pub use crate::base::settings::RespSettings;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use bytes::Bytes;
use chalkdeck::api::{ClassId, CustomerId, Event, IncomingRequest, PlanId, RequestId, Timestamp};
use chalkdeck_net::{ConnId, Engine, Limits, ListenerId};
use chalkdeck_resp::{take_command, ParsedCommand, ReplySlot};
use command::Command;
use rustc_hash::FxHashMap;
use session::Session;
use std::io;
use std::net::SocketAddr;
use wire::{Reply, LIMITS};

/// Commands of one connection whose answers are still to come; beyond, nothing is read from it.
const MOST_PENDING: usize = 1_024;
/// Bytes that a client may leave unread; beyond, nothing is read from it.
const UNREAD: usize = 256 << 10;
/// How long half a command, or an answer nobody reads, is waited for.
const STALLED: u64 = 30_000_000;
/// Tickets held at once by one connection.
const MOST_TICKETS: usize = 10_000;

/// A request of this front that waits for its decision.
struct Ask {
    conn: ConnId,
    slot: ReplySlot,
    customer: CustomerId,
    plan: PlanId,
    /// A plain ask, or one that gets a ticket for so long.
    lease: Option<u64>,
}

/// A granted request that its caller still works on.
struct Ticket {
    conn: ConnId,
    secret: u32,
}

/// All of the front.
pub(crate) struct Resp {
    listener: ListenerId,
    listen: SocketAddr,
    sessions: FxHashMap<ConnId, Session>,
    asks: FxHashMap<RequestId, Ask>,
    tickets: FxHashMap<RequestId, Ticket>,
    stopping: bool,
}

impl Resp {
    pub(crate) fn start(engine: &mut Engine, set: &RespSettings) -> io::Result<Resp> {
        let limits = Limits {
            connections: set.max_connections,
            ..Limits::default()
        };
        let (listener, listen) = engine.listen_raw(set.listen, limits)?;
        let (sessions, asks, tickets) = Default::default();
        Ok(Resp {
            listener,
            listen,
            sessions,
            asks,
            tickets,
            stopping: false,
        })
    }

    fn drop_ticket(&mut self, id: RequestId) -> bool {
        let Some(ticket) = self.tickets.remove(&id) else {
            return false;
        };
        self.sessions
            .get_mut(&ticket.conn)
            .into_iter()
            .for_each(|s| s.tickets -= 1);
        true
    }
}

fn ticket_text(id: RequestId, secret: u32) -> String {
    format!("{:x}-{secret:08x}", id.0)
}

fn ticket_of(text: &str) -> Option<(RequestId, u32)> {
    let (id, secret) = text.split_once('-')?;
    Some((
        RequestId(u64::from_str_radix(id, 16).ok()?),
        u32::from_str_radix(secret, 16).ok()?,
    ))
}

/// Seconds, whole ones, as Redis clients expect them.
fn seconds(micros: u64) -> i64 {
    micros.div_ceil(1_000_000) as i64
}

impl GatewayServer {
    /// Where RESP comes in.
    pub fn resp_listen(&self) -> Option<SocketAddr> {
        self.resp.as_ref().map(|r| r.listen)
    }

    /// A connection came in; if at this front, it has a session from here on.
    pub(crate) fn resp_accepted(&mut self, listener: ListenerId, conn: ConnId) {
        if let Some(resp) = self.resp.as_mut().filter(|r| r.listener == listener) {
            resp.sessions.insert(conn, Session::default());
        }
    }

    pub(crate) fn resp_bytes(&mut self, conn: ConnId, data: &Bytes) {
        let now = self.engine.now();
        self.engine.handled(conn);
        let Some(session) = self.resp_session(conn) else {
            return;
        };
        session.bytes.extend_from_slice(data);
        session.heard = now;
        self.resp_read(conn);
    }

    fn resp_session(&mut self, conn: ConnId) -> Option<&mut Session> {
        self.resp.as_mut()?.sessions.get_mut(&conn)
    }

    /// Takes commands as long as there is room for their answers.
    fn resp_read(&mut self, conn: ConnId) {
        loop {
            let unread = self.engine.unsent(conn);
            let Some(session) = self.resp_session(conn) else {
                return;
            };
            if session.over {
                return;
            }
            if session.pending() >= MOST_PENDING || unread > UNREAD {
                session.paused = true;
                break;
            }
            match take_command(&mut session.bytes, &LIMITS) {
                ParsedCommand::Incomplete => {
                    if !session.bytes.is_empty() {
                        self.resp_watch(conn);
                    }
                    break;
                }
                ParsedCommand::Invalid(why) => {
                    self.resp_end(conn, Reply::Error(format!("ERR {why}")));
                    break;
                }
                ParsedCommand::Complete(words) => self.resp_command(conn, &words),
            }
        }
        self.resp_flush(conn);
    }

    fn resp_say(&mut self, conn: ConnId, reply: Reply) {
        if let Some(session) = self.resp_session(conn) {
            session.ready(reply);
        }
    }

    /// The last answer of a connection.
    fn resp_end(&mut self, conn: ConnId, reply: Reply) {
        if let Some(session) = self.resp_session(conn) {
            session.ready(reply);
            session.over = true;
        }
    }

    fn resp_command(&mut self, conn: ConnId, words: &[Bytes]) {
        let GatewayServer {
            settings,
            resp: Some(resp),
            ..
        } = self
        else {
            return;
        };
        let Some(session) = resp.sessions.get_mut(&conn) else {
            return;
        };
        let password = settings.resp.as_ref().map_or("", |r| r.password.as_str());
        let command = match command::read(words) {
            Ok(command) => command,
            Err(why) => return session.ready(Reply::Error(why)),
        };
        if let Some(reply) = session.greet(&command, password.as_bytes()) {
            return session.ready(reply);
        }
        match command {
            Command::Quit => self.resp_end(conn, Reply::Ok),
            Command::Throttle { customer, units } => {
                self.resp_ask(conn, (&customer, "/CL.THROTTLE"), units, None)
            }
            Command::Take {
                customer,
                units,
                lease,
            } => {
                let lease = lease.or(self.settings.resp.as_ref().map(|r| r.default_lease));
                self.resp_ask(conn, (&customer, "/CHALK.TAKE"), units, lease);
            }
            Command::Give { ticket, units } => {
                let given = self.resp_give(&ticket, units);
                self.resp_say(conn, Reply::Integer(i64::from(given)));
            }
            Command::Peek { customer } => {
                let reply = self.resp_peek(&customer);
                self.resp_say(conn, reply);
            }
            Command::Hello { .. } | Command::Auth(_) | Command::Plain(_) => {}
        }
    }

    fn resp_ask(
        &mut self,
        conn: ConnId,
        (customer, command): (&str, &str),
        units: f64,
        lease: Option<u64>,
    ) {
        let (most, plan) = (
            self.settings.policy.max_request_units,
            self.settings.plan_for(customer),
        );
        let class = self.settings.resp.as_ref().map_or(0, |r| r.class);
        let Some(resp) = &mut self.resp else { return };
        let Some(session) = resp.sessions.get_mut(&conn) else {
            return;
        };
        let Some(plan) = plan else {
            return session.ready(Reply::Error("NOPLAN this customer has no plan".into()));
        };
        if !(units > 0.0 && units <= most) {
            return session.ready(Reply::Error(format!(
                "ERR units: expected above 0, at most {most}, found {units}"
            )));
        }
        if lease.is_some() && session.tickets >= MOST_TICKETS {
            return session.ready(Reply::Error(
                "ERR too many tickets on this connection".into(),
            ));
        }
        if let Some(why) = self.admit_command(conn, customer, command) {
            return self.resp_say(conn, Reply::Error(why));
        }
        let (id, now) = (self.calls.next_id(), self.engine.now());
        let GatewayServer {
            resp: Some(resp), ..
        } = self
        else {
            return;
        };
        let Some(session) = resp.sessions.get_mut(&conn) else {
            return;
        };
        let customer = CustomerId(crate::base::listed_endpoint::hash_name(customer));
        resp.asks.insert(
            id,
            Ask {
                conn,
                slot: session.wait(),
                customer,
                plan,
                lease,
            },
        );
        self.metrics.resp_requests.inc();
        self.enqueue_request(IncomingRequest {
            id,
            class: ClassId(class),
            plan,
            customer,
            customer_gateways: self.settings.customer_gateways,
            deadline: Timestamp::from_micros(
                now + self.settings.policy.classes[class].deadline.as_micros(),
            ),
            units,
            is_retry: false,
        });
    }

    /// Leave is given.
    pub(crate) fn granted(&mut self, id: RequestId) {
        let now = Timestamp::from_micros(self.engine.now());
        self.release_from_queue(id);
        let Some(ask) = self.resp.as_mut().and_then(|r| r.asks.remove(&id)) else {
            return;
        };
        let standing = self
            .decisions
            .engine
            .quota_status(now, ask.customer, ask.plan);
        let (limit, remaining) = (standing.limit as i64, standing.remaining as i64);
        let Some(lease) = ask.lease else {
            // A plain ask holds no place: what it was granted for is over for us.
            self.decisions.push(Event::ClientDisconnected(id));
            let numbers = [
                0,
                limit,
                remaining,
                -1,
                seconds(standing.resets_in.as_micros()),
            ];
            return self.resp_answer(&ask, Reply::Array(numbers.map(Reply::Integer).into()));
        };
        let secret = fastrand::u32(..);
        let Some(resp) = &mut self.resp else { return };
        let Some(session) = resp.sessions.get_mut(&ask.conn) else {
            return self.decisions.push(Event::ClientDisconnected(id));
        };
        session.tickets += 1;
        resp.tickets.insert(
            id,
            Ticket {
                conn: ask.conn,
                secret,
            },
        );
        self.set_timer(lease, TimerPurpose::RespLease(id));
        let ticket = Reply::Bulk(ticket_text(id, secret).into());
        let reply = vec![Reply::Integer(1), ticket, Reply::Integer(remaining)];
        self.resp_answer(&ask, Reply::Array(reply));
    }

    /// Whether it was a request of this front; it is refused, to come back after that time.
    pub(crate) fn resp_refused(&mut self, id: RequestId, back_in: Option<u64>) -> bool {
        let now = Timestamp::from_micros(self.engine.now());
        let Some(ask) = self.resp.as_mut().and_then(|r| r.asks.remove(&id)) else {
            return false;
        };
        self.release_from_queue(id);
        let standing = self
            .decisions
            .engine
            .quota_status(now, ask.customer, ask.plan);
        let back = back_in.unwrap_or(standing.resets_in.as_micros());
        let reply = match ask.lease {
            Some(_) => vec![
                Reply::Integer(0),
                Reply::Null,
                Reply::Integer(back.div_ceil(1_000) as i64),
            ],
            None => {
                let (limit, remaining) = (standing.limit as i64, standing.remaining as i64);
                [
                    1,
                    limit,
                    remaining,
                    seconds(back),
                    seconds(standing.resets_in.as_micros()),
                ]
                .map(Reply::Integer)
                .into()
            }
        };
        self.resp_answer(&ask, Reply::Array(reply));
        true
    }

    fn resp_answer(&mut self, ask: &Ask, reply: Reply) {
        if let Some(session) = self.resp_session(ask.conn) {
            session.answer(ask.slot, reply);
        }
        self.resp_flush(ask.conn);
    }

    fn resp_give(&mut self, ticket: &str, units: Option<f64>) -> bool {
        let Some((id, secret)) = ticket_of(ticket) else {
            return false;
        };
        let Some(resp) = &mut self.resp else {
            return false;
        };
        if resp.tickets.get(&id).is_none_or(|t| t.secret != secret) {
            return false;
        }
        resp.drop_ticket(id);
        units.into_iter().for_each(|units| {
            self.decisions
                .push(Event::UnitsSettled { request: id, units })
        });
        self.decisions.push(Event::ClientDisconnected(id));
        true
    }

    fn resp_peek(&self, customer: &str) -> Reply {
        let Some(plan) = self.settings.plan_for(customer) else {
            return Reply::Error("NOPLAN this customer has no plan".into());
        };
        let now = Timestamp::from_micros(self.engine.now());
        let standing = self.decisions.engine.quota_status(
            now,
            CustomerId(crate::base::listed_endpoint::hash_name(customer)),
            plan,
        );
        let numbers = [
            standing.limit as i64,
            standing.remaining as i64,
            seconds(standing.resets_in.as_micros()),
        ];
        Reply::Array(numbers.map(Reply::Integer).into())
    }

    /// Sends the answers that are ready, in the order of their commands.
    fn resp_flush(&mut self, conn: ConnId) {
        let Some(session) = self.resp_session(conn) else {
            return;
        };
        let (bytes, over, paused) = (session.take_ready(), session.ended(), session.paused);
        if !bytes.is_empty() {
            self.engine.write(conn, &bytes);
        }
        if over {
            return self.engine.end(conn);
        }
        self.engine.pause(conn, paused);
        let unread = self.engine.unsent(conn);
        let Some(session) = self.resp_session(conn).filter(|s| s.paused) else {
            return;
        };
        if unread > UNREAD {
            self.resp_watch(conn);
        } else if session.pending() < MOST_PENDING / 2
            && !std::mem::replace(&mut session.resumes, true)
        {
            // In the loop's next turn, so that a long pipeline does not keep the others waiting.
            self.set_timer(0, TimerPurpose::RespResume(conn));
        }
    }

    fn resp_watch(&mut self, conn: ConnId) {
        if self
            .resp_session(conn)
            .is_some_and(|s| !std::mem::replace(&mut s.watched, true))
        {
            self.set_timer(STALLED, TimerPurpose::RespStallCheck(conn));
        }
    }

    pub(crate) fn resp_resume(&mut self, conn: ConnId) {
        if let Some(session) = self.resp_session(conn) {
            (session.paused, session.resumes) = (false, false);
            self.resp_read(conn);
        }
    }

    /// A connection that stood still for long is closed; one that went on is looked at again when it stands still.
    pub(crate) fn resp_stalled(&mut self, conn: ConnId) {
        let (now, unread) = (self.engine.now(), self.engine.unsent(conn));
        let Some(session) = self.resp_session(conn) else {
            return;
        };
        session.watched = false;
        let half = !session.bytes.is_empty() && !session.paused;
        let still = session.heard + STALLED <= now;
        if still && (half || unread > UNREAD) {
            tracing::info!(
                ?conn,
                half,
                unread,
                "closing a RESP client that makes no progress"
            );
            self.engine.close(conn);
        } else if session.paused {
            self.resp_resume(conn);
        } else if half {
            self.resp_watch(conn);
        }
    }

    /// What a caller that vanished still held comes back.
    pub(crate) fn resp_closed(&mut self, conn: ConnId) {
        let Some(resp) = &mut self.resp else { return };
        if resp.sessions.remove(&conn).is_none() {
            return;
        }
        let asks = resp
            .asks
            .iter()
            .filter(|(_, a)| a.conn == conn)
            .map(|(id, _)| *id);
        let tickets = resp
            .tickets
            .iter()
            .filter(|(_, t)| t.conn == conn)
            .map(|(id, _)| *id);
        let mut gone: Vec<RequestId> = asks.chain(tickets).collect();
        gone.sort_unstable();
        for id in gone {
            if let Some(resp) = &mut self.resp {
                resp.asks.remove(&id);
                resp.drop_ticket(id);
            }
            self.release_from_queue(id);
            self.decisions.push(Event::ClientDisconnected(id));
        }
    }

    pub(crate) fn lease_over(&mut self, id: RequestId) {
        if self.resp.as_mut().is_some_and(|r| r.drop_ticket(id)) {
            tracing::info!(
                request = id.0,
                "ticket lease expired: its concurrency slot is free again"
            );
            self.decisions.push(Event::ClientDisconnected(id));
        }
    }

    /// From here on the front's connections are let go.
    pub(crate) fn resp_stop(&mut self) {
        let Some(resp) = &mut self.resp else { return };
        resp.stopping = true;
        self.engine.unlisten(resp.listener);
    }

    /// Ends the connections that are between two requests and hold no ticket, once a turn's events were dealt with: what was
    /// read, or waits unread, is answered first.
    pub(crate) fn resp_let_go(&mut self) {
        let Some(resp) = self.resp.as_ref().filter(|r| r.stopping) else {
            return;
        };
        let idle = resp
            .sessions
            .iter()
            .filter(|(_, s)| s.is_idle() && s.tickets == 0);
        let mut idle: Vec<ConnId> = idle.map(|(conn, _)| *conn).collect();
        idle.sort_unstable();
        for conn in idle {
            self.engine.close_if_quiet(conn);
        }
    }

    /// Whether no connection of the front is left.
    pub(crate) fn resp_is_alone(&self) -> bool {
        self.resp
            .as_ref()
            .is_none_or(|r| self.engine.connections_of(r.listener) == 0)
    }
}
