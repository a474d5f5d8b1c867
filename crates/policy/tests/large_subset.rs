//! A gateway with heavy traffic and a large fleet: each selection compares a sample of the endpoints, and all
//! endpoints are used.
mod common;
use chalkdeck::api::*;
use common::*;
use std::collections::{HashMap, VecDeque};

const ENDPOINTS: u32 = 300;

/// A gateway under load, with its attempts in flight.
struct LoadGenerator {
    harness: Harness,
    in_flight: VecDeque<(u64, RequestId, EndpointId)>,
}

/// Sends four requests per millisecond, each answered after 40 ms. Returns the attempts by endpoint, and the
/// number of requests that were not sent at once.
fn run_load(
    load: &mut LoadGenerator,
    millis: u64,
    is_failing: impl Fn(EndpointId) -> bool,
) -> (HashMap<EndpointId, u32>, u32) {
    let (mut sent, mut unsent_requests) = (HashMap::new(), 0);
    let LoadGenerator { harness, in_flight } = load;
    for _ in 0..millis {
        harness.advance(MILLISECOND);
        while let Some((_, id, endpoint)) = in_flight
            .front()
            .copied()
            .filter(|attempt| attempt.0 <= harness.now)
        {
            in_flight.pop_front();
            let outcome = if is_failing(endpoint) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            for (id, endpoint) in sent_attempts(&harness.end_attempt_after(
                id,
                0,
                endpoint,
                outcome,
                40 * MILLISECOND,
            )) {
                *sent.entry(endpoint).or_default() += 1;
                harness.handle(Event::ClientDisconnected(id));
            }
        }
        for _ in 0..4 {
            let (id, actions) = harness.request(2, 3, 1, 1.0);
            match sent_attempts(&actions).first() {
                Some(&(_, endpoint)) => {
                    *sent.entry(endpoint).or_default() += 1;
                    in_flight.push_back((harness.now + 40 * MILLISECOND, id, endpoint));
                }
                None => unsent_requests += 1,
            }
        }
    }
    (sent, unsent_requests)
}

#[test]
fn all_endpoints_are_used_evenly_and_failing_ones_are_avoided() {
    let mut settings = settings();
    settings.gateways = 1;
    let mut load = LoadGenerator {
        harness: Harness::new(settings, ENDPOINTS),
        in_flight: VecDeque::new(),
    };
    run_load(&mut load, 1_500, |_| false);
    let (sent, unsent_requests) = run_load(&mut load, 1_500, |_| false);
    let most = sent.values().max().copied().unwrap_or(0);
    // 160 requests are in flight at any time.
    assert!(sent.len() > 180, "{} endpoints were used", sent.len());
    assert!(
        most < 80 && unsent_requests < 100,
        "mean 20, most {most}, {unsent_requests} not sent"
    );

    let is_failing = |endpoint: EndpointId| endpoint.0.is_multiple_of(4);
    run_load(&mut load, 1_500, is_failing);
    let (sent, _) = run_load(&mut load, 1_000, is_failing);
    let total: u32 = sent.values().sum();
    let sent_to_failing: u32 = sent
        .iter()
        .filter(|(endpoint, _)| is_failing(**endpoint))
        .map(|(_, count)| count)
        .sum();
    assert!(
        sent_to_failing * 20 < total,
        "{sent_to_failing} of {total} were sent to the failing quarter"
    );
}
