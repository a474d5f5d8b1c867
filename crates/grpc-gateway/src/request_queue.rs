//! Passes requests through the fair admission queue to the decision engine.

use crate::gateway_server::GatewayServer;
use chalkdeck::api::{Event, IncomingRequest, RequestId, TimeDelta, Timestamp};
use chalkdeck_admission_queue::{self as admission_queue, FairQueue, Settings, Verdict};
use rustc_hash::FxHashMap;

/// The fair admission queue and the requests that wait in it.
pub(crate) struct RequestQueue {
    queue: FairQueue,
    waiting: FxHashMap<RequestId, IncomingRequest>,
    /// Buffer for the verdicts of one turn, reused to avoid allocations.
    verdicts: Vec<Verdict>,
}

impl RequestQueue {
    /// An empty queue.
    pub(crate) fn new(settings: Settings) -> RequestQueue {
        RequestQueue {
            queue: FairQueue::new(settings),
            waiting: FxHashMap::default(),
            verdicts: Vec::new(),
        }
    }
}

impl GatewayServer {
    /// Adds a request to the queue; without a queue it goes to the decision engine at once.
    pub(crate) fn enqueue_request(&mut self, request: IncomingRequest) {
        self.report_request_offered(&request);
        if self.request_queue.is_none() {
            return self.decisions.push(Event::RequestArrived(request));
        }
        let now = self.now();
        let admission_request = self.admission_request(now, &request);
        let Some(requests) = &mut self.request_queue else {
            return;
        };
        requests.waiting.insert(request.id, request);
        if let Some(verdict) = requests.queue.offer(now, admission_request) {
            self.apply_verdict(verdict);
        }
    }

    /// The form of the request that the queue accepts.
    fn admission_request(
        &self,
        now: Timestamp,
        request: &IncomingRequest,
    ) -> admission_queue::Request {
        let quota = self
            .decisions
            .engine
            .quota_status(now, request.customer, request.plan);
        let quota_reset = if quota.remaining < request.units {
            quota.resets_in
        } else {
            TimeDelta::ZERO
        };
        admission_queue::Request {
            id: admission_queue::RequestId(request.id.0),
            customer: admission_queue::CustomerId(request.customer.0),
            weight: self.settings.policy.plans[request.plan.0].priority_multiplier,
            units: request.units,
            deadline: request.deadline,
            quota_reset,
        }
    }

    /// Passes the requests that the queue admits in this turn to the decision engine.
    pub(crate) fn admit_queued_requests(&mut self) {
        let now = self.now();
        let Some(requests) = &mut self.request_queue else {
            return;
        };
        if requests.queue.queued() == 0 {
            return;
        }
        let mut verdicts = std::mem::take(&mut requests.verdicts);
        requests.queue.admit(now, &mut verdicts);
        for verdict in verdicts.drain(..) {
            self.apply_verdict(verdict);
        }
        if let Some(requests) = &mut self.request_queue {
            requests.verdicts = verdicts;
            let queued = requests.queue.queued();
            self.metrics.queued_requests.set(queued as i64);
        }
    }

    fn apply_verdict(&mut self, verdict: Verdict) {
        let Some(requests) = &mut self.request_queue else {
            return;
        };
        match verdict {
            Verdict::Admit { id } => {
                if let Some(request) = requests.waiting.remove(&RequestId(id.0)) {
                    self.decisions.push(Event::RequestArrived(request));
                }
            }
            Verdict::Reject { id, retry_after } => {
                let id = RequestId(id.0);
                requests.waiting.remove(&id);
                self.metrics.queue_rejections.inc();
                let policy = &self.settings.policy;
                let max_retry_after = policy.max_retry_after.as_micros();
                let retry_after = retry_after.as_micros().min(max_retry_after);
                let sent_retry_after = policy.send_retry_after.then_some(retry_after);
                self.reject_call(id, sent_retry_after);
            }
        }
    }

    /// How long the next turn may wait for events, in microseconds: at most `max_wait`, and not beyond the queue's next admission.
    pub(crate) fn next_turn_wait(&self, max_wait: u64) -> u64 {
        let now = self.now();
        let next_wake = self
            .request_queue
            .as_ref()
            .and_then(|requests| requests.queue.next_wake(now));
        match next_wake {
            Some(at) => (at - now).as_micros().min(max_wait),
            None => max_wait,
        }
    }

    /// Removes a request from the queue and from its count of requests in flight: it is complete, or its response streams.
    pub(crate) fn release_from_queue(&mut self, id: RequestId) {
        let Some(requests) = &mut self.request_queue else {
            return;
        };
        let queue_id = admission_queue::RequestId(id.0);
        requests.queue.complete(queue_id);
        requests.waiting.remove(&id);
        requests.queue.cancel(queue_id);
    }
}
