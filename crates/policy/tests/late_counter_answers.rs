//! What a caller is told when the counter's answers come late by a few milliseconds, as on a busy machine.
mod common;
use chalkdeck::api::*;
use common::*;
use std::collections::HashMap;

const ADMISSION_ONLY: usize = 4;
/// A plan of four units that takes minutes to fill again.
const SLOW_PLAN: usize = 4;
const SEEDS: u64 = 200;
const QUICK: u64 = MS;

/// One gateway and a counter that keeps its totals.
struct Caller {
    rig: Rig,
    totals: HashMap<CounterKey, f64>,
    /// Amounts that were added, in order.
    added: Vec<f64>,
}

impl Caller {
    fn new(seed: u64) -> Caller {
        let mut set = Settings {
            gateways: 1,
            ..settings()
        };
        set.classes.push(Class {
            is_admission_only: true,
            ..class(Idempotency::NonIdempotent, KeyScope::All)
        });
        set.plans.push(plan(0.02, 4.0));
        Caller {
            rig: Rig::seeded(seed, set, 0),
            totals: HashMap::new(),
            added: Vec::new(),
        }
    }

    /// Asks for units; the counter answers after `latency`, if it is called. Returns the request if it was granted.
    fn ask(&mut self, customer: u64, units: f64, latency: u64) -> Option<RequestId> {
        let (id, mut out) = self.rig.request(ADMISSION_ONLY, SLOW_PLAN, customer, units);
        let calls = counter_calls(&out);
        if !calls.is_empty() {
            self.rig.advance(latency);
        }
        for (key, amount) in calls {
            out.extend(self.answer(key, amount));
        }
        out.contains(&Action::Grant(id)).then_some(id)
    }

    fn answer(&mut self, key: CounterKey, amount: f64) -> Vec<Action> {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        let total = *total;
        self.added.push(amount);
        let outcome = Outcome::Ok;
        self.rig.handle(Event::CounterReplied {
            key,
            outcome,
            total,
        })
    }

    /// Asks for single units until one is refused; the counter answers the calls after these times, then quickly.
    fn use_up(&mut self, customer: u64, latencies: &[u64]) -> usize {
        let mut latencies = latencies.iter();
        let mut granted = 0;
        loop {
            let latency = *latencies.next().unwrap_or(&QUICK);
            let Some(id) = self.ask(customer, 1.0, latency) else {
                return granted;
            };
            // A plain ask holds nothing.
            self.rig.handle(Event::ClientDisconnected(id));
            granted += 1;
        }
    }

    /// Reserves the whole quota, is refused one unit more, and gives three back.
    fn reserve_and_settle(&mut self, customer: u64, latency: u64) {
        let reserved = self.ask(customer, 4.0, latency).expect("the quota is full");
        assert_eq!(self.use_up(customer, &[]), 0);
        self.rig.handle(Event::UnitsSettled {
            request: reserved,
            units: 1.0,
        });
        self.rig.handle(Event::ClientDisconnected(reserved));
    }
}

/// What happened: a caller that gave three of four units back was granted none, one or two more, in 594 of 7,152 runs of
/// `units_are_reserved_and_the_true_figure_settled` beside load. Why: the first answer of the counter was compared with a usual time of
/// zero, so one that came after 7 ms was taken for a queue at the counter, and only a part of the requests called it from there on. Shown by: a
/// trace of the sample rate; in each failed run the first answer had taken 7.2 to 7.7 ms, and the rate was 0.987 to 0.9998 after it.
#[test]
fn first_answer_is_late_then_all_requests_call_the_counter() {
    for seed in 0..SEEDS {
        let mut caller = Caller::new(seed);
        caller.reserve_and_settle(1, (10 + seed % 50) * MS);
        assert_eq!(caller.use_up(1, &[]), 3, "seed {seed}: three came back");
    }
}

/// What happened: as above, with one or two granted of three. Why: a sampled retry was counted for the retries like it that are not
/// sampled, too, though right after a total these use nothing that is not counted. So units that nobody used were missing from the quota until the window's
/// end. Shown by: totals of 2.003 to 2.16 after a retry of one unit on a count of one.
#[test]
fn sampled_retry_is_counted_for_itself_alone() {
    let mut sampled = 0;
    for seed in 0..SEEDS {
        let mut caller = Caller::new(seed);
        caller.reserve_and_settle(1, QUICK);
        // A late answer of another customer's call: fewer requests call the counter from here on.
        caller.ask(2, 1.0, 12 * MS);
        caller.added.clear();
        caller.ask(1, 1.0, QUICK);
        if !caller.added.is_empty() {
            sampled += 1;
            assert_eq!(caller.added, [-2.0], "seed {seed}: one more, three back");
        }
    }
    assert!(sampled > 20, "{sampled} retries were sampled");
}

/// What happened: as above, once in some two thousand runs after the causes above were gone. Why: after a late answer a request that looks
/// like a retry and was not sampled was rejected, though that answer had just told that there is room. Shown by: one granted of three where
/// the first of the three calls was answered late.
#[test]
fn unsampled_retry_goes_by_a_recent_total_and_is_counted() {
    let late = 40 * MS;
    let mut calls = 0;
    for seed in 0..SEEDS {
        let mut caller = Caller::new(seed);
        caller.reserve_and_settle(1, QUICK);
        caller.added.clear();
        assert_eq!(caller.use_up(1, &[late; 3]), 3, "seed {seed}");
        calls += caller.added.len();
        assert_eq!(caller.use_up(1, &[]), 0, "seed {seed}: all are counted");
    }
    assert!(calls < 2 * SEEDS as usize, "few were sampled: {calls}");
}

#[test]
fn unsampled_retry_is_rejected_by_an_older_total() {
    let mut rejected = 0;
    for seed in 0..SEEDS {
        let mut caller = Caller::new(seed);
        caller.reserve_and_settle(1, QUICK);
        // Late answers of other customers' calls; then the total is older than a call's time.
        for customer in 2..5 {
            caller.ask(customer, 1.0, 40 * MS);
        }
        caller.rig.advance(80 * MS);
        caller.added.clear();
        let is_granted = caller.ask(1, 1.0, QUICK).is_some();
        assert_eq!(is_granted, !caller.added.is_empty(), "seed {seed}");
        rejected += u64::from(!is_granted);
    }
    assert!(rejected > SEEDS / 2, "few are sampled: {rejected}");
}
