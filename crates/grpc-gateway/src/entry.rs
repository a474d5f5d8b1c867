//! Between the fronts and the decisions: requests go through the door, in fair turns over customers.

use crate::shell::Shell;
use chalkdeck::api::{Event, IncomingRequest, RequestId, Timestamp};
use chalkdeck_admission_queue::{Door, Offer, Settings, Verdict};
use rustc_hash::FxHashMap;

/// The door and what waits at it.
pub(crate) struct Entry {
    door: Door,
    arrivals: FxHashMap<RequestId, IncomingRequest>,
    verdicts: Vec<Verdict>,
}

impl Entry {
    pub(crate) fn new(set: Settings) -> Entry {
        Entry {
            door: Door::new(set),
            arrivals: FxHashMap::default(),
            verdicts: Vec::new(),
        }
    }
}

impl Shell {
    /// A request came in at a front.
    pub(crate) fn enter(&mut self, arrival: IncomingRequest) {
        self.site_offered(&arrival);
        let now = self.engine.now();
        let Shell {
            entry: Some(entry),
            decisions,
            set,
            ..
        } = self
        else {
            return self.decisions.push(Event::RequestArrived(arrival));
        };
        let standing = decisions.engine.quota_status(
            Timestamp::from_micros(now),
            arrival.customer,
            arrival.plan,
        );
        let refill = if standing.remaining < arrival.units {
            standing.resets_in.as_micros()
        } else {
            0
        };
        let offer = Offer {
            id: arrival.id.0,
            studio: arrival.customer.0,
            weight: set.policy.plans[arrival.plan.0].priority_multiplier,
            units: arrival.units,
            deadline: arrival.deadline.as_micros(),
            refill,
        };
        entry.arrivals.insert(arrival.id, arrival);
        let verdict = entry.door.offer(now, offer);
        verdict.into_iter().for_each(|v| self.judged(v));
    }

    /// Lets this turn's requests through.
    pub(crate) fn door_turn(&mut self) {
        let now = self.engine.now();
        let Some(entry) = &mut self.entry else { return };
        if entry.door.waiting() == 0 {
            return;
        }
        let mut verdicts = std::mem::take(&mut entry.verdicts);
        entry.door.turn(now, &mut verdicts);
        verdicts.drain(..).for_each(|v| self.judged(v));
        if let Some(entry) = &mut self.entry {
            entry.verdicts = verdicts;
            self.metrics.door_waiting.set(entry.door.waiting() as i64);
        }
    }

    fn judged(&mut self, verdict: Verdict) {
        let Some(entry) = &mut self.entry else { return };
        match verdict {
            Verdict::Pass(id) => {
                let arrival = entry.arrivals.remove(&RequestId(id));
                arrival
                    .into_iter()
                    .for_each(|a| self.decisions.push(Event::RequestArrived(a)));
            }
            Verdict::Refuse { id, back } => {
                entry.arrivals.remove(&RequestId(id));
                self.metrics.door_refused.inc();
                let most = self.set.policy.max_retry_after.as_micros();
                let back = self.set.policy.send_retry_after.then_some(back.min(most));
                self.refuse(RequestId(id), back);
            }
        }
    }

    /// The most that the next turn may wait.
    pub(crate) fn door_wait(&self, most: u64) -> u64 {
        let now = self.engine.now();
        let wake = self.entry.as_ref().and_then(|e| e.door.next_wake(now));
        wake.map_or(most, |at| at.saturating_sub(now).min(most))
    }

    /// A request needs the door no more: it has its end, or goes on without one.
    pub(crate) fn left(&mut self, id: RequestId) {
        let Some(entry) = &mut self.entry else { return };
        entry.door.ended(id.0);
        entry.arrivals.remove(&id);
        entry.door.gone(id.0);
    }
}
