//! A gateway's side of its session, free of I/O: what is sent, what is received, and whether the gateway may act.

mod cached_state;
mod renewal;
mod requests;

pub use cached_state::{CachedState, ServiceVersion, StateChanges};

use crate::ids::CommandNumber;
use crate::pending_work::PendingWork;
use crate::protocol::{
    wire, ClientMessage, ClientMessageKind, CommandKind, CommandResponse, Election, ReadRequest,
    ReadResponse, ServerMessage, WatchEvent,
};
use chalkdeck_leader_election::{FencingToken, LeaseTerms, RenewalNumber, SessionId};
use chalkdeck_time::{TimeDelta, Timestamp};
use renewal::LeaseRenewal;
use requests::PendingRequests;
use std::collections::BTreeMap;

/// How long to wait before a session is opened again that the replicas do not know, or whose watch events have a gap.
const REOPEN_DELAY: TimeDelta = TimeDelta::from_millis(200);
/// The shortest lease that a replica may announce.
const MIN_LEASE: TimeDelta = TimeDelta::from_millis(1);
/// Id of a session that is not open.
const NO_SESSION: SessionId = SessionId(0);

/// A watch event that was received without a gap, and what it changed.
#[derive(Debug)]
pub struct StateUpdate {
    /// What changed.
    pub changes: StateChanges,
    /// The event.
    pub event: WatchEvent,
}

/// The outcome of a message from a replica.
#[derive(Debug, Default)]
pub struct ReceiveOutcome {
    /// The cached state was updated.
    pub update: Option<StateUpdate>,
    /// A read was answered.
    pub read_response: Option<ReadResponse>,
    /// The report was acknowledged: the next one may be sent.
    pub is_report_acknowledged: bool,
    /// The session is another one, or over.
    pub has_session_changed: bool,
    /// This replica opens no session: another one is to be tried.
    pub is_replica_unavailable: bool,
}

/// The client of one gateway's session.
#[derive(Debug)]
pub struct SessionClient {
    open_session: wire::OpenSession,
    id: SessionId,
    /// A session was opened since the gateway was started.
    had_session: bool,
    is_connected: bool,
    state: CachedState,
    elections: BTreeMap<String, Election>,
    pending_work: PendingWork,
    renewal: LeaseRenewal,
    /// When the session is opened again over the same connection.
    reopen_at: Option<Timestamp>,
    requests: PendingRequests,
    outbox: Vec<ClientMessage>,
}

impl SessionClient {
    /// A client without a session. `open`: the gateway's name, site and incarnation. `terms` hold until a replica announces its
    /// own.
    pub fn new(
        open_session: wire::OpenSession,
        lease_terms: LeaseTerms,
        state: CachedState,
    ) -> SessionClient {
        SessionClient {
            open_session,
            id: NO_SESSION,
            had_session: false,
            is_connected: false,
            state,
            elections: BTreeMap::new(),
            pending_work: PendingWork::default(),
            renewal: LeaseRenewal::new(lease_terms),
            reopen_at: None,
            requests: PendingRequests::default(),
            outbox: Vec::new(),
        }
    }

    /// The lease terms that were announced, or are assumed until then.
    pub fn lease_terms(&self) -> &LeaseTerms {
        self.renewal.lease_terms()
    }

    /// The session's id; 0: none is open.
    pub fn id(&self) -> SessionId {
        self.id
    }

    /// Whether a session is open, as far as is known here; its lease may have expired.
    pub fn is_open(&self) -> bool {
        self.id != NO_SESSION
    }

