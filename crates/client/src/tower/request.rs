//! Requests that wait for their first message.

use super::MAX_REQUEST_MESSAGE_BYTES;
use crate::call::{Call, Reply};
use crate::client::Client;
use crate::core::Outcome;
use bytes::Bytes;
use chalkdeck_net::grpc::{Code, Deframer};
use http_body::Body;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

/// A request whose first message has not arrived yet.
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
    /// Returns the first message, or an error reply if the request has no valid message.
    pub(super) fn poll_first_message(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Bytes, Reply>> {
        loop {
            match self.deframer.next(MAX_REQUEST_MESSAGE_BYTES) {
                Ok(Some(message)) => return Poll::Ready(Ok(message)),
                Ok(None) => {}
                Err(error) => {
                    let reply = reply_without_attempt(Code::InvalidArgument, error.to_string());
                    return Poll::Ready(Err(reply));
                }
            }
            let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
            let Some(Ok(frame)) = frame else {
                let reply =
                    reply_without_attempt(Code::Cancelled, "the request ended before its message");
                return Poll::Ready(Err(reply));
            };
            if let Ok(data) = frame.into_data() {
                self.deframer.push(&data);
            }
        }
    }
}

/// The reply to a call that ended before any attempt was sent.
pub(super) fn reply_without_attempt(status: Code, status_message: impl Into<String>) -> Reply {
    Reply::without_attempt(Outcome::NotSent, Some(status), status_message)
}
