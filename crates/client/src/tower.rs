//! The client as a `tower` service, for programs that use `tonic`: give [`Fleet`] to a generated client in the place of
//! its channel. The same core decides, the same thread carries; an async runtime is not needed.
//!
//! A call is unary, unsafe and has ten seconds unless [`Terms`] say otherwise: in the request's extensions for one call, or
//! by the path through [`TermsLayer`].

use crate::core::{Outcome, Repeat};
use crate::handle::{Call, Client, Handle, Reply};
use crate::stream::{Stream, StreamEvent};
use bytes::Bytes;
use chalkdeck_net::grpc::{self, Code, Deframer};
use futures_channel::{mpsc, oneshot};
use futures_core::Stream as _;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body::{Body as HttpBody, Frame};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The longest message that is sent, in bytes.
const MESSAGE_BYTES: usize = 4 << 20;
/// Bytes of a stream's answers that may wait to be read; a stream that waits for more is called off.
const UNREAD: usize = 4 << 20;

/// What the library must know of a call that its request does not say.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Whether it may go again.
    pub repeat: Repeat,
    /// The key of a keyed call; without one the library makes one.
    pub key: Option<String>,
    /// For all tries, or for the whole stream. A shorter `grpc-timeout` of the request wins.
    pub timeout: Duration,
    /// Messages go both ways as they come. One that has begun to talk does not go again.
    pub streaming: bool,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            repeat: Repeat::Unsafe,
            key: None,
            timeout: Duration::from_secs(10),
            streaming: false,
        }
    }
}

/// Gives requests without [`Terms`] those of their path.
#[derive(Clone)]
pub struct TermsLayer {
    of: Arc<dyn Fn(&str) -> Terms + Send + Sync>,
}

impl TermsLayer {
    /// `of` is asked with `/package.Service/Method`.
    pub fn new(of: impl Fn(&str) -> Terms + Send + Sync + 'static) -> TermsLayer {
        TermsLayer { of: Arc::new(of) }
    }
}

impl<S> tower_layer::Layer<S> for TermsLayer {
    type Service = WithTerms<S>;
    fn layer(&self, inner: S) -> WithTerms<S> {
        WithTerms {
            inner,
            layer: self.clone(),
        }
    }
}

/// A service behind a [`TermsLayer`].
#[derive(Clone)]
pub struct WithTerms<S> {
    inner: S,
    layer: TermsLayer,
}

impl<S: tower_service::Service<Request<B>>, B> tower_service::Service<Request<B>> for WithTerms<S> {
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }
    fn call(&mut self, mut request: Request<B>) -> S::Future {
        if request.extensions().get::<Terms>().is_none() {
            let terms = (self.layer.of)(request.uri().path());
            request.extensions_mut().insert(terms);
        }
        self.inner.call(request)
    }
}

/// The fleet as one service. Always ready: with too many calls open a call ends at once, by RESOURCE_EXHAUSTED.
#[derive(Clone)]
pub struct Fleet {
    client: Arc<Client>,
}

impl Fleet {
    /// Over a client that the program may also use itself.
    pub fn new(client: Arc<Client>) -> Fleet {
        Fleet { client }
    }
}

impl<B> tower_service::Service<Request<B>> for Fleet
where
    B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
{
    type Response = Response<Body<B>>;
    type Error = Infallible;
    type Future = Calling<B>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Calling<B> {
        let (parts, body) = request.into_parts();
        let terms = parts.extensions.get::<Terms>().cloned().unwrap_or_default();
        let asked = parts
            .headers
            .get(grpc::TIMEOUT)
            .and_then(|v| v.to_str().ok())
            .and_then(grpc::parse_timeout);
        let timeout = asked.map_or(terms.timeout, |us| {
            terms.timeout.min(Duration::from_micros(us))
        });
        let call = Call {
            path: parts.uri.path().to_string(),
            message: Bytes::new(),
            metadata: metadata(&parts.headers),
            repeat: terms.repeat,
            key: terms.key,
            timeout,
        };
        let asking = Asking {
            client: self.client.clone(),
            call,
            body,
            deframer: Deframer::default(),
        };
        Calling {
            streaming: terms.streaming,
            state: State::Asking(Box::new(asking)),
        }
    }
}

