//! The calls that a gateway holds, and by which streams it knows them.

use crate::base::asked::Asked;
use crate::body::Kept;
use bytes::Bytes;
use chalkdeck::api::{EndpointId, IncomingRequest, RequestId};
use chalkdeck_net::StreamId;
use http::uri::PathAndQuery;
use http::{response, HeaderMap};
use rustc_hash::FxHashMap;

use crate::pool::AttemptId;

/// How far the answer to the client is.
pub(crate) enum Answer {
    /// Nothing was sent.
    None,
    /// A head and bytes of an attempt are kept back until its end.
    Held {
        head: Box<response::Parts>,
        chunks: Vec<Bytes>,
        bytes: usize,
    },
    /// The head was sent; bytes follow as they come.
    Started,
    /// The final answer was sent, or the client is gone.
    Done,
}

/// One attempt at a server.
pub(crate) struct Attempt {
    pub(crate) server: EndpointId,
    pub(crate) stream: Option<StreamId>,
    pub(crate) sent: u64,
    pub(crate) out: bool,
    /// First bytes of its body whose window was given back before.
    pub(crate) skip: usize,
}

/// Who calls on a stream, for rules that may come to forbid it.
pub(crate) struct Who {
    pub(crate) customer: String,
    /// The caller's region.
    pub(crate) caller: String,
}

/// One call of a client.
pub(crate) struct Call {
    pub(crate) front: StreamId,
    pub(crate) arrival: IncomingRequest,
    pub(crate) arrived: u64,
    pub(crate) client_deadline: Option<u64>,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) tries_before: u32,
    /// Only of streams, and only where there are rules.
    pub(crate) who: Option<Box<Who>>,
    pub(crate) kept: Kept,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answer: Answer,
    /// First bytes of the answer whose window was given back when they were kept.
    pub(crate) answer_skip: usize,
    /// What a server last said when it turned the call away.
    pub(crate) server_said: Option<String>,
}

impl Call {
    pub(crate) fn new(asked: Asked, front: StreamId, now: u64, keep: usize, ended: bool) -> Call {
        Call {
            front,
            arrival: asked.arrival,
            arrived: now,
            client_deadline: asked.client_deadline,
            path: asked.path,
            headers: asked.headers,
            tries_before: asked.tries_before,
            who: None,
            kept: Kept::new(keep, ended),
            attempts: Vec::new(),
            answer: Answer::None,
            answer_skip: 0,
            server_said: None,
        }
    }
    /// The attempt that is out with a stream of its own.
    pub(crate) fn back(&self) -> Option<StreamId> {
        self.attempts
            .last()
            .filter(|a| a.out)
            .and_then(|a| a.stream)
    }
    pub(crate) fn is_done(&self) -> bool {
        matches!(self.answer, Answer::Done)
    }
    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

/// All calls of a gateway. Bounded by the streams that its clients may open.
#[derive(Default)]
pub(crate) struct Calls {
    by_id: FxHashMap<RequestId, Box<Call>>,
    by_front: FxHashMap<StreamId, RequestId>,
    by_back: FxHashMap<StreamId, AttemptId>,
    next: u64,
    /// Calls without their final answer.
    pub(crate) open: usize,
}

impl Calls {
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next)
    }
    pub(crate) fn insert(&mut self, call: Call) {
        self.by_front.insert(call.front, call.arrival.id);
        self.by_id.insert(call.arrival.id, Box::new(call));
        self.open += 1;
    }
    pub(crate) fn get(&mut self, id: RequestId) -> Option<&mut Call> {
        self.by_id.get_mut(&id).map(Box::as_mut)
    }
    pub(crate) fn of_front(&self, stream: StreamId) -> Option<RequestId> {
        self.by_front.get(&stream).copied()
    }
    pub(crate) fn of_back(&self, stream: StreamId) -> Option<AttemptId> {
        self.by_back.get(&stream).copied()
    }
    pub(crate) fn bind(&mut self, stream: StreamId, attempt: AttemptId) {
        self.by_back.insert(stream, attempt);
    }
    pub(crate) fn unbind(&mut self, stream: StreamId) {
        self.by_back.remove(&stream);
    }
    /// The attempt, while it is out.
    pub(crate) fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.by_id
            .get_mut(&id.call)?
            .attempts
            .get_mut(id.number)
            .filter(|a| a.out)
    }
    /// Forgets a call that has its answer and nothing out.
    pub(crate) fn forget_if_over(&mut self, id: RequestId) {
        if self
            .by_id
            .get(&id)
            .is_some_and(|c| c.is_done() && !c.is_out())
        {
            self.by_id.remove(&id);
        }
    }
    /// The client hears nothing more of it.
    pub(crate) fn unbind_front(&mut self, front: StreamId) {
        if self.by_front.remove(&front).is_some() {
            self.open -= 1;
        }
    }
    pub(crate) fn all(&self) -> impl Iterator<Item = &Call> {
        self.by_id.values().map(Box::as_ref)
    }
    pub(crate) fn open_ids(&self) -> Vec<RequestId> {
        self.by_front.values().copied().collect()
    }
}
