//! Regression test: the verdicts must equal the recorded ones, byte for byte. The recording was made before the package's items and
//! modules were renamed, which must not change any verdict.
//!
//! Each seed draws settings and simulates a closed loop of clients, the queue and servers. A digest covers the texts of all verdicts
//! and of the queue's states. Each recorded line also has counts, which help to interpret a difference.

mod recording;

use recording::{run_seed, CALLS_PER_SEED};

const RECORDED: &str = include_str!("recorded_verdicts.txt");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn simulated_calls_give_the_recorded_verdicts() {
    let simulated: Vec<String> = SEEDS.map(|seed| run_seed(seed).to_string()).collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(
        simulated,
        recorded,
        "the verdicts differ; simulated:\n{}\n",
        simulated.join("\n")
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
        assert!(seeds >= 3, "only {seeds} seeds have {kind}");
    }
}
