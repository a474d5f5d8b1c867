//! The tower service with tonic's client, against a fake gateway that runs a script on its own thread.
use bytes::{Buf, BufMut, Bytes};
use chalkdeck_client::tower::{CallKind, CallOptions, CallOptionsLayer, FleetService};
use chalkdeck_client::{Client, Idempotency, Settings, TimeDelta};
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::{Engine, Event, Limits, StreamId};
use futures_executor::block_on;
use http::{HeaderMap, HeaderValue};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::{Duration, Instant};
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tower_layer::Layer;

/// A codec that passes messages on as bytes.
#[derive(Clone, Default)]
struct Raw;
impl Codec for Raw {
    type Encode = Bytes;
    type Decode = Bytes;
    type Encoder = Raw;
    type Decoder = Raw;
    fn encoder(&mut self) -> Raw {
        Raw
    }
    fn decoder(&mut self) -> Raw {
        Raw
    }
}
impl Encoder for Raw {
    type Item = Bytes;
    type Error = tonic::Status;
    fn encode(&mut self, item: Bytes, dst: &mut EncodeBuf<'_>) -> Result<(), tonic::Status> {
        dst.put(item);
        Ok(())
    }
}
impl Decoder for Raw {
    type Item = Bytes;
    type Error = tonic::Status;
    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<Bytes>, tonic::Status> {
        Ok(Some(src.copy_to_bytes(src.remaining())))
    }
}

/// Handles each event of a gateway.
type Script = Box<dyn FnMut(&mut Engine, Received) + Send>;

/// An event of a gateway.
enum Received {
    /// An attempt, with its number from 1.
    Attempt {
        stream: StreamId,
        headers: HeaderMap,
        number: usize,
    },
    Data(StreamId, Bytes),
    End(StreamId),
    Reset,
}

/// A fake gateway on its own thread.
struct ScriptedGateway {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}
impl Drop for ScriptedGateway {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic in the script");
        }
    }
}

fn start_gateway(mut script: Script) -> ScriptedGateway {
    let mut engine = Engine::new().expect("a poll handle");
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen(free_port, Limits::default(), false, false)
        .expect("a free port");
    let is_stopped = Arc::new(AtomicBool::new(false));
    let stop_flag = is_stopped.clone();
    let thread = std::thread::spawn(move || {
        let mut events = Vec::new();
        let mut attempts = 0;
        while !stop_flag.load(Ordering::Relaxed) {
            engine.turn(5_000, &mut events).expect("a turn");
            for event in events.drain(..) {
                match event {
                    Event::StreamOpened { stream, head, .. } => {
                        attempts += 1;
                        let attempt = Received::Attempt {
                            stream,
                            headers: head.headers.clone(),
                            number: attempts,
                        };
                        script(&mut engine, attempt);
                    }
                    Event::Data { stream, data } => {
                        engine.consume(stream, data.len());
                        script(&mut engine, Received::Data(stream, data));
                    }
                    Event::StreamEnded { stream, .. } => script(&mut engine, Received::End(stream)),
                    Event::StreamFailed { .. } => script(&mut engine, Received::Reset),
                    _ => {}
                }
            }
        }
    });
    ScriptedGateway {
        address,
        is_stopped,
        thread: Some(thread),
    }
}

fn answer(engine: &mut Engine, stream: StreamId, message: &[u8]) {
    engine.respond(stream, grpc::response_head(), false);
    engine.send(stream, grpc::frame(message));
    engine.finish(stream, Some(grpc::trailers(Code::Ok, "")));
}

fn service(gateway: &ScriptedGateway) -> FleetService {
    let client = Client::start(Settings::default(), vec![gateway.address]).expect("a client");
    FleetService::new(Arc::new(client))
}

fn path() -> http::uri::PathAndQuery {
    http::uri::PathAndQuery::from_static("/farm.v1.Farm/Sell")
}

#[test]
fn keyed_attempt_of_a_tonic_client_is_reset_then_retry_has_its_key() {
    let keys = Arc::new(Mutex::new(Vec::new()));
    let seen = keys.clone();
    let gateway = start_gateway(Box::new(move |engine, event| {
        let Received::Attempt {
            stream,
            headers,
            number,
        } = event
        else {
            return;
        };
        assert_eq!(headers["x-customer"], "someone");
        seen.lock()
            .expect("keys")
            .push(headers["x-idempotency-key"].clone());
        match number {
            1 => engine.reset(stream, h2::Reason::INTERNAL_ERROR),
            _ => answer(engine, stream, b"sold"),
        }
    }));
    let options = |path: &str| {
        assert_eq!(path, "/farm.v1.Farm/Sell");
        CallOptions {
            idempotency: Idempotency::Keyed {
                key_window: TimeDelta::from_secs(5),
            },
            ..CallOptions::default()
        }
    };
    let mut client =
        tonic::client::Grpc::new(CallOptionsLayer::new(options).layer(service(&gateway)));
    let mut request = tonic::Request::new(Bytes::from_static(b"one pumpkin"));
    request
        .metadata_mut()
        .insert("x-customer", "someone".parse().expect("a value"));
    let reply = block_on(client.unary(request, path(), Raw)).expect("an answer");
    assert_eq!(reply.into_inner(), "sold");
    let keys = keys.lock().expect("keys");
    assert_eq!((keys.len(), &keys[0]), (2, &keys[1]));
}

