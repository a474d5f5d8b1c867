//! Connections over sockets: gateways that crash, drain or stop responding, and changes of the gateway list.

mod common;

use chalkdeck_client::{Client, Idempotency, Outcome, Reply, Settings, TimeDelta};
use common::{call, start_call, start_client, start_client_with, ScriptedGateway, KEYED, TIMEOUT};
use std::collections::{BTreeSet, HashSet};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const CALL_COUNT: usize = 500;

/// The idempotency keys of the attempts that a gateway received.
fn received_keys(gateway: &ScriptedGateway) -> Vec<Vec<u8>> {
    let received = gateway.received.iter();
    received
        .filter_map(|attempt| attempt.headers.get("x-idempotency-key"))
        .map(|key| key.as_bytes().to_vec())
        .collect()
}

/// A reply with the number of its call.
struct NumberedReply {
    number: usize,
    reply: Reply,
}

/// Starts `CALL_COUNT` calls. Those with even numbers are keyed, the others are non-idempotent.
fn start_calls(client: &Client) -> Receiver<NumberedReply> {
    let (sender, replies) = channel();
    for number in 0..CALL_COUNT {
        let sender = sender.clone();
        let idempotency = if number.is_multiple_of(2) {
            KEYED
        } else {
            Idempotency::NonIdempotent
        };
        client.start_call(call(idempotency, 3_000), move |reply| {
            let _ = sender.send(NumberedReply { number, reply });
        });
    }
    replies
}

#[test]
fn gateway_crashes_with_many_calls_open_then_each_of_them_ends_once() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let replies = start_calls(&client);
    gateway.wait_for_attempts(CALL_COUNT);
    let first_keys: HashSet<Vec<u8>> = received_keys(&gateway).into_iter().collect();
    // All connections are lost, and the gateway restarts at the same address.
    let address = gateway.address;
    drop(gateway);
    let mut gateway = ScriptedGateway::listen(address);
    let mut ended = BTreeSet::new();
    let mut answered = 0;
    let deadline = Instant::now() + TIMEOUT;
    while ended.len() < CALL_COUNT && Instant::now() < deadline {
        gateway.turn();
        while answered < gateway.received.len() {
            gateway.answer(answered);
            answered += 1;
        }
        while let Ok(NumberedReply { number, reply }) = replies.try_recv() {
            assert!(ended.insert(number), "call {number} ended twice");
            assert!(
                number.is_multiple_of(2) || reply.outcome == Outcome::Failed,
                "a non-idempotent call was retried"
            );
        }
    }
    assert_eq!(ended.len(), CALL_COUNT);
    assert!(
        gateway.received.len() <= CALL_COUNT / 2 && !gateway.received.is_empty(),
        "the retry budget does not bound the retries"
    );
    assert!(
        received_keys(&gateway)
            .iter()
            .all(|key| first_keys.contains(key))
            && received_keys(&gateway).len() == gateway.received.len()
    );
}

#[test]
fn gateway_drains_then_new_calls_use_a_new_connection() {
    let mut gateway = ScriptedGateway::new();
    let client = start_client(&gateway);
    let first = start_call(&client, call(Idempotency::NonIdempotent, 5_000));
    gateway.wait_for_attempts(1);
    gateway.drain();
    for _ in 0..20 {
        gateway.turn();
    }
    let second = start_call(&client, call(Idempotency::NonIdempotent, 5_000));
    gateway.answer(0);
    assert_eq!(gateway.wait_for(&first).outcome, Outcome::Answered);
    gateway.wait_for_attempts(2);
    gateway.answer(1);
    assert_eq!(gateway.wait_for(&second).outcome, Outcome::Answered);
}

#[test]
fn gateway_drains_during_each_call_then_no_call_fails() {
    let mut gateway = ScriptedGateway::new();
    let settings = Settings {
        initial_reconnect_window: TimeDelta::from_millis(1),
        ..Settings::default()
    };
    let client = start_client_with(settings, &gateway);
    let mut ended = 0;
    for number in 0..30 {
        // The handle of the call is dropped, which does not cancel it.
        let replies = start_call(&client, call(Idempotency::NonIdempotent, 20_000));
        gateway.wait_for_attempts(number + 1);
        gateway.drain();
        gateway.answer(number);
        let reply = gateway.wait_for(&replies);
        assert_eq!(
            (reply.outcome, reply.attempts),
            (Outcome::Answered, 1),
            "call {number}"
        );
        ended += 1;
    }
    assert_eq!(ended, 30);
    assert!(client.stats().connects > 1, "{:?}", client.stats());
}

#[test]
fn gateway_does_not_respond_then_keepalive_pings_detect_it() {
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = unresponsive.local_addr().expect("a local address");
    let settings = Settings {
        keepalive_interval: TimeDelta::from_millis(100),
        max_attempts: 1,
        ..Settings::default()
    };
    let client = Client::start(settings, vec![address]).expect("a client");
    let started_at = Instant::now();
    let reply = client.call(call(Idempotency::NonIdempotent, 30_000));
    assert_eq!(reply.outcome, Outcome::Failed, "it may have run");
    assert!(
        started_at.elapsed() < Duration::from_secs(20),
        "detected only at the deadline"
    );
}

/// A gateway file in a temporary folder, which is removed when the value is dropped.
struct GatewayFile {
    folder: PathBuf,
}

impl GatewayFile {
    fn new() -> GatewayFile {
        let name = format!("chalkdeck-client-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        GatewayFile { folder }
    }

    fn path(&self) -> PathBuf {
        self.folder.join("gateways")
    }

    /// Replaces the file atomically.
    fn write(&self, text: &str) {
        let temporary: &Path = &self.folder.join("new");
        std::fs::write(temporary, text).expect("a file");
        std::fs::rename(temporary, self.path()).expect("a rename");
    }
}

impl Drop for GatewayFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn gateway_file_changes_then_it_is_read_again_unless_it_is_invalid() {
    let mut first = ScriptedGateway::new();
    let mut second = ScriptedGateway::new();
    let file = GatewayFile::new();
    file.write(&format!("# the fleet\n{}\n", first.address));
    let settings = Settings {
        initial_reconnect_window: TimeDelta::from_millis(1),
        ..Settings::default()
    };
    let client = Client::start_with_gateway_file(settings, file.path()).expect("a client");
    let start = || start_call(&client, call(Idempotency::NonIdempotent, 20_000));
    let replies = start();
    first.wait_for_attempts(1);
    first.answer(0);
    assert_eq!(first.wait_for(&replies).outcome, Outcome::Answered);

    file.write(&format!("{}\nnowhere\n", second.address));
    for _ in 0..800 {
        first.turn();
    }
    let replies = start();
    first.wait_for_attempts(2);
    first.answer(1);
    assert_eq!(
        first.wait_for(&replies).outcome,
        Outcome::Answered,
        "the last valid list is not used"
    );

    file.write(&format!("{}\n", second.address));
    let deadline = Instant::now() + TIMEOUT;
    while second.received.is_empty() {
        assert!(Instant::now() < deadline, "no call reached the new gateway");
        start();
        for _ in 0..50 {
            second.turn();
            first.turn();
        }
    }
}
