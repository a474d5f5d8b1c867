//! Seeds of the simulated fleet: faults of every kind over replicas, gateways and links, then quiet.
//!
//! `SEEDS` and `FROM` in the environment choose how many seeds are run and the first of them; with `TELL` the faults are printed.

mod simulation;

use fastrand::Rng;
use simulation::{Fault, Node, Simulation, S, TERMS};

const FAULTS_START: u64 = 4 * S;
const LAST_FAULT: u64 = 20 * S;
const FAULTS_END: u64 = 24 * S;
/// Every election has a leader this long after faults end: an expiry, an election of replicas and the way there.
const RECOVERY_TIME: u64 = 8 * S;
/// Time between two changes of a link that flaps, in microseconds.
const FLAP: std::ops::Range<u64> = 30_000..400_000;

/// Faults of a seed with their times.
struct FaultPlan {
    rng: Rng,
    replica_count: usize,
    gateway_count: usize,
    faults: Vec<(u64, Fault)>,
}

impl FaultPlan {
    fn any_node(&mut self) -> Node {
        match self.rng.u8(..3) {
            0 => Node::Gateway(self.rng.usize(..self.gateway_count)),
            _ => Node::Replica(self.rng.usize(..self.replica_count)),
        }
    }

    /// A fault and its end.
    fn add(&mut self, at: u64, fault: Fault, end: u64, repair: Fault) {
        self.faults.extend([(at, fault), (end, repair)]);
    }

    fn cut(&mut self, at: u64, end: u64, from: Node, to: Node) {
        self.add(at, Fault::Cut(from, to), end, Fault::Heal(from, to));
    }

    fn cut_both_ways(&mut self, at: u64, end: u64, one: Node, other: Node) {
        self.cut(at, end, one, other);
        self.cut(at, end, other, one);
    }

    fn draw(&mut self) {
        for _ in 0..self.rng.usize(2..9) {
            let at = self.rng.u64(FAULTS_START..LAST_FAULT);
            let duration = self.rng.u64(S / 5..6 * S);
            let end = (at + duration).min(FAULTS_END);
            let replica = self.rng.usize(..self.replica_count);
            let gateway = self.rng.usize(..self.gateway_count);
            let kind = self.rng.u8(..15);
            // Alone: a disk that is lost while another replica is down may take a majority's promises along.
            if kind == 12 {
                let end = (at + 4 * S).min(FAULTS_END);
                self.faults.clear();
                let start = Fault::StartReplica(replica);
                self.add(at, Fault::LoseDisk(replica), end, start);
                return;
            }
            self.add_kind(kind, at, end, replica, gateway);
        }
    }

    fn add_kind(&mut self, kind: u8, at: u64, end: u64, replica: usize, gateway: usize) {
        let start_replica = Fault::StartReplica(replica);
        let start_gateway = Fault::StartGateway(gateway);
        match kind {
            0 | 1 => self.cut_any(at, end),
            2 => self.isolate_replica(at, end, replica),
            3 => self.isolate_gateway(at, end, gateway),
            4 => self.add(at, Fault::Loss(30), end, Fault::Loss(0)),
            5 | 6 => self.add(at, Fault::CrashReplica(replica), end, start_replica),
            7 => {
                let stall = Fault::Stall(Node::Replica(replica), end);
                self.faults.push((at, stall));
            }
            8 | 9 => {
                let stall = Fault::Stall(Node::Gateway(gateway), end);
                self.faults.push((at, stall));
            }
            10 => self.add(at, Fault::KillGateway(gateway), end, start_gateway),
            11 => self.add(at, Fault::StopGateway(gateway), end, start_gateway),
            13 => self.flap_link(at, end, replica),
            14 => self.add(at, Fault::FillDisk(replica), end, start_replica),
            _ => unreachable!("kinds are drawn below 15"),
        }
    }

    /// A link is cut one way or both.
    fn cut_any(&mut self, at: u64, end: u64) {
        let one = self.any_node();
        let other = self.any_node();
        self.cut(at, end, one, other);
        if self.rng.bool() {
            self.cut(at, end, other, one);
        }
    }

