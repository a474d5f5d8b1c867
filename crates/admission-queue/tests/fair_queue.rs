//! Tests of the guarantees of the fair queue: fair shares, no starvation, work conservation, bounded memory and lower bounds of
//! retry delays.

use chalkdeck_admission_queue::{CustomerId, FairQueue, Request, RequestId, Settings, Verdict};
use chalkdeck_time::{TimeDelta, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, HashMap, HashSet};

const SECOND: TimeDelta = TimeDelta::from_secs(1);
const START: Timestamp = Timestamp::from_millis(1_000);
const TURN: TimeDelta = TimeDelta::from_millis(1);
/// A customer that sends far more than the others.
const FLOODING_CUSTOMER: u64 = 99;

fn request(id: u64, customer: u64) -> Request {
    Request {
        id: RequestId(id),
        customer: CustomerId(customer),
        weight: 1.0,
        units: 1.0,
        deadline: Timestamp::from_micros(u64::MAX / 2),
        quota_reset: TimeDelta::ZERO,
    }
}

fn admit(queue: &mut FairQueue, now: Timestamp) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    queue.admit(now, &mut verdicts);
    verdicts
}

fn admitted_ids(verdicts: &[Verdict]) -> Vec<RequestId> {
    let ids = verdicts.iter().filter_map(|verdict| match verdict {
        Verdict::Admit { id } => Some(*id),
        Verdict::Reject { .. } => None,
    });
    ids.collect()
}

/// An admitted request that is being served.
struct InService {
    id: RequestId,
    ends_at: Timestamp,
}

/// A queue with simulated clients and servers, whose turns are a millisecond apart.
struct Simulation {
    queue: FairQueue,
    now: Timestamp,
    last_id: u64,
    customers: HashMap<RequestId, u64>,
    in_service: Vec<InService>,
    admitted: BTreeMap<u64, u64>,
    rejected: BTreeMap<u64, u64>,
}

impl Simulation {
    fn new(settings: Settings) -> Simulation {
        Simulation {
            queue: FairQueue::new(settings),
            now: START,
            last_id: 0,
            customers: HashMap::new(),
            in_service: Vec::new(),
            admitted: BTreeMap::new(),
            rejected: BTreeMap::new(),
        }
    }

    fn next_request(&mut self, customer: u64) -> Request {
        self.last_id += 1;
        let request = request(self.last_id, customer);
        self.customers.insert(request.id, customer);
        request
    }

    fn offer(&mut self, customer: u64, units: f64, weight: f64) {
        let request = Request {
            units,
            weight,
            deadline: self.now + SECOND * 2,
            ..self.next_request(customer)
        };
        if let Some(verdict) = self.queue.offer(self.now, request) {
            self.apply_verdict(verdict, TimeDelta::ZERO);
        }
    }

    fn offer_many(&mut self, requests: usize, customer: u64, units: f64, weight: f64) {
        for _ in 0..requests {
            self.offer(customer, units, weight);
        }
    }

    fn apply_verdict(&mut self, verdict: Verdict, service_time: TimeDelta) {
        match verdict {
            Verdict::Admit { id } => {
                *self.admitted.entry(self.customers[&id]).or_default() += 1;
                let ends_at = self.now + service_time;
                self.in_service.push(InService { id, ends_at });
            }
            Verdict::Reject { id, .. } => {
                *self.rejected.entry(self.customers[&id]).or_default() += 1;
            }
        }
    }

    /// Runs one turn; the requests that it admits are served for `service_time`.
    fn turn(&mut self, service_time: TimeDelta) {
        self.now = self.now + TURN;
        let now = self.now;
        self.complete(|_, request| request.ends_at <= now);
        for verdict in admit(&mut self.queue, now) {
            self.apply_verdict(verdict, service_time);
        }
    }

    /// Completes the requests in service for which `is_completed` holds, given their customers.
    fn complete(&mut self, is_completed: impl Fn(u64, &InService) -> bool) {
        let requests = std::mem::take(&mut self.in_service);
        for request in requests {
            if is_completed(self.customers[&request.id], &request) {
                self.queue.complete(request.id);
            } else {
                self.in_service.push(request);
            }
        }
    }

    /// The admitted fraction of a customer's requests.
    fn admitted_fraction(&self, customer: u64) -> f64 {
        let count = |counts: &BTreeMap<u64, u64>| *counts.get(&customer).unwrap_or(&0) as f64;
        let admitted = count(&self.admitted);
        admitted / (admitted + count(&self.rejected)).max(1.0)
    }

    fn least_admitted_fraction(&self, customers: std::ops::Range<u64>) -> f64 {
        customers
            .map(|customer| self.admitted_fraction(customer))
            .fold(1.0, f64::min)
    }
}

