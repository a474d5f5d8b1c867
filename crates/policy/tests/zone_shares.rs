//! Zone shares and the shedding threshold of site failover.
mod common;

use chalkdeck::api::*;
use common::{entry, is_rejected, sent_attempts, settings, Harness, SECOND};

const NEAR: ZoneId = ZoneId(0);
const FAR: ZoneId = ZoneId(1);

/// A gateway with four endpoints in each of two zones.
fn two_zone_harness() -> Harness {
    let mut harness = Harness::new(settings(), 0);
    let zone = |i: u32| ZoneId(i / 4);
    let entries = (0..8)
        .map(|i| EndpointEntry {
            zone: zone(i),
            ..entry(i, EndpointState::InService, None)
        })
        .collect();
    harness.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Complete,
        entries,
    });
    harness
}

fn admit_all() -> SheddingThreshold {
    SheddingThreshold {
        admit_fraction: 1.0,
        ..SheddingThreshold::default()
    }
}

fn shares(near: (f64, bool), far: (f64, bool)) -> Vec<ZoneShare> {
    let zone_share = |zone, (share, accepts_overflow)| ZoneShare {
        zone,
        share,
        accepts_overflow,
    };
    vec![zone_share(NEAR, near), zone_share(FAR, far)]
}

/// Number of requests that are sent to the far zone, of `requests` sent one after the other.
fn count_sent_to_far_zone(harness: &mut Harness, requests: usize) -> usize {
    let mut sent_to_far = 0;
    for _ in 0..requests {
        let (id, endpoint) = harness.send_request(0);
        sent_to_far += usize::from(endpoint.0 >= 4);
        harness.end_attempt(id, 0, endpoint, Outcome::Ok);
    }
    sent_to_far
}

#[test]
fn requests_follow_the_zone_shares() {
    let mut harness = two_zone_harness();
    harness.handle(Event::ZoneSharesChanged {
        shares: shares((0.7, true), (0.3, true)),
        threshold: admit_all(),
    });
    let sent_to_far = count_sent_to_far_zone(&mut harness, 1_000);
    assert!((230..370).contains(&sent_to_far), "{sent_to_far} of 1000");
}

#[test]
fn requests_overflow_only_into_zones_that_accept_it() {
    let mut harness = two_zone_harness();
    harness.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, false)),
        threshold: admit_all(),
    });
    let requests: Vec<_> = (0..40).map(|_| harness.request(0, 3, 1, 1.0)).collect();
    let endpoints: Vec<EndpointId> = requests
        .iter()
        .flat_map(|(_, actions)| sent_attempts(actions))
        .map(|attempt| attempt.1)
        .collect();
    assert!(
        !endpoints.is_empty()
            && endpoints.len() < 40
            && endpoints.iter().all(|endpoint| endpoint.0 < 4),
        "{endpoints:?}"
    );
    // If the far zone accepts overflow, it gets the requests that exceed the capacity of the near one.
    let mut harness = self::two_zone_harness();
    harness.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, true)),
        threshold: admit_all(),
    });
    let requests: Vec<_> = (0..40).map(|_| harness.request(0, 3, 1, 1.0)).collect();
    assert!(requests
        .iter()
        .flat_map(|(_, actions)| sent_attempts(actions))
        .any(|attempt| attempt.1 .0 >= 4));
}

#[test]
fn a_keyed_request_that_may_have_run_in_a_zone_without_share_is_not_retried_in_another() {
    let mut harness = two_zone_harness();
    harness.handle(Event::ZoneSharesChanged {
        shares: shares((0.0, true), (1.0, true)),
        threshold: admit_all(),
    });
    let (id, endpoint) = harness.send_request(1);
    assert!(endpoint.0 >= 4);
    harness.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, false)),
        threshold: admit_all(),
    });
    let mut actions = harness.end_attempt(id, 0, endpoint, Outcome::Reset);
    actions.extend(harness.advance(3 * SECOND));
    assert!(
        sent_attempts(&actions).is_empty() && !is_rejected(&actions, id),
        "{actions:?}"
    );
    assert!(common::is_failed(&actions, id));
}

#[test]
fn the_threshold_admits_by_priority_weight_per_unit() {
    let mut harness = two_zone_harness();
    harness.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, true)),
        threshold: SheddingThreshold {
            admit_above: 0.6,
            reject_below: 0.3,
            admit_fraction: 0.5,
        },
    });
    let mut count_admitted = |units: f64| {
        let is_admitted = |harness: &mut Harness| {
            let (id, actions) = harness.request(0, 3, 1, units);
            let sent = sent_attempts(&actions).first().map(|attempt| attempt.1);
            sent.into_iter()
                .for_each(|endpoint| drop(harness.end_attempt(id, 0, endpoint, Outcome::Ok)));
            usize::from(sent.is_some())
        };
        (0..400).map(|_| is_admitted(&mut harness)).sum::<usize>()
    };
    // All requests have a priority weight of one, so the weight per unit falls with the units.
    assert_eq!((count_admitted(1.0), count_admitted(4.0)), (400, 0));
    let half = count_admitted(2.0);
    assert!((140..260).contains(&half), "{half} of 400");
}

#[test]
fn pending_requests_with_the_highest_priority_weight_per_unit_are_sent_first() {
    let mut settings = settings();
    settings.classes[0].priority_weight = 3.0;
    let mut harness = Harness::new(settings, 1);
    let near = ZoneShare {
        zone: NEAR,
        share: 1.0,
        accepts_overflow: true,
    };
    harness.handle(Event::ZoneSharesChanged {
        shares: vec![near],
        threshold: admit_all(),
    });
    // Fills the only endpoint. Then a large request of high weight waits ahead of a small one of low weight,
    // whose weight per unit is higher.
    let mut in_flight = Vec::new();
    loop {
        let sent = sent_attempts(&harness.request(3, 3, 1, 4.0).1);
        if sent.is_empty() {
            break;
        }
        in_flight.extend(sent);
    }
    let (large, first) = harness.request(0, 3, 1, 4.0);
    let (small, second) = harness.request(3, 3, 1, 1.0);
    assert!(
        sent_attempts(&first).is_empty() && sent_attempts(&second).is_empty(),
        "both wait"
    );
    let next: Vec<_> = in_flight
        .into_iter()
        .flat_map(|(id, endpoint)| {
            sent_attempts(&harness.end_attempt(id, 0, endpoint, Outcome::Ok))
        })
        .collect();
    assert_eq!(
        next.first().map(|attempt| attempt.0),
        Some(small),
        "{large:?} has to wait: {next:?}"
    );
}
