//! Sessions of gateways: opened, renewed, closed and expired.

use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, DepartedGateway, ResponseCode};
use chalkdeck_leader_election::SessionId;

const MAX_SESSIONS: usize = 1_000;
/// Departed gateways that are remembered.
const MAX_DEPARTED: usize = 2_000;

impl ReplicatedState {
    pub(super) fn open_session(&mut self, open: &wire::OpenSession) -> CommandResponse {
        if open.gateway.is_empty() || open.incarnation == 0 {
            return rejected(
                ResponseCode::Refused,
                "expected a gateway's name and incarnation",
            );
        }
        if let Some(known) = self.reopen_session(open) {
            return known;
        }
        if let Some(later) = self.later_incarnation(open) {
            // Delayed on its way, or by a gateway whose date was set back: that one may take a larger number.
            return CommandResponse {
                token: later,
                ..rejected(
                    ResponseCode::Refused,
                    "a later life of this gateway is known",
                )
            };
        }
        if self.sessions.len() >= MAX_SESSIONS {
            let reason = format!("there are {MAX_SESSIONS} sessions");
            return rejected(ResponseCode::Full, reason);
        }
        let id = self.add_session(open);
        self.gateway_returned(open);
        self.next_version();
        self.place_vacant_elections();
        CommandResponse { id: id.0, ..done() }
    }

    /// A session that is opened again, over another connection or after a response was lost, is the same one. One that is no
    /// candidate any more leads no elections.
    fn reopen_session(&mut self, open: &wire::OpenSession) -> Option<CommandResponse> {
        let session = self.sessions.values_mut().find(|session| {
            session.gateway == open.gateway && session.incarnation == open.incarnation
        })?;
        let id = session.id;
        let has_resigned = session.candidate && !open.candidate;
        if has_resigned {
            session.candidate = false;
            self.vacate_elections(SessionId(id));
        }
        Some(CommandResponse { id, ..done() })
    }

    /// The largest incarnation that is known under the gateway's name, if it is a later one. Keeps what a later incarnation
    /// reported from being folded as that of an earlier one.
    fn later_incarnation(&self, open: &wire::OpenSession) -> Option<u64> {
        let of_gateway = self
            .sessions
            .values()
            .filter(|session| session.gateway == open.gateway)
            .map(|session| session.incarnation);
        let departed = self.departed.get(&open.gateway).map(|d| d.incarnation);
        of_gateway
            .chain(departed)
            .filter(|known| *known > open.incarnation)
            .max()
    }

    fn add_session(&mut self, open: &wire::OpenSession) -> SessionId {
        self.last_session.0 += 1;
        let session = wire::Session {
            id: self.last_session.0,
            gateway: open.gateway.clone(),
            site: open.site.clone(),
            incarnation: open.incarnation,
            renewal_index: self.index,
            candidate: open.candidate,
            ..wire::Session::default()
        };
        self.sessions.insert(self.last_session, session);
        self.last_session
    }

    /// A departed gateway is back. An earlier incarnation of it reports no more; the same one goes on with its counts.
    fn gateway_returned(&mut self, open: &wire::OpenSession) {
        let departed = self.departed.remove(&open.gateway);
        if let Some(departed) = departed.filter(|d| d.incarnation != open.incarnation) {
            self.ended_incarnations.insert(departed.incarnation);
        }
    }

    pub(super) fn renew_sessions(&mut self, renew: &wire::RenewSessions) -> CommandResponse {
        for renewed in &renew.sessions {
            if let Some(session) = self.sessions.get_mut(&SessionId(renewed.session)) {
                session.renewal_index = self.index;
                session.applied_version = session.applied_version.max(renewed.applied_version);
            }
        }
        done()
    }

    /// A gateway stops: others lead its elections at once.
    pub(super) fn close_session(&mut self, id: SessionId) -> CommandResponse {
        let Some(session) = self.sessions.remove(&id) else {
            return rejected(ResponseCode::NoSession, "no such session");
        };
        self.ended_incarnations.insert(session.incarnation);
        self.vacate_elections(id);
        done()
    }

    /// A session was not renewed for longer than its gateway relies on its lease.
    pub(super) fn expire_session(&mut self, expiry: &wire::ExpireSession) -> CommandResponse {
        let id = SessionId(expiry.session);
        let is_due = |session: &wire::Session| session.renewal_index == expiry.renewal_index;
        if !self.sessions.get(&id).is_some_and(is_due) {
            return rejected(ResponseCode::Changed, "renewed since, or gone");
        }
        if let Some(session) = self.sessions.remove(&id) {
            self.session_expired(session);
        }
        self.vacate_elections(id);
        done()
    }

    /// The gateway may be back already, with another session. An incarnation that is back goes on counting, and is folded only once
    /// it is surely over: folded before, all that it reported would count again.
    fn session_expired(&mut self, session: wire::Session) {
        let same_gateway = self
            .sessions
            .values()
            .find(|other| other.gateway == session.gateway);
        match same_gateway {
            Some(other) if other.incarnation == session.incarnation => {}
            Some(_) => {
                self.ended_incarnations.insert(session.incarnation);
            }
            None => self.gateway_departed(session),
        }
    }

    fn gateway_departed(&mut self, session: wire::Session) {
        let departed = DepartedGateway {
            gateway: session.gateway.clone(),
            applied_version: session.applied_version,
            ended_ms: self.time_ms,
            incarnation: session.incarnation,
        };
        self.departed.insert(session.gateway, departed);
        while self.departed.len() > MAX_DEPARTED {
            self.forget_longest_departed();
        }
    }

    fn forget_longest_departed(&mut self) {
        let longest = self.departed.values().min_by_key(|d| d.ended_ms);
        let name = longest.map(|departed| departed.gateway.clone());
        let departed = name.and_then(|name| self.departed.remove(&name));
        self.ended_incarnations
            .extend(departed.map(|d| d.incarnation));
    }

    /// All sessions, in the order of their ids.
    pub fn sessions(&self) -> impl Iterator<Item = &wire::Session> {
        self.sessions.values()
    }

    /// One session.
    pub fn session(&self, id: SessionId) -> Option<&wire::Session> {
        self.sessions.get(&id)
    }
}
