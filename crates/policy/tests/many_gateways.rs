//! Behavior with hundreds of gateways that each get one or two requests per second.
mod common;
use chalkdeck::api::*;
use common::*;
use std::collections::BTreeMap;

fn gateway_of(gateways: u32, gateway_index: u32, endpoints: u32) -> Harness {
    Harness::seeded(
        u64::from(gateway_index),
        Settings {
            gateways,
            gateway_index,
            ..settings()
        },
        endpoints,
    )
}

/// Sends a request of a new customer whose requests come through many gateways.
fn request_of_many_gateways(harness: &mut Harness, is_retry: bool) -> (RequestId, Vec<Action>) {
    let id = RequestId(harness.next_request_id);
    harness.next_request_id += 1;
    let deadline = Timestamp::from_micros(harness.now + 3 * SECOND);
    let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(harness.next_request_id));
    let incoming = IncomingRequest {
        id,
        class,
        plan,
        customer,
        customer_gateways: 200,
        deadline,
        units: 2.0,
        is_retry,
    };
    (id, harness.handle(Event::RequestArrived(incoming)))
}

#[test]
fn each_gateway_keeps_to_its_subset_and_the_subsets_cover_the_fleet_evenly() {
    let mut gateways_at = BTreeMap::new();
    for gateway_index in 0..100 {
        let mut harness = gateway_of(100, gateway_index, 50);
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            harness.advance(500 * MILLISECOND);
            let (id, endpoint) = harness.send_request(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Ok);
            *used.entry(endpoint).or_insert(0) += 1;
        }
        assert!(
            used.len() <= 12,
            "gateway {gateway_index} used {} of 50",
            used.len()
        );
        used.into_keys()
            .for_each(|endpoint| *gateways_at.entry(endpoint).or_insert(0) += 1);
    }
    assert_eq!(gateways_at.len(), 50, "no endpoint is left out");
    let (least, most) = (gateways_at.values().min(), gateways_at.values().max());
    assert!(
        most <= least.map(|least| least * 4).as_ref(),
        "{gateways_at:?}"
    );
}

#[test]
fn with_fractional_limits_late_answers_cause_shedding_and_quick_ones_do_not() {
    let rejections = |elapsed: u64| {
        let mut harness = gateway_of(200, 3, 50);
        let mut rejections = 0;
        for _ in 0..200 {
            harness.advance(700 * MILLISECOND);
            let (id, actions) = harness.request(0, 3, 1, 1.0);
            rejections += u32::from(is_rejected(&actions, id));
            for (_, endpoint) in sent_attempts(&actions) {
                harness.advance(elapsed);
                harness.end_attempt_after(id, 0, endpoint, Outcome::Ok, elapsed);
            }
        }
        rejections
    };
    assert_eq!(rejections(50 * MILLISECOND), 0);
    assert!(
        rejections(700 * MILLISECOND) > 100,
        "requests are shed although only one is in flight at a time"
    );
}

#[test]
fn after_a_failed_call_retries_are_rejected_and_other_requests_decided_locally() {
    let mut harness = gateway_of(200, 3, 50);
    let (mut admitted, mut calls) = ([0, 0], 0);
    for i in 0..1_200 {
        harness.advance(300 * MILLISECOND);
        let is_retry = i % 2 == 1;
        let (id, mut actions) = request_of_many_gateways(&mut harness, is_retry);
        // Every third call is rejected, so the breaker stays closed.
        let mut has_call_failed = false;
        for (key, _) in counter_calls(&actions) {
            calls += 1;
            has_call_failed = calls % 3 == 0;
            let outcome = if has_call_failed {
                Outcome::Rejected
            } else {
                Outcome::Ok
            };
            actions.extend(harness.handle(Event::CounterReplied {
                key,
                outcome,
                total: 2.0,
            }));
        }
        let is_admitted_locally = has_call_failed && !sent_attempts(&actions).is_empty();
        admitted[usize::from(is_retry)] += u32::from(is_admitted_locally);
        sent_attempts(&actions)
            .iter()
            .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok)));
    }
    assert!(admitted[0] > 10, "not retries: {admitted:?}");
    assert_eq!(admitted[1], 0, "retries");
}