#[test]
fn flood_from_one_customer_gets_only_the_capacity_that_others_leave() {
    for flood in [0, 50, 500] {
        let mut simulation = Simulation::new(Settings {
            max_admitted_per_turn: 20,
            ..Settings::default()
        });
        for _ in 0..500 {
            simulation.offer_many(flood, FLOODING_CUSTOMER, 1.0, 1.0);
            for customer in 0..10 {
                simulation.offer(customer, 1.0, 1.0);
            }
            simulation.turn(TimeDelta::ZERO);
        }
        let least = simulation.least_admitted_fraction(0..10);
        assert!(least > 0.99, "{flood}: {least}");
        if flood > 0 {
            let per_turn = simulation.admitted[&FLOODING_CUSTOMER] as f64 / 500.0;
            assert!(
                (9.0..=10.5).contains(&per_turn),
                "the flooding customer gets the remaining capacity: {per_turn} per turn"
            );
        }
    }
}

#[test]
fn capacity_is_shared_by_weight_and_units() {
    let mut simulation = Simulation::new(Settings {
        max_admitted_per_turn: 20,
        ..Settings::default()
    });
    for _ in 0..2_000 {
        simulation.offer_many(40, 1, 1.0, 1.0);
        simulation.offer_many(40, 2, 1.0, 3.0);
        simulation.offer_many(40, 3, 4.0, 1.0);
        simulation.turn(TimeDelta::ZERO);
    }
    let admitted = |customer: u64| simulation.admitted[&customer] as f64;
    let by_weight = admitted(2) / admitted(1);
    let by_units = admitted(1) / admitted(3);
    assert!((2.7..3.3).contains(&by_weight), "{by_weight}");
    assert!(
        (3.6..4.4).contains(&by_units),
        "shares follow the units of the requests: {by_units}"
    );
}

#[test]
fn slow_requests_of_one_customer_do_not_starve_the_others() {
    let mut simulation = Simulation::new(Settings {
        max_in_flight: 100,
        ..Settings::default()
    });
    for turn in 0..1_500 {
        simulation.offer_many(20, FLOODING_CUSTOMER, 1.0, 1.0);
        for customer in 0..4 {
            simulation.offer(customer, 1.0, 1.0);
        }
        simulation.now = simulation.now + TURN;
        let now = simulation.now;
        simulation
            .complete(|customer, request| customer != FLOODING_CUSTOMER || request.ends_at <= now);
        for verdict in admit(&mut simulation.queue, now) {
            simulation.apply_verdict(verdict, SECOND * 5);
        }
        assert!(simulation.queue.in_flight() <= 100, "turn {turn}");
    }
    let least = simulation.least_admitted_fraction(0..4);
    assert!(least > 0.95, "{least}");
}

#[test]
fn memory_is_bounded_with_a_million_customers() {
    let mut queue = FairQueue::new(Settings::default());
    let bound = queue.max_bytes();
    let mut verdicts = Vec::new();
    for id in 0..1_000_000_u64 {
        let now = START + TimeDelta::from_micros(id);
        let customer = id.wrapping_mul(0x2545_f491_4f6c_dd1d);
        queue.offer(now, request(id, customer));
        // At first, requests arrive faster than they are admitted, so that the queue fills up.
        let requests_per_turn = if id < 50_000 { 500 } else { 200 };
        if id % requests_per_turn == 0 {
            verdicts.clear();
            queue.admit(now, &mut verdicts);
            for id in admitted_ids(&verdicts) {
                queue.complete(id);
            }
        }
        assert!(queue.queued() <= Settings::default().max_queued);
    }
    assert!(bound < 8 << 20, "the memory bound is too high: {bound}");
}

/// The retry delay of the first rejection after a flood that filled a queue.
fn retry_delay_after_flood(settings: Settings) -> TimeDelta {
    let mut simulation = Simulation::new(settings);
    for _ in 0..1_000 {
        simulation.offer_many(30, 1, 1.0, 1.0);
        simulation.turn(TimeDelta::ZERO);
    }
    loop {
        let request = Request {
            deadline: simulation.now + SECOND * 60,
            ..simulation.next_request(1)
        };
        match simulation.queue.offer(simulation.now, request) {
            Some(Verdict::Reject { retry_after, .. }) => return retry_after,
            Some(verdict) => panic!("{verdict:?}"),
            None => {}
        }
    }
}

#[test]
fn retry_delay_does_not_shrink_as_the_queue_grows() {
    let mut previous = TimeDelta::ZERO;
    for max_queued_per_queue in [10, 20, 40] {
        let retry_after = retry_delay_after_flood(Settings {
            max_admitted_per_turn: 10,
            max_queued_per_queue,
            retry_jitter: 0.0,
            max_wait: SECOND * 10,
            max_wait_fraction: 1.0,
            ..Settings::default()
        });
        assert!(
            retry_after >= previous,
            "{max_queued_per_queue}: {retry_after:?} after {previous:?}"
        );
        previous = retry_after;
    }
}

#[test]
fn retry_delay_is_at_least_the_quota_reset() {
    let mut queue = FairQueue::new(Settings {
        max_admitted_per_turn: 10,
        max_queued_per_queue: 1,
        retry_jitter: 0.0,
        max_wait: TimeDelta::from_millis(20),
        ..Settings::default()
    });
    queue.offer(START, request(1, 1));
    let without_quota = Request {
        quota_reset: SECOND * 5,
        ..request(2, 1)
    };
    let Some(Verdict::Reject { retry_after, .. }) = queue.offer(START, without_quota) else {
        panic!("the queue holds only one request")
    };
    assert!(
        retry_after >= SECOND * 5,
        "the quota resets later: {retry_after:?}"
    );
}

