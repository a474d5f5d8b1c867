//! The open calls of a gateway, indexed by their streams.

use crate::base::call_head::CallHead;
use crate::endpoint_connections::AttemptId;
use crate::request_buffer::RequestBuffer;
use bytes::Bytes;
use chalkdeck::api::{EndpointId, IncomingRequest, RequestId};
use chalkdeck_net::timer_queue::TimerToken;
use chalkdeck_net::StreamId;
use http::uri::PathAndQuery;
use http::{response, HeaderMap};
use rustc_hash::FxHashMap;

/// The progress of the response to the client.
pub(crate) enum ResponseState {
    /// No response of an endpoint has started.
    Pending,
    /// The head and the body of an attempt's response are buffered until its end.
    Buffered(BufferedResponse),
    /// The head was sent; the body is forwarded as it is received.
    Streaming,
    /// The final answer was sent, or the client is gone.
    Complete,
}

/// A response that is not yet sent to the client.
pub(crate) struct BufferedResponse {
    pub(crate) head: Box<response::Parts>,
    pub(crate) chunks: Vec<Bytes>,
    pub(crate) bytes: usize,
}

/// One attempt at an endpoint.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// `None`: it waits for a connection.
    pub(crate) stream: Option<StreamId>,
    /// When it was started, in microseconds of the loop's clock.
    pub(crate) started_at: u64,
    /// Whether it has not ended yet.
    pub(crate) is_open: bool,
    /// The timer of its time-out, unless the call's deadline ends it.
    pub(crate) timeout_timer: Option<TimerToken>,
    /// The number of bytes at the beginning of the request's body whose flow-control window is already returned to the client.
    pub(crate) returned_bytes: usize,
}

/// The caller of a stream, kept because a change of the access rules may deny it while the stream is open.
pub(crate) struct Caller {
    pub(crate) customer: String,
    pub(crate) region: String,
}

/// One call of a client. Times are in microseconds of the loop's clock.
pub(crate) struct Call {
    pub(crate) client_stream: StreamId,
    pub(crate) request: IncomingRequest,
    pub(crate) arrived_at: u64,
    /// The deadline that the client set, if any.
    pub(crate) client_deadline: Option<u64>,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    /// Attempts that the client made before this call.
    pub(crate) previous_client_attempts: u32,
    /// Set only for streams, and only if there are access rules.
    pub(crate) caller: Option<Box<Caller>>,
    pub(crate) request_buffer: RequestBuffer,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) response: ResponseState,
    /// The number of bytes at the beginning of the response whose window was returned to the endpoint when they were buffered.
    pub(crate) response_returned_bytes: usize,
    /// The status message of the last attempt that ended without an answer for the client.
    pub(crate) endpoint_message: Option<String>,
}

impl Call {
    pub(crate) fn new(
        head: CallHead,
        client_stream: StreamId,
        arrived_at: u64,
        request_buffer: RequestBuffer,
    ) -> Call {
        Call {
            client_stream,
            request: head.request,
            arrived_at,
            client_deadline: head.client_deadline,
            path: head.path,
            headers: head.headers,
            previous_client_attempts: head.previous_attempts,
            caller: None,
            request_buffer,
            attempts: Vec::new(),
            response: ResponseState::Pending,
            response_returned_bytes: 0,
            endpoint_message: None,
        }
    }

    /// The stream of the open attempt.
    pub(crate) fn attempt_stream(&self) -> Option<StreamId> {
        let last = self.attempts.last()?;
        last.stream.filter(|_| last.is_open)
    }

    pub(crate) fn last_attempt(&self) -> Option<AttemptId> {
        let number = self.attempts.len().checked_sub(1)?;
        Some(AttemptId {
            call: self.request.id,
            number,
        })
    }

    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self.response, ResponseState::Streaming)
    }

    /// Whether the final answer was sent, or the client is gone.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.response, ResponseState::Complete)
    }

    fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_open)
    }
}

/// All calls of a gateway. The limits on clients' streams bound their number.
#[derive(Default)]
pub(crate) struct Calls {
    by_id: FxHashMap<RequestId, Box<Call>>,
    by_client_stream: FxHashMap<StreamId, RequestId>,
    by_attempt_stream: FxHashMap<StreamId, AttemptId>,
    last_id: u64,
    /// The number of calls without a final answer.
    pub(crate) open_count: usize,
}

impl Calls {
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub(crate) fn insert(&mut self, call: Call) {
        let id = call.request.id;
        self.by_client_stream.insert(call.client_stream, id);
        self.by_id.insert(id, Box::new(call));
        self.open_count += 1;
    }

    pub(crate) fn get(&mut self, id: RequestId) -> Option<&mut Call> {
        self.by_id.get_mut(&id).map(Box::as_mut)
    }

    /// The call, unless it is complete.
    pub(crate) fn get_open(&mut self, id: RequestId) -> Option<&mut Call> {
        self.get(id).filter(|call| !call.is_complete())
    }

    pub(crate) fn id_of_client_stream(&self, stream: StreamId) -> Option<RequestId> {
        self.by_client_stream.get(&stream).copied()
    }

    pub(crate) fn get_by_client_stream(&mut self, stream: StreamId) -> Option<&mut Call> {
        let id = self.id_of_client_stream(stream)?;
        self.get(id)
    }

    pub(crate) fn id_of_attempt_stream(&self, stream: StreamId) -> Option<AttemptId> {
        self.by_attempt_stream.get(&stream).copied()
    }

    pub(crate) fn bind_attempt_stream(&mut self, stream: StreamId, attempt: AttemptId) {
        self.by_attempt_stream.insert(stream, attempt);
    }

    pub(crate) fn release_attempt_stream(&mut self, stream: StreamId) {
        self.by_attempt_stream.remove(&stream);
    }

    /// Removes the stream of a client whose call is complete.
    pub(crate) fn release_client_stream(&mut self, stream: StreamId) {
        if self.by_client_stream.remove(&stream).is_some() {
            self.open_count -= 1;
        }
    }

    /// The attempt, unless it has ended.
    pub(crate) fn open_attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempts = &mut self.by_id.get_mut(&id.call)?.attempts;
        attempts
            .get_mut(id.number)
            .filter(|attempt| attempt.is_open)
    }

    /// Removes a call that is complete and has no open attempt.
    pub(crate) fn remove_if_finished(&mut self, id: RequestId) {
        let call = self.by_id.get(&id);
        if call.is_some_and(|call| call.is_complete() && !call.has_open_attempt()) {
            self.by_id.remove(&id);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Call> {
        self.by_id.values().map(Box::as_ref)
    }

    /// Ids of the calls without a final answer.
    pub(crate) fn open_ids(&self) -> Vec<RequestId> {
        self.by_client_stream.values().copied().collect()
    }
}
