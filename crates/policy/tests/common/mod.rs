//! Test harness: one decision engine, driven through its interface, with timers that the harness fires.
#![allow(dead_code, reason = "each test file uses a part of it")]

use chalkdeck::api::*;
use chalkdeck::DecisionEngine;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

pub fn class(idempotency: Idempotency, key_scope: KeyScope) -> Class {
    Class {
        latency_objective: TimeDelta::from_micros(800 * MILLISECOND),
        deadline: TimeDelta::from_micros(3 * SECOND),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        idempotency,
        key_scope,
        key_window: TimeDelta::from_micros(SECOND),
        is_streaming: false,
        is_admission_only: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_concurrency: 0.0,
        priority_multiplier: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// Classes: 0 is idempotent, 1 keyed with key scope `Cell`, 2 non-idempotent, 3 keyed with key scope `All`.
/// Plans: 0 has ten units per second and a burst of twenty, 1 the same with a ceiling twice as high, 2 two
/// concurrency slots, 3 no quota.
pub fn settings() -> Settings {
    let ceiling = Plan {
        ceiling_rate: 20.0,
        ceiling_burst: 40.0,
        ceiling_slack: 4.0,
        ..plan(10.0, 20.0)
    };
    Settings {
        gateways: 2,
        classes: vec![
            class(Idempotency::Idempotent, KeyScope::All),
            class(Idempotency::Keyed, KeyScope::Cell),
            class(Idempotency::NonIdempotent, KeyScope::All),
            class(Idempotency::Keyed, KeyScope::All),
        ],
        plans: vec![
            plan(10.0, 20.0),
            ceiling,
            Plan {
                max_concurrency: 2.0,
                ..plan(0.0, 0.0)
            },
            plan(0.0, 0.0),
        ],
        max_attempts: 4,
        allow_cancel: true,
        send_retry_after: true,
        max_retry_after: TimeDelta::from_micros(2 * SECOND),
        use_counter: true,
        counter_timeout: TimeDelta::from_micros(80 * MILLISECOND),
        max_request_units: 4.0,
        answer_slack: TimeDelta::from_micros(8 * MILLISECOND),
        slow_start_min_capacity: 0.2,
        slow_start_duration: TimeDelta::from_micros(10 * SECOND),
        overload_multiple: 2.0,
        overload_duration: TimeDelta::from_micros(SECOND),
        timer_resolution: TimeDelta::from_micros(2 * MILLISECOND),
        ..Settings::default()
    }
}

pub struct Harness {
    pub engine: DecisionEngine,
    pub now: u64,
    /// Actions of all events until now.
    pub all_actions: Vec<Action>,
    pub next_request_id: u64,
    timers: Vec<(u64, TimerId)>,
}

impl Harness {
    pub fn new(settings: Settings, endpoints: u32) -> Harness {
        Harness::seeded(7, settings, endpoints)
    }
    pub fn seeded(seed: u64, settings: Settings, endpoints: u32) -> Harness {
        let engine = DecisionEngine::new(seed, settings).expect("valid settings");
        let mut harness = Harness {
            engine,
            now: 1_000 * SECOND,
            all_actions: Vec::new(),
            next_request_id: 1,
            timers: Vec::new(),
        };
        let entries = (0..endpoints)
            .map(|i| entry(i, EndpointState::InService, None))
            .collect();
        harness.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries,
        });
        harness
    }
    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine
            .handle(Timestamp::from_micros(self.now), event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { timer: id, after } = action {
                self.timers.push((self.now + after.as_micros(), *id));
            }
        }
        self.all_actions.extend(actions.iter().cloned());
        actions
    }
    /// Advances the time, firing timers that are due, and returns the resulting actions.
    pub fn advance(&mut self, duration: u64) -> Vec<Action> {
        let (end, mut actions) = (self.now + duration, Vec::new());
        while let Some(&(at, id)) = self
            .timers
            .iter()
            .filter(|timer| timer.0 <= end)
            .min_by_key(|timer| timer.0)
        {
            self.timers.retain(|timer| timer.1 != id);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer(id)));
        }
        self.now = end;
        actions
    }
    pub fn request(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let deadline = Timestamp::from_micros(self.now + 3 * SECOND);
        let (class, plan, customer) = (ClassId(class), PlanId(plan), CustomerId(customer));
        let incoming = IncomingRequest {
            id,
            class,
            plan,
            customer,
            customer_gateways: 2,
            deadline,
            units,
            is_retry: false,
        };
        (id, self.handle(Event::RequestArrived(incoming)))
    }
    /// Sends a request without a quota, which must be sent at once, and returns its id and endpoint.
    pub fn send_request(&mut self, class: usize) -> (RequestId, EndpointId) {
        let (id, actions) = self.request(class, 3, 1, 1.0);
        (id, sent_attempts(&actions).first().expect("it is sent").1)
    }
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        endpoint: EndpointId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(id, attempt, endpoint, outcome, 50 * MILLISECOND)
    }
    /// Ends an attempt that was in flight for `elapsed`. A cancelled attempt counts as one of a finished
    /// request.
    pub fn end_attempt_after(
        &mut self,
        id: RequestId,
        attempt: usize,
        endpoint: EndpointId,
        outcome: Outcome,
        elapsed: u64,
    ) -> Vec<Action> {
        let is_request_finished = matches!(outcome, Outcome::Ok | Outcome::Cancelled);
        let (elapsed, load_report) = (TimeDelta::from_micros(elapsed), LoadReport::default());
        let result = AttemptResult {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            is_request_finished,
            settled_units: None,
            load_report,
        };
        self.handle(Event::AttemptEnded(result))
    }
}

pub fn entry(index: u32, state: EndpointState, started_at: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(u64::from(index)),
        zone: ZoneId(0),
        cell: CellId(u64::from(index) / 2),
        state,
        weight: 1.0,
        started_at: started_at.map(Timestamp::from_micros),
        address: None,
    }
}

pub fn counter_calls(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::AddToCounter { key, amount, .. } = action {
                Some((*key, *amount))
            } else {
                None
            }
        })
        .collect()
}
/// The counter calls with an amount other than 0.
pub fn nonzero_adds(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    counter_calls(actions)
        .into_iter()
        .filter(|(_, amount)| *amount != 0.0)
        .collect()
}
pub fn sent_attempts(actions: &[Action]) -> Vec<(RequestId, EndpointId)> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::SendAttempt {
                request, endpoint, ..
            } = action
            {
                Some((*request, *endpoint))
            } else {
                None
            }
        })
        .collect()
}
pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
}
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}
