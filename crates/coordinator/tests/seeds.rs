//! Seeds of the simulated world: faults of every kind over keepers, gateways and links, then quiet.

mod world;

use fastrand::Rng;
use world::{Fault, Node, World, S, TERMS};

const FAULTS_END: u64 = 24 * S;
/// Every duty is held again this long after faults end: a lapse, an election and the way there.
const HELD_AGAIN: u64 = 8 * S;

fn any_node(rng: &mut Rng, keepers: usize, gateways: usize) -> Node {
    match rng.u8(..3) {
        0 => Node::Gateway(rng.usize(..gateways)),
        _ => Node::Keeper(rng.usize(..keepers)),
    }
}

/// Faults of a seed.
fn faults(world: &mut World, rng: &mut Rng, keepers: usize, gateways: usize) -> Vec<(u64, Fault)> {
    let mut list = Vec::new();
    for _ in 0..rng.usize(2..9) {
        let at = rng.u64(4 * S..20 * S);
        let lasts = rng.u64(S / 5..6 * S);
        let end = (at + lasts).min(FAULTS_END);
        let (k, g) = (rng.usize(..keepers), rng.usize(..gateways));
        match rng.u8(..14) {
            0 | 1 => {
                let (a, b) = (
                    any_node(rng, keepers, gateways),
                    any_node(rng, keepers, gateways),
                );
                list.extend([(at, Fault::Cut(a, b)), (end, Fault::Heal(a, b))]);
                if rng.bool() {
                    list.extend([(at, Fault::Cut(b, a)), (end, Fault::Heal(b, a))]);
                }
            }
            2 => {
                // Cut off from all the others.
                for other in (0..keepers)
                    .filter(|o| *o != k)
                    .map(Node::Keeper)
                    .chain((0..gateways).map(Node::Gateway))
                {
                    for (a, b) in [(Node::Keeper(k), other), (other, Node::Keeper(k))] {
                        list.extend([(at, Fault::Cut(a, b)), (end, Fault::Heal(a, b))]);
                    }
                }
            }
            3 => {
                // A gateway from all keepers, or from the sink alone.
                if rng.bool() {
                    for other in (0..keepers).map(Node::Keeper) {
                        for (a, b) in [(Node::Gateway(g), other), (other, Node::Gateway(g))] {
                            list.extend([(at, Fault::Cut(a, b)), (end, Fault::Heal(a, b))]);
                        }
                    }
                } else {
                    list.extend([
                        (at, Fault::Cut(Node::Gateway(g), Node::Sink)),
                        (end, Fault::Heal(Node::Gateway(g), Node::Sink)),
                    ]);
                }
            }
            4 => list.extend([(at, Fault::Loss(30)), (end, Fault::Loss(0))]),
            5 | 6 => list.extend([(at, Fault::Crash(k)), (end, Fault::Start(k))]),
            7 => list.push((at, Fault::Stall(Node::Keeper(k), end))),
            8 | 9 => list.push((at, Fault::Stall(Node::Gateway(g), end))),
            10 => list.extend([(at, Fault::KillGateway(g)), (end, Fault::StartGateway(g))]),
            11 => list.extend([(at, Fault::EndGateway(g)), (end, Fault::StartGateway(g))]),
            12 => {
                // Alone: a disk that is lost while another keeper is down may take a majority's promises along.
                list.clear();
                let end = (at + 4 * S).min(FAULTS_END);
                list.extend([(at, Fault::LoseDisk(k)), (end, Fault::Start(k))]);
                return list;
            }
            13 => {
                // A chain of links that flap.
                let (a, b) = (Node::Keeper(k), Node::Keeper((k + 1) % keepers));
                let mut t = at;
                while t < end {
                    list.extend([(t, Fault::Cut(a, b)), (t, Fault::Cut(b, a))]);
                    t += rng.u64(30_000..400_000);
                    list.extend([(t, Fault::Heal(a, b)), (t, Fault::Heal(b, a))]);
                    t += rng.u64(30_000..400_000);
                }
            }
            _ => list.extend([(at, Fault::DiskFull(k)), (end, Fault::Start(k))]),
        }
    }
    let _ = world;
    list
}

fn play(seed: u64) -> World {
    let mut rng = Rng::with_seed(seed);
    let keepers = if rng.u8(..4) == 0 { 5 } else { 3 };
    let gateways = rng.usize(2..6);
    let mut world = World::new(seed, keepers, gateways);
    let list = faults(&mut world, &mut rng, keepers, gateways);
    if std::env::var("TELL").is_ok() {
        println!("seed {seed}: {keepers} keepers, {gateways} gateways");
        list.iter().for_each(|f| println!("{f:?}"));
    }
    list.into_iter()
        .for_each(|(at, fault)| world.fault(at, fault));
    world.fault(FAULTS_END, Fault::HealAll);
    (0..keepers).for_each(|k| world.fault(FAULTS_END, Fault::Start(k)));
    (0..gateways).for_each(|g| world.fault(FAULTS_END, Fault::StartGateway(g)));
    world.run_until(FAULTS_END + HELD_AGAIN / 2);
    world.quiet = true;
    world.run_until(FAULTS_END + HELD_AGAIN);
    if world.broken.is_empty() {
        world.check_quiet();
    }
    world
}

#[test]
fn duties_commands_and_sets_hold_over_faults_of_every_kind() {
    let number = |name: &str, default| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    let (from, seeds): (u64, u64) = (number("FROM", 0), number("SEEDS", 24));
    let (mut effects, mut refused, mut commands, mut in_force) = (0, 0, 0, 0);
    for seed in from..from + seeds {
        let world = play(seed);
        assert!(
            world.broken.is_empty(),
            "seed {seed}: {}",
            world.broken.join("; ")
        );
        effects += world.effects;
        refused += world.refused_effects;
        commands += world.history.len();
        in_force += world.applied_in_force;
    }
    println!("{seeds} seeds: {effects} effects, {refused} refused by their token, {commands} commands, {in_force} sets in force");
    assert!(effects > seeds && commands as u64 > seeds && in_force > 0 && refused > 0);
    const { assert!(TERMS.lease.as_micros() < HELD_AGAIN) };
}

#[test]
fn a_seed_replays_exactly() {
    let of = |world: World| {
        (
            world.effects,
            world.refused_effects,
            world.history.len(),
            world.applied_in_force,
            world.now,
        )
    };
    assert_eq!(of(play(7)), of(play(7)));
}
