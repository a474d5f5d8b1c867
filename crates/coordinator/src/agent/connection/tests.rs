//! Tests of `connection`.

use super::*;

const REPLICA_COUNT: usize = 3;
const SILENCE_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_000);

fn at_ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn connection() -> (ReplicaConnection, Rng) {
    let mut rng = Rng::with_seed(1);
    let connection = ReplicaConnection::new(REPLICA_COUNT, &mut rng, at_ms(0));
    (connection, rng)
}

#[test]
fn a_connect_attempt_times_out_after_half_the_silence_timeout() {
    let (mut connection, _) = connection();
    let connect = connection.next_step(at_ms(0), SILENCE_TIMEOUT);
    assert_eq!(connect, Some(ConnectionStep::Connect));
    assert_eq!(connection.next_step(at_ms(499), SILENCE_TIMEOUT), None);
    let disconnect = connection.next_step(at_ms(500), SILENCE_TIMEOUT);
    assert_eq!(disconnect, Some(ConnectionStep::Disconnect));
}

#[test]
fn a_connection_to_a_silent_replica_is_closed_after_the_silence_timeout() {
    let (mut connection, _) = connection();
    connection.on_connected(at_ms(0));
    connection.on_message(at_ms(600));
    assert_eq!(connection.next_step(at_ms(1_599), SILENCE_TIMEOUT), None);
    let disconnect = connection.next_step(at_ms(1_600), SILENCE_TIMEOUT);
    assert_eq!(disconnect, Some(ConnectionStep::Disconnect));
}

#[test]
fn a_lost_connection_is_replaced_by_one_to_the_next_replica_within_the_maximum_delay() {
    let (mut connection, mut rng) = connection();
    let first = connection.replica_index();
    connection.switch_replica(&mut rng, at_ms(100));
    assert_eq!(connection.replica_index(), (first + 1) % REPLICA_COUNT);
    let latest = at_ms(100) + MAX_RECONNECT_DELAY;
    let connect = connection.next_step(latest, SILENCE_TIMEOUT);
    assert_eq!(connect, Some(ConnectionStep::Connect));
}

#[test]
fn messages_received_while_disconnected_do_not_delay_the_next_connect() {
    let (mut connection, mut rng) = connection();
    connection.switch_replica(&mut rng, at_ms(0));
    connection.on_message(at_ms(0));
    let latest = at_ms(0) + MAX_RECONNECT_DELAY;
    let connect = connection.next_step(latest, SILENCE_TIMEOUT);
    assert_eq!(connect, Some(ConnectionStep::Connect));
}
