//! The watch on discovery: one HTTP/1.1 call after another, each within the time that a watch allows after the last answer.
//! A broken answer leaves the last good list in force and the whole list is asked for; a silent agent is dialled again.

use crate::list::{self, List};
use bytes::{Buf, BytesMut};
use chalkdeck_net::{ConnId, Engine};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a call may wait at the agent, in milliseconds. Short, so that a silent agent is soon noticed and nothing counts as
/// told long before it was heard.
const WAIT_MS: u64 = 2_000;
/// A call without a whole answer is given up then, in microseconds.
const SILENT: u64 = 2_800_000;
/// Between a failed call and the next, in microseconds.
const PAUSE: u64 = 100_000;
/// The longest answer, and the most headers of one.
const MOST_BYTES: usize = 8 << 20;
const MOST_HEADERS: usize = 64;

/// What is to be done.
#[derive(Debug)]
pub(crate) enum News {
    /// A list to take over.
    List(List),
    /// Look again after this time: `due` with that number.
    Look(u64, u64),
}

/// The watch.
pub(crate) struct Discovery {
    address: SocketAddr,
    conn: Option<ConnId>,
    bytes: BytesMut,
    /// The version that is held; none: the whole list is asked for.
    held: Option<u64>,
    /// Counts calls, so that a time that comes due late is known.
    call: u64,
}

impl Discovery {
    pub(crate) fn new(address: SocketAddr) -> Discovery {
        Discovery { address, conn: None, bytes: BytesMut::new(), held: None, call: 0 }
    }

    /// Begins, or begins anew.
    pub(crate) fn dial(&mut self, engine: &mut Engine) -> News {
        if let Some(conn) = self.conn.take() {
            engine.close(conn);
        }
        self.bytes.clear();
        self.call += 1;
        match engine.connect_raw(self.address) {
            Ok(conn) => {
                self.conn = Some(conn);
                News::Look(SILENT, self.call)
            }
            Err(_) => News::Look(PAUSE, self.call),
        }
    }

    /// Asks another address from here on, for the whole list first.
    pub(crate) fn moved(&mut self, engine: &mut Engine, address: SocketAddr) -> Option<News> {
        if address == self.address {
            return None;
        }
        (self.address, self.held) = (address, None);
        Some(self.dial(engine))
    }

    /// A time came due: the call of that number is still without an answer.
    pub(crate) fn due(&mut self, engine: &mut Engine, call: u64) -> Option<News> {
        (call == self.call).then(|| self.dial(engine))
    }

    /// A connection stands: whether it is this one.
    pub(crate) fn connected(&mut self, engine: &mut Engine, conn: ConnId) -> bool {
        let own = self.conn == Some(conn);
        if own {
            self.ask(engine, conn);
        }
        own
    }

    fn ask(&self, engine: &mut Engine, conn: ConnId) {
        let query = match self.held {
            Some(index) => format!("?since={index}&timeout_ms={WAIT_MS}"),
            None => String::new(),
        };
        let head = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        engine.write(conn, head.as_bytes());
    }

    /// A connection is over; none: it was not this one.
    pub(crate) fn closed(&mut self, conn: ConnId) -> Option<News> {
        if self.conn != Some(conn) {
            return None;
        }
        self.conn = None;
        Some(self.again())
    }

    fn again(&mut self) -> News {
        self.call += 1;
        News::Look(PAUSE, self.call)
    }

    /// Bytes came; none: not on this connection.
    pub(crate) fn bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
        zones: &mut HashMap<String, u32>,
    ) -> Option<Vec<News>> {
        if self.conn != Some(conn) {
            return None;
        }
        self.bytes.extend_from_slice(data);
        let answer = match http(&self.bytes) {
            Ok(None) => return Some(Vec::new()),
            Ok(Some(answer)) => answer,
            Err(why) => return Some(vec![self.broken(engine, &why)]),
        };
        let list = serde_json::from_slice::<Value>(&answer.body)
            .map_err(|e| e.to_string())
            .and_then(|value| list::read(&value, zones));
        self.bytes.advance(answer.length);
        let list = match list {
            Ok(list) => list,
            Err(why) => return Some(vec![self.broken(engine, &why)]),
        };
        // Changes since a version that is not held are no news to build on.
        if !list.snapshot && self.held.is_none_or(|held| list.index < held) {
            return Some(vec![self.broken(engine, "changes to a version that is not held")]);
        }
        self.held = Some(list.index);
        let next = if answer.close {
            self.dial(engine)
        } else {
            self.call += 1;
            self.ask(engine, conn);
            News::Look(SILENT, self.call)
        };
        Some(vec![News::List(list), next])
    }

    fn broken(&mut self, engine: &mut Engine, why: &str) -> News {
        tracing::warn!("discovery: {why}: the last good list stays");
        if let Some(conn) = self.conn.take() {
            engine.close(conn);
        }
        self.bytes.clear();
        self.held = None;
        self.again()
    }
}

/// A whole answer, and how far it reaches.
#[derive(Debug, PartialEq)]
struct Answer {
    body: Vec<u8>,
    length: usize,
    close: bool,
}

/// Reads an HTTP/1.1 answer with a stated length or in chunks.
fn http(bytes: &[u8]) -> Result<Option<Answer>, String> {
    if bytes.len() > MOST_BYTES {
        return Err("too long an answer".into());
    }
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes).map_err(|e| format!("expected an HTTP answer: {e}"))? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err(format!("expected status 200, found {}", head.code.unwrap_or(0)));
    }
    let find = |name: &str| {
        let header = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        header.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let close = find("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if find("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return Ok(chunks(bytes, start)?.map(|(body, length)| Answer { body, length, close }));
    }
    let length = find("content-length").and_then(|v| v.parse::<usize>().ok());
    let Some(length) = length.filter(|n| *n <= MOST_BYTES) else {
        return Err("expected a content-length".into());
    };
    let end = start + length;
    Ok(bytes.get(start..end).map(|body| Answer { body: body.to_vec(), length: end, close }))
}

/// The body out of its chunks, and where the last one ends.
fn chunks(bytes: &[u8], mut at: usize) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut body = Vec::new();
    loop {
        let (head, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("expected a chunk".into()),
        };
        let size = usize::try_from(size).ok().filter(|s| *s <= MOST_BYTES).ok_or("too long a chunk")?;
        let (start, end) = (at + head, at + head + size);
        let Some(tail) = bytes.get(end..end + 2) else { return Ok(None) };
        if tail != b"\r\n" {
            return Err("expected the end of a chunk".into());
        }
        body.extend_from_slice(&bytes[start..end]);
        at = end + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
