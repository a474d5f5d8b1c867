//! Streams over sockets: messages, resets and flow control.

mod common;

use bytes::Bytes;
use chalkdeck_client::{Client, Idempotency, Outcome, Stream, StreamEvent};
use chalkdeck_net::grpc;
use common::{call, start_client, Reading, ScriptedGateway, TIMEOUT};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

fn open_stream(client: &Client) -> (Stream, Receiver<StreamEvent>) {
    let (sender, events) = channel();
    let stream = client.open_stream(call(Idempotency::Idempotent, 20_000), move |event| {
        let _ = sender.send(event);
    });
    (stream.expect("fewer open calls than the limit"), events)
}

#[test]
fn stream_has_exchanged_messages_then_a_reset_ends_it_without_a_retry() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let (stream, events) = open_stream(&client);
    gateway.wait_for_attempts(1);
    let server_stream = gateway.received[0].stream;
    gateway
        .engine
        .respond(server_stream, grpc::response_head(), false);
    for _ in 0..3 {
        stream
            .send(Bytes::from_static(b"ping"))
            .expect("a queue that is not full");
        gateway.engine.send(server_stream, grpc::frame(b"pong"));
        let event = gateway.wait_for(&events);
        assert!(matches!(event, StreamEvent::Message(message) if &message[..] == b"pong"));
    }
    stream.finish();
    gateway.reset(0);
    let event = gateway.wait_for(&events);
    assert!(
        matches!(event, StreamEvent::Ended(reply) if reply.outcome == Outcome::Failed && reply.attempts == 1)
    );
    assert_eq!(gateway.received.len(), 1);
}

#[test]
fn gateway_does_not_read_a_stream_then_its_unsent_messages_are_bounded() {
    let mut gateway = ScriptedGateway::new();
    gateway.reading = Reading::Stalled;
    let client = start_client(&gateway);
    let (stream, events) = open_stream(&client);
    gateway.wait_for_attempts(1);
    let message = Bytes::from(vec![1; 100_000]);
    let accepted = (0..1_000)
        .take_while(|_| stream.send(message.clone()).is_ok())
        .count();
    assert!(
        (10..100).contains(&accepted),
        "{accepted} messages of 100 kB accepted"
    );
    stream.cancel();
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let StreamEvent::Ended(reply) = gateway.wait_for(&events) {
            assert_eq!(reply.outcome, Outcome::Cancelled);
            break;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting for the end of the stream"
        );
    }
}