#[test]
fn a_local_share_below_one_request_still_admits_one() {
    let mut harness = gateway_of(200, 3, 50);
    harness.advance(300 * MILLISECOND);
    let called = (0..100).find_map(|_| {
        let (id, actions) = request_of_many_gateways(&mut harness, false);
        sent_attempts(&actions)
            .iter()
            .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok)));
        (!counter_calls(&actions).is_empty()).then_some((id, actions))
    });
    let (id, actions) = called.expect("one of a hundred is sampled");
    let actions = harness.handle(Event::CounterReplied {
        key: counter_calls(&actions)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(
        sent_attempts(&actions).first().map(|attempt| attempt.0),
        Some(id)
    );
}

/// Sends a request of one customer, whose requests come through all gateways, while the counter rejects all
/// calls.
fn request_while_counter_rejects(harness: &mut Harness, plan: usize) -> (RequestId, Vec<Action>) {
    let id = RequestId(harness.next_request_id);
    harness.next_request_id += 1;
    let deadline = Timestamp::from_micros(harness.now + 3 * SECOND);
    let (plan, customer) = (PlanId(plan), CustomerId(9));
    let incoming = IncomingRequest {
        id,
        plan,
        customer,
        customer_gateways: 200,
        deadline,
        units: 1.0,
        ..IncomingRequest::default()
    };
    let mut actions = harness.handle(Event::RequestArrived(incoming));
    for (key, _) in counter_calls(&actions) {
        actions.extend(harness.handle(Event::CounterReplied {
            key,
            outcome: Outcome::Rejected,
            total: 0.0,
        }));
    }
    (id, actions)
}

#[test]
fn with_the_counter_down_hundreds_of_gateways_together_keep_a_ceiling() {
    // The ceiling is 20 units per second with a burst of 40, over 200 gateways that each get a request per
    // second.
    let mut harnesses: Vec<Harness> = (0..200)
        .map(|gateway_index| gateway_of(200, gateway_index, 50))
        .collect();
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for _ in 0..20 {
        level = (level + 20.0).min(40.0);
        for harness in &mut harnesses {
            harness.advance(SECOND);
            let (id, actions) = request_while_counter_rejects(harness, 1);
            level -= sent_attempts(&actions).len() as f64;
            lowest = lowest.min(level);
            sent_attempts(&actions)
                .iter()
                .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok)));
        }
    }
    assert!(lowest >= -4.0, "{lowest}");
}

#[test]
fn one_timeout_ejects_an_endpoint_that_is_seldom_used() {
    let mut harness = gateway_of(200, 3, 50);
    let (mut hung_endpoint, mut attempts) = (None, 0);
    for _ in 0..60 {
        harness.advance(500 * MILLISECOND);
        let (id, actions) = harness.request(0, 3, 1, 1.0);
        let Some(&(_, endpoint)) = sent_attempts(&actions).first() else {
            continue;
        };
        let is_hung = *hung_endpoint.get_or_insert(endpoint) == endpoint;
        attempts += u32::from(is_hung);
        if is_hung {
            harness.advance(3 * SECOND); // Cancelled at the deadline.
        }
        let (outcome, elapsed) = if is_hung {
            (Outcome::Cancelled, 3 * SECOND)
        } else {
            (Outcome::Ok, 50 * MILLISECOND)
        };
        harness.end_attempt_after(id, 0, endpoint, outcome, elapsed);
    }
    assert!(
        attempts <= 6,
        "{attempts} attempts in thirty seconds at one hung endpoint of eight"
    );
}

