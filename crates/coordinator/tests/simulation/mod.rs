//! Deterministic simulation of a fleet in one process, in simulated time. Replicas, gateway agents and fencing guards are the real
//! ones. The simulation injects message delay, loss, duplication and one-way partitions, stalls, crashes, loss of unsynced disk
//! writes, and clock drift. A seed determines a run exactly.

mod clock;
mod faults;
mod gateways;
mod invariants;
mod network;
mod operators;
mod replicas;

pub use faults::Fault;

use chalkdeck_coordinator::replica::StartMode;
use chalkdeck_leader_election::{FencingGuard, FencingToken, LeaseTerms};
use chalkdeck_time::TimeDelta;
use clock::Clock;
use fastrand::Rng;
use gateways::GatewayNode;
use network::{Links, Message};
use operators::{CompletedCommand, OperatorNode};
use replicas::ReplicaNode;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

/// A millisecond and a second of simulated time, in microseconds.
pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// The election whose leader sends effects to the external resource.
pub const EFFECTS_ELECTION: &str = "effects";
pub const LEASE_TERMS: LeaseTerms = LeaseTerms {
    lease: TimeDelta::from_secs(2),
    drift_ppm: 10_000,
};
const OPERATOR_COUNT: usize = 2;
const REPLICA_TICK_INTERVAL: u64 = 20 * MILLISECOND;
const GATEWAY_TICK_INTERVAL: u64 = 25 * MILLISECOND;
const OPERATOR_TICK_INTERVAL: u64 = 100 * MILLISECOND;

/// An endpoint of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Replica(usize),
    Gateway(usize),
    /// The external resource that the leader's effects are sent to.
    Resource,
    Operator(usize),
}

#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "few events are under way at a time"
)]
enum Event {
    Tick(Node),
    Deliver {
        from: Node,
        to: Node,
        /// The stream that carries the message; 0 if none does.
        stream: u64,
        message: Message,
    },
    /// A leader sends its effect, based on an earlier check of its lease.
    SendEffect {
        gateway: usize,
        token: FencingToken,
        start_count: u64,
    },
    /// The fault with this index.
    Fault(usize),
}

/// An event with its time. Events at the same time occur in the order in which they were scheduled.
struct ScheduledEvent {
    at: u64,
    serial: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

#[derive(Default)]
pub struct Simulation {
    /// The simulated time, in microseconds.
    pub now: u64,
    serial: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    rng: Rng,
    replicas: Vec<ReplicaNode>,
    gateways: Vec<GatewayNode>,
    operators: Vec<OperatorNode>,
    resource: FencingGuard,
    /// The gateway that sent effects under each fencing token.
    gateway_by_token: BTreeMap<FencingToken, usize>,
    pub effects: u64,
    pub rejected_effects: u64,
    links: Links,
    faults: Vec<Fault>,
    pub history: Vec<CompletedCommand>,
    /// Versions in force of rule sets that deny calls without a session, by customer.
    in_force: BTreeMap<String, u64>,
    /// Invariants that were violated.
    pub violations: Vec<String>,
    /// When [`EFFECTS_ELECTION`] last had a leader.
    last_led_at: u64,
    pub sets_in_force: u64,
    /// Calls that rules decided: at all gateways, and at gateways that were killed since.
    hits: u64,
    hits_of_killed_gateways: u64,
    /// Whether gateways receive no more calls.
    pub are_calls_stopped: bool,
    proposal_count: u64,
}

impl Simulation {
    pub fn new(seed: u64, replica_count: usize, gateway_count: usize) -> Simulation {
        let mut simulation = Simulation {
            rng: Rng::with_seed(seed).fork(),
            ..Simulation::default()
        };
        for replica in 0..replica_count {
            simulation.add_replica(seed, replica, replica_count);
        }
        for gateway in 0..gateway_count {
            simulation.add_gateway(gateway);
        }
        for operator in 0..OPERATOR_COUNT {
            simulation.add_operator(operator);
        }
        simulation
    }

    fn add_replica(&mut self, seed: u64, replica: usize, replica_count: usize) {
        let clock = Clock::random(&mut self.rng);
        let disk_seed = seed.wrapping_mul(31) + replica as u64;
        self.replicas
            .push(ReplicaNode::new(disk_seed, clock, replica_count));
        self.start_replica(replica, StartMode::Bootstrap);
        self.schedule(
            replica as u64 * 3 * MILLISECOND,
            Event::Tick(Node::Replica(replica)),
        );
    }

    fn add_gateway(&mut self, gateway: usize) {
        let clock = Clock::random(&mut self.rng);
        self.gateways.push(GatewayNode::new(clock));
        self.start_gateway(gateway);
        self.schedule(
            gateway as u64 * 7 * MILLISECOND,
            Event::Tick(Node::Gateway(gateway)),
        );
    }

    fn add_operator(&mut self, operator: usize) {
        let caller = self.rng.u64(1..);
        self.operators.push(OperatorNode::new(caller));
        let after = SECOND + operator as u64 * 13 * MILLISECOND;
        self.schedule(after, Event::Tick(Node::Operator(operator)));
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse(ScheduledEvent {
            at: self.now + after,
            serial: self.serial,
            event,
        }));
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, at: u64, fault: Fault) {
        self.faults.push(fault);
        let index = self.faults.len() - 1;
        let after = at.saturating_sub(self.now);
        self.schedule(after, Event::Fault(index));
    }

    pub fn run_until(&mut self, until: u64) {
        while self.violations.is_empty() {
            let next = self.events.peek();
            if next.is_none_or(|Reverse(next)| next.at > until) {
                break;
            }
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            self.handle_event(next.event);
            self.check_invariants();
        }
        self.now = self.now.max(until);
    }

    fn stalled_until(&self, node: Node) -> u64 {
        match node {
            Node::Replica(replica) => self.replicas[replica].stalled_until,
            Node::Gateway(gateway) => self.gateways[gateway].stalled_until,
            Node::Resource | Node::Operator(_) => 0,
        }
    }

    fn handle_event(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Deliver { to: node, .. } => Some(*node),
            Event::SendEffect { gateway, .. } => Some(Node::Gateway(*gateway)),
            Event::Fault(_) => None,
        };
        // Events of a stalled node are postponed to the end of the stall.
        let stalled_until = node.map_or(0, |node| self.stalled_until(node));
        if stalled_until > self.now {
            return self.schedule(stalled_until - self.now, event);
        }
        match event {
            Event::Tick(node) => self.handle_tick(node),
            Event::Deliver {
                from,
                to,
                stream,
                message,
            } => self.deliver(from, to, stream, message),
            Event::SendEffect {
                gateway,
                token,
                start_count,
            } => self.send_effect(gateway, token, start_count),
            Event::Fault(index) => self.inject(self.faults[index]),
        }
    }

    fn handle_tick(&mut self, node: Node) {
        match node {
            Node::Replica(replica) => {
                self.schedule(REPLICA_TICK_INTERVAL, Event::Tick(node));
                self.replica_turn(replica, |core| core.tick());
            }
            Node::Gateway(gateway) => {
                self.schedule(GATEWAY_TICK_INTERVAL, Event::Tick(node));
                self.gateway_tick(gateway);
            }
            Node::Operator(operator) => {
                self.schedule(OPERATOR_TICK_INTERVAL, Event::Tick(node));
                self.operator_tick(operator);
            }
            Node::Resource => {}
        }
    }
}
