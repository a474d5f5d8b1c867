//! Settings of the admission queue.

use chalkdeck_time::TimeDelta;

/// Settings of a [`FairQueue`](crate::FairQueue).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of admitted requests in flight.
    pub max_in_flight: usize,
    /// Maximum number of requests that are admitted in one turn of the event loop, so that excess load waits in the queues and does
    /// not block the event loop.
    pub max_admitted_per_turn: usize,
    /// Maximum number of requests that wait in all queues together.
    pub max_queued: usize,
    /// Maximum number of requests that wait in one queue.
    pub max_queued_per_queue: usize,
    /// Maximum time that a request waits.
    pub max_wait: TimeDelta,
    /// The fraction of the time to its deadline that a request may wait.
    pub max_wait_fraction: f64,
    /// The number of queues for customers with heavy traffic, one for each.
    pub dedicated_queues: usize,
    /// The number of queues that all other customers share by hash.
    pub shared_queues: usize,
    /// The units that a queue of weight 1 may send in one round.
    pub quantum: f64,
    /// How often customers are redistributed over the shared queues by a new hash seed.
    pub reseed_interval: TimeDelta,
    /// Maximum random jitter of a retry delay, as a fraction of the delay.
    pub retry_jitter: f64,
    /// The seed of the random number generator and of the first hash.
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
