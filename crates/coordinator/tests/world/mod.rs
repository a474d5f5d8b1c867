//! A fleet in simulated time in one deterministic process: the shipped keepers, sessions and gates; links with delay, loss, repeats
//! and cuts of either way; stalls, crashes, disks that forget what was not synced, clocks that drift. A seed replays a run exactly.
#![allow(dead_code, clippy::large_enum_variant)]

mod faults;
mod fleet;

use chalkdeck_access::Call;
use chalkdeck_coordinator::core::{Asker, Keeper, Out, Set, Start};
use chalkdeck_coordinator::journal::{Begun, Journal};
use chalkdeck_coordinator::member::{Act, Member, Set as MemberSet};
use chalkdeck_coordinator::session::Held;
use chalkdeck_coordinator::state::{REGISTRAR, TALLY};
use chalkdeck_leader_election::{FencingGuard, FencingToken, LeaseTerms};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::TimeDelta;
use chalkdeck_wal::simulated_disk::SimulatedDisk;
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use wire::command::What;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// The duty whose effects go to the outside sink.
pub const LAB: &str = "lab";
pub const TERMS: LeaseTerms = LeaseTerms {
    lease: TimeDelta::from_secs(2),
    drift_ppm: 10_000,
};

/// Who is at an end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Keeper(usize),
    Gateway(usize),
    Sink,
    Operator(usize),
}

#[derive(Debug, Clone)]
enum Message {
    Between(wire::Between),
    AskMembers(usize, wire::LookRequest),
    Members(wire::LookAnswer),
    Up(u64, wire::Up),
    Down(u64, wire::Down),
    Tell(u64, wire::Command),
    Told(u64, wire::Answer),
    Look(u64, wire::LookRequest),
    Looked(u64, wire::LookAnswer),
    /// Gateway, token, and the number of the effect.
    Effect(usize, u64, u64),
}

#[derive(Debug)]
enum Event {
    Tick(Node),
    Deliver(Node, Node, u64, Message),
    /// A gateway acts on a look that it took earlier.
    Act(usize, u64, u64),
    Fault(usize),
}

struct Timed(u64, u64, Event);
impl PartialEq for Timed {
    fn eq(&self, o: &Timed) -> bool {
        (self.0, self.1) == (o.0, o.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, o: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Timed {
    fn cmp(&self, o: &Timed) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(o.0, o.1))
    }
}

/// A clock of its own: where it began, and by how many millionths it is fast.
#[derive(Clone, Copy, Debug)]
struct Clock {
    offset: u64,
    fast: i64,
}
impl Clock {
    fn at(&self, real: u64) -> u64 {
        let more = real as i128 * i128::from(self.fast) / 1_000_000;
        (i128::from(self.offset) + i128::from(real) + more) as u64
    }
}

struct KeeperNode {
    core: Option<Keeper>,
    journal: Option<Journal<SimulatedDisk>>,
    disk: SimulatedDisk,
    clock: Clock,
    stalled: u64,
    starts: u64,
    /// A copy of the disk from earlier.
    copy: Option<SimulatedDisk>,
    /// Which stream is which gateway's, and which asker's.
    streams: BTreeMap<Asker, (Node, u64)>,
}

pub struct GatewayNode {
    pub member: Option<Member>,
    clock: Clock,
    stalled: u64,
    life: u64,
    stream: u64,
    keeper: usize,
    kept: Held,
    acted: u64,
    /// Calls that rules decided in this life.
    hits: u64,
}

/// A customer's command, as the history has it.
#[derive(Clone, Debug)]
pub struct Done {
    pub operator: usize,
    pub begun: u64,
    pub ended: u64,
    pub id: u64,
}

struct OperatorNode {
    caller: u64,
    number: u64,
    begun: u64,
    sent: u64,
    waiting: Option<wire::Command>,
    /// A set that was proposed, whose verdict and state are asked for.
    watched: Option<u64>,
}

/// One thing that befalls the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Cut(Node, Node),
    Heal(Node, Node),
    HealAll,
    Loss(u8),
    Crash(usize),
    Start(usize),
    LoseDisk(usize),
    CopyDisk(usize),
    OldDisk(usize),
    Stall(Node, u64),
    KillGateway(usize),
    StartGateway(usize),
    EndGateway(usize),
    DiskFull(usize),
}

