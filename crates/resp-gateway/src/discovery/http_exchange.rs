//! Successive HTTP/1.1 calls on one connection. `ureq-proto` implements the protocol without I/O: it parses what was received and
//! returns what to write.

use super::error::DiscoveryError;
use bytes::{Buf, BytesMut};
use http::{Request, StatusCode};
use ureq_proto::client::state::{RecvBody, RecvResponse, SendRequest};
use ureq_proto::client::{Call, RecvBodyResult, RecvResponseResult, SendRequestResult};
use ureq_proto::BodyMode;

/// The maximum length of a response.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The size of the buffer that parts of a body are decoded into.
const DECODE_BUFFER_BYTES: usize = 16 << 10;
/// The maximum length of a request's head.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// Whether the connection can be reused after a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionReuse {
    KeepAlive,
    Close,
}

impl ConnectionReuse {
    fn from_must_close(must_close: bool) -> ConnectionReuse {
        if must_close {
            ConnectionReuse::Close
        } else {
            ConnectionReuse::KeepAlive
        }
    }
}

/// How much of a response has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Incomplete,
    /// The response is complete, and `HttpExchange::body` returns its body.
    Complete(ConnectionReuse),
}

/// The part of a response that is being received.
enum Response {
    Head(Call<RecvResponse>),
    Body(Call<RecvBody>),
}

/// The calls of one connection.
#[derive(Default)]
pub(super) struct HttpExchange {
    /// Bytes received and not parsed yet.
    received: BytesMut,
    /// The response in progress; `None` if none is expected.
    response: Option<Response>,
    /// The body of the last response, as far as it has been received.
    body: Vec<u8>,
}

impl HttpExchange {
    /// Begins a call; returns the bytes of its request.
    pub(super) fn begin_get(&mut self, uri: &str) -> Result<Vec<u8>, DiscoveryError> {
        let request = Request::get(uri).body(())?;
        let mut call: Call<SendRequest> = Call::new(request)?.proceed();
        let mut head = vec![0; MAX_REQUEST_BYTES];
        let length = call.write(&mut head)?;
        head.truncate(length);
        self.body.clear();
        self.response = match call.proceed()? {
            Some(SendRequestResult::RecvResponse(call)) => Some(Response::Head(call)),
            // A GET request sends no body, so no other state follows.
            _ => None,
        };
        Ok(head)
    }

    /// Parses received bytes as the next part of the response.
    pub(super) fn receive(&mut self, data: &[u8]) -> Result<Progress, DiscoveryError> {
        self.received.extend_from_slice(data);
        match self.response.take() {
            None => Ok(Progress::Incomplete),
            Some(Response::Head(call)) => self.receive_head(call),
            Some(Response::Body(call)) => self.receive_body(call),
        }
    }

    fn receive_head(&mut self, mut call: Call<RecvResponse>) -> Result<Progress, DiscoveryError> {
        let (used, head) = call.try_response(&self.received, false)?;
        self.received.advance(used);
        let Some(head) = head else {
            self.response = Some(Response::Head(call));
            self.check_length()?;
            return Ok(Progress::Incomplete);
        };
        if head.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(head.status()));
        }
        match call.proceed() {
            Some(RecvResponseResult::RecvBody(call)) => self.receive_body(call),
            Some(RecvResponseResult::Cleanup(call)) => Ok(Progress::Complete(
                ConnectionReuse::from_must_close(call.must_close_connection()),
            )),
            _ => Err(DiscoveryError::Status(head.status())),
        }
    }

    fn receive_body(&mut self, mut call: Call<RecvBody>) -> Result<Progress, DiscoveryError> {
        let is_close_delimited = is_close_delimited(&call);
        let mut decoded = [0; DECODE_BUFFER_BYTES];
        loop {
            let (used, length) = call.read(&self.received, &mut decoded)?;
            self.received.advance(used);
            self.body.extend_from_slice(&decoded[..length]);
            self.check_length()?;
            if call.can_proceed() && !is_close_delimited {
                break;
            }
            if used == 0 && length == 0 {
                self.response = Some(Response::Body(call));
                return Ok(Progress::Incomplete);
            }
        }
        let must_close = match call.proceed() {
            Some(RecvBodyResult::Cleanup(call)) => call.must_close_connection(),
            _ => true,
        };
        // Bytes behind the response would be taken for the next one.
        let is_reusable = !must_close && self.received.is_empty();
        Ok(Progress::Complete(if is_reusable {
            ConnectionReuse::KeepAlive
        } else {
            ConnectionReuse::Close
        }))
    }

    /// The number of bytes that are held.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.received.len() + self.body.len()
    }

    fn check_length(&self) -> Result<(), DiscoveryError> {
        if self.buffered_bytes() > MAX_RESPONSE_BYTES {
            return Err(DiscoveryError::TooLong {
                max: MAX_RESPONSE_BYTES,
            });
        }
        Ok(())
    }

    /// Handles the end of the connection. Returns whether the response in progress has a body without a stated length, which an orderly
    /// end of the connection completes.
    pub(super) fn end(&mut self) -> bool {
        match self.response.take() {
            Some(Response::Body(call)) => is_close_delimited(&call),
            _ => false,
        }
    }

    /// The body of the last response.
    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }
}

fn is_close_delimited(call: &Call<RecvBody>) -> bool {
    matches!(call.body_mode(), BodyMode::CloseDelimited)
}
