//! Guards against unintended changes of decisions: they must equal the recorded ones byte for byte. The
//! recording was made at commit d5a4349 and again in the commits that change decisions on purpose, each of
//! which names the streams that changed.
//!
//! Each seed determines the settings and a simulation of one gateway with clients, a counter and endpoints
//! with changing faults. A digest covers the text of every action. The recorded line also has the numbers of
//! events and actions, which help to interpret a difference.
//!
//! The decisions depend on `exp` and `powf` of the C library, so they may differ on a machine whose library
//! rounds these differently.

mod recording;

use recording::{run_seed, EVENTS_PER_SEED};

const RECORDED: &str = include_str!("recorded_decisions.txt");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

#[test]
fn simulated_event_streams_give_the_recorded_actions() {
    let simulated: Vec<String> = SEEDS.map(|seed| run_seed(seed).to_string()).collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(
        simulated,
        recorded,
        "the decisions differ; simulated:\n{}\n",
        simulated.join("\n")
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
