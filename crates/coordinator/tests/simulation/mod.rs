//! A fleet in simulated time in one deterministic process: the real replicas, gateway agents and fencing guards; links with delay,
//! loss, repeats and one-way cuts; stalls, crashes, disks that forget what was not synced, clocks that drift. A seed replays a run
//! exactly.

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

/// Microseconds in a millisecond and a second of simulated time.
pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// The election whose leader's effects go to the resource outside the fleet.
pub const LAB: &str = "lab";
pub const TERMS: LeaseTerms = LeaseTerms {
    lease: TimeDelta::from_secs(2),
    drift_ppm: 10_000,
};
const OPERATORS: usize = 2;
const REPLICA_TICK: u64 = 20 * MS;
const GATEWAY_TICK: u64 = 25 * MS;
const OPERATOR_TICK: u64 = 100 * MS;

/// Who is at an end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Replica(usize),
    Gateway(usize),
    /// The resource that the leader's effects go to.
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
        /// The stream that the message is on; 0: none.
        stream: u64,
        message: Message,
    },
    /// A gateway acts on a check of its lease that it made earlier.
    Act {
        gateway: usize,
        token: FencingToken,
        life: u64,
    },
    Fault(usize),
}

/// An event at its time; of those at one time, the one that was scheduled first is the first.
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
    /// The true time, in microseconds.
    pub now: u64,
    serial: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    rng: Rng,
    replicas: Vec<ReplicaNode>,
    gateways: Vec<GatewayNode>,
    operators: Vec<OperatorNode>,
    resource: FencingGuard,
    /// Which gateway acted under a token.
    token_owners: BTreeMap<FencingToken, usize>,
    pub effects: u64,
    pub rejected_effects: u64,
    links: Links,
    faults: Vec<Fault>,
    pub history: Vec<CompletedCommand>,
    /// Versions of rule sets in force that deny without a session, by customer.
    in_force: BTreeMap<String, u64>,
    /// Invariants that were violated.
    pub violations: Vec<String>,
    /// When somebody led the lab's election for the last time.
    last_led: u64,
    pub sets_in_force: u64,
    /// Calls that rules decided, of all lives and of those that were killed; none come once it is quiet.
    hits: u64,
    hits_of_killed: u64,
    pub quiet: bool,
    proposals: u64,
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
        for operator in 0..OPERATORS {
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
        self.schedule(replica as u64 * 3 * MS, Event::Tick(Node::Replica(replica)));
    }

    fn add_gateway(&mut self, gateway: usize) {
        let clock = Clock::random(&mut self.rng);
        self.gateways.push(GatewayNode::new(clock));
        self.start_gateway(gateway);
        self.schedule(gateway as u64 * 7 * MS, Event::Tick(Node::Gateway(gateway)));
    }

    fn add_operator(&mut self, operator: usize) {
        let caller = self.rng.u64(1..);
        self.operators.push(OperatorNode::new(caller));
        let after = S + operator as u64 * 13 * MS;
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

    /// Has a fault happen at its time.
    pub fn schedule_fault(&mut self, at: u64, fault: Fault) {
        self.faults.push(fault);
        let place = self.faults.len() - 1;
        let after = at.saturating_sub(self.now);
        self.schedule(after, Event::Fault(place));
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
            self.on_event(next.event);
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

    fn on_event(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Deliver { to: node, .. } => Some(*node),
            Event::Act { gateway, .. } => Some(Node::Gateway(*gateway)),
            Event::Fault(_) => None,
        };
        // A node that is stalled finds everything once it goes on.
        let stalled_until = node.map_or(0, |node| self.stalled_until(node));
        if stalled_until > self.now {
            return self.schedule(stalled_until - self.now, event);
        }
        match event {
            Event::Tick(node) => self.on_tick(node),
            Event::Deliver {
                from,
                to,
                stream,
                message,
            } => self.deliver(from, to, stream, message),
            Event::Act {
                gateway,
                token,
                life,
            } => self.act(gateway, token, life),
            Event::Fault(place) => self.inject(self.faults[place]),
        }
    }

    fn on_tick(&mut self, node: Node) {
        match node {
            Node::Replica(replica) => {
                self.schedule(REPLICA_TICK, Event::Tick(node));
                self.replica_turn(replica, |core| core.tick());
            }
            Node::Gateway(gateway) => {
                self.schedule(GATEWAY_TICK, Event::Tick(node));
                self.gateway_tick(gateway);
            }
            Node::Operator(operator) => {
                self.schedule(OPERATOR_TICK, Event::Tick(node));
                self.operator_tick(operator);
            }
            Node::Resource => {}
        }
    }
}
