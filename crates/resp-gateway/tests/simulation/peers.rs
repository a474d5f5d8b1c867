//! Simulated peers of a gateway on non-blocking sockets. Each acts only when the test calls it.

use super::Class;
use bytes::BytesMut;
use chalkdeck_resp::{
    encode_command, take_command, take_reply, Frame, MessageLimits, ParsedCommand, ParsedReply,
};
use fastrand::Rng;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

const LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_element_bytes: 1 << 20,
    max_line_bytes: 1_024,
    max_message_bytes: 2 << 20,
    accepts_inline: false,
};

fn listen() -> TcpListener {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let (stream, _) = listener.accept().ok()?;
    stream.set_nonblocking(true).expect("a socket");
    stream.set_nodelay(true).expect("a socket");
    Some(stream)
}

/// Reads all received bytes; returns whether the connection is still open.
fn read(stream: &mut TcpStream, bytes: &mut BytesMut) -> bool {
    let mut chunk = [0; 4_096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return false,
            Ok(length) => bytes.extend_from_slice(&chunk[..length]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

/// Makes the close of the connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}

/// A client.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    received: BytesMut,
    /// The ids of the requests that have no reply yet, in the order in which they were sent.
    pending: VecDeque<String>,
    /// The id and the unwritten rest of a command that was written in part.
    unwritten: Option<(String, BytesMut)>,
    is_closed: bool,
    protocol_error: Option<String>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        Client {
            stream,
            received: BytesMut::new(),
            pending: VecDeque::new(),
            unwritten: None,
            is_closed: false,
            protocol_error: None,
        }
    }

    /// Writes the command of a request, or only its first half; returns whether it was written completely.
    pub fn send_request(&mut self, id: &str, class: Class, is_partial: bool) -> bool {
        if self.unwritten.is_some() {
            self.finish_command();
        }
        let (verb, fields, body): (&[u8], &[u8], &[u8]) = match class {
            Class::View => (
                b"API.READ",
                b"c=view,t=team,d=2000,units=1,spread=3,first=1",
                b"",
            ),
            Class::Sale => (
                b"API.WRITE",
                b"c=sale,t=team,d=2000,units=1,spread=3,first=1",
                b"body",
            ),
            Class::Order => (
                b"API.WRITE",
                b"c=order,t=team,d=2000,k=7,units=1,spread=3,first=1",
                b"body",
            ),
        };
        let words = [verb, b"00000000b4d65521", id.as_bytes(), fields, body].map(|word| [word]);
        let words: Vec<&[&[u8]]> = words.iter().map(|word| &word[..]).collect();
        let word_count = if class == Class::View { 4 } else { 5 };
        let mut command = BytesMut::new();
        encode_command(&mut command, &words[..word_count]);
        self.pending.push_back(id.to_string());
        if is_partial {
            let unwritten = command.split_off(command.len() / 2);
            let _ = self.stream.write_all(&command);
            self.unwritten = Some((id.to_string(), unwritten));
            return false;
        }
        let _ = self.stream.write_all(&command);
        true
    }

    /// Writes the rest of a command that was written in part; returns the id of its request.
    pub fn finish_command(&mut self) -> Option<String> {
        let (id, unwritten) = self.unwritten.take()?;
        let _ = self.stream.write_all(&unwritten);
        Some(id)
    }

    /// Ends the connection by a reset, a half-close followed by a close, or a close.
    pub fn disconnect(self, rng: &mut Rng) {
        match rng.u8(..3) {
            0 => reset_on_close(&self.stream),
            1 => drop(self.stream.shutdown(Shutdown::Write)),
            _ => {}
        }
    }

    /// Takes the replies that were received, each with the id of its request.
    pub fn take_replies(&mut self) -> Vec<(String, String)> {
        let is_open = read(&mut self.stream, &mut self.received);
        let mut replies = Vec::new();
        while self.protocol_error.is_none() {
            let reply = match take_reply(&mut self.received, &LIMITS) {
                ParsedReply::Incomplete => break,
                ParsedReply::Complete(Frame::BulkString(value)) => {
                    format!("served {}", String::from_utf8_lossy(&value))
                }
                ParsedReply::Complete(Frame::Error(line)) => line.to_string(),
                other => {
                    self.protocol_error = Some(format!("a client received {other:?}"));
                    break;
                }
            };
            match self.pending.pop_front() {
                Some(id) => replies.push((id, reply)),
                None => self.protocol_error = Some(format!("no command is pending for {reply}")),
            }
        }
        self.is_closed |= !is_open;
        replies
    }

    pub fn take_protocol_error(&mut self) -> Option<String> {
        self.protocol_error.take()
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// The ids of the requests that were written completely and have no reply.
    pub fn unanswered(&self) -> impl Iterator<Item = &String> {
        let partial_id = self.unwritten.as_ref().map(|(id, _)| id);
        self.pending
            .iter()
            .filter(move |id| Some(*id) != partial_id)
    }
}

/// An attempt that arrived completely at an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of its request.
    pub id: String,
    /// The index of the endpoint.
    pub endpoint: usize,
    connection_key: u64,
}

struct Connection {
    key: u64,
    stream: TcpStream,
    bytes: BytesMut,
}

/// An endpoint.
pub struct Endpoint {
    index: usize,
    listener: TcpListener,
    connections: Vec<Connection>,
    last_key: u64,
    pub draining_since: Option<u64>,
}

impl Endpoint {
    pub fn new(index: usize) -> Endpoint {
        Endpoint {
            index,
            listener: listen(),
            connections: Vec::new(),
            last_key: 0,
            draining_since: None,
        }
    }

    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// The entry of the endpoint in the list of the discovery agent.
    fn list_entry(&self) -> String {
        let status = if self.is_draining() {
            "draining"
        } else {
            "ready"
        };
        let address = self.listener.local_addr().expect("its address");
        format!(
            r#"{{"name":"s-{}","address":"{address}","zone":"a","group":0,"status":"{status}"}}"#,
            self.index
        )
    }

    /// Takes the attempts that have arrived.
    pub fn take_arrivals(&mut self) -> Vec<Attempt> {
        while let Some(stream) = accept(&self.listener) {
            self.last_key += 1;
            self.connections.push(Connection {
                key: self.last_key,
                stream,
                bytes: BytesMut::new(),
            });
        }
        let mut attempts = Vec::new();
        for connection in &mut self.connections {
            read(&mut connection.stream, &mut connection.bytes);
            while let ParsedCommand::Complete(words) = take_command(&mut connection.bytes, &LIMITS)
            {
                let id = String::from_utf8_lossy(&words[2]).into_owned();
                attempts.push(Attempt {
                    id,
                    endpoint: self.index,
                    connection_key: connection.key,
                });
            }
        }
        attempts
    }

    fn take_connection(&mut self, attempt: &Attempt) -> Option<Connection> {
        let index = self
            .connections
            .iter()
            .position(|c| c.key == attempt.connection_key)?;
        Some(self.connections.swap_remove(index))
    }

    fn write(&mut self, attempt: &Attempt, bytes: &[u8]) {
        let connection = self
            .connections
            .iter_mut()
            .find(|c| c.key == attempt.connection_key);
        connection
            .into_iter()
            .for_each(|c| drop(c.stream.write_all(bytes)));
    }

    /// The reply that serves a request; its value is the id of the request.
    fn served_reply(id: &str) -> Vec<u8> {
        format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len()).into_bytes()
    }

    pub fn reply_served(&mut self, attempt: &Attempt) {
        self.write(attempt, &Endpoint::served_reply(&attempt.id));
    }

    /// Sends a random reply, valid or not, or closes the connection; returns whether the attempt was rejected, so that it never ran.
    pub fn reply_randomly(&mut self, attempt: &Attempt, rng: &mut Rng) -> bool {
        let reply = Endpoint::served_reply(&attempt.id);
        match rng.u8(..10) {
            0..4 => self.write(attempt, &reply),
            4 => {
                self.write(attempt, b"-BUSY\r\n");
                return true;
            }
            5 => self.write(attempt, b"-ERR failed\r\n"),
            6 => self.write(attempt, b"$9\r\nnoise\r\n\x00"),
            // A duplicate reply directly after the first.
            7 => self.write(attempt, &reply.repeat(2)),
            // Half of a reply, then a reset.
            8 => {
                self.write(attempt, &reply[..reply.len() / 2]);
                self.take_connection(attempt)
                    .into_iter()
                    .for_each(|c| reset_on_close(&c.stream));
            }
            _ => drop(self.take_connection(attempt)),
        }
        false
    }
}

