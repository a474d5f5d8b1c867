//! The fair queue of one gateway.

use crate::heavy_hitters::HeavyHitters;
use crate::request::{QueuedRequest, Request, RequestId, Verdict};
use crate::round_robin::{QueueId, RoundRobin};
use crate::settings::Settings;
use crate::throughput::Throughput;
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Minimum weight for which an expected wait is computed.
const MIN_WAIT_WEIGHT: f64 = 1e-9;
/// The minimum retry delay is the maximum wait divided by this.
const MIN_RETRY_DELAY_DIVISOR: f64 = 4.0;
/// While no request can be admitted, the queue wakes up this often within the maximum wait to reject expired requests.
const WAKES_PER_MAX_WAIT: u64 = 10;
/// While more than half of the in-flight limit is used, a queue may have at most this multiple of its equal share in flight.
const MAX_SHARE_MULTIPLE: usize = 2;

/// Estimated bytes of the index entry of a queued request.
const QUEUED_INDEX_BYTES: usize = 48;
/// A container takes at most this multiple of the bytes of its elements, because its capacity doubles when it grows.
const CONTAINER_GROWTH_FACTOR: usize = 2;
/// Estimated bytes of a request in flight.
const IN_FLIGHT_BYTES: usize = 64;
/// Estimated bytes of a queue without its requests.
const QUEUE_BYTES: usize = 256;

/// The fair queue of one gateway. It is deterministic: the same calls give the same verdicts.
pub struct FairQueue {
    settings: Settings,
    rng: fastrand::Rng,
    queues: RoundRobin,
    heavy_hitters: HeavyHitters,
    /// The queues of the requests that wait.
    queued: FxHashMap<RequestId, QueueId>,
    /// The queues that the admitted requests in flight came from.
    in_flight: FxHashMap<RequestId, QueueId>,
    throughput: Throughput,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> FairQueue {
        FairQueue {
            rng: fastrand::Rng::with_seed(settings.seed),
            queues: RoundRobin::new(&settings),
            heavy_hitters: HeavyHitters::new(&settings),
            settings,
            queued: FxHashMap::default(),
            in_flight: FxHashMap::default(),
            throughput: Throughput::default(),
        }
    }

    /// The number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// The number of admitted requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// An upper bound of the queue's memory in bytes, for any load.
    pub fn max_bytes(&self) -> usize {
        let settings = &self.settings;
        let bytes_per_queued = size_of::<QueuedRequest>() + QUEUED_INDEX_BYTES;
        let queues = settings.dedicated_queues + settings.shared_queues;
        settings.max_queued * CONTAINER_GROWTH_FACTOR * bytes_per_queued
            + settings.max_in_flight * IN_FLIGHT_BYTES
            + queues * QUEUE_BYTES
    }

    /// Queues a request until [`FairQueue::admit`] admits it, or rejects it at once. If the total number of queued requests
    /// exceeds its limit, the last request of the longest queue is rejected, which may be another request.
    pub fn offer(&mut self, now: Timestamp, request: Request) -> Option<Verdict> {
        self.throughput.update(now);
        let placement = self
            .heavy_hitters
            .record_and_place(now, request.customer, request.units);
        let queue = self.queues.queue_of(placement);
        let max_wait = self.max_wait(now, &request);
        let is_full = self.queues.len_of(queue) >= self.settings.max_queued_per_queue;
        let expected_wait = self.expected_wait_micros(queue);
        if is_full || expected_wait > max_wait.as_micros() as f64 {
            return Some(self.reject(expected_wait, &request));
        }
        let expires_at = now + max_wait;
        let queued = QueuedRequest {
            request,
            expires_at,
        };
        self.queues.push(queue, queued);
        self.queued.insert(request.id, queue);
        if self.queued.len() <= self.settings.max_queued {
            return None;
        }
        self.reject_last_of_longest_queue()
    }

    /// Admits the requests of one turn of the event loop and rejects expired ones.
    pub fn admit(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.throughput.update(now);
        self.admit_round_robin(now, verdicts);
        for expired in self.queues.remove_expired(now) {
            let verdict = self.reject_dequeued(expired.queue, &expired.request);
            verdicts.push(verdict);
        }
    }

