//! The RESP port: programs that are not gRPC clients request admission over the Redis protocol. The decision engine admits or
//! rejects such a request like a call, but the caller does the admitted work itself. A customer has one quota for RESP and gRPC
//! together.

mod command;
mod flow_control;
mod reply;
mod session;
mod tickets;

pub use crate::base::settings::RespSettings;
use crate::gateway_server::GatewayServer;
use bytes::{Bytes, BytesMut};
use chalkdeck::api::{ClassId, CustomerId, Event, IncomingRequest, PlanId, RequestId, Timestamp};
use chalkdeck_net::{ConnId, Engine, Limits, ListenerId};
use chalkdeck_resp::{take_command, ParsedCommand, ReplySlot};
use command::Command;
use reply::{Reply, COMMAND_LIMITS};
use rustc_hash::FxHashMap;
use session::Session;
use std::io;
use std::net::SocketAddr;
use tickets::Ticket;

/// A request that was passed to the decision engine, which has not decided it yet.
struct PendingRequest {
    conn: ConnId,
    slot: ReplySlot,
    customer: CustomerId,
    plan: PlanId,
    /// The lease of its ticket if it is admitted, in microseconds; `None`: it gets no ticket.
    lease: Option<u64>,
}

/// The listener of the RESP port, with its sessions, pending requests and tickets.
pub(crate) struct RespPort {
    listener: ListenerId,
    address: SocketAddr,
    sessions: FxHashMap<ConnId, Session>,
    pending_requests: FxHashMap<RequestId, PendingRequest>,
    tickets: FxHashMap<RequestId, Ticket>,
    is_shutting_down: bool,
}

impl RespPort {
    /// Starts to listen for RESP connections.
    pub(crate) fn start(engine: &mut Engine, settings: &RespSettings) -> io::Result<RespPort> {
        let limits = Limits {
            max_connections: settings.max_connections,
            ..Limits::default()
        };
        let (listener, address) = engine.listen_plain(settings.listen, limits)?;
        let (sessions, pending_requests, tickets) = Default::default();
        Ok(RespPort {
            listener,
            address,
            sessions,
            pending_requests,
            tickets,
            is_shutting_down: false,
        })
    }
}

/// Rounds up to whole seconds, the unit in replies to `CL.THROTTLE` and `CHALK.PEEK`.
fn whole_seconds(micros: u64) -> i64 {
    micros.div_ceil(1_000_000) as i64
}

impl GatewayServer {
    /// The address of the RESP port; `None`: there is none.
    pub fn resp_address(&self) -> Option<SocketAddr> {
        self.resp.as_ref().map(|resp| resp.address)
    }

    /// A connection was accepted. It gets a session if it is one to the RESP port.
    pub(crate) fn on_resp_accepted(&mut self, listener: ListenerId, conn: ConnId) {
        if let Some(resp) = self.resp.as_mut().filter(|resp| resp.listener == listener) {
            resp.sessions.insert(conn, Session::default());
        }
    }

    /// Bytes of a RESP connection were received.
    pub(crate) fn on_resp_bytes(&mut self, conn: ConnId, data: &Bytes) {
        let now = self.engine.now();
        self.engine.mark_handled(conn);
        let Some(session) = self.resp_session(conn).filter(|s| !s.is_read_closed) else {
            return;
        };
        session.bytes.extend_from_slice(data);
        session.last_progress_at = now;
        self.process_resp_commands(conn);
    }

    fn resp_session(&mut self, conn: ConnId) -> Option<&mut Session> {
        self.resp.as_mut()?.sessions.get_mut(&conn)
    }

    /// Parses and executes commands while there is room for their replies, and sends the replies that are ready.
    fn process_resp_commands(&mut self, conn: ConnId) {
        loop {
            let unsent = self.engine.unsent_bytes(conn);
            let Some(session) = self.resp_session(conn) else {
                return;
            };
            if session.is_read_closed {
                break;
            }
            if flow_control::exceeds_limits(session, unsent) {
                session.is_paused = true;
                break;
            }
            match take_command(&mut session.bytes, &COMMAND_LIMITS) {
                ParsedCommand::Incomplete => {
                    if !session.bytes.is_empty() {
                        self.schedule_resp_progress_check(conn);
                    }
                    break;
                }
                ParsedCommand::Invalid(why) => {
                    self.end_resp_session(conn, Reply::Error(format!("ERR {why}")));
                    break;
                }
                ParsedCommand::Complete(words) => self.execute_resp_command(conn, &words),
            }
        }
        self.send_resp_replies(conn);
    }

    fn push_resp_reply(&mut self, conn: ConnId, reply: Reply) {
        if let Some(session) = self.resp_session(conn) {
            session.push_reply(reply);
        }
    }