    /// A replica is cut off from all other nodes.
    fn isolate_replica(&mut self, at: u64, end: u64, replica: usize) {
        let replicas = (0..self.replica_count).filter(|other| *other != replica);
        let gateways = (0..self.gateway_count).map(Node::Gateway);
        let others: Vec<Node> = replicas.map(Node::Replica).chain(gateways).collect();
        for other in others {
            self.cut_both_ways(at, end, Node::Replica(replica), other);
        }
    }

    /// A gateway is cut off from all replicas, or from the resource alone.
    fn isolate_gateway(&mut self, at: u64, end: u64, gateway: usize) {
        let gateway = Node::Gateway(gateway);
        if !self.rng.bool() {
            return self.cut(at, end, gateway, Node::Resource);
        }
        for replica in 0..self.replica_count {
            self.cut_both_ways(at, end, gateway, Node::Replica(replica));
        }
    }

    /// A link between two replicas flaps.
    fn flap_link(&mut self, at: u64, end: u64, replica: usize) {
        let one = Node::Replica(replica);
        let other = Node::Replica((replica + 1) % self.replica_count);
        let mut time = at;
        while time < end {
            let cut = time;
            time += self.rng.u64(FLAP);
            self.faults
                .extend([(cut, Fault::Cut(one, other)), (cut, Fault::Cut(other, one))]);
            let healed = time;
            time += self.rng.u64(FLAP);
            self.faults.extend([
                (healed, Fault::Heal(one, other)),
                (healed, Fault::Heal(other, one)),
            ]);
        }
    }
}

fn run_seed(seed: u64) -> Simulation {
    let mut rng = Rng::with_seed(seed);
    let replica_count = if rng.u8(..4) == 0 { 5 } else { 3 };
    let gateway_count = rng.usize(2..6);
    let mut simulation = Simulation::new(seed, replica_count, gateway_count);
    let mut plan = FaultPlan {
        rng,
        replica_count,
        gateway_count,
        faults: Vec::new(),
    };
    plan.draw();
    if std::env::var("TELL").is_ok() {
        println!("seed {seed}: {replica_count} replicas, {gateway_count} gateways");
        for fault in &plan.faults {
            println!("{fault:?}");
        }
    }
    for (at, fault) in plan.faults {
        simulation.schedule_fault(at, fault);
    }
    simulation.schedule_fault(FAULTS_END, Fault::HealAll);
    for replica in 0..replica_count {
        simulation.schedule_fault(FAULTS_END, Fault::StartReplica(replica));
    }
    for gateway in 0..gateway_count {
        simulation.schedule_fault(FAULTS_END, Fault::StartGateway(gateway));
    }
    simulation.run_until(FAULTS_END + RECOVERY_TIME / 2);
    simulation.quiet = true;
    simulation.run_until(FAULTS_END + RECOVERY_TIME);
    if simulation.violations.is_empty() {
        simulation.check_quiet();
    }
    simulation
}

/// A replica whose disk is replaced by an older copy has forgotten what it promised since: what it sends must not count.
/// It may lag for good.
fn run_older_disk(seed: u64) -> Simulation {
    let replica = 0;
    let mut simulation = Simulation::new(seed, 3, 2);
    simulation.schedule_fault(4 * S, Fault::CopyDisk(replica));
    // Each start is counted on the disk, and announced to the others.
    for restart in [5 * S, 8 * S] {
        simulation.schedule_fault(restart, Fault::CrashReplica(replica));
        simulation.schedule_fault(restart + S, Fault::StartReplica(replica));
    }
    simulation.schedule_fault(12 * S, Fault::RestoreOldDisk(replica));
    simulation.schedule_fault(13 * S, Fault::StartReplica(replica));
    simulation.run_until(20 * S);
    simulation.quiet = true;
    simulation.run_until(24 * S);
    simulation
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn under_faults_of_every_kind_the_invariants_hold() {
    let first = number_from_env("FROM", 0);
    let seeds = number_from_env("SEEDS", 24);
    let (mut effects, mut rejected, mut commands, mut in_force) = (0, 0, 0, 0);
    for seed in first..first + seeds {
        let simulation = run_seed(seed);
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {}",
            simulation.violations.join("; ")
        );
        effects += simulation.effects;
        rejected += simulation.rejected_effects;
        commands += simulation.history.len();
        in_force += simulation.sets_in_force;
    }
    println!("{seeds} seeds: {effects} effects, {rejected} rejected by their token, {commands} commands, {in_force} sets in force");
    assert!(effects > seeds && commands as u64 > seeds && in_force > 0 && rejected > 0);
    const { assert!(TERMS.lease.as_micros() < RECOVERY_TIME) };
}

