//! A gateway's coordinator agent, free of I/O: it selects the replica to connect to, runs the tasks of the elections that the
//! gateway leads, sends reports, and applies customers' access rules to calls.

mod connection;
mod leader_tasks;

use crate::call_statistics::CallStatistics;
use crate::protocol::{wire, ClientMessage, ServerMessage, SiteOverride, WatchEvent};
use crate::session::{CachedState, SessionClient, StateUpdate};
use crate::state::rule_set_from_wire;
use chalkdeck_access as access;
use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_time::{TimeDelta, Timestamp};
use connection::{ConnectionStep, ReplicaConnection};
use fastrand::Rng;

/// Maximum number of customers whose rule hits are sent in one report.
const MAX_CUSTOMERS_PER_REPORT: usize = 256;
/// Maximum time that a replica may be silent while no session is open, before the agent tries the next replica.
const MAX_SESSION_OPEN_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_500);

/// An action that the gateway has to carry out for its agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Connect to the replica at this index in the address list, and close any earlier connection.
    Connect(usize),
    /// Send a message on the session's stream.
    Send(Box<ClientMessage>),
    /// Write this event, which changed the cached state, to the cache file, and then call
    /// [`GatewayAgent::on_state_persisted`].
    Persist(Box<WatchEvent>),
    /// Check with [`GatewayAgent::may_continue`] whether open streams of these customers may continue.
    RecheckStreams(Vec<String>),
    /// Do the same check for the open streams of all customers, because the session became valid or invalid.
    RecheckAllStreams,
    /// Check endpoints again, because the set of admitted contract versions changed.
    ContractsChanged,
    /// Apply an operator's override of a site.
    ApplySiteOverride(SiteOverride),
}

/// Settings of a [`GatewayAgent`].
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The request that opens a session: the gateway's name, site and incarnation, and whether it is a candidate in elections.
    pub open_session: wire::OpenSession,
    /// The number of replicas.
    pub replica_count: usize,
    /// Time between reports.
    pub report_interval: TimeDelta,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The coordinator agent of one gateway.
#[derive(Debug)]
pub struct GatewayAgent {
    session: SessionClient,
    rule_store: access::RuleStore,
    statistics: CallStatistics,
    connection: ReplicaConnection,
    rng: Rng,
    report_interval: TimeDelta,
    report_at: Timestamp,
    /// A read of proposals was sent and is not answered yet.
    is_reading_proposals: bool,
    /// Whether the session was valid at the last tick.
    was_session_valid: bool,
    actions: Vec<AgentAction>,
}

impl GatewayAgent {
    /// Creates a disconnected agent with the state that an earlier process of the gateway has cached.
    pub fn new(settings: AgentSettings, state: CachedState, now: Timestamp) -> GatewayAgent {
        let mut rng = Rng::with_seed(settings.seed);
        let connection = ReplicaConnection::new(settings.replica_count, &mut rng, now);
        let first_report_delay = rng.u64(..settings.report_interval.as_micros().max(1));
        let mut rule_store = access::RuleStore::default();
        for rule_set in state.rules.values().filter_map(rule_set_from_wire) {
            rule_store.insert(rule_set);
        }
        let overrides = state.site_overrides.values().cloned();
        let actions = overrides.map(AgentAction::ApplySiteOverride).collect();
        GatewayAgent {
            session: SessionClient::new(settings.open_session, LeaseTerms::default(), state),
            rule_store,
            statistics: CallStatistics::default(),
            connection,
            rng,
            report_interval: settings.report_interval,
            report_at: now + TimeDelta::from_micros(first_report_delay),
            is_reading_proposals: false,
            was_session_valid: false,
            actions,
        }
    }

    /// The gateway's session.
    pub fn session(&self) -> &SessionClient {
        &self.session
    }

    /// The customers' access rules.
    pub fn rule_store(&self) -> &access::RuleStore {
        &self.rule_store
    }

    /// Index in the address list of the replica that the agent is connected to, or connects to next.
    pub fn replica_index(&self) -> usize {
        self.connection.replica_index()
    }

    /// Whether the replicated state was ever received. Until then no call may be admitted, because the access rules are unknown.
    pub fn has_state(&self) -> bool {
        self.session.has_state()
    }