/// What the caller set itself; transport headers are made anew for each try.
fn metadata(headers: &HeaderMap) -> Vec<(String, String)> {
    let own = [
        "te",
        "content-type",
        grpc::TIMEOUT,
        grpc::KEY,
        grpc::ATTEMPTS,
        "user-agent",
    ];
    let text = |v: &HeaderValue| v.to_str().ok().map(str::to_string);
    let kept = headers
        .iter()
        .filter(|(name, _)| !own.contains(&name.as_str()));
    kept.filter_map(|(name, value)| Some((name.to_string(), text(value)?)))
        .collect()
}

struct Asking<B> {
    client: Arc<Client>,
    call: Call,
    body: B,
    deframer: Deframer,
}

impl<B: HttpBody<Data = Bytes> + Unpin> Asking<B> {
    /// The first message, or what is wrong with what came in its place.
    fn first(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes, Reply>> {
        loop {
            match self.deframer.next(MESSAGE_BYTES) {
                Ok(Some(message)) => return Poll::Ready(Ok(message)),
                Ok(None) => {}
                Err(e) => return Poll::Ready(Err(never(Code::InvalidArgument, &e.to_string()))),
            }
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    frame
                        .into_data()
                        .iter()
                        .for_each(|data| self.deframer.push(data));
                }
                _ => {
                    return Poll::Ready(Err(never(
                        Code::Cancelled,
                        "the request ended before its message",
                    )))
                }
            }
        }
    }
}

fn never(code: Code, text: &str) -> Reply {
    Reply {
        outcome: Outcome::NotSent,
        code: Some(code),
        text: text.into(),
        message: None,
        tries: 0,
    }
}

enum State<B> {
    Asking(Box<Asking<B>>),
    Out {
        reply: oneshot::Receiver<Reply>,
        cancel: CancelOnDrop,
    },
    Over,
}

/// A call nobody waits for any more is called off.
struct CancelOnDrop(Option<Handle>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(|handle| handle.cancel());
    }
}

/// A call under way. Dropping it calls the call off.
pub struct Calling<B> {
    streaming: bool,
    state: State<B>,
}

impl<B: HttpBody<Data = Bytes> + Send + Unpin + 'static> Future for Calling<B> {
    type Output = Result<Response<Body<B>>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = &mut *self;
        loop {
            match &mut this.state {
                State::Asking(asking) => {
                    let message = match asking.first(cx) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(Ok(message)) => message,
                        Poll::Ready(Err(reply)) => return Poll::Ready(Ok(response(reply))),
                    };
                    let State::Asking(asking) = std::mem::replace(&mut this.state, State::Over)
                    else {
                        continue;
                    };
                    if this.streaming {
                        return Poll::Ready(Ok(begin_stream(*asking, message)));
                    }
                    this.state = begin(*asking, message);
                }
                State::Out { reply, cancel } => {
                    let Poll::Ready(reply) = Pin::new(reply).poll(cx) else {
                        return Poll::Pending;
                    };
                    cancel.0 = None;
                    let gone = || never(Code::Cancelled, "the client ended");
                    return Poll::Ready(Ok(response(reply.unwrap_or_else(|_| gone()))));
                }
                State::Over => return Poll::Pending,
            }
        }
    }
}

fn begin<B>(mut asking: Asking<B>, message: Bytes) -> State<B> {
    asking.call.message = message;
    let (tell, reply) = oneshot::channel();
    let handle = asking
        .client
        .begin(asking.call, move |reply| drop(tell.send(reply)));
    State::Out {
        reply,
        cancel: CancelOnDrop(Some(handle)),
    }
}

fn begin_stream<B>(mut asking: Asking<B>, message: Bytes) -> Response<Body<B>> {
    asking.call.message = message;
    let (tell, heard) = mpsc::unbounded();
    let unread = Arc::new(AtomicUsize::new(0));
    let count = unread.clone();
    let hear = move |event: StreamEvent| {
        if let StreamEvent::Message(message) = &event {
            count.fetch_add(message.len(), Ordering::Relaxed);
        }
        let _ = tell.unbounded_send(event);
    };
    let Ok(stream) = asking.client.open(asking.call, hear) else {
        return response(never(Code::ResourceExhausted, &crate::Full.to_string()));
    };
    let talk = Talk {
        stream,
        heard,
        unread,
        body: Some(asking.body),
        deframer: asking.deframer,
        held: None,
    };
    answer(Body {
        frames: VecDeque::new(),
        talk: Some(Box::new(talk)),
    })
}

fn answer<B>(body: Body<B>) -> Response<Body<B>> {
    let mut response = Response::new(body);
    *response.headers_mut() = grpc::head().headers().clone();
    response
}

