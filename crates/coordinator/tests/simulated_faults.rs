//! Simulated fleets under random faults of replicas, gateways and links, followed by a recovery phase without faults.
//!
//! The environment variables `SEEDS` and `FROM` set the number of seeds and the first seed; if `TELL` is set, the faults are printed.

mod simulation;

use fastrand::Rng;
use simulation::{Fault, Node, Simulation, LEASE_TERMS, MILLISECOND, SECOND};

const EARLIEST_FAULT: u64 = 4 * SECOND;
const LATEST_FAULT: u64 = 20 * SECOND;
const FAULTS_END: u64 = 24 * SECOND;
/// Time after the end of faults by which every election has a leader: a session expiry, an election of a leading replica, and message
/// delays.
const RECOVERY_LIMIT: u64 = 8 * SECOND;
/// Time between two state changes of a flapping link, in microseconds.
const FLAP_INTERVAL_MICROS: std::ops::Range<u64> = 30_000..400_000;

/// The faults of a seed with their times.
struct FaultPlan {
    rng: Rng,
    replica_count: usize,
    gateway_count: usize,
    faults: Vec<(u64, Fault)>,
}

impl FaultPlan {
    fn random_node(&mut self) -> Node {
        match self.rng.u8(..3) {
            0 => Node::Gateway(self.rng.usize(..self.gateway_count)),
            _ => Node::Replica(self.rng.usize(..self.replica_count)),
        }
    }

    /// Adds a fault and its end.
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

