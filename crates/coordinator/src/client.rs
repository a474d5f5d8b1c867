//! A blocking client of the replicas, for operators and tools. It asks one replica after another until one answers. A call without an
//! answer stays in flight while the next replica is asked, so that replicas that take long are heard as well. A command is sent to each
//! of them under the same number, so that it is applied only once.

mod replica_call;

use crate::ids::CommandNumber;
use crate::protocol::{
    wire, CommandKind, CommandResponse, ReadRequest, ReadResponse, ResponseCode,
};
use crate::server::{connection_limits, READ_PATH, SUBMIT_PATH};
use chalkdeck_net::clock::generate_incarnation;
use chalkdeck_net::{ConnId, Engine, Event};
use chalkdeck_time::{TimeDelta, Timestamp};
use prost::Message;
use replica_call::{CallState, ReplicaCall};
use std::io;
use std::net::SocketAddr;

/// Time without an answer after which the next replica is asked as well.
const NEXT_REPLICA_DELAY: TimeDelta = TimeDelta::from_millis(1_500);
/// Delay between a failed request to one replica and the request to the next.
const RETRY_DELAY: TimeDelta = TimeDelta::from_millis(100);
/// Maximum number of calls in flight to one replica: the first one, which may be answered late, and the latest one, as the connection of
/// the first may be silent.
const MAX_CALLS_PER_REPLICA: usize = 2;

/// An error of a request to the replicas.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ClientError {
    /// The event loop failed.
    #[error("poll: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::ask_poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// No replica has answered a read.
    #[error("no replica of {replicas} answered within {seconds} s")]
    #[diagnostic(
        code(chalkdeck::keeper::no_answer),
        help("see whether the addresses are those of the replicas, and their /healthz: without a majority nothing is agreed on")
    )]
    NoAnswer {
        /// The number of replicas that were tried.
        replicas: usize,
        /// The timeout in seconds.
        seconds: u64,
    },
    /// No replica has answered a command, so its outcome is unknown.
    #[error(
        "no replica of {replicas} answered within {seconds} s: whether the command was taken is not known"
    )]
    #[diagnostic(
        code(chalkdeck::keeper::outcome_unknown),
        help("say the same command again: what was taken before is not harmed by it; see the replicas' /healthz")
    )]
    OutcomeUnknown {
        /// The number of replicas that were tried.
        replicas: usize,
        /// The timeout in seconds.
        seconds: u64,
    },
    /// The replicas have rejected the command.
    #[error("refused: {reason}")]
    #[diagnostic(
        code(chalkdeck::keeper::refused),
        help("nothing was changed; the text says what was expected")
    )]
    Rejected {
        /// The reason that the replicas have given.
        reason: String,
    },
}

/// A connection that answered the last request.
#[derive(Clone, Copy)]
struct IdleConnection {
    replica_index: usize,
    connection: ConnId,
}

/// A request and what is known of it.
struct Question<'a> {
    path: &'static str,
    request: Vec<u8>,
    /// The indices of the replicas to ask, in order.
    replicas: &'a [usize],
    deadline: Timestamp,
}

/// A blocking client of the replicas.
pub struct CoordinatorClient {
    engine: Engine,
    replicas: Vec<SocketAddr>,
    /// Identifies this client to the replicas, which deduplicate commands by caller and number.
    caller: u64,
    last_command_number: CommandNumber,
    /// Index in the address list of the replica that answered last or is asked first.
    replica_index: usize,
    idle: Option<IdleConnection>,
    /// The calls in flight, the oldest first.
    calls: Vec<ReplicaCall>,
}

impl CoordinatorClient {
    /// Creates a client with a caller id of its own, which is not connected yet.
    ///
    /// # Errors
    /// The operating system has not provided a poll handle.
    pub fn new(replicas: Vec<SocketAddr>) -> Result<CoordinatorClient, ClientError> {
        let engine = Engine::new().map_err(ClientError::Poll)?;
        let caller = generate_incarnation(engine.now());
        let replica_index = fastrand::usize(..replicas.len().max(1));
        Ok(CoordinatorClient {
            engine,
            replicas,
            caller,
            last_command_number: CommandNumber(0),
            replica_index,
            idle: None,
            calls: Vec::new(),
        })
    }

    /// Submits a command, and returns once it is applied.
    ///
    /// # Errors
    /// The command was rejected, its outcome is unknown after `timeout`, or the event loop failed.
    pub fn submit(
        &mut self,
        kind: CommandKind,
        timeout: TimeDelta,
    ) -> Result<CommandResponse, ClientError> {
        self.last_command_number.0 += 1;
        let command = wire::Command {
            caller: self.caller,
            number: self.last_command_number.0,
            kind: Some(kind),
            ..wire::Command::default()
        };
        let is_final = |response: &CommandResponse| response.code() != ResponseCode::Elsewhere;
        let response = self.ask_in_turn(SUBMIT_PATH, &command, timeout, is_final)?;
        match response {
            Some(response) if response.code() == ResponseCode::Done => Ok(response),
            Some(CommandResponse { reason, .. }) => Err(ClientError::Rejected { reason }),
            None => Err(ClientError::OutcomeUnknown {
                replicas: self.replicas.len(),
                seconds: whole_seconds(timeout),
            }),
        }
    }

    /// Reads the state from any replica that is in a configuration. Without a quorum the state may be outdated.
    ///
    /// # Errors
    /// No replica answered within `timeout`, or the event loop failed.
    pub fn read(
        &mut self,
        request: &ReadRequest,
        timeout: TimeDelta,
    ) -> Result<ReadResponse, ClientError> {
        let is_final = |response: &ReadResponse| response.configuration > 0;
        let response = self.ask_in_turn(READ_PATH, request, timeout, is_final)?;
        response.ok_or(ClientError::NoAnswer {
            replicas: self.replicas.len(),
            seconds: whole_seconds(timeout),
        })
    }

