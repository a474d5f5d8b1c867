//! A gateway with much traffic before a large fleet: it looks at some servers for each choice and still uses all of them.
mod common;
use chalkdeck::api::*;
use common::*;
use std::collections::{HashMap, VecDeque};

const SERVERS: u32 = 300;

/// A gateway, and what is out.
struct Load {
    rig: Rig,
    out: VecDeque<(u64, RequestId, EndpointId)>,
}

/// Four requests a millisecond, each answered after 40 ms; returns attempts by server, and how many were not sent on.
fn drive(
    load: &mut Load,
    millis: u64,
    bad: impl Fn(EndpointId) -> bool,
) -> (HashMap<EndpointId, u32>, u32) {
    let (mut sent, mut unsent) = (HashMap::new(), 0);
    let Load { rig, out } = load;
    for _ in 0..millis {
        rig.pass(MS);
        while let Some((_, id, server)) = out.front().copied().filter(|o| o.0 <= rig.now) {
            out.pop_front();
            let outcome = if bad(server) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            for (id, server) in sends(&rig.ended_after(id, 0, server, outcome, 40 * MS)) {
                *sent.entry(server).or_default() += 1;
                rig.tell(Event::ClientDisconnected(id));
            }
        }
        for _ in 0..4 {
            let (id, actions) = rig.request(2, 3, 1, 1.0);
            match sends(&actions).first() {
                Some(&(_, server)) => {
                    *sent.entry(server).or_default() += 1;
                    out.push_back((rig.now + 40 * MS, id, server));
                }
                None => unsent += 1,
            }
        }
    }
    (sent, unsent)
}

#[test]
fn all_servers_are_used_evenly_and_those_that_fail_are_left_alone() {
    let mut set = settings();
    set.gateways = 1;
    let mut load = Load {
        rig: Rig::new(set, SERVERS),
        out: VecDeque::new(),
    };
    drive(&mut load, 1_500, |_| false);
    let (sent, unsent) = drive(&mut load, 1_500, |_| false);
    let most = sent.values().max().copied().unwrap_or(0);
    // A third of them are near, and 160 requests are out.
    assert!(sent.len() > 180, "{} servers were used", sent.len());
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
