//! Between the fronts and the decisions: requests go through the fair queue.

use crate::gateway_server::GatewayServer;
use chalkdeck::api::{Event, IncomingRequest, RequestId, TimeDelta, Timestamp};
use chalkdeck_admission_queue::{self as admission_queue, FairQueue, Settings, Verdict};
use rustc_hash::FxHashMap;

/// The fair queue and the requests that wait in it.
pub(crate) struct Entry {
    queue: FairQueue,
    arrivals: FxHashMap<RequestId, IncomingRequest>,
    verdicts: Vec<Verdict>,
}

impl Entry {
    pub(crate) fn new(set: Settings) -> Entry {
        Entry {
            queue: FairQueue::new(set),
            arrivals: FxHashMap::default(),
            verdicts: Vec::new(),
        }
    }
}

impl GatewayServer {
    /// A request came in at a front.
    pub(crate) fn enter(&mut self, arrival: IncomingRequest) {
        self.report_request_offered(&arrival);
        let now = Timestamp::from_micros(self.engine.now());
        let GatewayServer {
            entry: Some(entry),
            decisions,
            settings,
            ..
        } = self
        else {
            return self.decisions.push(Event::RequestArrived(arrival));
        };
        let standing = decisions
            .engine
            .quota_status(now, arrival.customer, arrival.plan);
        let quota_reset = if standing.remaining < arrival.units {
            standing.resets_in
        } else {
            TimeDelta::ZERO
        };
        let request = admission_queue::Request {
            id: admission_queue::RequestId(arrival.id.0),
            customer: admission_queue::CustomerId(arrival.customer.0),
            weight: settings.policy.plans[arrival.plan.0].priority_multiplier,
            units: arrival.units,
            deadline: arrival.deadline,
            quota_reset,
        };
        entry.arrivals.insert(arrival.id, arrival);
        let verdict = entry.queue.offer(now, request);
        verdict.into_iter().for_each(|v| self.judged(v));
    }

    /// Lets this turn's requests through.
    pub(crate) fn door_turn(&mut self) {
        let now = Timestamp::from_micros(self.engine.now());
        let Some(entry) = &mut self.entry else { return };
        if entry.queue.queued() == 0 {
            return;
        }
        let mut verdicts = std::mem::take(&mut entry.verdicts);
        entry.queue.admit(now, &mut verdicts);
        verdicts.drain(..).for_each(|v| self.judged(v));
        if let Some(entry) = &mut self.entry {
            entry.verdicts = verdicts;
            self.metrics
                .queued_requests
                .set(entry.queue.queued() as i64);
        }
    }

    fn judged(&mut self, verdict: Verdict) {
        let Some(entry) = &mut self.entry else { return };
        match verdict {
            Verdict::Admit { id } => {
                let arrival = entry.arrivals.remove(&RequestId(id.0));
                arrival
                    .into_iter()
                    .for_each(|a| self.decisions.push(Event::RequestArrived(a)));
            }
            Verdict::Reject { id, retry_after } => {
                let id = RequestId(id.0);
                entry.arrivals.remove(&id);
                self.metrics.queue_rejections.inc();
                let most = self.settings.policy.max_retry_after.as_micros();
                let back = retry_after.as_micros().min(most);
                let back = self.settings.policy.send_retry_after.then_some(back);
                self.reject_call(id, back);
            }
        }
    }

    /// The most that the next turn may wait.
    pub(crate) fn door_wait(&self, most: u64) -> u64 {
        let now = Timestamp::from_micros(self.engine.now());
        let wake = self.entry.as_ref().and_then(|e| e.queue.next_wake(now));
        wake.map_or(most, |at| (at - now).as_micros().min(most))
    }

    /// A request has left the queue for good: it has its end, or goes on without one.
    pub(crate) fn left(&mut self, id: RequestId) {
        let Some(entry) = &mut self.entry else { return };
        let queued_id = admission_queue::RequestId(id.0);
        entry.queue.complete(queued_id);
        entry.arrivals.remove(&id);
        entry.queue.cancel(queued_id);
    }
}