    /// Queues the last reply of a connection and stops reading from it.
    fn end_resp_session(&mut self, conn: ConnId, reply: Reply) {
        if let Some(session) = self.resp_session(conn) {
            session.push_reply(reply);
            session.is_read_closed = true;
            session.bytes = BytesMut::new();
        }
    }

    fn execute_resp_command(&mut self, conn: ConnId, words: &[Bytes]) {
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
        let password = settings
            .resp
            .as_ref()
            .map_or("", |resp| resp.password.as_str());
        let command = match command::parse(words) {
            Ok(command) => command,
            Err(error) => return session.push_reply(Reply::Error(error)),
        };
        if let Some(reply) = session.handle_connection_command(&command, password.as_bytes()) {
            return session.push_reply(reply);
        }
        match command {
            Command::Quit => self.end_resp_session(conn, Reply::Ok),
            Command::Throttle { customer, units } => {
                self.submit_resp_request(conn, (&customer, "/CL.THROTTLE"), units, None)
            }
            Command::Take {
                customer,
                units,
                lease,
            } => {
                let lease = lease.or(self.settings.resp.as_ref().map(|resp| resp.default_lease));
                self.submit_resp_request(conn, (&customer, "/CHALK.TAKE"), units, lease);
            }
            Command::Give { ticket, units } => {
                let was_returned = self.return_ticket(&ticket, units);
                self.push_resp_reply(conn, Reply::Integer(i64::from(was_returned)));
            }
            Command::Peek { customer } => {
                let reply = self.quota_reply(&customer);
                self.push_resp_reply(conn, reply);
            }
            Command::Hello { .. } | Command::Auth(_) | Command::FixedReply(_) => {}
        }
    }

