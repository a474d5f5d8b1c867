//! Sessions of gateways: opening, renewal, closing and expiry.

use super::{done, rejected, ReplicatedState};
use crate::protocol::{wire, CommandResponse, DepartedGateway, ResponseCode};
use chalkdeck_leader_election::SessionId;

const MAX_SESSIONS: usize = 1_000;
/// Maximum number of stored departed gateways; the one that departed first is evicted first.
const MAX_DEPARTED_GATEWAYS: usize = 2_000;

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
            // The request was delayed, or the gateway's system clock was set back. In the latter case the gateway can choose a larger
            // incarnation than the one returned.
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
        self.remove_departed_gateway(open);
        self.increment_version();
        self.elect_missing_leaders();
        CommandResponse { id: id.0, ..done() }
    }

    /// Returns the existing session of the same incarnation, if it is opened again over another connection or after a lost response.
    /// If it is no longer a candidate, other leaders are elected for its elections.
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

    /// The largest known incarnation of the gateway, if it is later than that of the request. Rejecting earlier incarnations keeps
    /// the hits of the later one from being folded as if it had ended.
    fn later_incarnation(&self, open: &wire::OpenSession) -> Option<u64> {
        let session_incarnations = self
            .sessions
            .values()
            .filter(|session| session.gateway == open.gateway)
            .map(|session| session.incarnation);
        let departed_incarnation = self.departed.get(&open.gateway).map(|d| d.incarnation);
        session_incarnations
            .chain(departed_incarnation)
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

    /// Removes a gateway that returned from the departed ones. An earlier incarnation of it has ended; the same incarnation continues
    /// its counts.
    fn remove_departed_gateway(&mut self, open: &wire::OpenSession) {
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

    /// Closes the session of a gateway that stops; other leaders are elected for its elections at once.
    pub(super) fn close_session(&mut self, id: SessionId) -> CommandResponse {
        let Some(session) = self.sessions.remove(&id) else {
            return rejected(ResponseCode::NoSession, "no such session");
        };
        self.ended_incarnations.insert(session.incarnation);
        self.vacate_elections(id);
        done()
    }

    /// Expires a session that was not renewed for longer than its gateway may rely on its lease.
    pub(super) fn expire_session(&mut self, expiry: &wire::ExpireSession) -> CommandResponse {
        let id = SessionId(expiry.session);
        let is_not_renewed =
            |session: &wire::Session| session.renewal_index == expiry.renewal_index;
        if !self.sessions.get(&id).is_some_and(is_not_renewed) {
            return rejected(ResponseCode::Changed, "renewed since, or gone");
        }
        if let Some(session) = self.sessions.remove(&id) {
            self.handle_expired_session(session);
        }
        self.vacate_elections(id);
        done()
    }

    /// Records the end of an expired session. The gateway may already have opened another one. An incarnation that returned continues
    /// counting and must not be folded before it has certainly ended: otherwise all hits that it reports again would count twice.
    fn handle_expired_session(&mut self, session: wire::Session) {
        let same_gateway = self
            .sessions
            .values()
            .find(|other| other.gateway == session.gateway);
        match same_gateway {
            Some(other) if other.incarnation == session.incarnation => {}
            Some(_) => {
                self.ended_incarnations.insert(session.incarnation);
            }
            None => self.add_departed_gateway(session),
        }
    }

    fn add_departed_gateway(&mut self, session: wire::Session) {
        let departed = DepartedGateway {
            gateway: session.gateway.clone(),
            applied_version: session.applied_version,
            ended_ms: self.time_ms,
            incarnation: session.incarnation,
        };
        self.departed.insert(session.gateway, departed);
        while self.departed.len() > MAX_DEPARTED_GATEWAYS {
            self.evict_longest_departed();
        }
    }

    fn evict_longest_departed(&mut self) {
        let longest_departed = self.departed.values().min_by_key(|d| d.ended_ms);
        let name = longest_departed.map(|departed| departed.gateway.clone());
        let departed = name.and_then(|name| self.departed.remove(&name));
        self.ended_incarnations
            .extend(departed.map(|d| d.incarnation));
    }

    /// All sessions, ordered by id.
    pub fn sessions(&self) -> impl Iterator<Item = &wire::Session> {
        self.sessions.values()
    }

    /// The session with an id.
    pub fn session(&self, id: SessionId) -> Option<&wire::Session> {
        self.sessions.get(&id)
    }
}
