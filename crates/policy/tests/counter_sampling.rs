//! Sampling of the requests that call the counter, and load shedding by late answers.
mod common;
use chalkdeck::api::*;
use common::*;

/// One of 300 gateways. Classes 0 and 1 are idempotent and have a priority weight of one and four.
fn one_of_300_gateways(seed: u64) -> Harness {
    let mut settings = Settings {
        gateways: 300,
        gateway_index: 3,
        ..settings()
    };
    settings.classes[1] = Class {
        priority_weight: 4.0,
        ..settings.classes[0].clone()
    };
    Harness::seeded(seed, settings, 50)
}

/// Handles a request, with a successful answer if it is sent. Returns the actions at its arrival.
fn serve_request(harness: &mut Harness, class: usize, customer: u64, units: f64) -> Vec<Action> {
    let (id, actions) = harness.request(class, 0, customer, units);
    sent_attempts(&actions)
        .iter()
        .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok)));
    actions
}

/// Sends requests until one is sampled, and returns its id, the counter key and the amount.
fn sampled_request(
    harness: &mut Harness,
    customer: u64,
    units: f64,
) -> (RequestId, CounterKey, f64) {
    let called = (0..2_000).find_map(|_| {
        let (id, actions) = harness.request(0, 0, customer, units);
        sent_attempts(&actions)
            .iter()
            .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok)));
        nonzero_adds(&actions)
            .first()
            .map(|(key, amount)| (id, *key, *amount))
    });
    called.expect("one of them is sampled")
}

/// Replies to counter calls as if a queue built up at the counter, until few requests are sampled.
fn simulate_counter_queue(harness: &mut Harness) {
    for customer in 10_000..10_400 {
        let actions = serve_request(harness, 0, customer, 1.0);
        harness.advance(if customer < 10_100 {
            2 * MILLISECOND
        } else {
            40 * MILLISECOND
        });
        for (key, amount) in counter_calls(&actions) {
            for (id, endpoint) in sent_attempts(&harness.handle(Event::CounterReplied {
                key,
                outcome: Outcome::Ok,
                total: amount,
            })) {
                harness.end_attempt(id, 0, endpoint, Outcome::Ok);
            }
        }
    }
}

#[test]
fn at_start_a_tenth_of_the_requests_of_300_gateways_call_the_counter_and_all_of_30() {
    let count_sampled = |gateways: u32| {
        let calls_counter = |seed: &u64| {
            let settings = Settings {
                gateways,
                ..settings()
            };
            !counter_calls(&Harness::seeded(*seed, settings, 50).request(0, 0, 1, 1.0).1).is_empty()
        };
        (0..300).filter(calls_counter).count()
    };
    assert!(
        (10..60).contains(&count_sampled(300)),
        "{}",
        count_sampled(300)
    );
    assert_eq!(count_sampled(30), 300);
}

#[test]
fn requests_with_many_weighted_units_are_sampled_first_while_calls_queue() {
    let mut harness = one_of_300_gateways(7);
    simulate_counter_queue(&mut harness);
    let mut called = [0, 0];
    for i in 0..600 {
        let class = usize::from(i % 3 == 0);
        for (key, _) in counter_calls(&serve_request(&mut harness, class, 20_000 + i, 1.0)) {
            called[class] += 1;
            harness.advance(40 * MILLISECOND);
            for (id, endpoint) in sent_attempts(&harness.handle(Event::CounterReplied {
                key,
                outcome: Outcome::Ok,
                total: 1.0,
            })) {
                harness.end_attempt(id, 0, endpoint, Outcome::Ok);
            }
        }
    }
    // 400 requests of low weight, and 200 of four times that weight.
    assert!(called[1] > 3 * called[0] && called[0] > 0, "{called:?}");
}

#[test]
fn sampled_requests_are_counted_for_unsampled_ones_too() {
    let (mut units, mut counted) = (0.0, 0.0);
    for seed in 0..40 {
        let mut harness = one_of_300_gateways(seed);
        simulate_counter_queue(&mut harness);
        for customer in 1..=400 {
            units += 1.0;
            let actions = serve_request(&mut harness, 0, customer, 1.0);
            // At this latency the sample rate stays unchanged.
            harness.advance(11_600);
            for (key, amount) in counter_calls(&actions) {
                counted += amount;
                assert!(amount <= 20.0, "never more than a burst");
                for (id, endpoint) in sent_attempts(&harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total: amount,
                })) {
                    harness.end_attempt(id, 0, endpoint, Outcome::Ok);
                }
            }
        }
    }
    let fraction: f64 = counted / units;
    assert!(
        (0.8..1.2).contains(&fraction),
        "{fraction} of the used units are counted"
    );
}

#[test]
fn an_unsampled_request_is_decided_by_the_last_total() {
    let mut harness = one_of_300_gateways(7);
    let is_unsampled_sent = |harness: &mut Harness| {
        let unsampled = (0..200).find_map(|_| {
            Some(serve_request(harness, 0, 1, 0.5))
                .filter(|actions| counter_calls(actions).is_empty())
        });
        !sent_attempts(&unsampled.expect("few are sampled")).is_empty()
    };
    assert!(
        is_unsampled_sent(&mut harness),
        "no total of the customer is known yet"
    );
    let (id, key, amount) = sampled_request(&mut harness, 1, 0.5);
    let actions = harness.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: amount + 20.0,
    });
    assert!(is_rejected(&actions, id));
    harness.advance(2 * SECOND + 500 * MILLISECOND); // Another window, of which no total is known.
    assert!(
        !is_unsampled_sent(&mut harness),
        "the last total was over the quota"
    );
    harness.advance(15 * SECOND);
    assert!(
        is_unsampled_sent(&mut harness),
        "the last total over the quota has expired"
    );
}