    /// Whether the session's lease is valid by the gateway's own clock. To be checked right before each act that rests on it.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.is_open() && self.renewal.is_valid(now)
    }

    /// The cached state.
    pub fn state(&self) -> &CachedState {
        &self.state
    }

    /// Whether a state was ever received, since this start or an earlier one.
    pub fn has_state(&self) -> bool {
        self.state.version > 0
    }

    /// The fencing token of an election that this gateway leads at `now`; `None`: it does not lead it.
    pub fn leader_token(&self, election: &str, now: Timestamp) -> Option<FencingToken> {
        let election = self.elections.get(election)?;
        let is_leader = election.leader == self.id.0 && election.move_to == 0;
        (is_leader && self.is_valid(now)).then_some(FencingToken(election.token))
    }

    /// How far an earlier leader got with the election's task.
    pub fn progress(&self, election: &str) -> &[u8] {
        self.elections.get(election).map_or(&[], |e| &e.progress)
    }

    /// Elections as they were last outcome.
    pub fn elections(&self) -> impl Iterator<Item = &Election> {
        self.elections.values()
    }

    /// The first election that this gateway leads and is asked to hand over.
    pub fn requested_handover(&self) -> Option<&Election> {
        self.elections
            .values()
            .find(|e| self.is_open() && e.leader == self.id.0 && e.move_to != 0)
    }

    /// Work that waits for leaders.
    pub fn pending_work(&self) -> PendingWork {
        self.pending_work
    }

    // ---- connection ----

    /// A connection to a replica is established, and the replica was heard on it.
    pub fn on_connected(&mut self) {
        self.is_connected = true;
        self.outbox.clear();
        let hello = wire::Hello {
            open: Some(self.open_session.clone()),
            state_version: self.state.version,
            session: self.id.0,
            cluster: self.state.cluster,
        };
        self.send(ClientMessageKind::Hello(hello));
    }

    /// The connection is lost. The session lasts as long as its lease.
    pub fn on_disconnected(&mut self) {
        self.is_connected = false;
        self.outbox.clear();
    }

    fn send(&mut self, kind: ClientMessageKind) {
        if self.is_connected {
            self.outbox.push(ClientMessage { kind: Some(kind) });
        }
    }

    /// Takes the messages that are to be sent.
    pub fn take_messages(&mut self) -> Vec<ClientMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Time passes.
    pub fn tick(&mut self, now: Timestamp) {
        if !self.is_connected {
            return;
        }
        if self.reopen_at.is_some_and(|at| now >= at) {
            self.reopen_at = None;
            self.on_connected();
        }
        if self.is_open() && self.renewal.is_due(now) {
            let renewal = self.renewal.next_renewal(now, self.id, self.state.version);
            self.send(ClientMessageKind::Renewal(renewal));
        }
    }

    /// The cache file holds the state up to this version. From here on no later one is acknowledged before it is written, too:
    /// after a restart the gateway goes by what is in the file.
    pub fn on_state_persisted(&mut self, now: Timestamp, version: u64) {
        self.renewal.set_persisted_version(version);
        self.renewal
            .schedule_early_acknowledgement(now, self.state.version);
    }

    // ---- messages of a replica ----

    /// Takes a message of a replica in.
    pub fn receive(&mut self, now: Timestamp, message: ServerMessage) -> ReceiveOutcome {
        self.renewal.on_message(now);
        if message.session_ended {
            return self.on_session_ended(now, message.response.as_ref());
        }
        let mut outcome = ReceiveOutcome::default();
        let changes = message
            .event
            .as_ref()
            .and_then(|event| self.apply_event(now, event));
        if message.session > 0 {
            outcome.has_session_changed = self.on_session_opened(now, &message);
        }
        self.renewal
            .schedule_early_acknowledgement(now, self.state.version);
        if message.granted_renewal > 0 {
            self.renewal
                .on_granted(RenewalNumber(message.granted_renewal));
        }
        outcome.is_report_acknowledged = self
            .requests
            .acknowledge_report(message.acknowledged_report);
        if message.response.is_some() {
            self.requests
                .on_command_answered(CommandNumber(message.answered_command));
        }
        outcome.read_response = message.read;
        outcome.update = changes
            .zip(message.event)
            .map(|(changes, event)| StateUpdate { changes, event });
        outcome
    }

    /// The replicas do not know the session, or opened none.
    fn on_session_ended(
        &mut self,
        now: Timestamp,
        response: Option<&CommandResponse>,
    ) -> ReceiveOutcome {
        let is_replica_unavailable = !self.is_open();
        self.adopt_later_incarnation(response);
        self.renewal.end_lease();
        // Elections stay as they are: a replica that lags less may find the same session again.
        self.id = NO_SESSION;
        self.reopen_at = Some(now + REOPEN_DELAY);
        ReceiveOutcome {
            is_replica_unavailable,
            has_session_changed: true,
            ..ReceiveOutcome::default()
        }
    }

    /// A later incarnation of this gateway is known, though this one has reported nothing yet: the machine's date was set back
    /// in between.
    fn adopt_later_incarnation(&mut self, response: Option<&CommandResponse>) {
        let known_incarnation = response.map_or(0, |response| response.token);
        if known_incarnation >= self.open_session.incarnation && !self.had_session {
            self.open_session.incarnation = known_incarnation + 1;
        }
    }

    /// Applies a watch event; `None`: changes before it are missing, and are asked for.
    fn apply_event(&mut self, now: Timestamp, event: &WatchEvent) -> Option<StateChanges> {
        if self.state.has_gap_before(event) {
            // Not put off by each further event: where they come often, the gap would never be asked for.
            self.reopen_at.get_or_insert(now + REOPEN_DELAY);
            return None;
        }
        if event.cluster != self.state.cluster || event.version >= self.state.version {
            self.update_elections(event);
        }
        let previous_version = self.state.version;
        let changes = self.state.apply(event);
        if changes.is_empty() {
            self.renewal
                .advance_persisted_version(previous_version, self.state.version);
        }
        Some(changes)
    }

    fn update_elections(&mut self, event: &WatchEvent) {
        if event.whole {
            self.elections.clear();
        }
        for election in &event.elections {
            self.elections
                .insert(election.name.clone(), election.clone());
        }
        self.pending_work = PendingWork::from(event);
    }

    /// A session is open; returns whether it is another one than before.
    fn on_session_opened(&mut self, now: Timestamp, message: &ServerMessage) -> bool {
        let id = SessionId(message.session);
        let is_new = id != self.id;
        self.had_session = true;
        if is_new {
            self.renewal.begin_lease(LeaseTerms {
                lease: TimeDelta::from_micros(message.lease_us).max(MIN_LEASE),
                drift_ppm: message.drift_ppm,
            });
        }
        self.id = id;
        self.renewal.schedule(now);
        self.resend_requests();
        is_new
    }

    /// Sends again what may have been lost with an earlier connection.
    fn resend_requests(&mut self) {
        let commands: Vec<wire::Command> = self.requests.commands().cloned().collect();
        for command in commands {
            self.send(ClientMessageKind::Command(command));
        }
        if let Some(report) = self.requests.pending_report_for(self.id) {
            self.send(ClientMessageKind::Report(report));
        }
    }

    // ---- requests ----

    /// Submits a command; it is applied once, however often it has to be sent.
    pub fn submit(&mut self, kind: CommandKind) {
        let command =
            self.requests
                .add_command(self.open_session.incarnation, self.state.version, kind);
        self.send(ClientMessageKind::Command(command));
    }

    /// Whether commands are not answered yet.
    pub fn has_pending_commands(&self) -> bool {
        self.requests.commands().len() > 0
    }

    /// Sends a read; its response is lost with the connection.
    pub fn send_read(&mut self, request: ReadRequest) {
        self.send(ClientMessageKind::Read(request));
    }

    /// Whether a report may be sent: there is a session, and the last report was acknowledged.
    pub fn can_report(&self) -> bool {
        self.is_open() && self.is_connected && !self.requests.has_pending_report()
    }

    /// Sends a report; it is sent again until it is acknowledged.
    pub fn send_report(&mut self, report: wire::Report) {
        let report = self.requests.add_report(self.id, report);
        self.send(ClientMessageKind::Report(report));
    }

    /// Withdraws as a candidate, as the gateway is about to stop: others lead its elections at once. The session goes on.
    pub fn resign(&mut self) {
        let was_candidate = std::mem::replace(&mut self.open_session.candidate, false);
        if was_candidate && self.is_open() {
            self.submit(CommandKind::OpenSession(self.open_session.clone()));
        }
    }

    /// Closes the session.
    pub fn close(&mut self) {
        if self.is_open() {
            let session = self.id.0;
            self.submit(CommandKind::CloseSession(wire::CloseSession { session }));
        }
    }
}