    fn generate(&mut self) {
        for _ in 0..self.rng.usize(2..9) {
            let at = self.rng.u64(EARLIEST_FAULT..LATEST_FAULT);
            let duration = self.rng.u64(SECOND / 5..6 * SECOND);
            let end = (at + duration).min(FAULTS_END);
            let replica = self.rng.usize(..self.replica_count);
            let gateway = self.rng.usize(..self.gateway_count);
            let kind = self.rng.u8(..15);
            // Without other faults: a disk lost while another replica is down may leave no majority that has the promises.
            if kind == 12 {
                let end = (at + 4 * SECOND).min(FAULTS_END);
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
            0 | 1 => self.cut_random_link(at, end),
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
            _ => unreachable!("kinds are generated below 15"),
        }
    }

    /// Cuts a random link in one direction or both.
    fn cut_random_link(&mut self, at: u64, end: u64) {
        let one = self.random_node();
        let other = self.random_node();
        self.cut(at, end, one, other);
        if self.rng.bool() {
            self.cut(at, end, other, one);
        }
    }

    /// Cuts a replica off from all replicas and gateways.
    fn isolate_replica(&mut self, at: u64, end: u64, replica: usize) {
        let replicas = (0..self.replica_count).filter(|other| *other != replica);
        let gateways = (0..self.gateway_count).map(Node::Gateway);
        let others: Vec<Node> = replicas.map(Node::Replica).chain(gateways).collect();
        for other in others {
            self.cut_both_ways(at, end, Node::Replica(replica), other);
        }
    }

    /// Cuts a gateway off from all replicas, or only from the resource.
    fn isolate_gateway(&mut self, at: u64, end: u64, gateway: usize) {
        let gateway = Node::Gateway(gateway);
        if !self.rng.bool() {
            return self.cut(at, end, gateway, Node::Resource);
        }
        for replica in 0..self.replica_count {
            self.cut_both_ways(at, end, gateway, Node::Replica(replica));
        }
    }

    /// Makes a link between two replicas flap.
    fn flap_link(&mut self, at: u64, end: u64, replica: usize) {
        let one = Node::Replica(replica);
        let other = Node::Replica((replica + 1) % self.replica_count);
        let mut time = at;
        while time < end {
            let cut = time;
            time += self.rng.u64(FLAP_INTERVAL_MICROS);
            self.faults
                .extend([(cut, Fault::Cut(one, other)), (cut, Fault::Cut(other, one))]);
            let healed = time;
            time += self.rng.u64(FLAP_INTERVAL_MICROS);
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
    plan.generate();
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
    simulation.run_until(FAULTS_END + RECOVERY_LIMIT / 2);
    simulation.are_calls_stopped = true;
    simulation.run_until(FAULTS_END + RECOVERY_LIMIT);
    if simulation.violations.is_empty() {
        simulation.check_after_recovery();
    }
    simulation
}

/// Replaces a replica's disk by an older copy, which lacks the promises made since: its messages must be ignored. The replica may
/// lag behind permanently.
fn run_older_disk(seed: u64) -> Simulation {
    let replica = 0;
    let mut simulation = Simulation::new(seed, 3, 2);
    simulation.schedule_fault(4 * SECOND, Fault::CopyDisk(replica));
    // Each start increments the epoch on the disk, which is announced to the others.
    for restart in [5 * SECOND, 8 * SECOND] {
        simulation.schedule_fault(restart, Fault::CrashReplica(replica));
        simulation.schedule_fault(restart + SECOND, Fault::StartReplica(replica));
    }
    simulation.schedule_fault(12 * SECOND, Fault::RestoreOldDisk(replica));
    simulation.schedule_fault(13 * SECOND, Fault::StartReplica(replica));
    simulation.run_until(20 * SECOND);
    simulation.are_calls_stopped = true;
    simulation.run_until(24 * SECOND);
    simulation
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn invariants_hold_under_all_kinds_of_faults() {
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
    const { assert!(LEASE_TERMS.lease.as_micros() < RECOVERY_LIMIT) };
}

#[test]
fn a_seed_determines_the_run() {
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
fn invariants_hold_with_a_replica_on_an_older_disk_copy() {
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

/// How long messages from the replicas to a gateway are cut off, while its own messages arrive.
const PARTITION_DURATION: u64 = 40 * SECOND;
/// Time by which the gateway's session has ended: the expiry, the leading replica's maintenance interval, and a pending command.
const SESSION_END_LIMIT: u64 = 4 * SECOND;
/// Maximum time without a leader of an election meanwhile: the expiry, the maintenance interval, and the next leader's first renewal.
const MAX_TIME_WITHOUT_LEADER: u64 = 5 * SECOND;

/// Guards against a one-way partition, in which a gateway's messages arrive and it receives none, keeping its session alive. The
/// gateway went from replica to replica and sent Hello on each new connection before it had received anything on it. The first
/// replica opened a new session, and each further Hello reopened it and restarted its expiry. As long as the partition lasted,
/// `rules apply` waited for the gateway, and it was elected leader without being able to act.
#[test]
fn a_gateway_that_receives_no_messages_loses_its_session_and_elections() {
    const CHECK_INTERVAL: u64 = SECOND / 10;
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed, 3, 3);
        let partitioned = seed as usize % 3;
        let cut_at = 6 * SECOND;
        for replica in 0..3 {
            let (replica, gateway) = (Node::Replica(replica), Node::Gateway(partitioned));
            simulation.schedule_fault(cut_at, Fault::Cut(replica, gateway));
        }
        simulation.run_until(cut_at);
        assert!(
            simulation.has_session(partitioned),
            "seed {seed}: the gateway had a session"
        );
        let sets_before = simulation.sets_in_force;
        let mut at = cut_at;
        while at < cut_at + PARTITION_DURATION {
            at += CHECK_INTERVAL;
            simulation.run_until(at);
            let time_without_leader = simulation.time_without_leader();
            assert!(
                time_without_leader < MAX_TIME_WITHOUT_LEADER,
                "seed {seed}, {at}: without a leader for {time_without_leader}"
            );
            assert!(
                at < cut_at + SESSION_END_LIMIT || !simulation.has_session(partitioned),
                "seed {seed}, {at}: a gateway that receives no messages has a session"
            );
        }
        assert!(
            simulation.sets_in_force > sets_before + 1,
            "seed {seed}: rule sets come into force without it"
        );
        simulation.schedule_fault(at, Fault::HealAll);
        simulation.run_until(at + RECOVERY_LIMIT / 2);
        simulation.are_calls_stopped = true;
        simulation.run_until(at + RECOVERY_LIMIT);
        assert!(
            simulation.has_session(partitioned),
            "seed {seed}: the gateway has a session again"
        );
        simulation.check_service();
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Additional delays of messages between replicas in microseconds. A reply then takes longer than a heartbeat round, up to several.
const SLOW_LINK_DELAYS: [u64; 2] = [60 * MILLISECOND, 100 * MILLISECOND];
/// Time by which replicas on slow links have measured them, elected a leader, opened sessions and elected the gateways.
const SLOW_LINK_LIMIT: u64 = 10 * SECOND;

/// Guards against a cluster that never elects a leader, because the replies to heartbeats always arrive in a later round and are
/// ignored.
#[test]
fn replicas_always_hear_each_other_later_than_a_heartbeat_round_then_they_agree() {
    for replica_count in [3, 5] {
        for delay in SLOW_LINK_DELAYS {
            for slow_from in [0, 6 * SECOND] {
                let case = format!("{replica_count} replicas, {delay} us late from {slow_from} us");
                let mut simulation = Simulation::new(delay + slow_from, replica_count, 2);
                simulation.schedule_fault(slow_from, Fault::DelayBetweenReplicas(delay));
                // The replica with the highest id leads at first, so the others have to elect a new leader.
                let crash_at = slow_from + SLOW_LINK_LIMIT / 2;
                simulation.schedule_fault(crash_at, Fault::CrashReplica(replica_count - 1));
                simulation.run_until(slow_from + SLOW_LINK_LIMIT);
                let sets_before = simulation.sets_in_force;
                simulation.run_until(slow_from + 2 * SLOW_LINK_LIMIT);
                assert!(
                    simulation.has_session(0) && simulation.has_session(1),
                    "{case}: a gateway has no session"
                );
                assert!(
                    simulation.sets_in_force > sets_before,
                    "{case}: no rule set comes into force"
                );
                assert!(
                    simulation.time_without_leader() < MAX_TIME_WITHOUT_LEADER,
                    "{case}: an election has no leader"
                );
                simulation.are_calls_stopped = true;
                simulation.run_until(slow_from + 3 * SLOW_LINK_LIMIT);
                simulation.check_service();
                assert_eq!(simulation.violations, Vec::<String>::new(), "{case}");
            }
        }
    }
}
