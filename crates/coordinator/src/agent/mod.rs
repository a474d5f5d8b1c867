//! A gateway's part in the fleet, free of I/O: which replica it is connected to, the elections that it leads, its reports, and
//! what its customers' access rules decide about calls.

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

/// Customers whose hits are in one report.
const CUSTOMERS_PER_REPORT: usize = 256;
/// A replica that has not opened the first session by then is left for the next.
const MAX_SESSION_OPEN_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_500);

/// What a gateway has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Connect to the replica at that place in the list of addresses, and close an earlier connection.
    Connect(usize),
    /// Send a message on the connection.
    Send(Box<ClientMessage>),
    /// The cached state was changed by this event: write it to the cache file, and then call [`GatewayAgent::on_state_persisted`].
    Persist(Box<WatchEvent>),
    /// Decide again whether open streams of these customers may continue, by [`GatewayAgent::may_continue`].
    RecheckStreams(Vec<String>),
    /// The same for open streams of all customers: the session became valid, or invalid.
    RecheckAllStreams,
    /// Other versions of services are admitted now.
    ContractsChanged,
    /// Apply an operator's override of a site.
    ApplySiteOverride(SiteOverride),
}

/// Settings of a gateway's agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The gateway's name, site and incarnation, and whether it may lead elections.
    pub open_session: wire::OpenSession,
    /// The number of replicas.
    pub replica_count: usize,
    /// Time between reports.
    pub report_interval: TimeDelta,
    /// Seed of random choices.
    pub seed: u64,
}

/// One gateway's part in the fleet.
#[derive(Debug)]
pub struct GatewayAgent {
    session: SessionClient,
    rule_store: access::RuleStore,
    statistics: CallStatistics,
    connection: ReplicaConnection,
    rng: Rng,
    report_interval: TimeDelta,
    report_at: Timestamp,
    /// A read of proposals is under way.
    is_reading_proposals: bool,
    /// The session was valid at the last tick.
    was_session_valid: bool,
    actions: Vec<AgentAction>,
}

impl GatewayAgent {
    /// Begins with the state that the gateway cached before it was started, and without a connection.
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

    /// The place of the replica that it is connected to, or connects to next.
    pub fn replica_index(&self) -> usize {
        self.connection.replica_index()
    }

    /// Whether the replicated state was ever received. Without it no call may be admitted, as it is not known what is denied.
    pub fn has_state(&self) -> bool {
        self.session.has_state()
    }

    /// Takes what is to be done now, in order.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        let messages = self.session.take_messages().into_iter();
        self.actions
            .extend(messages.map(|message| AgentAction::Send(Box::new(message))));
        std::mem::take(&mut self.actions)
    }

    // ---- calls ----

    /// Decides about a call at its arrival, and counts it under the version of the service that the caller speaks.
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

    /// Decides whether a call that was admitted before may continue.
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

    /// The connection that was asked for is established. Nothing is sent on it before [`GatewayAgent::on_stream_accepted`].
    pub fn on_connected(&mut self, now: Timestamp) {
        self.connection.on_connected(now);
    }

    /// The replica was heard on the connection: it accepted the session's stream.
    ///
    /// Only now is the session opened. A gateway that is heard but hears nothing would otherwise open one session after another at
    /// the replicas: elections would be led by a gateway that may not act, and rule sets would wait for it to apply them.
    pub fn on_stream_accepted(&mut self, now: Timestamp) {
        self.connection.on_message(now);
        self.is_reading_proposals = false;
        self.session.on_connected();
    }

    /// The connection failed, or is lost.
    pub fn on_connection_lost(&mut self, now: Timestamp) {
        self.session.on_disconnected();
        self.is_reading_proposals = false;
        self.connection.switch_replica(&mut self.rng, now);
    }

    /// Time passes.
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

    /// How long a replica may be silent: half of a lease is left for another one then.
    fn silence_timeout(&self) -> TimeDelta {
        let half_lease = self.session.lease_terms().half_lease();
        if self.session.is_open() {
            half_lease
        } else {
            half_lease.min(MAX_SESSION_OPEN_TIMEOUT)
        }
    }

    /// Takes a message of the replica in.
    pub fn receive(&mut self, now: Timestamp, message: ServerMessage) {
        self.connection.on_message(now);
        let outcome = self.session.receive(now, message);
        if let Some(update) = outcome.update {
            self.on_state_updated(update);
        }
        if outcome.is_report_acknowledged {
            self.rule_store.hits().confirm_report();
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
        // An older version is one of another fleet's state, whose versions begin anew.
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
        if !self.rule_store.hits().has_changes() && self.statistics.is_empty() {
            return;
        }
        let hits = self
            .rule_store
            .report_hits(CUSTOMERS_PER_REPORT)
            .into_iter();
        let mut report = wire::Report {
            hits: hits.map(hit_line_to_wire).collect(),
            ..wire::Report::default()
        };
        self.statistics.drain_into(&mut report);
        self.session.send_report(report);
    }

    /// The cache file holds the state up to this version. To be called at the start, too, if there is a cache file.
    pub fn on_state_persisted(&mut self, now: Timestamp, version: u64) {
        self.session.on_state_persisted(now, version);
    }

    /// The gateway is about to stop: others lead its elections at once.
    pub fn resign(&mut self) {
        self.session.resign();
    }

    /// The gateway stops.
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
