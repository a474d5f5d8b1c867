//! Tests of `connection`.

use super::*;

const REPLICAS: usize = 3;
const PATIENCE: TimeDelta = TimeDelta::from_millis(1_000);

fn at_ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn connection() -> (ReplicaConnection, Rng) {
    let mut rng = Rng::with_seed(1);
    let connection = ReplicaConnection::new(REPLICAS, &mut rng, at_ms(0));
    (connection, rng)
}

#[test]
fn a_connection_that_is_not_established_is_given_up_after_half_the_patience() {
    let (mut connection, _) = connection();
    let connect = connection.next_step(at_ms(0), PATIENCE);
    assert_eq!(connect, Some(ConnectionStep::Connect));
    assert_eq!(connection.next_step(at_ms(499), PATIENCE), None);
    let give_up = connection.next_step(at_ms(500), PATIENCE);
    assert_eq!(give_up, Some(ConnectionStep::GiveUp));
}

#[test]
fn a_silent_replica_is_given_up_after_the_patience() {
    let (mut connection, _) = connection();
    connection.connected(at_ms(0));
    connection.heard(at_ms(600));
    assert_eq!(connection.next_step(at_ms(1_599), PATIENCE), None);
    let give_up = connection.next_step(at_ms(1_600), PATIENCE);
    assert_eq!(give_up, Some(ConnectionStep::GiveUp));
}

#[test]
fn after_a_loss_the_next_replica_is_connected_to_within_the_longest_delay() {
    let (mut connection, mut rng) = connection();
    let first = connection.replica_index();
    connection.lost(&mut rng, at_ms(100));
    assert_eq!(connection.replica_index(), (first + 1) % REPLICAS);
    let latest = at_ms(100) + MAX_RECONNECT_DELAY;
    let connect = connection.next_step(latest, PATIENCE);
    assert_eq!(connect, Some(ConnectionStep::Connect));
}

#[test]
fn what_is_heard_while_not_connected_does_not_count() {
    let (mut connection, mut rng) = connection();
    connection.lost(&mut rng, at_ms(0));
    connection.heard(at_ms(0));
    let latest = at_ms(0) + MAX_RECONNECT_DELAY;
    let connect = connection.next_step(latest, PATIENCE);
    assert_eq!(connect, Some(ConnectionStep::Connect));
}
