//! Tickets of admitted requests: their callers do the work and return the ticket, or its lease expires.

use super::session::Session;
use super::RespPort;
use crate::gateway_server::{GatewayServer, TimerPurpose};
use chalkdeck::api::{Event, RequestId};
use chalkdeck_net::timer_queue::TimerToken;
use chalkdeck_net::ConnId;

/// The maximum number of tickets that one connection may hold.
const MAX_TICKETS_PER_CONNECTION: usize = 10_000;

/// An admitted request that its caller holds until it returns the ticket or the lease expires.
pub(super) struct Ticket {
    pub(super) conn: ConnId,
    /// A random part of the ticket's text, so that tickets cannot be guessed.
    secret: u32,
    /// The timer of its lease.
    pub(super) lease_timer: TimerToken,
}

/// Whether the client of a session may hold another ticket.
pub(super) fn has_room(session: &Session) -> bool {
    session.ticket_count < MAX_TICKETS_PER_CONNECTION
}

/// The text by which a caller returns a ticket.
fn format_ticket(id: RequestId, secret: u32) -> String {
    format!("{:x}-{secret:08x}", id.0)
}

fn parse_ticket(text: &str) -> Option<(RequestId, u32)> {
    let (id, secret) = text.split_once('-')?;
    Some((
        RequestId(u64::from_str_radix(id, 16).ok()?),
        u32::from_str_radix(secret, 16).ok()?,
    ))
}

impl RespPort {
    /// Removes and returns a ticket, if there is one.
    pub(super) fn remove_ticket(&mut self, id: RequestId) -> Option<Ticket> {
        let ticket = self.tickets.remove(&id)?;
        self.sessions
            .get_mut(&ticket.conn)
            .into_iter()
            .for_each(|session| session.ticket_count -= 1);
        Some(ticket)
    }
}

impl GatewayServer {
    /// Gives a connection a ticket for an admitted request, with a lease in microseconds; returns its text, or `None` if the connection is
    /// closed.
    pub(super) fn issue_ticket(
        &mut self,
        id: RequestId,
        conn: ConnId,
        lease: u64,
    ) -> Option<String> {
        let secret = fastrand::u32(..);
        let resp = self.resp.as_mut()?;
        resp.sessions.get_mut(&conn)?.ticket_count += 1;
        let lease_timer = self.set_timer(lease, TimerPurpose::RespLease(id));
        let ticket = Ticket {
            conn,
            secret,
            lease_timer,
        };
        self.resp.as_mut()?.tickets.insert(id, ticket);
        Some(format_ticket(id, secret))
    }

    /// Ends an admitted request by its ticket; returns whether the ticket was valid.
    pub(super) fn return_ticket(&mut self, ticket: &str, units: Option<f64>) -> bool {
        let Some((id, secret)) = parse_ticket(ticket) else {
            return false;
        };
        let Some(resp) = &mut self.resp else {
            return false;
        };
        if resp
            .tickets
            .get(&id)
            .is_none_or(|ticket| ticket.secret != secret)
        {
            return false;
        }
        if let Some(ticket) = resp.remove_ticket(id) {
            self.timers.cancel(&mut self.engine, ticket.lease_timer);
        }
        units.into_iter().for_each(|units| {
            self.decisions
                .push(Event::UnitsSettled { request: id, units })
        });
        self.decisions.push(Event::ClientDisconnected(id));
        true
    }

    /// Ends an admitted request whose ticket was not returned within its lease.
    pub(crate) fn expire_ticket(&mut self, id: RequestId) {
        if self
            .resp
            .as_mut()
            .and_then(|resp| resp.remove_ticket(id))
            .is_some()
        {
            tracing::info!(
                request = id.0,
                "ticket lease expired: its concurrency slot is free again"
            );
            self.decisions.push(Event::ClientDisconnected(id));
        }
    }
}
