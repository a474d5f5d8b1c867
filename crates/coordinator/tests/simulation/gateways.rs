//! Gateways as nodes of the simulation, and the resource that the leader's effects are sent to.

use super::clock::Clock;
use super::network::Message;
use super::{Event, Node, Simulation, EFFECTS_ELECTION, LEASE_TERMS, MILLISECOND};
use chalkdeck_access::Call;
use chalkdeck_coordinator::agent::{AgentAction, AgentSettings, GatewayAgent};
use chalkdeck_coordinator::protocol::{wire, ServerMessage};
use chalkdeck_coordinator::session::CachedState;
use chalkdeck_leader_election::FencingToken;
use chalkdeck_time::TimeDelta;

const REPORT_INTERVAL: TimeDelta = TimeDelta::from_micros(300 * MILLISECOND);
const SITES: [&str; 3] = ["north", "south", "west"];
/// The customer whose calls are counted.
pub(super) const CUSTOMER: &str = "c0";
/// Number of ticks out of 256 on which a gateway receives a call, and on which the leader stalls between its lease check and its
/// effect.
const CALL_TICKS_OF_256: u8 = 40;
const STALL_TICKS_OF_256: u8 = 4;

pub(super) struct GatewayNode {
    pub(super) agent: Option<GatewayAgent>,
    pub(super) clock: Clock,
    pub(super) stalled_until: u64,
    start_count: u64,
    stream: u64,
    /// The replica that the gateway is connected to.
    replica: usize,
    /// The content of the gateway's cache file.
    persisted: CachedState,
    /// Calls that rules decided since the last start.
    pub(super) hits: u64,
}

impl GatewayNode {
    pub(super) fn new(clock: Clock) -> GatewayNode {
        GatewayNode {
            agent: None,
            clock,
            stalled_until: 0,
            start_count: 0,
            stream: 0,
            replica: 0,
            persisted: CachedState::default(),
            hits: 0,
        }
    }
}

impl Simulation {
    pub(super) fn start_gateway(&mut self, gateway: usize) {
        let replica_count = self.replicas.len();
        let node = &mut self.gateways[gateway];
        node.start_count += 1;
        let settings = AgentSettings {
            open_session: wire::OpenSession {
                gateway: format!("g{gateway}"),
                site: SITES[gateway % SITES.len()].into(),
                incarnation: (gateway as u64 + 1) << 20 | node.start_count,
                candidate: true,
            },
            replica_count,
            report_interval: REPORT_INTERVAL,
            seed: self.rng.u64(..),
        };
        let now = node.clock.at(self.now);
        let mut agent = GatewayAgent::new(settings, node.persisted.clone(), now);
        agent.on_state_persisted(now, node.persisted.version);
        node.agent = Some(agent);
        node.hits = 0;
        node.stream = 0;
    }

    pub(super) fn gateway_tick(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        let now = node.clock.at(self.now);
        let Some(agent) = &mut node.agent else {
            return;
        };
        agent.tick(now);
        if !self.are_calls_stopped
            && self.rng.u8(..) < CALL_TICKS_OF_256
            && agent.rule_store().get(CUSTOMER).is_some()
        {
            let call = Call {
                caller_region: "eu",
                gateway_region: "north",
                path: "/farm.v1.Farm/View",
                class: "view",
            };
            agent.admit_call(now, CUSTOMER, &call, None);
            node.hits += 1;
            self.hits += 1;
        }
        if let Some(token) = agent.session().leader_token(EFFECTS_ELECTION, now) {
            let start_count = node.start_count;
            self.schedule_effect(gateway, token, start_count);
        }
        self.perform_actions(gateway);
    }

    /// Schedules the leader's effect after it checked its lease; the leader may stall in between.
    fn schedule_effect(&mut self, gateway: usize, token: FencingToken, start_count: u64) {
        let stall = if self.rng.u8(..) < STALL_TICKS_OF_256 {
            self.rng.u64(0..3 * LEASE_TERMS.lease.as_micros())
        } else {
            0
        };
        let event = Event::SendEffect {
            gateway,
            token,
            start_count,
        };
        self.schedule(stall, event);
    }

    pub(super) fn send_effect(&mut self, gateway: usize, token: FencingToken, start_count: u64) {
        let node = &self.gateways[gateway];
        if node.start_count != start_count || node.agent.is_none() {
            return;
        }
        let effect = Message::Effect { gateway, token };
        self.send(Node::Gateway(gateway), Node::Resource, effect);
    }

    /// Handles an effect that arrives at the resource.
    pub(super) fn receive_effect(&mut self, gateway: usize, token: FencingToken) {
        if self.resource.check(token).is_err() {
            self.rejected_effects += 1;
            return;
        }
        self.effects += 1;
        let token_gateway = *self.gateway_by_token.entry(token).or_insert(gateway);
        if token_gateway != gateway {
            let token = token.0;
            self.violations.push(format!(
                "token {token} was used by g{token_gateway} and by g{gateway}"
            ));
        }
    }

    /// Performs the actions that a gateway agent requests, until it requests no more.
    pub(super) fn perform_actions(&mut self, gateway: usize) {
        while let Some(agent) = &mut self.gateways[gateway].agent {
            let actions = agent.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform_action(gateway, action);
            }
        }
    }

    /// Performs one action. A requested connection is established at once; if the link is cut, the connection drops all messages, so
    /// the stream on it is not accepted.
    fn perform_action(&mut self, gateway: usize, action: AgentAction) {
        let node = &mut self.gateways[gateway];
        let now = node.clock.at(self.now);
        let Some(agent) = &mut node.agent else {
            return;
        };
        match action {
            AgentAction::Connect(replica) => {
                node.replica = replica;
                node.stream = self.rng.u64(1..u64::MAX);
                agent.on_connected(now);
                let to = Node::Replica(replica);
                let message = Message::OpenStream(node.stream);
                self.send(Node::Gateway(gateway), to, message);
            }
            AgentAction::Send(message) => {
                let to = Node::Replica(node.replica);
                let message = Message::FromGateway(node.stream, *message);
                self.send(Node::Gateway(gateway), to, message);
            }
            AgentAction::Persist(_) => {
                node.persisted = agent.session().state().clone();
                agent.on_state_persisted(now, node.persisted.version);
            }
            AgentAction::RecheckStreams(_)
            | AgentAction::RecheckAllStreams
            | AgentAction::ContractsChanged
            | AgentAction::ApplySiteOverride(_) => {}
        }
    }

    pub(super) fn on_stream_accepted(&mut self, gateway: usize, stream: u64) {
        let node = &mut self.gateways[gateway];
        let now = node.clock.at(self.now);
        let is_current = stream == node.stream;
        if let Some(agent) = node.agent.as_mut().filter(|_| is_current) {
            agent.on_stream_accepted(now);
            self.perform_actions(gateway);
        }
    }

    pub(super) fn receive_at_gateway(
        &mut self,
        gateway: usize,
        stream: u64,
        message: ServerMessage,
    ) {
        let node = &mut self.gateways[gateway];
        let now = node.clock.at(self.now);
        let is_current = stream == node.stream;
        if let Some(agent) = node.agent.as_mut().filter(|_| is_current) {
            agent.receive(now, message);
            self.perform_actions(gateway);
        }
    }
}
