//! Streams of gateways' sessions: the received messages and the responses to them.

use super::pending::{BatchedRenewal, Requester};
use super::{Output, Replica};
use crate::ids::{CommandNumber, RequesterId};
use crate::pending_work::PendingWork;
use crate::protocol::{
    wire, ClientMessage, ClientMessageKind, CommandKind, CommandResponse, ResponseCode,
    ServerMessage, WatchEvent,
};
use chalkdeck_leader_election::{RenewalNumber, SessionId};

/// Maximum number of streams at one replica.
const MAX_STREAMS: usize = 2_000;
/// The session id of a stream on which no session is open yet.
const NO_SESSION: SessionId = SessionId(0);

/// A received renewal that is proposed at the end of the turn.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedRenewal {
    number: RenewalNumber,
    state_version: u64,
}

/// The stream of one session.
#[derive(Debug, Default)]
pub(super) struct SessionStream {
    pub(super) session: SessionId,
    /// The version of the state that the gateway was last sent.
    pub(super) sent_version: u64,
    /// The pending work that the gateway was last sent.
    pub(super) sent_work: PendingWork,
    renewal: Option<ReceivedRenewal>,
}

impl SessionStream {
    pub(super) fn is_open(&self) -> bool {
        self.session != NO_SESSION
    }
}

impl Replica {
    /// Handles a gateway's message on its session's stream.
    pub fn receive_from_gateway(&mut self, requester: RequesterId, message: ClientMessage) {
        match message.kind {
            Some(ClientMessageKind::Hello(hello)) => self.receive_hello(requester, hello),
            Some(ClientMessageKind::Renewal(renewal)) => self.receive_renewal(requester, renewal),
            Some(ClientMessageKind::Report(report)) if self.is_configured() => {
                let number = report.number;
                let requester = Requester::Report { requester, number };
                self.propose(CommandKind::Report(report), requester);
            }
            Some(ClientMessageKind::Command(command)) => self.submit_in_session(requester, command),
            Some(ClientMessageKind::Read(request)) => {
                let response = ServerMessage {
                    read: Some(self.read_state(&request)),
                    ..ServerMessage::default()
                };
                self.send_to_gateway(requester, response);
            }
            Some(ClientMessageKind::Report(_)) | None => {}
        }
    }

    /// Handles a closed stream. Its session lasts until it expires, as the gateway may reconnect on another stream.
    pub fn on_stream_closed(&mut self, requester: RequesterId) {
        self.streams.remove(&requester);
    }

    fn receive_hello(&mut self, requester: RequesterId, hello: wire::Hello) {
        let Some(open) = hello.open else {
            return self.end_session(requester);
        };
        if !self.is_configured() || self.streams.len() >= MAX_STREAMS {
            return self.end_session(requester);
        }
        // A version of another cluster's state is meaningless here. A gateway that is ahead of this replica is sent nothing older.
        let is_same_cluster = hello.cluster == self.state.cluster;
        let stream = SessionStream {
            sent_version: if is_same_cluster {
                hello.state_version
            } else {
                0
            },
            ..SessionStream::default()
        };
        self.streams.insert(requester, stream);
        let existing_session = self
            .state
            .session(SessionId(hello.session))
            .filter(|session| {
                session.incarnation == open.incarnation && session.gateway == open.gateway
            });
        match existing_session.map(|session| SessionId(session.id)) {
            Some(session) => self.announce_session(requester, session),
            None => self.propose(
                CommandKind::OpenSession(open),
                Requester::OpeningSession(requester),
            ),
        }
    }

    fn receive_renewal(&mut self, requester: RequesterId, renewal: wire::Renewal) {
        let session = SessionId(renewal.session);
        let stream = self.streams.get_mut(&requester);
        let Some(stream) = stream.filter(|stream| stream.session == session) else {
            return self.end_session(requester);
        };
        let previous = stream.renewal.unwrap_or_default();
        stream.renewal = Some(ReceivedRenewal {
            number: previous.number.max(RenewalNumber(renewal.number)),
            state_version: previous.state_version.max(renewal.applied_version),
        });
    }

    fn submit_in_session(&mut self, requester: RequesterId, command: wire::Command) {
        let number = CommandNumber(command.number);
        match self.rejection(&command) {
            Some(rejection) => self.send_command_response(requester, number, rejection),
            None => self.propose_command(command, Requester::Session { requester, number }),
        }
    }

