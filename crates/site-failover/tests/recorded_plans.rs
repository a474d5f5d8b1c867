//! Plans are the same as those recorded from commit 129cb7d, bit for bit.
//!
//! Each seed draws settings and plays a closed loop of one gateway with sites whose servers slow down, fall silent, refuse
//! connections and restart, with lists, overrides and a counter. All numbers of the plans go into a digest. The recorded line also
//! counts events, and plans by state, so that a difference can be read.
//!
//! The figures go through `exp`, `exp2` and `log2` of the C library, so a machine whose library rounds these otherwise may differ.

mod recording;

use recording::{play, EVENTS_PER_SEED, STATES};

const RECORDED: &str = include_str!("recorded_plans.txt");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;
/// A state that fewer seeds reach is not held by this record.
const LEAST_SEEDS_WITH_STATE: usize = 5;

#[test]
fn replayed_event_streams_give_the_recorded_plans() {
    let played: Vec<String> = SEEDS.map(|seed| play(seed).to_string()).collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(
        played,
        recorded,
        "the plans differ; played:\n{}\n",
        played.join("\n")
    );
}

#[test]
fn recorded_streams_are_long_and_reach_every_state() {
    let total = SEEDS.count() as u64 * EVENTS_PER_SEED;
    assert!(total >= 50_000, "{total} events");
    let kinds = STATES.iter().map(|state| state.replace(' ', "-"));
    for kind in kinds.chain(["shedding".to_string(), "limited".to_string()]) {
        let reached = RECORDED
            .lines()
            .filter(|line| !line.contains(&format!(" {kind}=0 ")))
            .count();
        assert!(
            reached >= LEAST_SEEDS_WITH_STATE,
            "{kind} is reached by {reached} seeds only"
        );
    }
}