    /// Passes a request for admission to the queue and the decision engine, or replies with an error at once. A `lease`, in
    /// microseconds, requests a ticket. Access rules apply to the command by its `path`.
    fn submit_resp_request(
        &mut self,
        conn: ConnId,
        (customer, path): (&str, &str),
        units: f64,
        lease: Option<u64>,
    ) {
        let (most, plan) = (
            self.settings.policy.max_request_units,
            self.settings.plan_for(customer),
        );
        let class = self.settings.resp.as_ref().map_or(0, |resp| resp.class);
        let Some(resp) = &mut self.resp else { return };
        let Some(session) = resp.sessions.get_mut(&conn) else {
            return;
        };
        let Some(plan) = plan else {
            return session.push_reply(Reply::Error("NOPLAN this customer has no plan".into()));
        };
        if !(units > 0.0 && units <= most) {
            return session.push_reply(Reply::Error(format!(
                "ERR units: expected above 0, at most {most}, found {units}"
            )));
        }
        if lease.is_some() && !tickets::has_room(session) {
            return session.push_reply(Reply::Error(
                "ERR too many tickets on this connection".into(),
            ));
        }
        if let Some(error) = self.admit_command(conn, customer, path) {
            return self.push_resp_reply(conn, Reply::Error(error));
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
        resp.pending_requests.insert(
            id,
            PendingRequest {
                conn,
                slot: session.reserve_reply(),
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

    /// Answers a request that the decision engine admits.
    pub(crate) fn grant_resp_request(&mut self, id: RequestId) {
        let now = Timestamp::from_micros(self.engine.now());
        self.release_from_queue(id);
        let Some(request) = self
            .resp
            .as_mut()
            .and_then(|resp| resp.pending_requests.remove(&id))
        else {
            return;
        };
        let quota = self
            .decisions
            .engine
            .quota_status(now, request.customer, request.plan);
        let (limit, remaining) = (quota.limit as i64, quota.remaining as i64);
        let Some(lease) = request.lease else {
            // A request without a ticket holds nothing, so it ends at once.
            self.decisions.push(Event::ClientDisconnected(id));
            let numbers = [
                0,
                limit,
                remaining,
                -1,
                whole_seconds(quota.resets_in.as_micros()),
            ];
            return self
                .fill_resp_reply(&request, Reply::Array(numbers.map(Reply::Integer).into()));
        };
        let Some(ticket) = self.issue_ticket(id, request.conn, lease) else {
            return self.decisions.push(Event::ClientDisconnected(id));
        };
        let ticket = Reply::Bulk(ticket.into());
        let reply = vec![Reply::Integer(1), ticket, Reply::Integer(remaining)];
        self.fill_resp_reply(&request, Reply::Array(reply));
    }

    /// Answers a request that the decision engine rejects; returns whether it came over RESP. `retry_after` is in microseconds;
    /// `None`: the time until the quota is fully available again.
    pub(crate) fn reject_resp_request(&mut self, id: RequestId, retry_after: Option<u64>) -> bool {
        let now = Timestamp::from_micros(self.engine.now());
        let Some(request) = self
            .resp
            .as_mut()
            .and_then(|resp| resp.pending_requests.remove(&id))
        else {
            return false;
        };
        self.release_from_queue(id);
        let quota = self
            .decisions
            .engine
            .quota_status(now, request.customer, request.plan);
        let retry_after = retry_after.unwrap_or(quota.resets_in.as_micros());
        let reply = match request.lease {
            Some(_) => vec![
                Reply::Integer(0),
                Reply::Null,
                Reply::Integer(retry_after.div_ceil(1_000) as i64),
            ],
            None => {
                let (limit, remaining) = (quota.limit as i64, quota.remaining as i64);
                [
                    1,
                    limit,
                    remaining,
                    whole_seconds(retry_after),
                    whole_seconds(quota.resets_in.as_micros()),
                ]
                .map(Reply::Integer)
                .into()
            }
        };
        self.fill_resp_reply(&request, Reply::Array(reply));
        true
    }

    fn fill_resp_reply(&mut self, request: &PendingRequest, reply: Reply) {
        if let Some(session) = self.resp_session(request.conn) {
            session.fill_reply(request.slot, reply);
        }
        self.send_resp_replies(request.conn);
    }

    /// The reply to `CHALK.PEEK`.
    fn quota_reply(&self, customer: &str) -> Reply {
        let Some(plan) = self.settings.plan_for(customer) else {
            return Reply::Error("NOPLAN this customer has no plan".into());
        };
        let now = Timestamp::from_micros(self.engine.now());
        let quota = self.decisions.engine.quota_status(
            now,
            CustomerId(crate::base::listed_endpoint::hash_name(customer)),
            plan,
        );
        let numbers = [
            quota.limit as i64,
            quota.remaining as i64,
            whole_seconds(quota.resets_in.as_micros()),
        ];
        Reply::Array(numbers.map(Reply::Integer).into())
    }

    /// Sends the replies that are ready, in the order of their commands, and closes, pauses or resumes the connection.
    fn send_resp_replies(&mut self, conn: ConnId) {
        let Some(session) = self.resp_session(conn) else {
            return;
        };
        let (bytes, is_finished, is_paused) = (
            session.take_ready_replies(),
            session.is_finished(),
            session.is_paused,
        );
        if !bytes.is_empty() {
            self.engine.write(conn, &bytes);
        }
        if is_finished {
            return self.engine.start_lingering_close(conn);
        }
        self.engine.set_read_paused(conn, is_paused);
        self.schedule_resp_resume(conn);
    }

    /// A connection is closed: its pending requests and tickets end, which frees their concurrency slots.
    pub(crate) fn on_resp_closed(&mut self, conn: ConnId) {
        let Some(resp) = &mut self.resp else { return };
        if resp.sessions.remove(&conn).is_none() {
            return;
        }
        let pending_requests = resp
            .pending_requests
            .iter()
            .filter(|(_, request)| request.conn == conn)
            .map(|(id, _)| *id);
        let tickets = resp
            .tickets
            .iter()
            .filter(|(_, ticket)| ticket.conn == conn)
            .map(|(id, _)| *id);
        let mut ended: Vec<RequestId> = pending_requests.chain(tickets).collect();
        ended.sort_unstable();
        for id in ended {
            if let Some(resp) = &mut self.resp {
                resp.pending_requests.remove(&id);
                if let Some(ticket) = resp.remove_ticket(id) {
                    self.timers.cancel(&mut self.engine, ticket.lease_timer);
                }
            }
            self.release_from_queue(id);
            self.decisions.push(Event::ClientDisconnected(id));
        }
    }

    /// Starts the shutdown of the RESP port: no new connections, and idle ones are closed from now on.
    pub(crate) fn shut_down_resp(&mut self) {
        let Some(resp) = &mut self.resp else { return };
        resp.is_shutting_down = true;
        self.engine.close_listener(resp.listener);
    }

    /// During a shutdown, closes the connections that are between two requests and hold no ticket. Runs at the end of a turn, so
    /// that commands that were read, or wait in the socket, are answered first.
    pub(crate) fn close_idle_resp_connections(&mut self) {
        let Some(resp) = self.resp.as_ref().filter(|resp| resp.is_shutting_down) else {
            return;
        };
        let idle = resp
            .sessions
            .iter()
            .filter(|(_, session)| session.is_between_requests() && session.ticket_count == 0);
        let mut idle: Vec<ConnId> = idle.map(|(conn, _)| *conn).collect();
        idle.sort_unstable();
        for conn in idle {
            self.engine.close_if_idle(conn);
        }
    }

    /// Whether the RESP port has no open connection.
    pub(crate) fn has_no_resp_clients(&self) -> bool {
        self.resp
            .as_ref()
            .is_none_or(|resp| self.engine.listener_connection_count(resp.listener) == 0)
    }
}