    /// Tells a gateway that its session is open, with the changes since the version of the state that it has.
    fn announce_session(&mut self, requester: RequesterId, session: SessionId) {
        let Some(stream) = self.streams.get_mut(&requester) else {
            return;
        };
        // All elections are sent, as a gateway's cache file contains none.
        let event = WatchEvent {
            elections: self.state.elections().cloned().collect(),
            ..self.state.events_since(stream.sent_version)
        };
        stream.session = session;
        stream.sent_version = stream.sent_version.max(event.version);
        stream.sent_work = PendingWork::from(&event);
        let lease_terms = self.settings.lease_terms;
        let message = ServerMessage {
            session: session.0,
            event: Some(event),
            lease_us: lease_terms.lease.as_micros(),
            drift_ppm: lease_terms.drift_ppm,
            ..ServerMessage::default()
        };
        self.send_to_gateway(requester, message);
    }

    /// Tells a gateway that its session has ended, or cannot be opened at this replica.
    fn end_session(&mut self, requester: RequesterId) {
        let message = ServerMessage {
            session_ended: true,
            ..ServerMessage::default()
        };
        self.send_to_gateway(requester, message);
    }

    pub(super) fn send_to_gateway(&mut self, requester: RequesterId, message: ServerMessage) {
        self.outputs
            .push(Output::Session(requester, Box::new(message)));
    }

    fn send_command_response(
        &mut self,
        requester: RequesterId,
        number: CommandNumber,
        response: CommandResponse,
    ) {
        let message = ServerMessage {
            answered_command: number.0,
            response: Some(response),
            ..ServerMessage::default()
        };
        self.send_to_gateway(requester, message);
    }

    /// Proposes the renewals received in a turn as one command.
    pub(super) fn propose_renewals(&mut self) {
        if !self.is_configured() {
            return;
        }
        let batch = self.take_renewals();
        if batch.is_empty() {
            return;
        }
        let renewed = |renewal: &BatchedRenewal| wire::RenewedSession {
            session: renewal.session.0,
            applied_version: renewal.state_version,
        };
        let renew = wire::RenewSessions {
            sessions: batch.iter().map(renewed).collect(),
            replica: self.own_id().0,
            batch: 0,
        };
        self.propose(
            CommandKind::RenewSessions(renew),
            Requester::Renewals(batch),
        );
    }

    /// Takes the renewals received in a turn, ordered by stream.
    fn take_renewals(&mut self) -> Vec<BatchedRenewal> {
        let mut batch = Vec::new();
        for (requester, stream) in &mut self.streams {
            if let Some(renewal) = stream.renewal.take() {
                batch.push(BatchedRenewal {
                    requester: *requester,
                    session: stream.session,
                    number: renewal.number,
                    state_version: renewal.state_version,
                });
            }
        }
        batch.sort_unstable();
        batch
    }

    /// Sends the response of an applied command to its requester.
    pub(super) fn respond(&mut self, requester: Requester, response: CommandResponse) {
        match requester {
            Requester::Call(requester) => {
                let response = Output::CommandResponse(requester, response);
                self.outputs.push(response);
            }
            Requester::Session { requester, number } => {
                self.send_command_response(requester, number, response);
            }
            Requester::OpeningSession(requester) => self.respond_to_open(requester, response),
            Requester::Renewals(batch) => self.grant_renewals(batch),
            Requester::Report { requester, number } => {
                self.respond_to_report(requester, number, &response);
            }
            Requester::Replica => {}
        }
    }

    fn respond_to_open(&mut self, requester: RequesterId, response: CommandResponse) {
        if response.id > 0 {
            return self.announce_session(requester, SessionId(response.id));
        }
        let message = ServerMessage {
            session_ended: true,
            response: Some(response),
            ..ServerMessage::default()
        };
        self.send_to_gateway(requester, message);
    }

    /// Grants renewals of sessions that still existed when the command was applied.
    fn grant_renewals(&mut self, batch: Vec<BatchedRenewal>) {
        for renewal in batch {
            if self.state.session(renewal.session).is_none() {
                self.end_session(renewal.requester);
                continue;
            }
            let message = ServerMessage {
                granted_renewal: renewal.number.0,
                ..ServerMessage::default()
            };
            self.send_to_gateway(renewal.requester, message);
        }
    }

    fn respond_to_report(
        &mut self,
        requester: RequesterId,
        number: u64,
        response: &CommandResponse,
    ) {
        if response.code() == ResponseCode::NoSession {
            return self.end_session(requester);
        }
        let message = ServerMessage {
            acknowledged_report: number,
            ..ServerMessage::default()
        };
        self.send_to_gateway(requester, message);
    }
}
