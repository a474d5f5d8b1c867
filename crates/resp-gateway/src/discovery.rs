//! The watch on discovery: one HTTP/1.1 call after another, each within the time that a watch allows after the last answer.
//! A broken answer leaves the last good list in force and the whole list is asked for; a silent agent is dialled again.
//!
//! HTTP is `ureq-proto`'s, which does no I/O: it says what to write and takes what was read.

use crate::list::{self, List, ListError};
use bytes::{Buf, BytesMut};
use chalkdeck_net::{CloseReason, ConnId, Engine};
use http::{Request, StatusCode};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use ureq_proto::client::state::{RecvBody, RecvResponse, SendRequest};
use ureq_proto::client::{Call, RecvBodyResult, RecvResponseResult, SendRequestResult};
use ureq_proto::BodyMode;

/// The longest answer, and what is decoded of one at a time.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
const DECODE_BYTES: usize = 16 << 10;
/// The longest head of a call.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// Why an answer is not taken; the last good list stays.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DiscoveryError {
    /// Not HTTP/1.1.
    #[error("expected an HTTP answer: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::http),
        help("see what listens at the address that `discovery` names in the configuration")
    )]
    Http(#[from] ureq_proto::Error),
    /// The address makes no request.
    #[error("cannot ask: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::request),
        help("see the address that `discovery` names in the configuration")
    )]
    Request(#[from] http::Error),
    /// Another status than 200.
    #[error("expected status 200, found {}", .0.as_u16())]
    #[diagnostic(
        code(chalkdeck::discovery::status),
        help("the agent does not give the list: see its log; the gateway goes on by the last good one")
    )]
    Status(StatusCode),
    /// Longer than is read.
    #[error("expected an answer of at most {MAX_RESPONSE_BYTES} bytes")]
    #[diagnostic(
        code(chalkdeck::discovery::too_long),
        help("see why the list has grown so long")
    )]
    TooLong,
    /// No JSON.
    #[error("expected JSON: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::json),
        help(
            "the agent's answer is spoilt: see its log; the gateway asks for the whole list again"
        )
    )]
    Json(#[from] serde_json::Error),
    /// No list.
    #[error(transparent)]
    #[diagnostic(transparent)]
    List(#[from] ListError),
    /// Changes since a version that is not held are no updates to build on.
    #[error("changes to version {found}, which is not held")]
    #[diagnostic(
        code(chalkdeck::discovery::version),
        help("the agent was started anew or went back: the whole list is asked for; nothing is to be done unless it goes on")
    )]
    Version {
        /// The version that was told.
        found: u64,
    },
}

/// Bounds of the times below, in microseconds, whatever the grace.
const POLL_BOUNDS: (u64, u64) = (20_000, 2_000_000);
const ANSWER_BOUNDS: (u64, u64) = (20_000, 800_000);
const RETRY_BOUNDS: (u64, u64) = (5_000, 100_000);

/// The times of the watch, in microseconds. They follow from the grace in which a drain must take effect: a call waits a quarter of
/// it at the agent and times out a fifth of it later, so that a silent connection, or a call made while discovery was down, is
/// replaced within half of the grace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// How long the agent may hold a call.
    poll: u64,
    /// A call without a whole answer times out after this.
    timeout: u64,
    /// Delay between a failed call and the next.
    retry_delay: u64,
}

impl Timing {
    pub(crate) fn new(grace: u64) -> Timing {
        let poll = (grace / 4).clamp(POLL_BOUNDS.0, POLL_BOUNDS.1);
        let answer = (grace / 5).clamp(ANSWER_BOUNDS.0, ANSWER_BOUNDS.1);
        let retry_delay = (grace / 20).clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        Timing {
            poll,
            timeout: poll + answer,
            retry_delay,
        }
    }
}

/// What the caller has to do next.
#[derive(Debug)]
pub(crate) enum Update {
    /// Apply a list of endpoints.
    List(List),
    /// After this time, report to `call_timed_out` with this call number.
    CheckCall(u64, u64),
}

