//! The tower service under tonic's own client, against a gateway that is scripted in a thread.
use bytes::{Buf, BufMut, Bytes};
use chalkdeck_client::tower::{Fleet, Terms, TermsLayer};
use chalkdeck_client::{Client, Repeat, Settings};
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

/// Messages as they are.
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

type Script = Box<dyn FnMut(&mut Engine, Seen) + Send>;
enum Seen {
    Asked(StreamId, HeaderMap, usize),
    Data(StreamId, Bytes),
    End(StreamId),
    Reset,
}

struct Played {
    address: SocketAddr,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}
impl Drop for Played {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|t| t.join().expect("no panic in the script"));
    }
}

fn play(mut script: Script) -> Played {
    let mut engine = Engine::new().expect("a poll handle");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (_, address) = engine
        .listen(any, Limits::default(), false, false)
        .expect("a port");
    let over = Arc::new(AtomicBool::new(false));
    let ends = over.clone();
    let thread = std::thread::spawn(move || {
        let (mut events, mut asked) = (Vec::new(), 0);
        while !ends.load(Ordering::Relaxed) {
            engine.turn(5_000, &mut events).expect("a turn");
            for event in events.drain(..) {
                match event {
                    Event::Opened { stream, head, .. } => {
                        asked += 1;
                        script(
                            &mut engine,
                            Seen::Asked(stream, head.headers.clone(), asked),
                        );
                    }
                    Event::Data { stream, data } => {
                        engine.consume(stream, data.len());
                        script(&mut engine, Seen::Data(stream, data));
                    }
                    Event::End { stream, .. } => script(&mut engine, Seen::End(stream)),
                    Event::StreamFailed { .. } => script(&mut engine, Seen::Reset),
                    _ => {}
                }
            }
        }
    });
    Played {
        address,
        over,
        thread: Some(thread),
    }
}

fn answer(engine: &mut Engine, stream: StreamId, message: &[u8]) {
    engine.respond(stream, grpc::head(), false);
    engine.send(stream, grpc::frame(message));
    engine.finish(stream, Some(grpc::trailers(Code::Ok, "")));
}

fn fleet(gateway: &Played) -> Fleet {
    let client = Client::start(Settings::default(), vec![gateway.address]).expect("a client");
    Fleet::new(Arc::new(client))
}

fn path() -> http::uri::PathAndQuery {
    http::uri::PathAndQuery::from_static("/farm.v1.Farm/Sell")
}