/// A reply as the answer that a channel would have given.
fn response<B>(reply: Reply) -> Response<Body<B>> {
    let message = reply.message.as_ref().map(|m| Frame::data(grpc::frame(m)));
    let frames = message
        .into_iter()
        .chain([Frame::trailers(trailers(&reply))])
        .collect();
    answer(Body { frames, talk: None })
}

fn trailers(reply: &Reply) -> HeaderMap {
    let code = match reply.outcome {
        Outcome::Answered => reply.code.unwrap_or(Code::Unknown),
        Outcome::Refused(_) | Outcome::Full => Code::ResourceExhausted,
        Outcome::NotSent | Outcome::Failed => reply.code.unwrap_or(Code::Unavailable),
        Outcome::Deadline { .. } => Code::DeadlineExceeded,
        Outcome::Cancelled => Code::Cancelled,
    };
    let mut trailers = grpc::trailers(code, &reply.text);
    if let Outcome::Refused(Some(us)) = reply.outcome {
        trailers.insert(grpc::PUSHBACK, HeaderValue::from(us.div_ceil(1_000)));
    }
    if matches!(reply.outcome, Outcome::NotSent | Outcome::Full) {
        trailers.insert(grpc::UNPROCESSED, HeaderValue::from_static("1"));
    }
    trailers
}

struct Talk<B> {
    stream: Stream,
    heard: mpsc::UnboundedReceiver<StreamEvent>,
    unread: Arc<AtomicUsize>,
    /// What the caller still sends.
    body: Option<B>,
    deframer: Deframer,
    /// A message that the stream had no room for.
    held: Option<Bytes>,
}

impl<B: HttpBody<Data = Bytes> + Unpin> Talk<B> {
    /// Sends on what the caller has ready, as far as there is room.
    fn send(&mut self, cx: &mut Context<'_>) {
        while self.body.is_some() {
            let next = self
                .held
                .take()
                .map_or_else(|| self.deframer.next(MESSAGE_BYTES), |m| Ok(Some(m)));
            match next {
                Ok(Some(message)) if self.stream.send(message.clone()).is_err() => {
                    // Goes on when it hears of room.
                    return self.held = Some(message);
                }
                Ok(Some(_)) => continue,
                Ok(None) => {}
                Err(_) => return self.call_off(),
            }
            let Some(body) = &mut self.body else { return };
            match Pin::new(body).poll_frame(cx) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok(frame))) => {
                    frame
                        .into_data()
                        .iter()
                        .for_each(|data| self.deframer.push(data));
                }
                Poll::Ready(Some(Err(_))) => return self.call_off(),
                Poll::Ready(None) => {
                    self.body = None;
                    self.stream.finish();
                }
            }
        }
    }

    fn call_off(&mut self) {
        self.body = None;
        self.stream.cancel();
    }
}

/// An answer's body: one message and its status, or a stream's. Dropping a stream's calls it off.
pub struct Body<B> {
    frames: VecDeque<Frame<Bytes>>,
    talk: Option<Box<Talk<B>>>,
}

impl<B> Drop for Body<B> {
    fn drop(&mut self) {
        self.talk
            .take()
            .into_iter()
            .for_each(|talk| talk.stream.cancel());
    }
}

impl<B: HttpBody<Data = Bytes> + Unpin> HttpBody for Body<B> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let Some(talk) = &mut self.talk else {
            return Poll::Ready(None);
        };
        if talk.unread.load(Ordering::Relaxed) > UNREAD {
            talk.call_off();
        }
        let event = loop {
            talk.send(cx);
            match Pin::new(&mut talk.heard).poll_next(cx) {
                Poll::Ready(Some(StreamEvent::Room)) => {}
                other => break other,
            }
        };
        match event {
            Poll::Pending | Poll::Ready(Some(StreamEvent::Room)) => Poll::Pending,
            Poll::Ready(Some(StreamEvent::Message(message))) => {
                talk.unread.fetch_sub(message.len(), Ordering::Relaxed);
                Poll::Ready(Some(Ok(Frame::data(grpc::frame(&message)))))
            }
            Poll::Ready(Some(StreamEvent::End(reply))) => {
                self.talk = None;
                Poll::Ready(Some(Ok(Frame::trailers(trailers(&reply)))))
            }
            Poll::Ready(None) => {
                self.talk = None;
                let gone = never(Code::Cancelled, "the client ended");
                Poll::Ready(Some(Ok(Frame::trailers(trailers(&gone)))))
            }
        }
    }
}