/// The part of a response that is being received.
enum Response {
    Head(Call<RecvResponse>),
    Body(Call<RecvBody>),
}

impl Response {
    /// The body has no stated length: the end of the connection delimits it.
    fn ends_with_connection(&self) -> bool {
        matches!(self, Response::Body(call) if matches!(call.body_mode(), BodyMode::CloseDelimited))
    }
}

/// The watch on discovery.
pub(crate) struct Discovery {
    address: SocketAddr,
    timing: Timing,
    conn: Option<ConnId>,
    bytes: BytesMut,
    response: Option<Response>,
    body: Vec<u8>,
    /// The version that is held; none: the whole list is asked for.
    held: Option<u64>,
    /// Counts calls, so that a time that comes due late is known.
    call: u64,
}

impl Discovery {
    pub(crate) fn new(address: SocketAddr, timing: Timing) -> Discovery {
        let (bytes, body) = Default::default();
        Discovery {
            address,
            timing,
            conn: None,
            bytes,
            response: None,
            body,
            held: None,
            call: 0,
        }
    }

    /// Begins, or begins anew.
    pub(crate) fn dial(&mut self, engine: &mut Engine) -> Update {
        self.close(engine);
        self.call += 1;
        match engine.connect_raw(self.address) {
            Ok(conn) => {
                self.conn = Some(conn);
                Update::CheckCall(self.timing.timeout, self.call)
            }
            Err(_) => Update::CheckCall(self.timing.retry_delay, self.call),
        }
    }

    fn close(&mut self, engine: &mut Engine) {
        self.conn
            .take()
            .into_iter()
            .for_each(|conn| engine.close(conn));
        self.bytes.clear();
        self.response = None;
    }

    /// Asks another address from here on, for the whole list first.
    pub(crate) fn set_address(
        &mut self,
        engine: &mut Engine,
        address: SocketAddr,
    ) -> Option<Update> {
        if address == self.address {
            return None;
        }
        (self.address, self.held) = (address, None);
        Some(self.dial(engine))
    }

    /// A time came due: the call of that number is still without an answer.
    pub(crate) fn call_timed_out(&mut self, engine: &mut Engine, call: u64) -> Option<Update> {
        (call == self.call).then(|| self.dial(engine))
    }

    /// A connection stands; none: it was not this one.
    pub(crate) fn connected(&mut self, engine: &mut Engine, conn: ConnId) -> Option<Vec<Update>> {
        if self.conn != Some(conn) {
            return None;
        }
        let asked = self.ask(engine, conn);
        Some(
            asked
                .err()
                .map(|why| self.failed(engine, &why))
                .into_iter()
                .collect(),
        )
    }

    fn ask(&mut self, engine: &mut Engine, conn: ConnId) -> Result<(), DiscoveryError> {
        let query = match self.held {
            Some(index) => format!("?since={index}&timeout_ms={}", self.timing.poll / 1_000),
            None => String::new(),
        };
        let uri = format!("http://{}/v1/endpoints{query}", self.address);
        let request = Request::get(uri).body(())?;
        let mut call: Call<SendRequest> = Call::new(request)?.proceed();
        let mut head = [0; MAX_REQUEST_BYTES];
        let length = call.write(&mut head)?;
        engine.write(conn, &head[..length]);
        self.body.clear();
        self.response = match call.proceed()? {
            Some(SendRequestResult::RecvResponse(call)) => Some(Response::Head(call)),
            // A GET has no body to be sent or waited for.
            _ => None,
        };
        Ok(())
    }

    /// A connection is over; none: it was not this one. An answer without a length is whole where the agent ended it in order,
    /// and never where its connection was reset.
    pub(crate) fn closed(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        reason: &CloseReason,
        zones: &mut HashMap<String, u32>,
    ) -> Option<Vec<Update>> {
        if self.conn != Some(conn) {
            return None;
        }
        self.conn = None;
        let delimited = self
            .response
            .take()
            .is_some_and(|response| response.ends_with_connection());
        if !delimited || *reason != CloseReason::PeerEnded {
            return Some(vec![self.retry_later()]);
        }
        let updates = self.take(engine, conn, true, zones);
        Some(updates.unwrap_or_else(|why| vec![self.failed(engine, &why)]))
    }

