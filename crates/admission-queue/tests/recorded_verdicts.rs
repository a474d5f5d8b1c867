//! Verdicts are the same as those recorded before the package's names and modules were changed, byte for byte.
//!
//! Each seed draws settings and plays a closed loop of clients, the queue and servers. The text of every verdict and of the queue's
//! state goes into a digest. The recorded line also has counts, so that a difference can be read.

mod recording;

use recording::{play, CALLS_PER_SEED};

const RECORDED: &str = include_str!("recorded_verdicts.txt");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn calls_are_replayed_then_verdicts_are_the_recorded_ones() {
    let played: Vec<String> = SEEDS.map(|seed| play(seed).to_string()).collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(
        played,
        recorded,
        "the verdicts differ; played:\n{}\n",
        played.join("\n")
    );
}

#[test]
fn recorded_calls_are_many_and_of_every_kind() {
    let calls = SEEDS.count() as u64 * CALLS_PER_SEED;
    assert!(calls >= 50_000, "{calls} calls");
    assert_eq!(RECORDED.lines().count(), SEEDS.count());
    for kind in [
        "admitted",
        "rejected_at_once",
        "rejected_later",
        "cancelled",
        "completed",
        "wakes",
        "full",
        "crowded",
        "reseed_periods",
    ] {
        let seeds = RECORDED
            .lines()
            .filter(|line| !line.contains(&format!(" {kind}=0 ")))
            .count();
        assert!(seeds >= 3, "{kind} is used by {seeds} seeds only");
    }
}