#[test]
fn a_stock_client_calls_through_the_fleet_and_a_keyed_call_goes_again_under_its_key() {
    let keys = Arc::new(Mutex::new(Vec::new()));
    let seen = keys.clone();
    let gateway = play(Box::new(move |engine, event| {
        let Seen::Asked(stream, headers, number) = event else {
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
    let keyed = |path: &str| {
        assert_eq!(path, "/farm.v1.Farm/Sell");
        Terms {
            repeat: Repeat::Keyed { window: 5_000_000 },
            ..Terms::default()
        }
    };
    let mut client = tonic::client::Grpc::new(TermsLayer::new(keyed).layer(fleet(&gateway)));
    let mut request = tonic::Request::new(Bytes::from_static(b"one pumpkin"));
    request
        .metadata_mut()
        .insert("x-customer", "someone".parse().expect("a value"));
    let reply = block_on(client.unary(request, path(), Raw)).expect("served");
    assert_eq!(reply.into_inner(), "sold");
    let keys = keys.lock().expect("keys");
    assert_eq!((keys.len(), &keys[0]), (2, &keys[1]));
}

#[test]
fn without_terms_a_call_is_unsafe_and_a_refusal_keeps_its_time() {
    let gateway = play(Box::new(|engine, event| {
        let Seen::Asked(stream, _, number) = event else {
            return;
        };
        if number == 1 {
            return engine.reset(stream, h2::Reason::INTERNAL_ERROR);
        }
        let mut trailers = grpc::trailers(Code::ResourceExhausted, "over the quota");
        trailers.insert(grpc::PUSHBACK, HeaderValue::from_static("60000"));
        engine.respond(stream, grpc::trailers_only(trailers), true);
    }));
    let mut client = tonic::client::Grpc::new(fleet(&gateway));
    let ask = || tonic::Request::new(Bytes::from_static(b"one pumpkin"));
    let failed = block_on(client.unary(ask(), path(), Raw)).expect_err("may have run");
    assert_eq!(failed.code(), tonic::Code::Unavailable);
    let refused = block_on(client.unary(ask(), path(), Raw)).expect_err("refused");
    assert_eq!(refused.code(), tonic::Code::ResourceExhausted);
    assert_eq!(
        refused
            .metadata()
            .get("grpc-retry-pushback-ms")
            .expect("a time"),
        "60000"
    );
}

#[test]
fn a_dropped_call_is_called_off_and_a_deadline_ends_one() {
    let (asked, resets) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (asked.clone(), resets.clone());
    let gateway = play(Box::new(move |_, event| match event {
        Seen::Asked(..) => drop(counts.0.fetch_add(1, Ordering::SeqCst)),
        Seen::Reset => drop(counts.1.fetch_add(1, Ordering::SeqCst)),
        _ => {}
    }));
    let until = |what: &str, holds: &mut dyn FnMut() -> bool| {
        let end = Instant::now() + Duration::from_secs(20);
        while !holds() {
            assert!(Instant::now() < end, "not in time: {what}");
            std::thread::yield_now();
        }
    };
    let mut client = tonic::client::Grpc::new(fleet(&gateway));
    let mut request = tonic::Request::new(Bytes::from_static(b"one pumpkin"));
    request.set_timeout(Duration::from_millis(100));
    let late = block_on(client.unary(request, path(), Raw)).expect_err("late");
    assert_eq!(late.code(), tonic::Code::DeadlineExceeded);
    until("the late call's reset", &mut || {
        resets.load(Ordering::SeqCst) == 1
    });

    let mut call =
        Box::pin(client.unary(tonic::Request::new(Bytes::from_static(b"two")), path(), Raw));
    until("a second call", &mut || {
        let pending = block_on(std::future::poll_fn(|cx| {
            Poll::Ready(call.as_mut().poll(cx).is_pending())
        }));
        assert!(pending, "nobody answers");
        asked.load(Ordering::SeqCst) == 2
    });
    assert_eq!(resets.load(Ordering::SeqCst), 1);
    drop(call);
    until("the dropped call's reset", &mut || {
        resets.load(Ordering::SeqCst) == 2
    });
}

#[test]
fn a_stream_talks_both_ways() {
    let gateway = play(Box::new(|engine, event| match event {
        Seen::Asked(stream, ..) => engine.respond(stream, grpc::head(), false),
        Seen::Data(stream, data) => engine.send(stream, data),
        Seen::End(stream) => engine.finish(stream, Some(grpc::trailers(Code::Ok, ""))),
        Seen::Reset => {}
    }));
    let mut client = tonic::client::Grpc::new(fleet(&gateway));
    let messages: Vec<Bytes> = (0..200)
        .map(|i| Bytes::from(vec![i as u8; 20_000]))
        .collect();
    let mut request = tonic::Request::new(futures_util::stream::iter(messages.clone()));
    request.extensions_mut().insert(Terms {
        streaming: true,
        ..Terms::default()
    });
    let heard = block_on(async {
        let mut answers = client
            .streaming(request, path(), Raw)
            .await
            .expect("a stream")
            .into_inner();
        let mut heard = Vec::new();
        while let Some(message) = answers.message().await.expect("whole") {
            heard.push(message);
        }
        heard
    });
    assert!(
        heard == messages,
        "{} of {} messages came back",
        heard.len(),
        messages.len()
    );
}