#[test]
fn a_sampled_request_is_decided_by_its_own_units_and_refunds_its_whole_add() {
    let mut harness = one_of_300_gateways(7);
    simulate_counter_queue(&mut harness);
    let (id, key, amount) = sampled_request(&mut harness, 1, 1.0);
    assert!(amount > 4.0, "it also counts unsampled requests: {amount}");
    // The allowance covers nineteen units of others and its own one, but not those that it adds for unsampled
    // requests.
    let actions = harness.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: amount + 19.0,
    });
    assert_eq!(
        sent_attempts(&actions).first().map(|attempt| attempt.0),
        Some(id),
        "{actions:?}"
    );

    let (id, key, amount) = sampled_request(&mut harness, 2, 4.0);
    let actions = harness.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: amount + 17.0,
    });
    assert!(is_rejected(&actions, id), "{actions:?}");
    assert_eq!(
        nonzero_adds(&actions)
            .iter()
            .map(|add| add.1)
            .collect::<Vec<_>>(),
        [-amount]
    );
}

#[test]
fn a_rejected_request_refunds_its_units_once() {
    let mut harness = Harness::new(settings(), 4);
    let (_, actions) = harness.request(0, 0, 1, 4.0);
    let actions = harness.handle(Event::CounterReplied {
        key: nonzero_adds(&actions)[0].0,
        outcome: Outcome::Ok,
        total: 23.5,
    });
    assert!(
        nonzero_adds(&actions).is_empty(),
        "half a unit is available: the refund waits for the next call"
    );
    let (id, actions) = harness.request(0, 0, 1, 4.0);
    assert!(
        is_rejected(&actions, id) && nonzero_adds(&actions).is_empty(),
        "the quota is known to be exhausted"
    );
}

#[test]
fn an_occasional_late_answer_sheds_nothing() {
    let count_shed = |late_interval: u64| {
        let mut harness = one_of_300_gateways(7);
        let mut shed = 0;
        for i in 0..600 {
            harness.advance(700 * MILLISECOND);
            let (id, actions) = harness.request(0, 3, 1, 1.0);
            shed += u32::from(is_rejected(&actions, id));
            for (_, endpoint) in sent_attempts(&actions) {
                let elapsed = if i % late_interval == 0 {
                    700 * MILLISECOND
                } else {
                    50 * MILLISECOND
                };
                harness.advance(elapsed);
                harness.end_attempt_after(id, 0, endpoint, Outcome::Ok, elapsed);
            }
        }
        shed
    };
    assert!(count_shed(20) <= 40, "{}", count_shed(20));
    assert!(count_shed(2) > 150, "{}", count_shed(2));
}

#[test]
fn shedding_ends_soon_after_its_cause_even_with_few_answers() {
    let mut shed = 0;
    for gateway_seed in 0..20 {
        let mut harness = one_of_300_gateways(gateway_seed);
        for i in 0..160 {
            harness.advance(700 * MILLISECOND);
            let (id, actions) = harness.request(0, 3, 1, 1.0);
            // At first two in five answers are late. Soon after the last late one, fewer requests are shed.
            let elapsed = if i < 100 && i % 5 < 2 {
                700 * MILLISECOND
            } else {
                50 * MILLISECOND
            };
            shed += u32::from(i >= 110 && is_rejected(&actions, id));
            for (_, endpoint) in sent_attempts(&actions) {
                harness.advance(elapsed);
                harness.end_attempt_after(id, 0, endpoint, Outcome::Ok, elapsed);
            }
        }
    }
    assert!(shed <= 730, "{shed} of 1,000");
}

/// Guards against a gateway that starts while the counter is down and keeps calling it with most requests.
/// The first failed call set the base latency to the timeout, so further failures looked like replies without
/// queueing and raised the sample rate: it was 0.61 after two failures, where two halvings leave a quarter.
#[test]
fn each_failure_of_the_first_calls_halves_the_sample_rate() {
    const SEEDS: u64 = 200;
    let calls_after_two_failures = |seed: &u64| {
        let settings = Settings {
            gateways: 1,
            ..settings()
        };
        let mut harness = Harness::seeded(*seed, settings, 4);
        for customer in 1..=2 {
            let (_, actions) = harness.request(0, 0, customer, 1.0);
            harness.advance(80 * MILLISECOND);
            for (key, _) in counter_calls(&actions) {
                harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Timeout,
                    total: 0.0,
                });
            }
        }
        !counter_calls(&harness.request(0, 0, 3, 1.0).1).is_empty()
    };
    let calls = (0..SEEDS).filter(calls_after_two_failures).count();
    let fraction = calls as f64 / SEEDS as f64;
    assert!(
        (0.1..0.45).contains(&fraction),
        "{fraction} of the requests call"
    );
}