#[test]
fn with_the_counter_down_hundreds_of_gateways_together_keep_to_two_slots() {
    // One customer with two slots sends two requests per second to each of 200 gateways. Answers take 100 ms.
    let mut harnesses: Vec<Harness> = (0..200)
        .map(|gateway_index| gateway_of(200, gateway_index, 50))
        .collect();
    let mut sent = 0;
    for round in 0..120 {
        for harness in &mut harnesses {
            harness.advance(400 * MILLISECOND);
            let actions = request_while_counter_rejects(harness, 2).1;
            harness.advance(100 * MILLISECOND);
            sent += if round >= 38 {
                sent_attempts(&actions).len()
            } else {
                0
            };
            for (id, endpoint) in sent_attempts(&actions) {
                harness.end_attempt_after(id, 0, endpoint, Outcome::Ok, 100 * MILLISECOND);
            }
        }
    }
    let mean_in_flight = sent as f64 * 0.1 / 41.0;
    assert!(
        (0.5..=2.0).contains(&mean_in_flight),
        "{mean_in_flight} in flight in two slots"
    );
}

#[test]
fn in_overload_a_gateway_with_fractional_limits_has_fewer_attempts_in_flight_than_normally() {
    let mut harness = gateway_of(200, 3, 50);
    let mut in_flight: Vec<(u64, RequestId, EndpointId)> = Vec::new();
    let mut sent = 0;
    for step in 0..2_000u64 {
        let mut actions = harness.advance(50 * MILLISECOND);
        let is_overloaded = step >= 600;
        let latency = if is_overloaded {
            1_500 * MILLISECOND
        } else {
            100 * MILLISECOND
        };
        for (ends_at, id, endpoint) in std::mem::take(&mut in_flight) {
            if ends_at > harness.now {
                in_flight.push((ends_at, id, endpoint));
                continue;
            }
            actions.extend(harness.end_attempt_after(id, 0, endpoint, Outcome::Ok, latency));
        }
        // In overload clients retry rejected requests.
        if is_overloaded || step % 10 == 0 {
            actions.extend(harness.request(0, 3, 1, 1.0).1);
        }
        for (id, endpoint) in sent_attempts(&actions) {
            in_flight.push((harness.now + latency, id, endpoint));
            sent += u32::from(step >= 1_000);
        }
    }
    // Random shedding alone would have 1.2 attempts in flight on average, 39 sends; before and at the start
    // of the overload there was a third of that.
    assert!(
        (1..=20).contains(&sent),
        "{sent} attempts sent within fifty seconds of overload"
    );
}

#[test]
fn shed_requests_get_a_short_and_random_retry_after_if_settings_allow_it() {
    for send_retry_after in [true, false] {
        let settings = Settings {
            gateways: 200,
            gateway_index: 3,
            send_retry_after,
            ..settings()
        };
        let (mut harness, mut retry_afters) = (Harness::seeded(3, settings, 50), Vec::new());
        for _ in 0..300 {
            harness.advance(700 * MILLISECOND);
            let (id, actions) = harness.request(0, 3, 1, 1.0);
            let retry_after = |action: &Action| {
                if let Action::Reject { retry_after, .. } = action {
                    Some(*retry_after)
                } else {
                    None
                }
            };
            retry_afters.extend(actions.iter().find_map(retry_after));
            for (_, endpoint) in sent_attempts(&actions) {
                harness.end_attempt_after(id, 0, endpoint, Outcome::Ok, 700 * MILLISECOND);
            }
        }
        assert!(
            retry_afters.len() > 50,
            "requests are shed and answered by the same event: {}",
            retry_afters.len()
        );
        assert!(retry_afters
            .iter()
            .all(|wait| wait.is_some() == send_retry_after));
        let mut waits: Vec<TimeDelta> = retry_afters.into_iter().flatten().collect();
        assert!(
            waits.iter().all(|wait| *wait > TimeDelta::from_micros(0)
                && *wait < TimeDelta::from_micros(240 * MILLISECOND)),
            "well within the latency objective"
        );
        waits.dedup();
        assert!(!send_retry_after || waits.len() > 50, "random");
    }
}