pub struct World {
    pub now: u64,
    serial: u64,
    events: BinaryHeap<Reverse<Timed>>,
    pub rng: Rng,
    count: usize,
    keepers: Vec<KeeperNode>,
    pub gateways: Vec<GatewayNode>,
    operators: Vec<OperatorNode>,
    sink: FencingGuard,
    /// Who acted under a token.
    tokens: BTreeMap<u64, usize>,
    pub effects: u64,
    pub refused_effects: u64,
    cut: BTreeSet<(Node, Node)>,
    /// Streams that lost something, and when the last of each arrives.
    dead: BTreeSet<u64>,
    last: BTreeMap<(Node, Node, u64), u64>,
    loss: u8,
    faults: Vec<Fault>,
    pub history: Vec<Done>,
    /// Sets in force with DENY: the version, by customer.
    pub in_force: BTreeMap<String, u64>,
    pub broken: Vec<String>,
    /// When the lab's duty was last not held, in real time.
    pub unheld: u64,
    pub applied_in_force: u64,
    /// Calls that rules decided, of all lives, and of those that were killed; none come once it is quiet.
    pub hits: u64,
    pub hits_killed: u64,
    pub quiet: bool,
    proposals: u64,
}

impl World {
    pub fn new(seed: u64, keepers: usize, gateways: usize) -> World {
        let mut rng = Rng::with_seed(seed);
        let mut world = World {
            now: 0,
            serial: 0,
            events: BinaryHeap::new(),
            count: keepers,
            keepers: Vec::new(),
            gateways: Vec::new(),
            operators: Vec::new(),
            sink: FencingGuard::default(),
            tokens: BTreeMap::new(),
            effects: 0,
            refused_effects: 0,
            cut: BTreeSet::new(),
            dead: BTreeSet::new(),
            last: BTreeMap::new(),
            loss: 0,
            faults: Vec::new(),
            history: Vec::new(),
            in_force: BTreeMap::new(),
            broken: Vec::new(),
            unheld: 0,
            applied_in_force: 0,
            hits: 0,
            hits_killed: 0,
            quiet: false,
            proposals: 0,
            rng: rng.fork(),
        };
        for k in 0..keepers {
            let disk = SimulatedDisk::new(seed.wrapping_mul(31) + k as u64);
            let clock = world.clock();
            let node = KeeperNode {
                core: None,
                journal: None,
                disk,
                clock,
                stalled: 0,
                starts: 0,
                copy: None,
                streams: BTreeMap::new(),
            };
            world.keepers.push(node);
            world.start_keeper(k, Start::First);
            world.at(k as u64 * 3 * MS, Event::Tick(Node::Keeper(k)));
        }
        for g in 0..gateways {
            let clock = world.clock();
            let node = GatewayNode {
                member: None,
                clock,
                stalled: 0,
                life: 0,
                stream: 0,
                keeper: 0,
                kept: Held::default(),
                acted: 0,
                hits: 0,
            };
            world.gateways.push(node);
            world.start_gateway(g);
            world.at(g as u64 * 7 * MS, Event::Tick(Node::Gateway(g)));
        }
        for o in 0..2 {
            let caller = world.rng.u64(1..);
            let node = OperatorNode {
                caller,
                number: 0,
                begun: 0,
                sent: 0,
                waiting: None,
                watched: None,
            };
            world.operators.push(node);
            world.at(S + o as u64 * 13 * MS, Event::Tick(Node::Operator(o)));
        }
        world
    }

    fn clock(&mut self) -> Clock {
        // Within the drift that was agreed on; steps of the date do not exist, as nobody reads it.
        Clock {
            offset: self.rng.u64(S..1_000 * S),
            fast: self.rng.i64(-9_900..=9_900),
        }
    }

    fn at(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.events
            .push(Reverse(Timed(self.now + after, self.serial, event)));
    }