/// A counter that replies to each call with the same total, since only the presence of replies matters here.
pub struct Counter {
    listener: TcpListener,
    /// Each connection with its received bytes and its number of calls without a reply.
    connections: Vec<(TcpStream, BytesMut, usize)>,
}

impl Counter {
    pub fn new() -> Counter {
        Counter {
            listener: listen(),
            connections: Vec::new(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("its address")
    }

    pub fn read(&mut self) {
        while let Some(stream) = accept(&self.listener) {
            self.connections.push((stream, BytesMut::new(), 0));
        }
        self.connections.retain_mut(|(stream, bytes, pending)| {
            let is_open = read(stream, bytes);
            while let ParsedCommand::Complete(_) = take_command(bytes, &LIMITS) {
                *pending += 1;
            }
            is_open
        });
    }

    pub fn reply_to_all(&mut self) {
        for (stream, _, pending) in &mut self.connections {
            (0..std::mem::take(pending)).for_each(|_| drop(stream.write_all(b"$1\r\n1\r\n")));
        }
    }

    /// Replies to all calls, sends an invalid or an incomplete reply on a random connection, or resets that connection.
    pub fn act_randomly(&mut self, rng: &mut Rng) {
        let Some(index) =
            (!self.connections.is_empty()).then(|| rng.usize(..self.connections.len()))
        else {
            return;
        };
        match rng.u8(..8) {
            0..5 => self.reply_to_all(),
            5 => drop(self.connections[index].0.write_all(b"$5\r\nnoise\r\n")),
            6 => drop(self.connections[index].0.write_all(b"$4\r\n1")),
            _ => {
                let (stream, ..) = self.connections.swap_remove(index);
                reset_on_close(&stream);
            }
        }
    }
}

/// How the discovery agent responds to a request.
#[derive(Clone, Copy)]
enum ResponseMode {
    /// A complete response with a stated length.
    WithLength,
    /// A complete response that ends with the connection.
    CloseDelimited,
    /// Half of a response, then a reset.
    Truncated,
    /// No response.
    Silent,
}

/// The discovery agent, which holds a long poll until the list has changed.
pub struct Discovery {
    listener: TcpListener,
    connections: Vec<(TcpStream, BytesMut)>,
    version: u64,
    mode: ResponseMode,
    /// The turn by which the gateway had first requested the successor of the current list, so that it had applied the current one.
    list_applied_by: Option<u64>,
}

impl Discovery {
    pub fn new() -> Discovery {
        let mode = ResponseMode::WithLength;
        Discovery {
            listener: listen(),
            connections: Vec::new(),
            version: 1,
            mode,
            list_applied_by: None,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("its address")
    }

    /// Publishes a new version of the list, with a random mode for the first response.
    pub fn publish_change(&mut self, rng: &mut Rng) {
        self.version += 1;
        self.list_applied_by = None;
        self.mode = rng
            .choice([
                ResponseMode::WithLength,
                ResponseMode::CloseDelimited,
                ResponseMode::Truncated,
                ResponseMode::Silent,
            ])
            .expect("one of four");
    }

    /// The turn of the gateway's event loop by which it had certainly applied the current list.
    pub fn list_applied_by(&self) -> Option<u64> {
        self.list_applied_by
    }

    /// Responds to requests for a list that the caller does not hold yet; `turn` is the number of turns that the gateway has run.
    pub fn serve(&mut self, endpoints: &[Endpoint], turn: u64) {
        while let Some(stream) = accept(&self.listener) {
            self.connections.push((stream, BytesMut::new()));
        }
        let entries: Vec<String> = endpoints.iter().map(Endpoint::list_entry).collect();
        let body = format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#,
            self.version,
            entries.join(",")
        );
        let (mut open, current) = (Vec::new(), format!("since={}&", self.version));
        for (mut stream, mut bytes) in std::mem::take(&mut self.connections) {
            if !read(&mut stream, &mut bytes) {
                continue;
            }
            let has_request = bytes.ends_with(b"\r\n\r\n");
            let holds_current = bytes
                .windows(current.len())
                .any(|part| part == current.as_bytes());
            if holds_current {
                self.list_applied_by.get_or_insert(turn);
            }
            if has_request && !holds_current {
                bytes.clear();
                if !self.respond(&mut stream, &body) {
                    continue;
                }
            }
            open.push((stream, bytes));
        }
        self.connections = open;
    }

    /// Responds in the current mode and resets the mode to `WithLength`. Returns whether the connection stays open.
    fn respond(&mut self, stream: &mut TcpStream, body: &str) -> bool {
        let with_length = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let without_length = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        match std::mem::replace(&mut self.mode, ResponseMode::WithLength) {
            ResponseMode::WithLength => stream.write_all(with_length.as_bytes()).is_ok(),
            ResponseMode::CloseDelimited => {
                let _ = stream.write_all(without_length.as_bytes());
                false
            }
            ResponseMode::Truncated => {
                let _ = stream.write_all(&with_length.as_bytes()[..with_length.len() / 2]);
                reset_on_close(stream);
                false
            }
            ResponseMode::Silent => true,
        }
    }
}