    /// Removes and returns the pending actions, in the order in which they have to be carried out.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        let messages = self.session.take_messages().into_iter();
        self.actions
            .extend(messages.map(|message| AgentAction::Send(Box::new(message))));
        std::mem::take(&mut self.actions)
    }

    // ---- calls ----

    /// Decides whether a new call is admitted, and counts it under the service version that the caller uses.
    pub fn admit_call(
        &mut self,
        now: Timestamp,
        customer: &str,
        call: &access::Call,
        version: Option<&str>,
    ) -> access::Verdict {
        let session = access::SessionState::new(self.session.is_valid(now));
        self.statistics.record(customer, call, version);
        self.rule_store.decide(customer, call, session)
    }

    /// Decides whether a call that was admitted earlier may continue.
    pub fn may_continue(
        &self,
        now: Timestamp,
        customer: &str,
        call: &access::Call,
    ) -> access::Verdict {
        let session = access::SessionState::new(self.session.is_valid(now));
        self.rule_store.recheck(customer, call, session)
    }

    // ---- connection ----

    /// Records that the requested connection is established. Nothing is sent on it before
    /// [`GatewayAgent::on_stream_accepted`].
    pub fn on_connected(&mut self, now: Timestamp) {
        self.connection.on_connected(now);
    }

    /// Opens the session, after the replica has sent response headers for the session's stream.
    ///
    /// The session is not opened earlier because the network may deliver in one direction only. A gateway that can send but not
    /// receive would otherwise open session after session. It would be elected leader without being allowed to act, and the
    /// rollout of rule sets would wait for its acknowledgement.
    pub fn on_stream_accepted(&mut self, now: Timestamp) {
        self.connection.on_message(now);
        self.is_reading_proposals = false;
        self.session.on_connected();
    }

    /// Switches to the next replica after the connection could not be established or was lost.
    pub fn on_connection_lost(&mut self, now: Timestamp) {
        self.session.on_disconnected();
        self.is_reading_proposals = false;
        self.connection.switch_replica(&mut self.rng, now);
    }

    /// Advances time to `now`: checks timeouts, renews the session, runs leader tasks and sends reports when they are due.
    pub fn tick(&mut self, now: Timestamp) {
        match self.connection.next_step(now, self.silence_timeout()) {
            Some(ConnectionStep::Connect) => {
                let connect = AgentAction::Connect(self.connection.replica_index());
                self.actions.push(connect);
            }
            Some(ConnectionStep::Disconnect) => self.on_connection_lost(now),
            None => {}
        }
        self.session.tick(now);
        self.run_leader_tasks(now);
        self.send_report(now);
        let is_valid = self.session.is_valid(now);
        if is_valid != self.was_session_valid {
            self.was_session_valid = is_valid;
            self.actions.push(AgentAction::RecheckAllStreams);
        }
    }

    /// How long a replica may be silent before the connection is closed. This leaves half of the lease to renew the session at
    /// another replica.
    fn silence_timeout(&self) -> TimeDelta {
        let half_lease = self.session.lease_terms().half_lease();
        if self.session.is_open() {
            half_lease
        } else {
            half_lease.min(MAX_SESSION_OPEN_TIMEOUT)
        }
    }

    /// Handles a message from the replica.
    pub fn receive(&mut self, now: Timestamp, message: ServerMessage) {
        self.connection.on_message(now);
        let outcome = self.session.receive(now, message);
        if let Some(update) = outcome.update {
            self.on_state_updated(update);
        }
        if outcome.is_report_acknowledged {
            self.rule_store.hit_counter_mut().confirm_report();
        }
        if outcome.has_session_changed {
            self.is_reading_proposals = false;
        }
        if let Some(response) = &outcome.read_response {
            self.judge_proposal(now, response);
        }
        if outcome.is_replica_unavailable {
            self.on_connection_lost(now);
        }
    }

    fn on_state_updated(&mut self, update: StateUpdate) {
        let StateUpdate { changes, event } = update;
        if changes.is_empty() {
            return;
        }
        self.actions.push(AgentAction::Persist(Box::new(event)));
        for customer in &changes.rule_customers {
            self.update_rules(customer);
        }
        if !changes.rule_customers.is_empty() {
            self.actions
                .push(AgentAction::RecheckStreams(changes.rule_customers));
        }
        if changes.has_contract_changes {
            self.actions.push(AgentAction::ContractsChanged);
        }
        let overrides = changes.site_overrides.into_iter();
        self.actions
            .extend(overrides.map(AgentAction::ApplySiteOverride));
    }

    fn update_rules(&mut self, customer: &str) {
        let cached = self.session.state().rules.get(customer);
        let rule_set = cached.and_then(rule_set_from_wire);
        let stored_version = self
            .rule_store
            .get(customer)
            .map_or(0, |rules| rules.set().version);
        // A lower version belongs to another cluster, whose versions start from the beginning. The stored set is removed first,
        // because the store ignores versions that are not higher than its own.
        if rule_set
            .as_ref()
            .is_none_or(|set| set.version < stored_version)
        {
            self.rule_store.remove(customer);
        }
        if let Some(rule_set) = rule_set {
            self.rule_store.insert(rule_set);
        }
    }

    fn send_report(&mut self, now: Timestamp) {
        if now < self.report_at || !self.session.can_report() {
            return;
        }
        self.report_at = now + self.report_interval;
        if !self.rule_store.hit_counter_mut().has_changes() && self.statistics.is_empty() {
            return;
        }
        let hits = self
            .rule_store
            .report_hits(MAX_CUSTOMERS_PER_REPORT)
            .into_iter();
        let mut report = wire::Report {
            hits: hits.map(hit_line_to_wire).collect(),
            ..wire::Report::default()
        };
        self.statistics.drain_into(&mut report);
        self.session.send_report(report);
    }

    /// Records that the cache file holds the state up to this version. If there is a cache file, this must also be called at
    /// start-up.
    pub fn on_state_persisted(&mut self, now: Timestamp, version: u64) {
        self.session.on_state_persisted(now, version);
    }

    /// Withdraws from all elections before the gateway shuts down, so that other gateways take over without waiting for the
    /// lease to expire.
    pub fn resign(&mut self) {
        self.session.resign();
    }

    /// Closes the session when the gateway stops.
    pub fn close(&mut self) {
        self.session.close();
    }
}

fn hit_line_to_wire(hits: access::RuleHits) -> wire::HitLine {
    wire::HitLine {
        customer: hits.customer,
        version: hits.version,
        rule: hits.rule,
        count: hits.count,
    }
}
