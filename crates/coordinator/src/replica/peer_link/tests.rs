//! Tests of `peer_link`.

use super::*;

fn sent_message(link: &mut PeerLink, body: u8) -> PeerMessage {
    let mut message = PeerMessage {
        body: vec![body],
        ..PeerMessage::default()
    };
    link.assign_number(7, &mut message);
    message
}

fn time_after_start(span: TimeDelta) -> Timestamp {
    Timestamp::ZERO + span
}

#[test]
fn reordered_and_duplicated_messages_are_delivered_in_order_and_once() {
    let mut sender = PeerLink::default();
    let mut receiver = PeerLink::default();
    let messages: Vec<PeerMessage> = (0..5).map(|body| sent_message(&mut sender, body)).collect();
    let mut delivered = Vec::new();
    for index in [0, 0, 2, 3, 2, 1, 4, 1] {
        let delivery = receiver.receive(messages[index].clone(), Timestamp::ZERO);
        delivered.extend(delivery.bodies);
    }
    assert_eq!(delivered, [[0], [1], [2], [3], [4]]);
    assert_eq!(
        receiver.overdue_run(time_after_start(TimeDelta::from_secs(1))),
        None
    );
}

#[test]
fn missing_message_starts_a_new_run_on_both_sides() {
    let mut sender = PeerLink::default();
    let mut receiver = PeerLink::default();
    let messages: Vec<PeerMessage> = (0..4).map(|body| sent_message(&mut sender, body)).collect();
    let run = messages[0].run;
    let start = Timestamp::ZERO;
    assert!(receiver.receive(messages[0].clone(), start).is_new_run);
    assert!(receiver
        .receive(messages[2].clone(), start)
        .bodies
        .is_empty());
    let just_before = time_after_start(GAP_TIMEOUT - TimeDelta::from_micros(1));
    assert_eq!(
        (
            receiver.overdue_run(just_before),
            receiver.overdue_run(time_after_start(GAP_TIMEOUT))
        ),
        (None, Some(run))
    );
    assert!(sender.reset(run) && !sender.reset(run), "once");
    let first = sent_message(&mut sender, 9);
    let delivery = receiver.receive(first, time_after_start(GAP_TIMEOUT));
    assert!(delivery.is_new_run && delivery.bodies == [[9]]);
    // A late message of the old run is not delivered. A run whose first message was not received is to be reset.
    let late_delivery = receiver.receive(messages[1].clone(), time_after_start(GAP_TIMEOUT));
    assert_eq!(late_delivery.run_to_reset, Some(run));
    let mut fresh = PeerLink::default();
    let without_beginning = fresh.receive(messages[3].clone(), start);
    assert_eq!(without_beginning.run_to_reset, Some(run));
}