    fn retry_later(&mut self) -> Update {
        self.call += 1;
        Update::CheckCall(self.timing.retry_delay, self.call)
    }

    /// Bytes came; none: not on this connection.
    pub(crate) fn bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
        zones: &mut HashMap<String, u32>,
    ) -> Option<Vec<Update>> {
        if self.conn != Some(conn) {
            return None;
        }
        self.bytes.extend_from_slice(data);
        let updates = match self.answer() {
            Ok(None) => Ok(Vec::new()),
            Ok(Some(closes)) => self.take(engine, conn, closes, zones),
            Err(why) => Err(why),
        };
        Some(updates.unwrap_or_else(|why| vec![self.failed(engine, &why)]))
    }

    /// Moves the answer on by what came; once it is whole, whether its connection is of no further use.
    fn answer(&mut self) -> Result<Option<bool>, DiscoveryError> {
        loop {
            match self.response.take() {
                None => return Ok(None),
                Some(Response::Head(mut call)) => {
                    let (used, head) = call.try_response(&self.bytes, false)?;
                    self.bytes.advance(used);
                    let Some(head) = head else {
                        self.response = Some(Response::Head(call));
                        return self.within_bounds().map(|()| None);
                    };
                    if head.status() != StatusCode::OK {
                        return Err(DiscoveryError::Status(head.status()));
                    }
                    match call.proceed() {
                        Some(RecvResponseResult::RecvBody(call)) => {
                            self.response = Some(Response::Body(call))
                        }
                        Some(RecvResponseResult::Cleanup(call)) => {
                            return Ok(Some(call.must_close_connection()));
                        }
                        _ => return Err(DiscoveryError::Status(head.status())),
                    }
                }
                Some(Response::Body(call)) => return self.body(call),
            }
        }
    }

    fn body(&mut self, mut call: Call<RecvBody>) -> Result<Option<bool>, DiscoveryError> {
        let delimited = matches!(call.body_mode(), BodyMode::CloseDelimited);
        let mut piece = [0; DECODE_BYTES];
        loop {
            let (used, made) = call.read(&self.bytes, &mut piece)?;
            self.bytes.advance(used);
            self.body.extend_from_slice(&piece[..made]);
            self.within_bounds()?;
            if call.can_proceed() && !delimited {
                break;
            }
            if used == 0 && made == 0 {
                self.response = Some(Response::Body(call));
                return Ok(None);
            }
        }
        match call.proceed() {
            Some(RecvBodyResult::Cleanup(call)) => Ok(Some(call.must_close_connection())),
            _ => Ok(Some(true)),
        }
    }

    fn within_bounds(&self) -> Result<(), DiscoveryError> {
        let length = self.bytes.len() + self.body.len();
        if length > MAX_RESPONSE_BYTES {
            Err(DiscoveryError::TooLong)
        } else {
            Ok(())
        }
    }

    /// An answer is whole: takes its list over and asks on.
    fn take(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        closes: bool,
        zones: &mut HashMap<String, u32>,
    ) -> Result<Vec<Update>, DiscoveryError> {
        let list = list::read(&serde_json::from_slice::<Value>(&self.body)?, zones)?;
        if !list.snapshot && self.held.is_none_or(|held| list.index < held) {
            return Err(DiscoveryError::Version { found: list.index });
        }
        self.held = Some(list.index);
        let next = if closes {
            self.dial(engine)
        } else {
            self.call += 1;
            self.ask(engine, conn)?;
            Update::CheckCall(self.timing.timeout, self.call)
        };
        Ok(vec![Update::List(list), next])
    }

    fn failed(&mut self, engine: &mut Engine, why: &DiscoveryError) -> Update {
        tracing::warn!("discovery: {why}: the last good list stays");
        self.close(engine);
        self.held = None;
        self.retry_later()
    }
}

#[cfg(test)]
mod tests;
