//! What the door promises: fair turns, nobody starved, no idle server with somebody waiting, bounded memory, honest times.
use chalkdeck_admission_queue::{Door, Offer, Settings, Verdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, HashMap, HashSet};

const S: u64 = 1_000_000;

fn offer(id: u64, studio: u64) -> Offer {
    Offer {
        id,
        studio,
        weight: 1.0,
        units: 1.0,
        deadline: u64::MAX / 2,
        refill: 0,
    }
}

fn turn(door: &mut Door, now: u64) -> Vec<Verdict> {
    let mut out = Vec::new();
    door.turn(now, &mut out);
    out
}

fn passed(verdicts: &[Verdict]) -> Vec<u64> {
    verdicts
        .iter()
        .filter_map(|v| {
            if let Verdict::Pass(id) = v {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}

/// A door whose decisions take `each_turn` requests every millisecond, each for `held` turns.
struct World {
    door: Door,
    now: u64,
    next: u64,
    studio: HashMap<u64, u64>,
    inside: Vec<(u64, u64)>,
    served: BTreeMap<u64, u64>,
    refused: BTreeMap<u64, u64>,
}

impl World {
    fn new(set: Settings) -> World {
        let (studio, served, refused) = Default::default();
        World {
            door: Door::new(set),
            now: S,
            next: 1,
            studio,
            inside: Vec::new(),
            served,
            refused,
        }
    }
    fn ask(&mut self, studio: u64, units: f64, weight: f64) {
        let id = self.next;
        self.next += 1;
        self.studio.insert(id, studio);
        let offer = Offer {
            units,
            weight,
            deadline: self.now + 2 * S,
            ..offer(id, studio)
        };
        let verdict = self.door.offer(self.now, offer);
        self.count(verdict.into_iter().collect(), 0);
    }
    fn count(&mut self, verdicts: Vec<Verdict>, held: u64) {
        for verdict in verdicts {
            match verdict {
                Verdict::Pass(id) => {
                    *self.served.entry(self.studio[&id]).or_default() += 1;
                    self.inside.push((self.now + held, id));
                }
                Verdict::Refuse { id, .. } => {
                    *self.refused.entry(self.studio[&id]).or_default() += 1
                }
            }
        }
    }
    fn step(&mut self, held: u64) {
        self.now += 1_000;
        let over: Vec<u64> = self
            .inside
            .iter()
            .filter(|i| i.0 <= self.now)
            .map(|i| i.1)
            .collect();
        self.inside.retain(|i| i.0 > self.now);
        over.into_iter().for_each(|id| self.door.ended(id));
        let out = turn(&mut self.door, self.now);
        self.count(out, held);
    }
    fn share(&self, studio: u64) -> f64 {
        let of = |m: &BTreeMap<u64, u64>| *m.get(&studio).unwrap_or(&0) as f64;
        of(&self.served) / (of(&self.served) + of(&self.refused)).max(1.0)
    }
}

#[test]
fn a_flood_of_one_studio_leaves_the_others_their_service() {
    for flood in [0, 50, 500] {
        let mut world = World::new(Settings {
            each_turn: 20,
            ..Settings::default()
        });
        for _ in 0..500 {
            (0..flood).for_each(|_| world.ask(99, 1.0, 1.0));
            (0..10).for_each(|studio| world.ask(studio, 1.0, 1.0));
            world.step(0);
        }
        let least = (0..10).map(|s| world.share(s)).fold(1.0, f64::min);
        assert!(least > 0.99, "{flood}: {least}");
        if flood > 0 {
            let got = world.served[&99] as f64 / 500.0;
            assert!(
                (9.0..=10.5).contains(&got),
                "what is left goes to the flood: {got} a turn"
            );
        }
    }
}

#[test]
fn weights_and_units_share_the_room() {
    let mut world = World::new(Settings {
        each_turn: 20,
        ..Settings::default()
    });
    for _ in 0..2_000 {
        (0..40).for_each(|_| world.ask(1, 1.0, 1.0));
        (0..40).for_each(|_| world.ask(2, 1.0, 3.0));
        (0..40).for_each(|_| world.ask(3, 4.0, 1.0));
        world.step(0);
    }
    let served = |s| world.served[&s] as f64;
    let (by_weight, by_units) = (served(2) / served(1), served(1) / served(3));
    assert!((2.7..3.3).contains(&by_weight), "{by_weight}");
    assert!(
        (3.6..4.4).contains(&by_units),
        "large requests count by their units: {by_units}"
    );
}

#[test]
fn a_studio_whose_calls_are_all_slow_does_not_fill_the_house() {
    let mut world = World::new(Settings {
        inside: 100,
        ..Settings::default()
    });
    for i in 0..1_500 {
        (0..20).for_each(|_| world.ask(99, 1.0, 1.0));
        (0..4).for_each(|studio| world.ask(studio, 1.0, 1.0));
        world.now += 1_000;
        let over: Vec<u64> = world
            .inside
            .iter()
            .filter(|c| world.studio[&c.1] != 99 || c.0 <= world.now)
            .map(|c| c.1)
            .collect();
        world.inside.retain(|c| !over.contains(&c.1));
        over.into_iter().for_each(|id| world.door.ended(id));
        let out = turn(&mut world.door, world.now);
        world.count(out, 5 * S);
        assert!(world.door.inside() <= 100, "step {i}");
    }
    let least = (0..4).map(|s| world.share(s)).fold(1.0, f64::min);
    assert!(least > 0.95, "{least}");
}

#[test]
fn a_million_ids_of_one_call_each_do_not_grow_it() {
    let mut door = Door::new(Settings::default());
    let bound = door.most_bytes();
    let mut out = Vec::new();
    for id in 0..1_000_000_u64 {
        door.offer(S + id, offer(id, id.wrapping_mul(0x2545_f491_4f6c_dd1d)));
        // At first more come than pass, so that the door is full.
        if id % (if id < 50_000 { 500 } else { 200 }) == 0 {
            out.clear();
            door.turn(S + id, &mut out);
            passed(&out).into_iter().for_each(|id| door.ended(id));
        }
        assert!(door.waiting() <= Settings::default().waiting);
    }
    assert!(bound < 8 << 20, "the bound is stated: {bound}");
}

#[test]
fn come_back_times_grow_with_the_queue_ahead_and_honour_the_refill() {
    let set = Settings {
        each_turn: 10,
        queue: 50,
        spread: 0.0,
        longest: 20_000,
        ..Settings::default()
    };
    let mut last = 0;
    for queue in [10, 20, 40] {
        let mut world = World::new(Settings {
            queue,
            longest: 10_000_000,
            part: 1.0,
            ..set.clone()
        });
        for _ in 0..1_000 {
            (0..30).for_each(|_| world.ask(1, 1.0, 1.0));
            world.step(0);
        }
        let mut verdict = None;
        while verdict.is_none() {
            world.next += 1;
            verdict = world.door.offer(
                world.now,
                Offer {
                    deadline: world.now + 60 * S,
                    ..offer(world.next, 1)
                },
            );
        }
        let Some(Verdict::Refuse { back, .. }) = verdict else {
            panic!("{verdict:?}")
        };
        assert!(back >= last, "{queue}: {back} after {last}");
        last = back;
    }
    let mut door = Door::new(Settings { queue: 1, ..set });
    door.offer(S, offer(1, 1));
    let Some(Verdict::Refuse { back, .. }) = door.offer(
        S,
        Offer {
            refill: 5 * S,
            ..offer(2, 1)
        },
    ) else {
        panic!("one waits and no more")
    };
    assert!(back >= 5 * S, "not before the quota has room: {back}");
}

#[test]
fn waits_are_short_and_end_with_a_refusal() {
    let mut door = Door::new(Settings {
        inside: 1,
        ..Settings::default()
    });
    door.offer(S, offer(1, 1));
    assert_eq!(passed(&turn(&mut door, S)), [1]);
    door.offer(
        S,
        Offer {
            deadline: S + 500_000,
            ..offer(2, 1)
        },
    );
    assert!(
        turn(&mut door, S + 40_000).is_empty(),
        "a tenth of its time is its patience"
    );
    let late = turn(&mut door, S + 51_000);
    assert!(
        matches!(late[..], [Verdict::Refuse { id: 2, .. }]),
        "{late:?}"
    );
    door.offer(S, offer(3, 1));
    assert!(door.gone(3) && !door.gone(3) && door.waiting() == 0);
    door.ended(1);
    assert_eq!(door.inside(), 0);
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any mix of offers, ends and turns: one verdict each, work conserved, bounds kept, nobody passed over for long.
    #[test]
    fn every_request_has_one_end(steps in proptest::collection::vec((0..6_u64, 1..5_u64, 0..4_u8), 1..400)) {
        let set = Settings { inside: 20, each_turn: 4, waiting: 30, queue: 12, own: 2, hashed: 3, ..Settings::default() };
        let mut door = Door::new(set.clone());
        let (mut now, mut next) = (S, 0);
        let (mut ends, mut inside) = (HashSet::new(), Vec::new());
        let mut take = |verdicts: Vec<Verdict>, inside: &mut Vec<u64>| -> bool {
            verdicts.into_iter().all(|v| {
                let (Verdict::Pass(id) | Verdict::Refuse { id, .. }) = v;
                if let Verdict::Pass(id) = v {
                    inside.push(id);
                }
                ends.insert(id)
            })
        };
        for (studio, units, what) in steps {
            now += 500;
            match what {
                0 | 1 => {
                    next += 1;
                    let verdict = door.offer(now, Offer { units: units as f64, ..offer(next, studio) });
                    prop_assert!(take(verdict.into_iter().collect(), &mut inside));
                }
                2 => {
                    let (waited, room) = (door.waiting(), set.inside - door.inside());
                    let out = turn(&mut door, now);
                    let passes = passed(&out).len();
                    // Work is conserved: what may go goes, but for queues that have twice their share.
                    if door.inside() * 2 < set.inside {
                        prop_assert!(passes == waited.min(room).min(set.each_turn) || door.waiting() == 0);
                    }
                    prop_assert!(take(out, &mut inside));
                }
                _ => inside.drain(..inside.len() / 2).collect::<Vec<_>>().into_iter().for_each(|id| door.ended(id)),
            }
            prop_assert!(door.waiting() <= set.waiting && door.inside() <= set.inside);
        }
        // All that wait have their end within their patience.
        for _ in 0..400 {
            now += 1_000;
            inside.drain(..).for_each(|id| door.ended(id));
            let out = turn(&mut door, now);
            prop_assert!(take(out, &mut inside));
        }
        prop_assert_eq!(door.waiting(), 0);
        prop_assert_eq!(ends.len() as u64, next);
    }
}
