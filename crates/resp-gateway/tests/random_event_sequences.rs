//! Random sequences of events from clients, endpoints, the counter, discovery and signals, with checks of how the gateway handles each
//! request. `ORDER_SEED=n cargo test -p chalkdeck-resp-gateway --test random_event_sequences` repeats the sequence of a failure, after
//! the earlier ones of its gateway.

mod common;
mod simulation;

use simulation::Simulation;

/// The number of sequences, and of threads that share them.
const SEQUENCES: u64 = 10_000;
const THREADS: u64 = 4;
/// The number of sequences after which a gateway is replaced.
const SEQUENCES_PER_GATEWAY: u64 = 50;

/// Runs sequences on one gateway, or on a new one after a shutdown.
fn run_sequences(seeds: impl Iterator<Item = u64>) {
    let mut simulation = Simulation::new();
    for seed in seeds {
        if simulation.is_shutting_down() {
            simulation = Simulation::new();
        }
        if let Err(fault) = simulation.run_sequence(seed) {
            panic!("ORDER_SEED={seed}: {fault}");
        }
    }
}

#[test]
fn every_request_read_then_answered_once_unless_its_client_disconnected() {
    if let Some(seed) = std::env::var("ORDER_SEED")
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
    {
        return run_sequences(seed - seed % SEQUENCES_PER_GATEWAY..=seed);
    }
    let gateways = SEQUENCES / SEQUENCES_PER_GATEWAY;
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for gateway in (0..gateways).filter(|g| g % THREADS == thread) {
                    let first = gateway * SEQUENCES_PER_GATEWAY;
                    run_sequences(first..first + SEQUENCES_PER_GATEWAY);
                }
            });
        }
    });
}
