//! A gateway under test, driven through the interface, and a counter that answers on demand.
#![allow(dead_code, reason = "each test file uses a part of it")]

use chalkdeck::api::*;
use chalkdeck::DecisionEngine;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub fn class(effect: Idempotency, group: KeyScope) -> Class {
    Class {
        latency_objective: TimeDelta::from_micros(800 * MS),
        deadline: TimeDelta::from_micros(3 * S),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        idempotency: effect,
        key_scope: group,
        key_window: TimeDelta::from_micros(S),
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

/// Classes: 0 idempotent, 1 keyed by cell, 2 non-idempotent, 3 keyed by all. Plans: 0 ten units a second and twenty at
/// once, 1 the same under a ceiling twice as high, 2 two concurrency slots, 3 no quota.
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
        max_retry_after: TimeDelta::from_micros(2 * S),
        use_counter: true,
        counter_timeout: TimeDelta::from_micros(80 * MS),
        max_request_units: 4.0,
        answer_slack: TimeDelta::from_micros(8 * MS),
        slow_start_min_capacity: 0.2,
        slow_start_duration: TimeDelta::from_micros(10 * S),
        overload_multiple: 2.0,
        overload_duration: TimeDelta::from_micros(S),
        timer_resolution: TimeDelta::from_micros(2 * MS),
        ..Settings::default()
    }
}

pub struct Rig {
    pub engine: DecisionEngine,
    pub now: u64,
    pub done: Vec<Action>,
    pub next: u64,
    timers: Vec<(u64, TimerId)>,
}

impl Rig {
    pub fn new(settings: Settings, endpoints: u32) -> Rig {
        Rig::seeded(7, settings, endpoints)
    }
    pub fn seeded(seed: u64, settings: Settings, endpoints: u32) -> Rig {
        let engine = DecisionEngine::new(seed, settings).expect("sound settings");
        let mut rig = Rig {
            engine,
            now: 1_000 * S,
            done: Vec::new(),
            next: 1,
            timers: Vec::new(),
        };
        let entries = (0..endpoints)
            .map(|i| entry(i, EndpointState::InService, None))
            .collect();
        rig.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries,
        });
        rig
    }
    /// Handles one event and returns the actions on it.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.engine
            .handle(Timestamp::from_micros(self.now), event, &mut out);
        for action in &out {
            if let Action::SetTimer { timer: id, after } = action {
                self.timers.push((self.now + after.as_micros(), *id));
            }
        }
        self.done.extend(out.iter().cloned());
        out
    }
    /// Lets time pass, raising timers as they fire, and returns the actions on them.
    pub fn advance(&mut self, span: u64) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while let Some(&(at, id)) = self
            .timers
            .iter()
            .filter(|t| t.0 <= end)
            .min_by_key(|t| t.0)
        {
            self.timers.retain(|t| t.1 != id);
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
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = Timestamp::from_micros(self.now + 3 * S);
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
    /// A request without quota that is sent at once; returns its endpoint.
    pub fn send_request(&mut self, class: usize) -> (RequestId, EndpointId) {
        let (id, out) = self.request(class, 3, 1, 1.0);
        (id, sent_attempts(&out).first().expect("it is sent on").1)
    }
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        endpoint: EndpointId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(id, attempt, endpoint, outcome, 50 * MS)
    }
    /// The attempt ends after so long. One that is cancelled belongs to a request that has its answer.
    pub fn end_attempt_after(
        &mut self,
        id: RequestId,
        attempt: usize,
        endpoint: EndpointId,
        outcome: Outcome,
        elapsed: u64,
    ) -> Vec<Action> {
        let ended = matches!(outcome, Outcome::Ok | Outcome::Cancelled);
        let (elapsed, report) = (TimeDelta::from_micros(elapsed), LoadReport::default());
        let result = AttemptResult {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            is_request_finished: ended,
            settled_units: None,
            load_report: report,
        };
        self.handle(Event::AttemptEnded(result))
    }
}

pub fn entry(i: u32, listed: EndpointState, started: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(u64::from(i)),
        zone: ZoneId(0),
        cell: CellId(u64::from(i) / 2),
        state: listed,
        weight: 1.0,
        started_at: started.map(Timestamp::from_micros),
    }
}

pub fn counter_calls(out: &[Action]) -> Vec<(CounterKey, f64)> {
    out.iter()
        .filter_map(|a| {
            if let Action::AddToCounter {
                key: n, amount: x, ..
            } = a
            {
                Some((*n, *x))
            } else {
                None
            }
        })
        .collect()
}
/// The count calls that add or take off.
pub fn nonzero_adds(out: &[Action]) -> Vec<(CounterKey, f64)> {
    counter_calls(out)
        .into_iter()
        .filter(|(_, x)| *x != 0.0)
        .collect()
}
pub fn sent_attempts(out: &[Action]) -> Vec<(RequestId, EndpointId)> {
    out.iter()
        .filter_map(|a| {
            if let Action::SendAttempt {
                request: r,
                endpoint: s,
                ..
            } = a
            {
                Some((*r, *s))
            } else {
                None
            }
        })
        .collect()
}
pub fn is_rejected(out: &[Action], id: RequestId) -> bool {
    out.iter()
        .any(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
}
pub fn is_failed(out: &[Action], id: RequestId) -> bool {
    out.contains(&Action::Fail(id))
}
