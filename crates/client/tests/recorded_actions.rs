//! Compares the actions of the core with a recording, so that a refactoring cannot change its decisions.
//!
//! Each seed generates settings and simulates callers, the core and gateways in a closed loop. A digest covers the text of every
//! action. The recorded line of a seed also has counts, which help to interpret a difference.

mod recording;

use recording::{simulate, EVENTS_PER_SEED};

const RECORDED: &str = include_str!("recorded_actions.txt");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn simulation_is_replayed_then_its_actions_match_the_recording() {
    let actual: Vec<String> = SEEDS.map(|seed| simulate(seed).to_string()).collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(
        actual,
        recorded,
        "the actions differ; actual:\n{}\n",
        actual.join("\n")
    );
}

#[test]
fn recording_has_enough_events_and_every_kind_of_action() {
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
        assert!(seeds >= 3, "only {seeds} seeds have {kind}");
    }
}