    /// Reads the state from the replica at an index in the address list; `None` if it does not answer within `timeout`.
    ///
    /// # Errors
    /// The event loop failed.
    pub fn read_replica(
        &mut self,
        replica_index: usize,
        request: &ReadRequest,
        timeout: TimeDelta,
    ) -> Result<Option<ReadResponse>, ClientError> {
        let question = Question {
            path: READ_PATH,
            request: request.encode_to_vec(),
            replicas: &[replica_index],
            deadline: self.now() + timeout,
        };
        self.ask(&question, |_| true)
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.engine.now())
    }

    /// Asks all replicas in turn, beginning with the one that answered last.
    fn ask_in_turn<R: Message + Default>(
        &mut self,
        path: &'static str,
        request: &impl Message,
        timeout: TimeDelta,
        is_final: impl Fn(&R) -> bool,
    ) -> Result<Option<R>, ClientError> {
        let count = self.replicas.len();
        let first = self.replica_index;
        let replicas: Vec<usize> = (first..first + count).map(|index| index % count).collect();
        let question = Question {
            path,
            request: request.encode_to_vec(),
            replicas: &replicas,
            deadline: self.now() + timeout,
        };
        self.ask(&question, is_final)
    }

    /// Asks the replicas in turn until one gives a final answer; `None` if none does before the deadline.
    fn ask<R: Message + Default>(
        &mut self,
        question: &Question<'_>,
        is_final: impl Fn(&R) -> bool,
    ) -> Result<Option<R>, ClientError> {
        let mut targets = question.replicas.iter().copied().cycle();
        let mut next_call_at = self.now();
        let mut events = Vec::new();
        let mut answer = None;
        while answer.is_none() && self.now() < question.deadline {
            if self.now() >= next_call_at {
                let target = targets.next();
                let is_begun = target.is_some_and(|target| self.begin_call(target, question));
                let delay = if is_begun {
                    NEXT_REPLICA_DELAY
                } else {
                    RETRY_DELAY
                };
                next_call_at = self.now() + delay;
            }
            self.poll_until(next_call_at.min(question.deadline), &mut events)?;
            for event in events.drain(..) {
                match self.on_event(&event) {
                    CallState::Pending => continue,
                    CallState::Answered(body) if answer.is_none() => {
                        answer = R::decode(&body[..]).ok().filter(&is_final);
                    }
                    CallState::Answered(_) | CallState::Failed => {}
                }
                next_call_at = next_call_at.min(self.now() + RETRY_DELAY);
            }
        }
        for call in std::mem::take(&mut self.calls) {
            self.engine.close(call.connection);
        }
        if let Some(idle) = self.idle.filter(|_| answer.is_some()) {
            self.replica_index = idle.replica_index;
        }
        Ok(answer)
    }

    fn poll_until(&mut self, until: Timestamp, events: &mut Vec<Event>) -> Result<(), ClientError> {
        let remaining = until - self.now();
        self.engine
            .turn(remaining.as_micros(), events)
            .map_err(ClientError::Poll)
    }

    /// Begins a call to a replica, on the idle connection if that leads there.
    /// Returns whether that is possible.
    fn begin_call(&mut self, replica_index: usize, question: &Question<'_>) -> bool {
        self.make_room(replica_index);
        let address = self.replicas[replica_index];
        let idle = self.idle.take();
        let usable = idle.filter(|idle| idle.replica_index == replica_index);
        if let Some(other) = idle.filter(|idle| idle.replica_index != replica_index) {
            self.engine.close(other.connection);
        }
        let connection = match usable {
            Some(idle) => idle.connection,
            None => match self.engine.connect(address, connection_limits()) {
                Ok(connection) => connection,
                Err(_) => return false,
            },
        };
        let request = question.request.clone();
        let mut call = ReplicaCall::new(replica_index, connection, address, question.path, request);
        if usable.is_some() {
            call.send_request(&mut self.engine);
        }
        self.calls.push(call);
        true
    }

    /// Gives up the latest call to a replica if too many to it are in flight.
    fn make_room(&mut self, replica_index: usize) {
        let is_to_replica = |call: &&ReplicaCall| call.replica_index == replica_index;
        if self.calls.iter().filter(is_to_replica).count() < MAX_CALLS_PER_REPLICA {
            return;
        }
        let latest = self.calls.iter().rposition(|call| is_to_replica(&call));
        if let Some(index) = latest {
            let call = self.calls.remove(index);
            self.engine.close(call.connection);
        }
    }

    /// Passes an event to the calls. A call that ends is removed; the connection of an answered one is kept.
    fn on_event(&mut self, event: &Event) -> CallState {
        for index in 0..self.calls.len() {
            let state = self.calls[index].on_event(&mut self.engine, event);
            match state {
                CallState::Pending => continue,
                CallState::Failed => {
                    let call = self.calls.remove(index);
                    self.engine.close(call.connection);
                }
                CallState::Answered(_) => {
                    let call = self.calls.remove(index);
                    self.keep_connection(&call);
                }
            }
            return state;
        }
        if let Event::Closed { conn, .. } = event {
            self.idle = self.idle.filter(|idle| idle.connection != *conn);
        }
        CallState::Pending
    }

    fn keep_connection(&mut self, call: &ReplicaCall) {
        let idle = IdleConnection {
            replica_index: call.replica_index,
            connection: call.connection,
        };
        if let Some(previous) = self.idle.replace(idle) {
            self.engine.close(previous.connection);
        }
    }
}

fn whole_seconds(span: TimeDelta) -> u64 {
    span.as_millis() / 1_000
}
