//! Gateways as nodes of the simulation, and the resource that their effects go to.

use super::clock::Clock;
use super::network::Message;
use super::{Event, Node, Simulation, LAB, MS, TERMS};
use chalkdeck_access::Call;
use chalkdeck_coordinator::agent::{AgentAction, AgentSettings, GatewayAgent};
use chalkdeck_coordinator::protocol::{wire, ServerMessage};
use chalkdeck_coordinator::session::CachedState;
use chalkdeck_leader_election::FencingToken;
use chalkdeck_time::TimeDelta;

const REPORT_INTERVAL: TimeDelta = TimeDelta::from_micros(300 * MS);
const SITES: [&str; 3] = ["north", "south", "west"];
/// The customer whose calls are counted.
pub(super) const CUSTOMER: &str = "c0";
/// Of 256 ticks, how many bring a call, and how many stall the leader between its check and its act.
const CALL_ODDS: u8 = 40;
const STALL_ODDS: u8 = 4;

pub(super) struct GatewayNode {
    pub(super) agent: Option<GatewayAgent>,
    pub(super) clock: Clock,
    pub(super) stalled_until: u64,
    life: u64,
    stream: u64,
    /// The replica that it is connected to.
    replica: usize,
    /// The state in its cache file.
    persisted: CachedState,
    /// Calls that rules decided in this life.
    pub(super) hits: u64,
}

impl GatewayNode {
    pub(super) fn new(clock: Clock) -> GatewayNode {
        GatewayNode {
            agent: None,
            clock,
            stalled_until: 0,
            life: 0,
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
        node.life += 1;
        let settings = AgentSettings {
            open_session: wire::OpenSession {
                gateway: format!("g{gateway}"),
                site: SITES[gateway % SITES.len()].into(),
                incarnation: (gateway as u64 + 1) << 20 | node.life,
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
        if !self.quiet && self.rng.u8(..) < CALL_ODDS && agent.rule_store().get(CUSTOMER).is_some()
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
        if let Some(token) = agent.session().leader_token(LAB, now) {
            let life = node.life;
            self.schedule_act(gateway, token, life);
        }
        self.carry_out(gateway);
    }

    /// The leader has checked its lease; it may stall before it acts.
    fn schedule_act(&mut self, gateway: usize, token: FencingToken, life: u64) {
        let stall = if self.rng.u8(..) < STALL_ODDS {
            self.rng.u64(0..3 * TERMS.lease.as_micros())
        } else {
            0
        };
        let act = Event::Act {
            gateway,
            token,
            life,
        };
        self.schedule(stall, act);
    }

    pub(super) fn act(&mut self, gateway: usize, token: FencingToken, life: u64) {
        let node = &self.gateways[gateway];
        if node.life != life || node.agent.is_none() {
            return;
        }
        let effect = Message::Effect { gateway, token };
        self.send(Node::Gateway(gateway), Node::Resource, effect);
    }

    /// An effect arrives at the resource.
    pub(super) fn effect(&mut self, gateway: usize, token: FencingToken) {
        if self.resource.check(token).is_err() {
            self.rejected_effects += 1;
            return;
        }
        self.effects += 1;
        let owner = *self.token_owners.entry(token).or_insert(gateway);
        if owner != gateway {
            let token = token.0;
            self.violations
                .push(format!("token {token} was g{owner}'s and is g{gateway}'s"));
        }
    }

    /// Carries out what a gateway has to do, until nothing follows.
    pub(super) fn carry_out(&mut self, gateway: usize) {
        while let Some(agent) = &mut self.gateways[gateway].agent {
            let actions = agent.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out_action(gateway, action);
            }
        }
    }

    /// A connection is established as soon as it is asked for; one that is cut carries nothing, so the stream on it is not accepted.
    fn carry_out_action(&mut self, gateway: usize, action: AgentAction) {
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

    pub(super) fn stream_accepted(&mut self, gateway: usize, stream: u64) {
        let node = &mut self.gateways[gateway];
        let now = node.clock.at(self.now);
        let is_present = stream == node.stream;
        if let Some(agent) = node.agent.as_mut().filter(|_| is_present) {
            agent.on_stream_accepted(now);
            self.carry_out(gateway);
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
        let is_present = stream == node.stream;
        if let Some(agent) = node.agent.as_mut().filter(|_| is_present) {
            agent.receive(now, message);
            self.carry_out(gateway);
        }
    }
}
