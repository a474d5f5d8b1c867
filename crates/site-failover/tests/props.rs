//! What must hold for any figures.
use chalkdeck_site_failover::order::Order;
use chalkdeck_site_failover::pace::{HoldOut, Pace, HOLD_MOST};
use chalkdeck_site_failover::share::{shares, Part};
use proptest::prelude::*;

fn part() -> impl Strategy<Value = Part> {
    let room = prop_oneof![Just(0.0), Just(f64::INFINITY), 0.1..1e4];
    (room, 0.0..100.0, any::<bool>()).prop_map(|(room, weight, near)| Part { room, weight, near })
}

proptest! {
    #[test]
    fn shares_sum_to_one_and_stay_within_rooms_unless_all_are_full(
        load in 0.0..1e5,
        parts in prop::collection::vec(part(), 1..8),
    ) {
        let given = shares(load, &parts);
        let sum: f64 = given.iter().sum();
        prop_assert!((sum - 1.0).abs() < 1e-6, "{given:?}");
        prop_assert!(given.iter().all(|g| *g >= 0.0));
        let all: f64 = parts.iter().map(|p| p.room).sum();
        if load <= all {
            for (g, p) in given.iter().zip(&parts) {
                prop_assert!(g * load <= p.room * (1.0 + 1e-6) + 1e-9, "{given:?} of {load} to {p:?}");
            }
        }
    }

    #[test]
    fn more_room_never_means_more_refused_and_dear_never_before_cheap(
        offered in prop::collection::vec((0.01..1e3f64, 0.1..10.0f64), 1..40),
        level in 0.0..1.0f64, more in 0.0..1.0f64,
        a in 0.01..1e3f64, b in 0.01..1e3f64,
    ) {
        let mut order = Order::default();
        offered.iter().for_each(|(worth, units)| order.offered(*worth, *units));
        let (low, high) = (order.floor(level.min(more)), order.floor(level.max(more)));
        prop_assert!(low.admits(a) <= high.admits(a) + 1e-9);
        prop_assert!(low.admits(a.min(b)) <= low.admits(a.max(b)) + 1e-9);
        let all: f64 = offered.iter().map(|o| o.1).sum();
        let let_in: f64 = offered.iter().map(|(w, u)| u * high.admits(*w)).sum();
        // Within one step of worth, whose members count as equal.
        let widest = offered.iter().map(|(w, _)| {
            offered.iter().filter(|(v, _)| (v / w).log2().abs() < 0.13).map(|o| o.1).sum::<f64>()
        }).fold(0.0, f64::max);
        prop_assert!((let_in - all * level.max(more)).abs() <= widest + 1e-6);
    }

    #[test]
    fn a_return_never_passes_what_cold_servers_bear(
        ends in prop::collection::vec((0.0..1.0f64, 0u64..300_000, 0.05..1.0f64), 1..300), seed: u64,
    ) {
        let (mut pace, mut now) = (Pace::begin(0, seed, true), 0);
        for (strain, gone, bears) in ends {
            let before = pace.part;
            now += gone;
            pace.ended(now, strain);
            pace.look(now, bears);
            prop_assert!(pace.part <= bears && pace.part <= before * 1.6 + 1e-9);
        }
    }

    #[test]
    fn losses_are_never_closer_than_the_hold_outs_allow(gaps in prop::collection::vec(0u64..5_000_000, 1..40)) {
        let (mut held, mut now, mut losses) = (HoldOut::default(), 0u64, 0u32);
        let begin = now;
        for gap in &gaps {
            now = held.until + gap;
            held.lost(now);
            losses += 1;
            prop_assert!(held.until - now <= HOLD_MOST);
        }
        // 1, 2, 4, 8, 16, 32 seconds and so on: the stated rate.
        let least = (1..losses).map(|k| 1u64 << (k - 1).min(5)).sum::<u64>() * 1_000_000;
        prop_assert!(now - begin >= least);
    }
}
