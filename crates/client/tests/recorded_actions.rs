//! Actions of the core are the same as those recorded before the package's names and modules were changed, byte for byte.
//!
//! Each seed draws settings and plays a closed loop of callers, the core and gateways. The text of every action goes into a digest.
//! The recorded line also has counts, so that a difference can be read.

mod recording;

use recording::{play, EVENTS_PER_SEED};

const RECORDED: &str = include_str!("recorded_actions.txt");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn events_are_replayed_then_actions_are_the_recorded_ones() {
    let played: Vec<String> = SEEDS.map(|seed| play(seed).to_string()).collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(
        played,
        recorded,
        "the actions differ; played:\n{}\n",
        played.join("\n")
    );
}

#[test]
fn recorded_events_are_many_and_give_every_kind_of_action() {
    let events = SEEDS.count() as u64 * EVENTS_PER_SEED;
    assert!(events >= 50_000, "{events} events");
    assert_eq!(RECORDED.lines().count(), SEEDS.count());
    for kind in [
        "connect",
        "send",
        "retry",
        "cancel_attempt",
        "answered",
        "rejected",
        "not_sent",
        "failed",
        "deadline_sent",
        "deadline_unsent",
        "full",
        "cancelled",
    ] {
        let seeds = RECORDED
            .lines()
            .filter(|line| !line.contains(&format!(" {kind}=0 ")))
            .count();
        assert!(seeds >= 3, "{kind} is used by {seeds} seeds only");
    }
}
