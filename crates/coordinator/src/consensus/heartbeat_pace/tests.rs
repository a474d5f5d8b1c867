//! Tests of the pace by events alone.

use super::*;
use crate::storage::Entry;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatReply, HeartbeatRequest};

const TICKS_PER_ROUND: u64 = 5;

fn request(round: u32) -> Message<Entry> {
    let request = HeartbeatRequest { round };
    Message::BLE(BLEMessage {
        from: 1,
        to: 2,
        msg: HeartbeatMsg::Request(request),
    })
}

fn reply(from: NodeId, round: u32) -> Message<Entry> {
    let reply = HeartbeatReply {
        round,
        ballot: Ballot::default(),
        leader: Ballot::default(),
        happy: true,
    };
    Message::BLE(BLEMessage {
        from,
        to: 1,
        msg: HeartbeatMsg::Reply(reply),
    })
}

/// Runs rounds that the replicas answer after these numbers of ticks; returns the number of ticks in the last one.
fn ticks_per_round_after(
    response_times: &[(NodeId, u64)],
    rounds: u32,
    pace: &mut HeartbeatPace,
) -> u64 {
    let first = pace.rounds.back().map_or(1, |round| round.number + 1);
    let mut replies: Vec<(u64, NodeId, u32)> = Vec::new();
    let mut length = 0;
    for round in first..first + rounds {
        pace.on_sent(&request(round));
        let began_at = pace.now;
        let new_replies = response_times.iter();
        replies.extend(new_replies.map(|(from, ticks)| (began_at + ticks, *from, round)));
        let mut library_ticks = 0;
        while library_ticks < TICKS_PER_ROUND {
            library_ticks += u64::from(pace.tick());
            let now = pace.now;
            let (due, later): (Vec<_>, Vec<_>) = replies.drain(..).partition(|(at, ..)| *at <= now);
            replies = later;
            for (_, from, round) in due {
                pace.on_received(&reply(from, round));
            }
        }
        length = pace.now - began_at;
    }
    length
}

#[test]
fn replies_within_a_round_then_the_clock_advances_with_each_tick() {
    let mut pace = HeartbeatPace::new(TICKS_PER_ROUND, 3);
    assert!((0..100).all(|_| pace.tick()), "no reply yet");
    let ticks = ticks_per_round_after(&[(2, 1), (3, 4)], 20, &mut pace);
    assert_eq!(ticks, TICKS_PER_ROUND);
}

/// Guards against rounds that end before any reply to them arrives.
#[test]
fn replies_later_than_a_round_then_rounds_become_longer_than_the_response_time() {
    for late in [6, 20, 100] {
        let mut pace = HeartbeatPace::new(TICKS_PER_ROUND, 3);
        let ticks = ticks_per_round_after(&[(2, late), (3, late)], 60, &mut pace);
        assert!(
            (late + 1..=2 * late + 2 * TICKS_PER_ROUND).contains(&ticks),
            "{late}: {ticks}"
        );
    }
}

/// Guards against one slow replica that delays the election of the others.
#[test]
fn minority_is_slow_then_it_does_not_set_the_pace() {
    let mut pace = HeartbeatPace::new(TICKS_PER_ROUND, 3);
    assert_eq!(
        ticks_per_round_after(&[(2, 1), (3, 90)], 40, &mut pace),
        TICKS_PER_ROUND
    );
    let mut pace = HeartbeatPace::new(TICKS_PER_ROUND, 5);
    let response_times = [(2, 1), (3, 2), (4, 90), (5, 90)];
    assert_eq!(
        ticks_per_round_after(&response_times, 40, &mut pace),
        TICKS_PER_ROUND
    );
}

/// Guards against a pace that stays slow, and so against late elections, once the replicas reply quickly again.
#[test]
fn replies_are_quick_again_then_rounds_become_short_again() {
    let mut pace = HeartbeatPace::new(TICKS_PER_ROUND, 3);
    ticks_per_round_after(&[(2, 50), (3, 50)], 40, &mut pace);
    let ticks = ticks_per_round_after(&[(2, 1), (3, 1)], 40, &mut pace);
    assert_eq!(ticks, TICKS_PER_ROUND);
}