    /// The time at which [`FairQueue::admit`] must be called if no other event occurs; `None` if no request waits.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if self.queued.is_empty() {
            return None;
        }
        if self.in_flight.len() < self.settings.max_in_flight {
            return Some(now);
        }
        let max_wait = self.settings.max_wait.as_micros();
        Some(now + TimeDelta::from_micros(max_wait / WAKES_PER_MAX_WAIT))
    }

    /// Removes an admitted request that got its final answer.
    pub fn complete(&mut self, id: RequestId) {
        if let Some(queue) = self.in_flight.remove(&id) {
            self.queues.remove_in_flight(queue);
        }
    }

    /// Cancels a request that waits. Returns whether it was waiting.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let Some(queue) = self.queued.remove(&id) else {
            return false;
        };
        self.queues.remove(queue, id);
        true
    }

    fn admit_round_robin(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        let mut admitted = 0;
        while admitted < self.settings.max_admitted_per_turn
            && self.in_flight.len() < self.settings.max_in_flight
        {
            let max_in_flight = self.max_in_flight_per_queue();
            let Some(next) = self.queues.pop_next(self.settings.quantum, max_in_flight) else {
                break;
            };
            if next.request.expires_at < now {
                let verdict = self.reject_dequeued(next.queue, &next.request);
                verdicts.push(verdict);
                continue;
            }
            let request = next.request.request;
            self.queued.remove(&request.id);
            self.in_flight.insert(request.id, next.queue);
            self.queues.add_in_flight(next.queue);
            self.throughput.record(request.units);
            admitted += 1;
            verdicts.push(Verdict::Admit { id: request.id });
        }
    }

    /// Maximum number of requests that a queue may have in flight. While more than half of the total limit is used, it is twice the
    /// queue's equal share, so that a customer whose requests are all slow does not use up the limit.
    fn max_in_flight_per_queue(&self) -> usize {
        let limit = self.settings.max_in_flight;
        if self.in_flight.len() * 2 <= limit {
            return usize::MAX;
        }
        (limit * MAX_SHARE_MULTIPLE / (self.queues.busy_queues() + 1)).max(1)
    }

    /// How long a request may wait: a fraction of the time to its deadline, up to the maximum wait.
    fn max_wait(&self, now: Timestamp, request: &Request) -> TimeDelta {
        let time_left = request.deadline - now;
        let fraction = time_left.mul_f64(self.settings.max_wait_fraction);
        fraction.min(self.settings.max_wait)
    }

    /// The expected wait of a request at the end of a queue, in microseconds, estimated from the recent throughput and the queue's
    /// share of it.
    fn expected_wait_micros(&self, queue: QueueId) -> f64 {
        let active_weight = self.queues.active_weight();
        let units_ahead = self.queues.units_of(queue);
        let weight = self.queues.weight_of(queue).max(MIN_WAIT_WEIGHT);
        let units_per_second = self.throughput.units_per_second();
        if units_ahead <= 0.0 || units_per_second <= 0.0 {
            return 0.0;
        }
        units_ahead / (units_per_second * weight / active_weight.max(weight)) * MICROS_PER_SECOND
    }

    fn reject_last_of_longest_queue(&mut self) -> Option<Verdict> {
        let longest = self.queues.longest_queue();
        let last = self.queues.pop_last(longest)?;
        Some(self.reject_dequeued(longest, &last))
    }

    /// Rejects a request that was removed from its queue.
    fn reject_dequeued(&mut self, queue: QueueId, queued: &QueuedRequest) -> Verdict {
        self.queued.remove(&queued.request.id);
        let expected_wait = self.expected_wait_micros(queue);
        self.reject(expected_wait, &queued.request)
    }

    /// Rejects a request. The retry delay is at least the expected wait in its queue and the time until its quota suffices; jitter
    /// keeps retries from arriving together.
    fn reject(&mut self, expected_wait_micros: f64, request: &Request) -> Verdict {
        let min_retry_micros = self.settings.max_wait.as_micros() as f64 / MIN_RETRY_DELAY_DIVISOR;
        let retry_micros = expected_wait_micros
            .max(request.quota_reset.as_micros() as f64)
            .max(min_retry_micros);
        let jitter = 1.0 + self.settings.retry_jitter * self.rng.f64();
        Verdict::Reject {
            id: request.id,
            retry_after: TimeDelta::from_micros((retry_micros * jitter) as u64),
        }
    }
}
