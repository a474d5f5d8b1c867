//! Retries of keyed requests by a gateway whose endpoint list discovery does not confirm.

mod common;

use common::{Harness, LARGE_LIMITS, SECOND_MICROS};

const ORDER: &str = "c=order,t=team,d=2000,k=5c0f6e1a2b3d4c59,units=1,spread=3,first=1";
/// A long time compared with the drain grace of two seconds.
const OUTAGE_MICROS: i64 = 10 * SECOND_MICROS;

/// Sends a keyed request and resets the connection under its first attempt; returns whether a second attempt arrives.
fn is_retried(harness: &mut Harness, id: &str) -> bool {
    let client = harness.connect_client();
    harness.send_request(client, id, ORDER);
    let (conn, _) = harness.next_attempt();
    harness.engine.close(conn);
    let has_reply = |h: &Harness| h.received.get(&client).is_some_and(|b| !b.is_empty());
    let retry = harness.wait_for("a second attempt or a reply", |h| {
        let attempt = h.try_next_attempt();
        (attempt.is_some() || has_reply(h)).then_some(attempt)
    });
    if let Some((conn, _)) = &retry {
        harness.reply_served(*conn, "done");
        harness.expect_received(client, "$4\r\ndone\r\n");
    } else {
        harness.expect_received(client, "-ERR failed\r\n");
    }
    retry.is_some()
}

/// Guards against a second run of an effect in another cell: while discovery is silent, another endpoint may have taken the address
/// of a listed one.
#[test]
fn discovery_silent_for_long_then_a_keyed_request_fails_after_a_reset_and_is_retried_once_it_responds(
) {
    let mut harness = Harness::new(2, LARGE_LIMITS);
    assert!(is_retried(&mut harness, "a1"), "the list is current");
    harness.is_discovery_silent = true;
    harness.jumps.jump(OUTAGE_MICROS);
    harness.settle();
    let list_age = harness.gateway.discovery_metrics().list_age;
    assert!(list_age.is_some_and(|age| age.as_micros() >= OUTAGE_MICROS as u64));
    assert!(!is_retried(&mut harness, "a2"), "the list is stale");
    harness.is_discovery_silent = false;
    harness.publish(harness.list.clone());
    assert!(is_retried(&mut harness, "a3"), "the list is current again");
}
