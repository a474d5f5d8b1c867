//! The gateway's side of a coordinator session, free of I/O: it creates outgoing messages, handles incoming ones, and tracks
//! whether the lease allows the gateway to act.

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

/// Delay before a new hello is sent after the replicas have ended the session, or after a gap in the watch events.
const HELLO_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(200);
/// Lower bound for the lease that a replica announces.
const MIN_LEASE: TimeDelta = TimeDelta::from_millis(1);
/// Session id that stands for no open session.
const NO_SESSION: SessionId = SessionId(0);

/// A watch event that was applied to the cached state, and the resulting changes.
#[derive(Debug)]
pub struct StateUpdate {
    /// The changes of the cached state.
    pub changes: StateChanges,
    /// The applied event.
    pub event: WatchEvent,
}

/// The outcome of handling a message from a replica.
#[derive(Debug, Default)]
pub struct ReceiveOutcome {
    /// The applied watch event, if the message contained one and it followed without a gap.
    pub update: Option<StateUpdate>,
    /// The response to a read.
    pub read_response: Option<ReadResponse>,
    /// Whether the pending report was acknowledged, so that the next one may be sent.
    pub is_report_acknowledged: bool,
    /// Whether the session was replaced by a new one, or has ended.
    pub has_session_changed: bool,
    /// Whether the replica has declined to open a session, so that another replica has to be tried.
    pub is_replica_unavailable: bool,
}

/// The session of one gateway with the replicas.
#[derive(Debug)]
pub struct SessionClient {
    open_session: wire::OpenSession,
    id: SessionId,
    /// Whether a session was opened since the gateway was started.
    had_session: bool,
    is_connected: bool,
    state: CachedState,
    elections: BTreeMap<String, Election>,
    pending_work: PendingWork,
    renewal: LeaseRenewal,
    /// When a new hello is due on the same connection.
    next_hello_at: Option<Timestamp>,
    requests: PendingRequests,
    outbox: Vec<ClientMessage>,
}

