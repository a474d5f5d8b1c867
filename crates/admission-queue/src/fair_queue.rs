//! The queue of one gateway.

use crate::heavy_hitters::HeavyHitters;
use crate::request::{QueuedRequest, Request, RequestId, Verdict};
use crate::round_robin::{QueueId, RoundRobin};
use crate::settings::Settings;
use crate::throughput::Throughput;
use chalkdeck_time::{TimeDelta, Timestamp};
use rustc_hash::FxHashMap;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// The least weight that a wait is computed with.
const MIN_WAIT_WEIGHT: f64 = 1e-9;
/// A rejected request is told to wait at least the longest wait divided by this.
const MIN_RETRY_DIVISOR: f64 = 4.0;
/// While nothing can be admitted the queue wakes up this often within the longest wait, to reject what waited too long.
const WAKES_PER_MAX_WAIT: u64 = 10;
/// A queue may have this multiple of its equal share in flight while the limit is half used.
const SHARE_MULTIPLE: usize = 2;

/// Estimated bytes of the index entry of a request that waits.
const QUEUED_INDEX_BYTES: usize = 48;
/// Bytes of a container are at most this multiple of those of its elements, as it doubles when it grows.
const GROWTH_FACTOR: usize = 2;
/// Estimated bytes of a request in flight.
const IN_FLIGHT_BYTES: usize = 64;
/// Estimated bytes of a queue without its requests.
const QUEUE_BYTES: usize = 256;

/// The fair queue of one gateway. The same calls give the same verdicts.
pub struct FairQueue {
    settings: Settings,
    rng: fastrand::Rng,
    queues: RoundRobin,
    heavy_hitters: HeavyHitters,
    /// Requests that wait, with their queues.
    queued: FxHashMap<RequestId, QueueId>,
    /// Requests with the decisions, with the queues that they came through.
    in_flight: FxHashMap<RequestId, QueueId>,
    throughput: Throughput,
}

impl FairQueue {
    /// An empty queue.
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

    /// Number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Number of requests with the decisions.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Upper bound of its memory in bytes, whatever is offered.
    pub fn max_bytes(&self) -> usize {
        let settings = &self.settings;
        let bytes_per_queued = size_of::<QueuedRequest>() + QUEUED_INDEX_BYTES;
        let queues = settings.dedicated_queues + settings.shared_queues;
        settings.max_queued * GROWTH_FACTOR * bytes_per_queued
            + settings.max_in_flight * IN_FLIGHT_BYTES
            + queues * QUEUE_BYTES
    }

    /// Takes a request in. It waits for [`FairQueue::admit`], unless it is rejected at once. If all queues together are full,
    /// the verdict is on the last request of the longest queue.
    pub fn offer(&mut self, now: Timestamp, request: Request) -> Option<Verdict> {
        self.throughput.update(now);
        let placement = self
            .heavy_hitters
            .place(now, request.customer, request.units);
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

    /// Admits the requests of one turn of the event loop, and rejects those that waited too long.
    pub fn admit(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.throughput.update(now);
        self.admit_in_turns(now, verdicts);
        for expired in self.queues.remove_expired(now) {
            let verdict = self.reject_queued(expired.queue, &expired.request);
            verdicts.push(verdict);
        }
    }

    /// When [`FairQueue::admit`] is to be called though nothing else happens; `None` if nothing waits.
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

    /// An admitted request has its final answer.
    pub fn complete(&mut self, id: RequestId) {
        if let Some(queue) = self.in_flight.remove(&id) {
            self.queues.remove_in_flight(queue);
        }
    }

    /// Removes a request that is no longer wanted; returns whether it waited.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        let Some(queue) = self.queued.remove(&id) else {
            return false;
        };
        self.queues.remove(queue, id);
        true
    }

    fn admit_in_turns(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        let mut admitted = 0;
        while admitted < self.settings.max_admitted_per_turn
            && self.in_flight.len() < self.settings.max_in_flight
        {
            let max_in_flight = self.max_in_flight_per_queue();
            let Some(next) = self.queues.next(self.settings.quantum, max_in_flight) else {
                break;
            };
            if next.request.expires_at < now {
                let verdict = self.reject_queued(next.queue, &next.request);
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

    /// While more than half of the limit is used no queue may have more than twice its equal share in flight. Guards against
    /// a customer whose requests are all slow.
    fn max_in_flight_per_queue(&self) -> usize {
        let limit = self.settings.max_in_flight;
        if self.in_flight.len() * 2 <= limit {
            return usize::MAX;
        }
        (limit * SHARE_MULTIPLE / (self.queues.busy_queues() + 1)).max(1)
    }

    /// How long a request may wait.
    fn max_wait(&self, now: Timestamp, request: &Request) -> TimeDelta {
        let time_left = request.deadline - now;
        let fraction = time_left.mul_f64(self.settings.max_wait_fraction);
        fraction.min(self.settings.max_wait)
    }

    /// How long a request that comes last in a queue waits, in microseconds, by the recent throughput and the queue's share
    /// of it.
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
        Some(self.reject_queued(longest, &last))
    }

    /// Rejects a request that was taken out of its queue.
    fn reject_queued(&mut self, queue: QueueId, queued: &QueuedRequest) -> Verdict {
        self.queued.remove(&queued.request.id);
        let expected_wait = self.expected_wait_micros(queue);
        self.reject(expected_wait, &queued.request)
    }

    /// Rejects a request. A retry succeeds at the earliest when the quota has room and the queue ahead is gone; jitter keeps
    /// retries from arriving together.
    fn reject(&mut self, expected_wait_micros: f64, request: &Request) -> Verdict {
        let min_retry = self.settings.max_wait.as_micros() as f64 / MIN_RETRY_DIVISOR;
        let retry_micros = expected_wait_micros
            .max(request.quota_reset.as_micros() as f64)
            .max(min_retry);
        let jitter = 1.0 + self.settings.retry_jitter * self.rng.f64();
        Verdict::Reject {
            id: request.id,
            retry_after: TimeDelta::from_micros((retry_micros * jitter) as u64),
        }
    }
}
