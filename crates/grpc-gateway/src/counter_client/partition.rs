//! The client of one partition of the counter, which pipelines increments on one stream. It makes no decisions and retries nothing:
//! a call ends by its response, its time-out or the end of the stream.
//!
//! A connection may be lost without an error. If a call times out and nothing was received since it was sent, the connection is
//! therefore closed, and the next call opens a new one.

use super::result_order::{CallNumber, CounterResult, ResultOrder};
use super::state_tracker::{StateChange, StateTracker};
use bytes::BytesMut;
use chalkdeck::api::{CounterKey, Outcome};
use chalkdeck_net::clock::generate_incarnation;
use chalkdeck_net::grpc::{self, Code, Deframer};
use chalkdeck_net::{ConnId, Engine, Limits, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::{AddRequest, AddResponse};
use prost::Message;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The maximum number of open calls; further ones end as never sent.
const MAX_OPEN_CALLS: usize = 10_000;
/// The longest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 1_024;
/// The path of the streaming method that adds increments.
const ADDS_PATH: &str = "/chalkdeck.counter.v1.Counter/Adds";

/// An increment of one key.
pub(crate) struct Increment {
    pub(crate) key: CounterKey,
    pub(crate) amount: f64,
    /// How long the counter keeps the total after its first increment, in microseconds.
    pub(crate) time_to_live: u64,
    /// When the call times out, by the event loop's clock in microseconds.
    pub(crate) deadline: u64,
}

enum Connection {
    Closed,
    Connecting {
        conn: ConnId,
        /// The increments to send once the connection is established.
        pending: Vec<AddRequest>,
    },
    Open {
        conn: ConnId,
        stream: StreamId,
        deframer: Deframer,
    },
}

/// A call without a result: its request was sent, or waits for the connection.
struct OpenCall {
    key: CounterKey,
    /// When it was made, by the event loop's clock in microseconds.
    started_at: u64,
}

struct CallDeadline {
    /// By the event loop's clock in microseconds.
    at: u64,
    call: CallNumber,
}

/// The client of one partition.
pub(crate) struct PartitionClient {
    address: SocketAddr,
    connection: Connection,
    /// When the connection was established or last received bytes, by the event loop's clock in microseconds.
    last_received_at: u64,
    open_calls: FxHashMap<CallNumber, OpenCall>,
    order: ResultOrder,
    /// Deadlines in the order of the calls. Those of ended calls are removed when they come first.
    deadlines: VecDeque<CallDeadline>,
    last_call: CallNumber,
    /// The incarnation of this client. With the number of the call it lets the counter recognise an increment that arrives twice.
    caller: u64,
    state_tracker: StateTracker,
    /// The encoded increments of this turn, which are sent together. Bounded by the number of open calls.
    outgoing: BytesMut,
    /// Bounded, since they are taken after each batch of responses.
    state_changes: Vec<StateChange>,
    request_head: http::Request<()>,
}

impl PartitionClient {
    /// A client without a connection.
    pub(crate) fn new(address: SocketAddr, now: u64) -> PartitionClient {
        let request_head = grpc::request_head(&address.to_string(), ADDS_PATH)
            .expect("an address and a fixed path make a valid request head");
        PartitionClient {
            address,
            connection: Connection::Closed,
            last_received_at: 0,
            open_calls: FxHashMap::default(),
            order: ResultOrder::default(),
            deadlines: VecDeque::new(),
            last_call: 0,
            caller: generate_incarnation(now),
            state_tracker: StateTracker::default(),
            outgoing: BytesMut::new(),
            state_changes: Vec::new(),
            request_head,
        }
    }

    /// Sends an increment, or keeps it until the connection is established. Returns the results of calls that end at once.
    pub(crate) fn add(&mut self, engine: &mut Engine, increment: &Increment) -> Vec<CounterResult> {
        let is_full = self.open_calls.len() >= MAX_OPEN_CALLS;
        let call = self.start_call(increment.key, engine.now());
        if is_full {
            return self.end_call(call, Outcome::NeverSent, 0.0);
        }
        self.deadlines.push_back(CallDeadline {
            at: increment.deadline,
            call,
        });
        let request = AddRequest {
            name: increment.key.0,
            amount: increment.amount,
            lifetime_us: increment.time_to_live,
            number: call,
            caller: self.caller,
        };
        match &mut self.connection {
            Connection::Open { .. } => grpc::push_frame(&mut self.outgoing, &request),
            Connection::Connecting { pending, .. } => pending.push(request),
            Connection::Closed => match engine.connect(self.address, Limits::default()) {
                Ok(conn) => {
                    let pending = vec![request];
                    self.connection = Connection::Connecting { conn, pending };
                }
                Err(_) => return self.end_call(call, Outcome::ConnectFailed, 0.0),
            },
        }
        Vec::new()
    }

    fn start_call(&mut self, key: CounterKey, now: u64) -> CallNumber {
        self.last_call += 1;
        let call = self.last_call;
        self.order.call_started(key, call);
        self.open_calls.insert(
            call,
            OpenCall {
                key,
                started_at: now,
            },
        );
        call
    }

    /// Sends the increments that were added in this turn of the event loop.
    pub(crate) fn flush(&mut self, engine: &mut Engine) {
        if self.outgoing.is_empty() {
            return;
        }
        if let Connection::Open { stream, .. } = &self.connection {
            engine.send(*stream, self.outgoing.split().freeze());
        }
    }

    /// Takes the changes of the partition's state that responses have revealed.
    pub(crate) fn take_state_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.state_changes)
    }

    /// Ends a call. Returns the results that are due: those of a key are returned in the order of its calls.
    fn end_call(&mut self, call: CallNumber, outcome: Outcome, total: f64) -> Vec<CounterResult> {
        let Some(open_call) = self.open_calls.remove(&call) else {
            return Vec::new();
        };
        let result = CounterResult {
            key: open_call.key,
            outcome,
            total,
        };
        self.order.call_ended(call, result)
    }

    /// The deadline of the open call that times out first.
    pub(crate) fn next_deadline(&mut self) -> Option<u64> {
        while let Some(deadline) = self.deadlines.front() {
            if self.open_calls.contains_key(&deadline.call) {
                return Some(deadline.at);
            }
            self.deadlines.pop_front();
        }
        None
    }

    /// Ends the calls whose deadline has passed. Those that waited for a connection are known not to have been sent.
    pub(crate) fn expire_calls(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let now = engine.now();
        let mut results = Vec::new();
        while self.next_deadline().is_some_and(|at| at <= now) {
            let Some(CallDeadline { call, .. }) = self.deadlines.pop_front() else {
                break;
            };
            let open_call = self.open_calls.get(&call);
            let started_at = open_call.map_or(now, |open_call| open_call.started_at);
            let outcome = match self.connection {
                Connection::Open { .. } => Outcome::Timeout,
                Connection::Closed | Connection::Connecting { .. } => Outcome::ConnectFailed,
            };
            results.extend(self.end_call(call, outcome, 0.0));
            if self.last_received_at < started_at {
                results.extend(self.drop_connection(engine));
            }
        }
        results
    }

    /// Closes the connection and ends all open calls.
    fn drop_connection(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        let (conn, outcome) = match &self.connection {
            Connection::Closed => (None, Outcome::Reset),
            Connection::Connecting { conn, .. } => (Some(*conn), Outcome::ConnectFailed),
            Connection::Open { conn, .. } => (Some(*conn), Outcome::Reset),
        };
        self.connection = Connection::Closed;
        self.outgoing.clear();
        let Some(conn) = conn else {
            return Vec::new();
        };
        engine.close(conn);
        self.end_all_calls(outcome)
    }

    /// Ends all open calls, in the order in which they were made.
    fn end_all_calls(&mut self, outcome: Outcome) -> Vec<CounterResult> {
        let mut calls: Vec<CallNumber> = self.open_calls.keys().copied().collect();
        calls.sort_unstable();
        calls
            .into_iter()
            .flat_map(|call| self.end_call(call, outcome, 0.0))
            .collect()
    }

    /// A connection is established. Returns the results of calls that end; `None`: it is not this partition's connection.
    pub(crate) fn on_connected(
        &mut self,
        engine: &mut Engine,
        established: ConnId,
    ) -> Option<Vec<CounterResult>> {
        let pending = match &mut self.connection {
            Connection::Connecting { conn, pending } if *conn == established => {
                std::mem::take(pending)
            }
            _ => return None,
        };
        let Some(stream) = engine.open_stream(established, self.request_head.clone(), false) else {
            return Some(self.drop_connection(engine));
        };
        self.last_received_at = engine.now();
        self.connection = Connection::Open {
            conn: established,
            stream,
            deframer: Deframer::default(),
        };
        for request in pending {
            // Calls that have timed out in the meantime are not sent.
            if self.open_calls.contains_key(&request.number) {
                grpc::push_frame(&mut self.outgoing, &request);
            }
        }
        Some(Vec::new())
    }

    /// A connection is closed. Returns the results of calls that end; `None`: it is not this partition's connection.
    pub(crate) fn on_closed(&mut self, closed: ConnId) -> Option<Vec<CounterResult>> {
        let outcome = match &self.connection {
            Connection::Connecting { conn, .. } if *conn == closed => Outcome::ConnectFailed,
            Connection::Open { conn, .. } if *conn == closed => Outcome::Reset,
            _ => return None,
        };
        self.connection = Connection::Closed;
        self.outgoing.clear();
        Some(self.end_all_calls(outcome))
    }

    /// Whether a stream is the one of this partition.
    pub(crate) fn owns_stream(&self, candidate: StreamId) -> bool {
        matches!(&self.connection, Connection::Open { stream, .. } if *stream == candidate)
    }

    /// Handles bytes received on the partition's stream. A malformed response ends the connection.
    pub(crate) fn on_data(
        &mut self,
        engine: &mut Engine,
        stream: StreamId,
        data: &[u8],
    ) -> Vec<CounterResult> {
        engine.consume(stream, data.len());
        self.last_received_at = engine.now();
        if let Connection::Open { deframer, .. } = &mut self.connection {
            deframer.push(data);
        }
        let mut results = Vec::new();
        loop {
            match self.next_response() {
                Ok(Some(response)) => results.extend(self.on_response(engine, &response)),
                Ok(None) => return results,
                Err(MalformedResponse) => {
                    results.extend(self.drop_connection(engine));
                    return results;
                }
            }
        }
    }

    fn next_response(&mut self) -> Result<Option<AddResponse>, MalformedResponse> {
        let Connection::Open { deframer, .. } = &mut self.connection else {
            return Ok(None);
        };
        let frame = deframer
            .next(MAX_RESPONSE_BYTES)
            .map_err(|_| MalformedResponse)?;
        let Some(frame) = frame else { return Ok(None) };
        let response = AddResponse::decode(&frame[..]).map_err(|_| MalformedResponse)?;
        Ok(Some(response))
    }

    fn on_response(&mut self, engine: &Engine, response: &AddResponse) -> Vec<CounterResult> {
        self.state_changes
            .extend(self.state_tracker.observe(response));
        if Code::from_number(response.status) == Code::Aborted {
            // The partition no longer knows this caller and the increments that it counted, so later calls have a new incarnation.
            self.caller = generate_incarnation(engine.now());
        }
        self.end_call(response.number, outcome_of(response), response.total)
    }

    /// The stream has ended by its head, its trailers or a reset. The connection is closed, too.
    pub(crate) fn on_stream_ended(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        self.drop_connection(engine)
    }
}

/// A partition sent bytes that are not a valid response.
struct MalformedResponse;

fn outcome_of(response: &AddResponse) -> Outcome {
    match Code::from_number(response.status) {
        Code::Ok if response.total.is_finite() => Outcome::Ok,
        Code::Unavailable | Code::ResourceExhausted => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