impl SessionClient {
    /// A client without a session. `open_session` holds the gateway's name, site and incarnation. `lease_terms` are assumed until
    /// a replica announces its own.
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
            next_hello_at: None,
            requests: PendingRequests::default(),
            outbox: Vec::new(),
        }
    }

    /// The lease terms that a replica has announced, or the assumed ones before that.
    pub fn lease_terms(&self) -> &LeaseTerms {
        self.renewal.lease_terms()
    }

    /// The session's id; 0 if no session is open.
    pub fn id(&self) -> SessionId {
        self.id
    }

    /// Whether a session is open as far as this gateway knows. Its lease may have expired.
    pub fn is_open(&self) -> bool {
        self.id != NO_SESSION
    }

    /// Whether the session's lease is valid by the gateway's own clock. This must be checked immediately before each action that
    /// depends on the lease.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.is_open() && self.renewal.is_valid(now)
    }

    /// The cached state.
    pub fn state(&self) -> &CachedState {
        &self.state
    }

    /// Whether the replicated state was ever received, by this process or an earlier one whose cache file was read.
    pub fn has_state(&self) -> bool {
        self.state.version > 0
    }

    /// The fencing token of an election that this gateway leads at `now`; `None` if it is not the leader.
    pub fn leader_token(&self, election: &str, now: Timestamp) -> Option<FencingToken> {
        let election = self.elections.get(election)?;
        let is_leader = election.leader == self.id.0 && election.move_to == 0;
        (is_leader && self.is_valid(now)).then_some(FencingToken(election.token))
    }

    /// The progress of the election's task that an earlier leader has recorded.
    pub fn progress(&self, election: &str) -> &[u8] {
        self.elections.get(election).map_or(&[], |e| &e.progress)
    }

    /// The elections as last received.
    pub fn elections(&self) -> impl Iterator<Item = &Election> {
        self.elections.values()
    }

    /// The first election that this gateway leads and is requested to hand over.
    pub fn requested_handover(&self) -> Option<&Election> {
        self.elections
            .values()
            .find(|e| self.is_open() && e.leader == self.id.0 && e.move_to != 0)
    }

    /// Work that is waiting for the leaders of the built-in elections.
    pub fn pending_work(&self) -> PendingWork {
        self.pending_work
    }

    // ---- connection ----

    /// Sends a hello on a new connection, after the replica has accepted the session's stream.
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

    /// Records that the connection is lost. The session stays open until its lease expires.
    pub fn on_disconnected(&mut self) {
        self.is_connected = false;
        self.outbox.clear();
    }

    fn send(&mut self, kind: ClientMessageKind) {
        if self.is_connected {
            self.outbox.push(ClientMessage { kind: Some(kind) });
        }
    }

    /// Removes and returns the messages that have to be sent.
    pub fn take_messages(&mut self) -> Vec<ClientMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Advances time to `now`: sends a new hello or a renewal if it is due.
    pub fn tick(&mut self, now: Timestamp) {
        if !self.is_connected {
            return;
        }
        if self.next_hello_at.is_some_and(|at| now >= at) {
            self.next_hello_at = None;
            self.on_connected();
        }
        if self.is_open() && self.renewal.is_due(now) {
            let renewal = self.renewal.next_renewal(now, self.id, self.state.version);
            self.send(ClientMessageKind::Renewal(renewal));
        }
    }

    /// Records that the cache file holds the state up to this version. From the first call on, a version is acknowledged only
    /// once it is in the cache file, because a restarted gateway uses the state in the file.
    pub fn on_state_persisted(&mut self, now: Timestamp, version: u64) {
        self.renewal.set_persisted_version(version);
        self.renewal
            .schedule_early_acknowledgement(now, self.state.version);
    }

    // ---- messages from a replica ----

    /// Handles a message from a replica.
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

    /// Handles the end of the session: the replica does not know it, or has opened none.
    fn on_session_ended(
        &mut self,
        now: Timestamp,
        response: Option<&CommandResponse>,
    ) -> ReceiveOutcome {
        let is_replica_unavailable = !self.is_open();
        self.adopt_later_incarnation(response);
        self.renewal.end_lease();
        // Elections are kept, because this replica may only be lagging: another one may still know the same session.
        self.id = NO_SESSION;
        self.next_hello_at = Some(now + HELLO_RETRY_DELAY);
        ReceiveOutcome {
            is_replica_unavailable,
            has_session_changed: true,
            ..ReceiveOutcome::default()
        }
    }

    /// Adopts an incarnation above the one that the replicas know, if theirs is not lower than this gateway's. Incarnations are
    /// derived from the system clock, so this happens when the clock was set back between two starts. A gateway that has already
    /// had a session keeps its incarnation, because its reports are counted under it.
    fn adopt_later_incarnation(&mut self, response: Option<&CommandResponse>) {
        let known_incarnation = response.map_or(0, |response| response.token);
        if known_incarnation >= self.open_session.incarnation && !self.had_session {
            self.open_session.incarnation = known_incarnation + 1;
        }
    }

    /// Applies a watch event; `None` if earlier changes are missing, which a new hello then requests.
    fn apply_event(&mut self, now: Timestamp, event: &WatchEvent) -> Option<StateChanges> {
        if self.state.has_gap_before(event) {
            // A time that is already set is kept: frequent events would otherwise postpone the request forever.
            self.next_hello_at.get_or_insert(now + HELLO_RETRY_DELAY);
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

    /// Records that a session is open. Returns whether it is a different one than before.
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

    /// Resends pending requests, which may have been lost with an earlier connection.
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

    /// Submits a command. It is resent until it is answered, and is applied only once.
    pub fn submit(&mut self, kind: CommandKind) {
        let command =
            self.requests
                .add_command(self.open_session.incarnation, self.state.version, kind);
        self.send(ClientMessageKind::Command(command));
    }

    /// Whether a command is not answered yet.
    pub fn has_pending_commands(&self) -> bool {
        self.requests.commands().len() > 0
    }

    /// Sends a read. It is not resent if the connection is lost.
    pub fn send_read(&mut self, request: ReadRequest) {
        self.send(ClientMessageKind::Read(request));
    }

    /// Whether a report may be sent: a session is open, the client is connected, and the last report was acknowledged.
    pub fn can_report(&self) -> bool {
        self.is_open() && self.is_connected && !self.requests.has_pending_report()
    }

    /// Sends a report, and resends it until it is acknowledged.
    pub fn send_report(&mut self, report: wire::Report) {
        let report = self.requests.add_report(self.id, report);
        self.send(ClientMessageKind::Report(report));
    }

    /// Withdraws the gateway's candidacy in elections before a shutdown, so that other gateways take over immediately. The
    /// session stays open.
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