#[test]
fn call_has_no_options_then_it_is_not_retried_and_a_rejection_keeps_its_pushback() {
    let gateway = start_gateway(Box::new(|engine, event| {
        let Received::Attempt { stream, number, .. } = event else {
            return;
        };
        if number == 1 {
            return engine.reset(stream, h2::Reason::INTERNAL_ERROR);
        }
        let mut trailers = grpc::trailers(Code::ResourceExhausted, "over the quota");
        trailers.insert(grpc::RETRY_PUSHBACK, HeaderValue::from_static("60000"));
        engine.respond(stream, grpc::trailers_only(trailers), true);
    }));
    let mut client = tonic::client::Grpc::new(service(&gateway));
    let request = || tonic::Request::new(Bytes::from_static(b"one pumpkin"));
    let failed =
        block_on(client.unary(request(), path(), Raw)).expect_err("a call that may have run");
    assert_eq!(failed.code(), tonic::Code::Unavailable);
    let rejected = block_on(client.unary(request(), path(), Raw)).expect_err("a rejection");
    assert_eq!(rejected.code(), tonic::Code::ResourceExhausted);
    assert_eq!(
        rejected
            .metadata()
            .get("grpc-retry-pushback-ms")
            .expect("a pushback"),
        "60000"
    );
}

#[test]
fn call_times_out_or_is_dropped_then_its_attempt_is_reset() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let resets = Arc::new(AtomicUsize::new(0));
    let attempt_counter = attempts.clone();
    let reset_counter = resets.clone();
    let gateway = start_gateway(Box::new(move |_, event| match event {
        Received::Attempt { .. } => drop(attempt_counter.fetch_add(1, Ordering::SeqCst)),
        Received::Reset => drop(reset_counter.fetch_add(1, Ordering::SeqCst)),
        _ => {}
    }));
    let wait_until = |what: &str, is_true: &mut dyn FnMut() -> bool| {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !is_true() {
            assert!(Instant::now() < deadline, "timed out waiting for {what}");
            std::thread::yield_now();
        }
    };
    let mut client = tonic::client::Grpc::new(service(&gateway));
    let mut request = tonic::Request::new(Bytes::from_static(b"one pumpkin"));
    request.set_timeout(Duration::from_millis(100));
    let timed_out = block_on(client.unary(request, path(), Raw)).expect_err("a timeout");
    assert_eq!(timed_out.code(), tonic::Code::DeadlineExceeded);
    wait_until("the reset of the call that timed out", &mut || {
        resets.load(Ordering::SeqCst) == 1
    });

    let mut call =
        Box::pin(client.unary(tonic::Request::new(Bytes::from_static(b"two")), path(), Raw));
    wait_until("a second call", &mut || {
        let pending = block_on(std::future::poll_fn(|cx| {
            Poll::Ready(call.as_mut().poll(cx).is_pending())
        }));
        assert!(pending, "the call ended without an answer");
        attempts.load(Ordering::SeqCst) == 2
    });
    assert_eq!(resets.load(Ordering::SeqCst), 1);
    drop(call);
    wait_until("the reset of the dropped call", &mut || {
        resets.load(Ordering::SeqCst) == 2
    });
}

#[test]
fn gateway_echoes_a_stream_then_all_messages_are_received() {
    let gateway = start_gateway(Box::new(|engine, event| match event {
        Received::Attempt { stream, .. } => engine.respond(stream, grpc::response_head(), false),
        Received::Data(stream, data) => engine.send(stream, data),
        Received::End(stream) => engine.finish(stream, Some(grpc::trailers(Code::Ok, ""))),
        Received::Reset => {}
    }));
    let mut client = tonic::client::Grpc::new(service(&gateway));
    let messages: Vec<Bytes> = (0..200)
        .map(|i| Bytes::from(vec![i as u8; 20_000]))
        .collect();
    let mut request = tonic::Request::new(futures_util::stream::iter(messages.clone()));
    request.extensions_mut().insert(CallOptions {
        kind: CallKind::Streaming,
        ..CallOptions::default()
    });
    let received = block_on(async {
        let mut answers = client
            .streaming(request, path(), Raw)
            .await
            .expect("a stream")
            .into_inner();
        let mut received = Vec::new();
        while let Some(message) = answers.message().await.expect("a complete message") {
            received.push(message);
        }
        received
    });
    assert!(
        received == messages,
        "received {} of {} messages",
        received.len(),
        messages.len()
    );
}
