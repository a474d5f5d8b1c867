//! A gateway with much traffic before a large fleet: each selection looks at some endpoints, and all are used.
mod common;
use chalkdeck::api::*;
use common::*;
use std::collections::{HashMap, VecDeque};

const ENDPOINTS: u32 = 300;

/// A gateway, and what is out.
struct Load {
    rig: Rig,
    out: VecDeque<(u64, RequestId, EndpointId)>,
}

/// Four requests a millisecond, each answered after 40 ms; returns attempts by endpoint, and how many were not sent on.
fn drive(
    load: &mut Load,
    millis: u64,
    bad: impl Fn(EndpointId) -> bool,
) -> (HashMap<EndpointId, u32>, u32) {
    let (mut sent, mut unsent) = (HashMap::new(), 0);
    let Load { rig, out } = load;
    for _ in 0..millis {
        rig.advance(MS);
        while let Some((_, id, endpoint)) = out.front().copied().filter(|o| o.0 <= rig.now) {
            out.pop_front();
            let outcome = if bad(endpoint) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            for (id, endpoint) in
                sent_attempts(&rig.end_attempt_after(id, 0, endpoint, outcome, 40 * MS))
            {
                *sent.entry(endpoint).or_default() += 1;
                rig.handle(Event::ClientDisconnected(id));
            }
        }
        for _ in 0..4 {
            let (id, actions) = rig.request(2, 3, 1, 1.0);
            match sent_attempts(&actions).first() {
                Some(&(_, endpoint)) => {
                    *sent.entry(endpoint).or_default() += 1;
                    out.push_back((rig.now + 40 * MS, id, endpoint));
                }
                None => unsent += 1,
            }
        }
    }
    (sent, unsent)
}

#[test]
fn all_endpoints_are_used_evenly_and_failing_ones_are_avoided() {
    let mut set = settings();
    set.gateways = 1;
    let mut load = Load {
        rig: Rig::new(set, ENDPOINTS),
        out: VecDeque::new(),
    };
    drive(&mut load, 1_500, |_| false);
    let (sent, unsent) = drive(&mut load, 1_500, |_| false);
    let most = sent.values().max().copied().unwrap_or(0);
    // A third of them are near, and 160 requests are out.
    assert!(sent.len() > 180, "{} endpoints were used", sent.len());
    assert!(
        most < 80 && unsent < 100,
        "mean 20, most {most}, {unsent} not sent on"
    );

    let bad = |s: EndpointId| s.0.is_multiple_of(4);
    drive(&mut load, 1_500, bad);
    let (sent, _) = drive(&mut load, 1_000, bad);
    let all: u32 = sent.values().sum();
    let wrong: u32 = sent.iter().filter(|(s, _)| bad(**s)).map(|(_, n)| n).sum();
    assert!(
        wrong * 20 < all,
        "{wrong} of {all} went to the quarter that fails"
    );
}
