//! Random orders of what clients, backends, the counter, discovery and signals do, against what a gateway owes for them. A failing
//! order names its seed: `ORDER_SEED=n cargo test -p chalkdeck-resp-gateway --test orders` plays it again, with those before it that its
//! gateway lived through.

mod common;
mod world;

use world::World;

/// Orders that are played, split over so many threads.
const ORDERS: u64 = 10_000;
const THREADS: u64 = 4;
/// Orders that one gateway lives through before a new one takes its place.
const ORDERS_OF_A_GATEWAY: u64 = 50;

/// Plays the orders of one gateway.
fn play(seeds: impl Iterator<Item = u64>) {
    let mut world = World::new();
    for seed in seeds {
        if world.is_over() {
            world = World::new();
        }
        if let Err(fault) = world.play(seed) {
            panic!("ORDER_SEED={seed}: {fault}");
        }
    }
}

#[test]
fn every_request_that_was_read_gets_one_answer_or_its_client_has_gone() {
    if let Some(seed) = std::env::var("ORDER_SEED")
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
    {
        return play(seed - seed % ORDERS_OF_A_GATEWAY..=seed);
    }
    let gateways = ORDERS / ORDERS_OF_A_GATEWAY;
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for gateway in (0..gateways).filter(|g| g % THREADS == thread) {
                    let first = gateway * ORDERS_OF_A_GATEWAY;
                    play(first..first + ORDERS_OF_A_GATEWAY);
                }
            });
        }
    });
}
