//! Cost of one request in the engine: counter add, reply, attempt, and its end, with 5,000 requests per
//! second from 5,000 customers.
use chalkdeck::api::{
    Action, AttemptResult, CellId, Class, CounterKey, CustomerId, EndpointEntry, EndpointId,
    EndpointState, Event, Idempotency, IncomingRequest, KeyScope, LoadReport, Outcome, Plan,
    RequestId, Settings, TimeDelta, TimerId, Timestamp, UpdateScope, ZoneId,
};
use chalkdeck::DecisionEngine;
use std::collections::{BinaryHeap, HashMap};

fn settings() -> Settings {
    let class = Class {
        latency_objective: TimeDelta::from_micros(500_000),
        deadline: TimeDelta::from_micros(2_000_000),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        key_scope: KeyScope::All,
        key_window: TimeDelta::from_micros(0),
        is_streaming: false,
        is_admission_only: false,
    };
    let plan = Plan {
        rate: 10.0,
        burst: 20.0,
        max_concurrency: 0.0,
        priority_multiplier: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    };
    Settings {
        gateways: 3,
        classes: vec![class],
        plans: vec![plan],
        max_attempts: 3,
        allow_cancel: true,
        use_counter: true,
        counter_timeout: TimeDelta::from_micros(80_000),
        max_request_units: 1.0,
        timer_resolution: TimeDelta::from_micros(1_000),
        ..Settings::default()
    }
}

struct BenchHarness {
    engine: DecisionEngine,
    now: u64,
    last_request_id: u64,
    actions: Vec<Action>,
    timers: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    totals: HashMap<CounterKey, f64>,
}

impl BenchHarness {
    fn new(endpoints: u64) -> BenchHarness {
        let engine = DecisionEngine::new(1, settings()).expect("valid settings");
        let timers = BinaryHeap::new();
        let mut harness = BenchHarness {
            engine,
            now: 1_000_000,
            last_request_id: 0,
            actions: Vec::new(),
            timers,
            totals: HashMap::new(),
        };
        let entry = |index: u64| EndpointEntry {
            endpoint: EndpointId(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            zone: ZoneId((index % 3) as u32),
            cell: CellId(index % 3),
            state: EndpointState::InService,
            weight: 1.0,
            started_at: None,
            address: None,
        };
        harness.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries: (0..endpoints).map(entry).collect(),
        });
        (0..20_000).for_each(|_| harness.run_request());
        harness
    }
    fn handle(&mut self, event: Event) {
        self.engine
            .handle(Timestamp::from_micros(self.now), event, &mut self.actions);
    }
    fn run_request(&mut self) {
        self.now += 200;
        while self
            .timers
            .peek()
            .is_some_and(|timer| timer.0 .0 <= self.now)
        {
            let Some(std::cmp::Reverse((_, id))) = self.timers.pop() else {
                break;
            };
            self.handle(Event::Timer(TimerId(id)));
        }
        self.last_request_id += 1;
        let arrival = IncomingRequest {
            id: RequestId(self.last_request_id),
            customer: CustomerId(
                (self.last_request_id % 5_000).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ),
            customer_gateways: 3,
            deadline: Timestamp::from_micros(self.now + 2_000_000),
            units: 1.0,
            ..IncomingRequest::default()
        };
        self.handle(Event::RequestArrived(arrival));
        while let Some(action) = self.actions.pop() {
            match action {
                Action::AddToCounter { key, amount, .. } => {
                    let total = self.totals.entry(key).or_default();
                    *total += amount;
                    let total = *total;
                    self.handle(Event::CounterReplied {
                        key,
                        outcome: Outcome::Ok,
                        total,
                    });
                }
                Action::SendAttempt {
                    request: id,
                    endpoint,
                    ..
                } => {
                    let result = AttemptResult {
                        request: id,
                        attempt: 0,
                        endpoint,
                        outcome: Outcome::Ok,
                        elapsed: TimeDelta::from_micros(20_000),
                        is_request_finished: true,
                        settled_units: None,
                        load_report: LoadReport::default(),
                    };
                    self.handle(Event::AttemptEnded(result));
                }
                Action::SetTimer { timer: id, after } => self
                    .timers
                    .push(std::cmp::Reverse((self.now + after.as_micros(), id.0))),
                _ => {}
            }
        }
    }
}

#[divan::bench(args = [12, 120, 1000], sample_size = 1000, sample_count = 50)]
fn request(bencher: divan::Bencher, endpoints: u64) {
    let mut harness = BenchHarness::new(endpoints);
    bencher.bench_local(move || harness.run_request());
}

fn main() {
    divan::main();
}
