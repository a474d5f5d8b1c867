//! Decisions are the same as those recorded, byte for byte: from commit d5a4349, and made anew in the commits whose mends change
//! decisions on purpose, each of which names the streams that changed.
//!
//! Each seed draws settings and plays a closed loop of one gateway with clients, a counter and endpoints that fail in turns. The text
//! of every action goes into a digest. The recorded line also has counts of events and actions, so that a difference can be read.
//!
//! The figures go through `exp` and `powf` of the C library, so a machine whose library rounds these otherwise may differ.

mod recording;

use recording::{play, EVENTS_PER_SEED};

const RECORDED: &str = include_str!("recorded_decisions.txt");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn replayed_event_streams_give_the_recorded_actions() {
    let played: Vec<String> = SEEDS.map(|seed| play(seed).to_string()).collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(
        played,
        recorded,
        "the decisions differ; played:\n{}\n",
        played.join("\n")
    );
}

#[test]
fn recorded_streams_are_long_and_use_every_kind_of_action() {
    let total = SEEDS.count() as u64 * EVENTS_PER_SEED;
    assert!(total >= 200_000, "{total} events");
    for kind in [
        "send",
        "refuse",
        "fail",
        "cancel",
        "count",
        "timer",
        "grant",
        "subscribe",
    ] {
        let used = RECORDED
            .lines()
            .filter(|line| !line.contains(&format!(" {kind}=0 ")))
            .count();
        assert!(used >= 3, "{kind} is used by {used} seeds only");
    }
}