    /// A fault at its time.
    pub fn fault(&mut self, at: u64, fault: Fault) {
        self.faults.push(fault);
        let place = self.faults.len() - 1;
        let after = at.saturating_sub(self.now);
        self.at(after, Event::Fault(place));
    }

    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse(Timed(at, ..))) = self.events.peek() {
            if *at > until || !self.broken.is_empty() {
                break;
            }
            let Some(Reverse(Timed(at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.event(event);
            self.check();
        }
        self.now = self.now.max(until);
    }

    fn stalled(&self, node: Node) -> u64 {
        match node {
            Node::Keeper(k) => self.keepers[k].stalled,
            Node::Gateway(g) => self.gateways[g].stalled,
            _ => 0,
        }
    }

    fn event(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Deliver(_, node, ..) => Some(*node),
            Event::Act(g, ..) => Some(Node::Gateway(*g)),
            Event::Fault(_) => None,
        };
        // A node that stands still finds everything when it wakes.
        let until = node.map_or(0, |n| self.stalled(n));
        if until > self.now {
            let after = until - self.now;
            return self.at(after, event);
        }
        match event {
            Event::Tick(Node::Keeper(k)) => {
                self.at(20 * MS, Event::Tick(Node::Keeper(k)));
                self.keeper(k, |core, _| core.tick());
            }
            Event::Tick(Node::Gateway(g)) => {
                self.at(25 * MS, Event::Tick(Node::Gateway(g)));
                self.gateway_tick(g);
            }
            Event::Tick(Node::Operator(o)) => {
                self.at(100 * MS, Event::Tick(Node::Operator(o)));
                self.operator_tick(o);
            }
            Event::Tick(Node::Sink) => {}
            Event::Deliver(from, to, stream, message) => self.deliver(from, to, stream, message),
            Event::Act(g, token, life) => self.act(g, token, life),
            Event::Fault(place) => self.befall(self.faults[place]),
        }
    }

    // ---- links ----

    fn send(&mut self, from: Node, to: Node, message: Message) {
        let times = if self.loss > 0 && stream_of(&message).is_none() {
            match self.rng.u8(0..100) {
                n if n < self.loss => 0,
                n if n < self.loss + 5 => 2,
                _ => 1,
            }
        } else {
            1
        };
        if let Some(stream) = stream_of(&message) {
            // In order; a stream that lost something never goes on.
            let after = self.rng.u64(500..3 * MS);
            let last = self.last.entry((from, to, stream)).or_default();
            *last = (*last + 1).max(self.now + after);
            let after = *last - self.now;
            return self.at(after, Event::Deliver(from, to, stream, message));
        }
        for _ in 0..times {
            let slow = if self.loss > 0 {
                self.rng.u64(0..200 * MS)
            } else {
                0
            };
            let delay = self.rng.u64(500..3 * MS) + slow;
            self.at(delay, Event::Deliver(from, to, 0, message.clone()));
        }
    }

    fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cut.contains(&(from, to))
    }

    fn deliver(&mut self, from: Node, to: Node, stream: u64, message: Message) {
        if self.is_cut(from, to) {
            self.dead.insert(stream);
            return;
        }
        if stream > 0 && self.dead.contains(&stream) {
            return;
        }
        match (to, message) {
            (Node::Keeper(k), Message::Between(between)) => {
                self.keeper(k, |core, _| core.heard(&between))
            }
            (Node::Keeper(k), Message::AskMembers(asker, request)) => {
                let mut answer = None;
                self.keeper(k, |core, _| {
                    core.look(Asker(u64::MAX), &request);
                    let outs = core.take_out();
                    let mut rest = Vec::new();
                    for out in outs {
                        match out {
                            Out::Looked(Asker(u64::MAX), looked) => answer = Some(*looked),
                            other => rest.push(other),
                        }
                    }
                    core.put_back(rest);
                });
                if let Some(answer) = answer {
                    self.send(to, Node::Keeper(asker), Message::Members(answer));
                }
            }
            (Node::Keeper(k), Message::Members(answer)) => {
                self.keeper(k, |core, _| core.members(&answer))
            }
            (Node::Keeper(k), Message::Up(stream, up)) => {
                let asker = Asker(stream);
                self.keepers[k].streams.insert(asker, (from, stream));
                self.keeper(k, |core, _| core.up(asker, up));
            }
            (Node::Keeper(k), Message::Tell(stream, command)) => {
                let asker = call_of(from, stream);
                self.keepers[k].streams.insert(asker, (from, stream));
                self.keeper(k, |core, _| core.tell(asker, command));
            }
            (Node::Keeper(k), Message::Look(stream, request)) => {
                let asker = call_of(from, stream);
                self.keepers[k].streams.insert(asker, (from, stream));
                self.keeper(k, |core, _| core.look(asker, &request));
            }
            (Node::Gateway(g), Message::Down(stream, down)) => self.down(g, stream, down),
            (Node::Operator(o), Message::Told(number, answer)) => self.told(o, number, answer),
            (Node::Operator(o), Message::Looked(_, answer)) => self.looked(o, answer),
            (Node::Sink, Message::Effect(g, token, _)) => self.effect(g, token),
            _ => {}
        }
    }
}

/// Operators number their calls each for itself.
fn call_of(from: Node, call: u64) -> Asker {
    let Node::Operator(o) = from else {
        return Asker(call);
    };
    Asker((o as u64 + 1) << 48 | call)
}

/// Streams and calls run over connections: what comes is in order, or not at all.
fn stream_of(message: &Message) -> Option<u64> {
    match message {
        Message::Up(stream, _) | Message::Down(stream, _) => Some(*stream),
        _ => None,
    }
}
