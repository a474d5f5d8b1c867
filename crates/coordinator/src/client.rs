//! A blocking client of the replicas, for operators and tools. It tries one replica after another until one answers. A command is
//! resent under the same number, so that it is applied only once.

use crate::ids::CommandNumber;
use crate::protocol::{
    wire, CommandKind, CommandResponse, ReadRequest, ReadResponse, ResponseCode,
};
use crate::server::{connection_limits, MAX_STATE_MESSAGE_BYTES, READ_PATH, SUBMIT_PATH};
use chalkdeck_net::clock::generate_incarnation;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::unary::UnaryMessage;
use chalkdeck_net::{ConnId, Engine, Event, StreamId};
use chalkdeck_time::{TimeDelta, Timestamp};
use prost::Message;
use std::io;
use std::net::SocketAddr;

/// Timeout of a request to one replica, after which the next one is tried.
const REPLICA_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_500);
/// Delay between a failed request to one replica and the request to the next.
const RETRY_DELAY: TimeDelta = TimeDelta::from_millis(100);

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

/// A blocking client of the replicas.
pub struct CoordinatorClient {
    engine: Engine,
    replicas: Vec<SocketAddr>,
    /// Identifies this client to the replicas, which deduplicate commands by caller and number.
    caller: u64,
    last_command_number: CommandNumber,
    /// Index in the address list of the replica that answered last or is tried next.
    replica_index: usize,
    connection: Option<ConnId>,
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
            connection: None,
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
        let deadline = self.now() + timeout;
        while self.now() < deadline {
            let response = self.call::<CommandResponse>(SUBMIT_PATH, &command, deadline)?;
            let Some(response) = response else {
                self.switch_replica(deadline)?;
                continue;
            };
            match response.code() {
                ResponseCode::Done => return Ok(response),
                ResponseCode::Elsewhere => self.switch_replica(deadline)?,
                _ => {
                    let reason = response.reason;
                    return Err(ClientError::Rejected { reason });
                }
            }
        }
        Err(ClientError::OutcomeUnknown {
            replicas: self.replicas.len(),
            seconds: whole_seconds(timeout),
        })
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
        let deadline = self.now() + timeout;
        while self.now() < deadline {
            match self.call::<ReadResponse>(READ_PATH, request, deadline)? {
                Some(response) if response.configuration > 0 => return Ok(response),
                _ => self.switch_replica(deadline)?,
            }
        }
        Err(ClientError::NoAnswer {
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
        self.disconnect();
        self.replica_index = replica_index;
        let deadline = self.now() + timeout;
        self.call(READ_PATH, request, deadline)
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.engine.now())
    }

    fn disconnect(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.engine.close(connection);
        }
    }

    /// Disconnects, selects the next replica and waits for the retry delay.
    fn switch_replica(&mut self, deadline: Timestamp) -> Result<(), ClientError> {
        self.disconnect();
        self.replica_index = (self.replica_index + 1) % self.replicas.len();
        let resume_at = (self.now() + RETRY_DELAY).min(deadline);
        let mut events = Vec::new();
        while self.now() < resume_at {
            self.poll_until(resume_at, &mut events)?;
            events.clear();
        }
        Ok(())
    }

    fn poll_until(&mut self, until: Timestamp, events: &mut Vec<Event>) -> Result<(), ClientError> {
        let remaining = until - self.now();
        self.engine
            .turn(remaining.as_micros(), events)
            .map_err(ClientError::Poll)
    }

    /// Makes a unary call to the selected replica; `None` if it has failed or timed out.
    fn call<R: Message + Default>(
        &mut self,
        path: &str,
        request: &impl Message,
        deadline: Timestamp,
    ) -> Result<Option<R>, ClientError> {
        let deadline = deadline.min(self.now() + REPLICA_TIMEOUT);
        let address = self.replicas[self.replica_index];
        let is_connected = self.connection.is_some();
        if !is_connected {
            self.connection = self.engine.connect(address, connection_limits()).ok();
        }
        let Some(connection) = self.connection else {
            return Ok(None);
        };
        let mut call = UnaryCall {
            connection,
            address,
            path,
            request: request.encode_to_vec(),
            stream: None,
            response: UnaryMessage::default(),
        };
        if is_connected {
            call.send_request(&mut self.engine);
        }
        let mut events = Vec::new();
        while self.now() < deadline {
            self.poll_until(deadline, &mut events)?;
            for event in events.drain(..) {
                match call.on_event(&mut self.engine, event) {
                    CallState::Pending => {}
                    CallState::ConnectionLost => {
                        self.connection = None;
                        return Ok(None);
                    }
                    CallState::Failed => return Ok(None),
                    CallState::Answered(body) => return Ok(R::decode(&body[..]).ok()),
                }
            }
        }
        Ok(None)
    }
}

fn whole_seconds(span: TimeDelta) -> u64 {
    span.as_millis() / 1_000
}

/// A unary call on a connection.
struct UnaryCall<'a> {
    connection: ConnId,
    address: SocketAddr,
    path: &'a str,
    request: Vec<u8>,
    stream: Option<StreamId>,
    response: UnaryMessage,
}

/// The state of a unary call.
enum CallState {
    Pending,
    Answered(Vec<u8>),
    Failed,
    ConnectionLost,
}

impl UnaryCall<'_> {
    fn send_request(&mut self, engine: &mut Engine) {
        let head = grpc::request_head(&self.address.to_string(), self.path);
        self.stream = head.and_then(|head| engine.open_stream(self.connection, head, false));
        if let Some(stream) = self.stream {
            engine.send(stream, grpc::frame(&self.request));
            engine.finish(stream, None);
        }
    }

    fn is_own_stream(&self, stream: StreamId) -> bool {
        self.stream == Some(stream)
    }

    fn on_event(&mut self, engine: &mut Engine, event: Event) -> CallState {
        match event {
            Event::Connected { conn } if conn == self.connection => {
                self.send_request(engine);
                CallState::Pending
            }
            Event::Closed { conn, .. } if conn == self.connection => CallState::ConnectionLost,
            Event::Data { stream, data } if self.is_own_stream(stream) => {
                engine.consume(stream, data.len());
                match self.response.push(&data, MAX_STATE_MESSAGE_BYTES) {
                    Ok(()) => CallState::Pending,
                    Err(_) => CallState::Failed,
                }
            }
            Event::StreamEnded { stream, trailers } if self.is_own_stream(stream) => {
                let status = trailers.as_ref().and_then(Code::from_trailers);
                match self.response.message() {
                    Some(body) if status == Some(Code::Ok) => CallState::Answered(body.to_vec()),
                    _ => CallState::Failed,
                }
            }
            Event::StreamFailed { stream, .. }
            | Event::ResponseHead {
                stream,
                is_end_stream: true,
                ..
            } if self.is_own_stream(stream) => CallState::Failed,
            _ => CallState::Pending,
        }
    }
}
