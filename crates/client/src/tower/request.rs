//! Requests whose first message has not arrived yet.

use super::MAX_MESSAGE_LEN;
use crate::call::{Call, Reply};
use crate::client::Client;
use crate::core::Outcome;
use bytes::Bytes;
use chalkdeck_net::grpc::{Code, Deframer};
use http_body::Body;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

/// A request whose first message is awaited.
pub(super) struct PendingRequest<B> {
    pub(super) client: Arc<Client>,
    pub(super) call: Call,
    pub(super) body: B,
    pub(super) deframer: Deframer,
}

impl<B> PendingRequest<B> {
    pub(super) fn new(client: Arc<Client>, call: Call, body: B) -> PendingRequest<B> {
        PendingRequest {
            client,
            call,
            body,
            deframer: Deframer::default(),
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> PendingRequest<B> {
    /// The first message, or the reply to a request without a valid one.
    pub(super) fn poll_first_message(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Bytes, Reply>> {
        loop {
            match self.deframer.next(MAX_MESSAGE_LEN) {
                Ok(Some(message)) => return Poll::Ready(Ok(message)),
                Ok(None) => {}
                Err(error) => {
                    let reply = not_sent(Code::InvalidArgument, error.to_string());
                    return Poll::Ready(Err(reply));
                }
            }
            let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
            let Some(Ok(frame)) = frame else {
                let reply = not_sent(Code::Cancelled, "the request ended before its message");
                return Poll::Ready(Err(reply));
            };
            if let Ok(data) = frame.into_data() {
                self.deframer.push(&data);
            }
        }
    }
}

/// The reply to a call of which nothing was sent.
pub(super) fn not_sent(status: Code, status_message: impl Into<String>) -> Reply {
    Reply::without_attempt(Outcome::NotSent, Some(status), status_message)
}
