//! Settings of the queue.

use chalkdeck_time::TimeDelta;

/// Limits of a [`FairQueue`](crate::FairQueue).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests that may be with the decisions at once.
    pub max_in_flight: usize,
    /// Requests that are admitted in one turn of the event loop, so that a flood meets the queues and not the loop.
    pub max_admitted_per_turn: usize,
    /// Requests that may wait in all queues together.
    pub max_queued: usize,
    /// Requests that may wait in one queue.
    pub max_queued_per_queue: usize,
    /// The longest time that a request may wait.
    pub max_wait: TimeDelta,
    /// The fraction of the time to its deadline that a request may wait.
    pub max_wait_fraction: f64,
    /// Queues for customers with much traffic, one each.
    pub dedicated_queues: usize,
    /// Queues that all other customers share by hash.
    pub shared_queues: usize,
    /// Units that a queue of weight 1 may send in one round.
    pub quantum: f64,
    /// How often the customers' places in the shared queues are drawn anew.
    pub reseed_interval: TimeDelta,
    /// The fraction of a retry time that is added at random at most.
    pub retry_jitter: f64,
    /// Seed of everything random.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_in_flight: 16_384,
            max_admitted_per_turn: 256,
            max_queued: 8_192,
            max_queued_per_queue: 1_024,
            max_wait: TimeDelta::from_millis(100),
            max_wait_fraction: 0.1,
            dedicated_queues: 256,
            shared_queues: 256,
            quantum: 4.0,
            reseed_interval: TimeDelta::from_secs(10),
            retry_jitter: 0.5,
            seed: 1,
        }
    }
}