#[test]
fn a_seed_replays_exactly() {
    let outcome = |simulation: Simulation| {
        (
            simulation.effects,
            simulation.rejected_effects,
            simulation.history.len(),
            simulation.sets_in_force,
            simulation.now,
        )
    };
    assert_eq!(outcome(run_seed(7)), outcome(run_seed(7)));
}

#[test]
fn with_a_replica_on_an_older_disk_the_invariants_hold() {
    for seed in 0..4 {
        let mut simulation = run_older_disk(seed);
        simulation.check_service();
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {}",
            simulation.violations.join("; ")
        );
    }
}

/// A gateway that is heard and hears nothing, for so long.
const DEAF_SPAN: u64 = 40 * S;
/// By then its session is over: an expiry, the leading replica's maintenance interval, and a command under way.
const DEAF_SESSION_END: u64 = 4 * S;
/// The longest that an election has no leader meanwhile: an expiry, the maintenance interval, and the next leader's first renewal.
const LONGEST_VACANCY: u64 = 5 * S;

/// What happened: with a gateway's replies cut off while its own messages arrived, `rules apply` waited for that gateway for as long
/// as the cut lasted, and elections went to it that it could not act for. Why: the gateway turned from one replica to the next and
/// said Hello on each new connection without having heard anything on it. The first replica no longer knew its session and opened
/// another one; each further Hello opened that one again, which restarted the clock by which replicas expire sessions. Shown by: the
/// process test `a_duty_goes_on_whatever_becomes_of_its_holder`, step `back`, "1 gateways have not said that they apply it: g3" after
/// 30 s, in 3 of 22 runs beside load; and here, where the session is there at nearly every look.
#[test]
fn a_gateway_that_hears_nothing_keeps_no_session_and_no_election() {
    const STEP: u64 = S / 10;
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed, 3, 3);
        let deaf = seed as usize % 3;
        let cut_at = 6 * S;
        for replica in 0..3 {
            let (replica, gateway) = (Node::Replica(replica), Node::Gateway(deaf));
            simulation.schedule_fault(cut_at, Fault::Cut(replica, gateway));
        }
        simulation.run_until(cut_at);
        assert!(simulation.has_session(deaf), "seed {seed}: it had one");
        let sets_before = simulation.sets_in_force;
        let mut at = cut_at;
        while at < cut_at + DEAF_SPAN {
            at += STEP;
            simulation.run_until(at);
            let vacant = simulation.vacant_for();
            assert!(
                vacant < LONGEST_VACANCY,
                "seed {seed}, {at}: without a leader for {vacant}"
            );
            assert!(
                at < cut_at + DEAF_SESSION_END || !simulation.has_session(deaf),
                "seed {seed}, {at}: a gateway that hears nothing has a session"
            );
        }
        assert!(
            simulation.sets_in_force > sets_before + 1,
            "seed {seed}: rule sets come into force without it"
        );
        simulation.schedule_fault(at, Fault::HealAll);
        simulation.run_until(at + RECOVERY_TIME / 2);
        simulation.quiet = true;
        simulation.run_until(at + RECOVERY_TIME);
        assert!(simulation.has_session(deaf), "seed {seed}: it is back");
        simulation.check_service();
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}