#[test]
fn request_that_waits_too_long_is_rejected() {
    let mut queue = FairQueue::new(Settings {
        max_in_flight: 1,
        ..Settings::default()
    });
    queue.offer(START, request(1, 1));
    assert_eq!(admitted_ids(&admit(&mut queue, START)), [RequestId(1)]);
    let with_deadline = Request {
        deadline: START + TimeDelta::from_millis(500),
        ..request(2, 1)
    };
    queue.offer(START, with_deadline);
    assert!(
        admit(&mut queue, START + TimeDelta::from_millis(40)).is_empty(),
        "it may wait a tenth of the time to its deadline"
    );
    let verdicts = admit(&mut queue, START + TimeDelta::from_millis(51));
    assert!(
        matches!(
            verdicts[..],
            [Verdict::Reject {
                id: RequestId(2),
                ..
            }]
        ),
        "{verdicts:?}"
    );
    queue.offer(START, request(3, 1));
    let id = RequestId(3);
    assert!(queue.cancel(id) && !queue.cancel(id) && queue.queued() == 0);
    queue.complete(RequestId(1));
    assert_eq!(queue.in_flight(), 0);
}

/// A step of the property test.
#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { customer: u64, units: u64 },
    Admit,
    CompleteHalf,
}

fn step() -> impl Strategy<Value = Step> {
    (0..6_u64, 1..5_u64, 0..4_u8).prop_map(|(customer, units, kind)| match kind {
        0 | 1 => Step::Offer { customer, units },
        2 => Step::Admit,
        _ => Step::CompleteHalf,
    })
}

/// The verdicts so far. Each request may get only one.
#[derive(Default)]
struct Verdicts {
    requests_with_verdict: HashSet<RequestId>,
    in_flight: Vec<RequestId>,
}

impl Verdicts {
    /// Records verdicts. Returns whether each is the first one on its request.
    fn record(&mut self, verdicts: Vec<Verdict>) -> bool {
        let mut is_first = true;
        for verdict in verdicts {
            let (Verdict::Admit { id } | Verdict::Reject { id, .. }) = verdict;
            if let Verdict::Admit { id } = verdict {
                self.in_flight.push(id);
            }
            is_first &= self.requests_with_verdict.insert(id);
        }
        is_first
    }

    fn complete(&mut self, queue: &mut FairQueue, requests: usize) {
        for id in self.in_flight.drain(..requests) {
            queue.complete(id);
        }
    }
}

proptest! {
    // A fixed seed makes every run test the same cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of calls, each request gets exactly one verdict, the queue is work-conserving, the limits hold, and no
    /// request waits indefinitely.
    #[test]
    fn every_request_gets_exactly_one_verdict(steps in proptest::collection::vec(step(), 1..400)) {
        let settings = Settings {
            max_in_flight: 20,
            max_admitted_per_turn: 4,
            max_queued: 30,
            max_queued_per_queue: 12,
            dedicated_queues: 2,
            shared_queues: 3,
            ..Settings::default()
        };
        let mut queue = FairQueue::new(settings.clone());
        let mut now = START;
        let mut last_id = 0;
        let mut verdicts = Verdicts::default();
        for step in steps {
            now = now + TimeDelta::from_micros(500);
            match step {
                Step::Offer { customer, units } => {
                    last_id += 1;
                    let offered = Request { units: units as f64, ..request(last_id, customer) };
                    let verdict = queue.offer(now, offered);
                    prop_assert!(verdicts.record(verdict.into_iter().collect()));
                }
                Step::Admit => {
                    let queued = queue.queued();
                    let free_slots = settings.max_in_flight - queue.in_flight();
                    let turn = admit(&mut queue, now);
                    // The queue is work-conserving: it admits as many requests as the limits allow, apart from queues that have
                    // twice their share in flight.
                    if queue.in_flight() * 2 < settings.max_in_flight {
                        let expected = queued.min(free_slots).min(settings.max_admitted_per_turn);
                        prop_assert!(admitted_ids(&turn).len() == expected || queue.queued() == 0);
                    }
                    prop_assert!(verdicts.record(turn));
                }
                Step::CompleteHalf => {
                    let half = verdicts.in_flight.len() / 2;
                    verdicts.complete(&mut queue, half);
                }
            }
            prop_assert!(queue.queued() <= settings.max_queued && queue.in_flight() <= settings.max_in_flight);
        }
        // All waiting requests get their verdicts within 400 ms, several times the maximum wait.
        for _ in 0..400 {
            now = now + TURN;
            let in_flight = verdicts.in_flight.len();
            verdicts.complete(&mut queue, in_flight);
            let turn = admit(&mut queue, now);
            prop_assert!(verdicts.record(turn));
        }
        prop_assert_eq!(queue.queued(), 0);
        prop_assert_eq!(verdicts.requests_with_verdict.len() as u64, last_id);
    }
}
