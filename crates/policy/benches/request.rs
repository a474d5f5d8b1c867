//! What one request costs the module: add, answer, send, end; 5,000 requests a second from 5,000 customers.
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

struct Rig {
    gateway: DecisionEngine,
    now: u64,
    next: u64,
    out: Vec<Action>,
    timers: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    totals: HashMap<CounterKey, f64>,
}

impl Rig {
    fn new(servers: u64) -> Rig {
        let gateway = DecisionEngine::new(1, settings()).expect("sound settings");
        let timers = BinaryHeap::new();
        let mut rig = Rig {
            gateway,
            now: 1_000_000,
            next: 0,
            out: Vec::new(),
            timers,
            totals: HashMap::new(),
        };
        let entry = |i: u64| EndpointEntry {
            endpoint: EndpointId(i.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            zone: ZoneId((i % 3) as u32),
            cell: CellId(i % 3),
            state: EndpointState::InService,
            weight: 1.0,
            started_at: None,
        };
        rig.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries: (0..servers).map(entry).collect(),
        });
        (0..20_000).for_each(|_| rig.request());
        rig
    }
    fn tell(&mut self, event: Event) {
        self.gateway
            .handle(Timestamp::from_micros(self.now), event, &mut self.out);
    }
    fn request(&mut self) {
        self.now += 200;
        while self.timers.peek().is_some_and(|t| t.0 .0 <= self.now) {
            let Some(std::cmp::Reverse((_, id))) = self.timers.pop() else {
                break;
            };
            self.tell(Event::Timer(TimerId(id)));
        }
        self.next += 1;
        let arrival = IncomingRequest {
            id: RequestId(self.next),
            customer: CustomerId((self.next % 5_000).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            customer_gateways: 3,
            deadline: Timestamp::from_micros(self.now + 2_000_000),
            units: 1.0,
            ..IncomingRequest::default()
        };
        self.tell(Event::RequestArrived(arrival));
        while let Some(action) = self.out.pop() {
            match action {
                Action::AddToCounter {
                    key: name, amount, ..
                } => {
                    let total = self.totals.entry(name).or_default();
                    *total += amount;
                    let total = *total;
                    self.tell(Event::CounterReplied {
                        key: name,
                        outcome: Outcome::Ok,
                        total,
                    });
                }
                Action::SendAttempt {
                    request: id,
                    endpoint: server,
                    ..
                } => {
                    let end = AttemptResult {
                        request: id,
                        attempt: 0,
                        endpoint: server,
                        outcome: Outcome::Ok,
                        elapsed: TimeDelta::from_micros(20_000),
                        is_request_finished: true,
                        settled_units: None,
                        load_report: LoadReport::default(),
                    };
                    self.tell(Event::AttemptEnded(end));
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
fn request(bencher: divan::Bencher, servers: u64) {
    let mut rig = Rig::new(servers);
    bencher.bench_local(move || rig.request());
}

fn main() {
    divan::main();
}
