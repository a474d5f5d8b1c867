//! Peers of a gateway on plain sockets: each acts only when the test makes it act.

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

/// Reads what was received; returns whether the connection is still open.
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

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}

/// A client and its commands that have no answer yet.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    received: BytesMut,
    pending: VecDeque<String>,
    /// The rest of a command that was written in part, with its id.
    unwritten: Option<(String, BytesMut)>,
    closed: bool,
    unreadable: Option<String>,
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
            closed: false,
            unreadable: None,
        }
    }

    /// Writes a request, or the first part of one; whether it went out whole.
    pub fn ask(&mut self, id: &str, class: Class, in_part: bool) -> bool {
        if self.unwritten.is_some() {
            self.finish();
        }
        let (verb, list, body): (&[u8], &[u8], &[u8]) = match class {
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
        let words = [verb, b"00000000b4d65521", id.as_bytes(), list, body].map(|word| [word]);
        let words: Vec<&[&[u8]]> = words.iter().map(|word| &word[..]).collect();
        let count = if class == Class::View { 4 } else { 5 };
        let mut command = BytesMut::new();
        encode_command(&mut command, &words[..count]);
        self.pending.push_back(id.to_string());
        if in_part {
            let unwritten = command.split_off(command.len() / 2);
            let _ = self.stream.write_all(&command);
            self.unwritten = Some((id.to_string(), unwritten));
            return false;
        }
        let _ = self.stream.write_all(&command);
        true
    }

    /// Writes the rest of a command that was written in part; returns its id.
    pub fn finish(&mut self) -> Option<String> {
        let (id, unwritten) = self.unwritten.take()?;
        let _ = self.stream.write_all(&unwritten);
        Some(id)
    }

    pub fn disconnect(self, rng: &mut Rng) {
        match rng.u8(..3) {
            0 => reset(&self.stream),
            1 => drop(self.stream.shutdown(Shutdown::Write)),
            _ => {}
        }
    }

    /// The answers that came, by their requests.
    pub fn answers(&mut self) -> Vec<(String, String)> {
        let open = read(&mut self.stream, &mut self.received);
        let mut answers = Vec::new();
        while self.unreadable.is_none() {
            let answer = match take_reply(&mut self.received, &LIMITS) {
                ParsedReply::Incomplete => break,
                ParsedReply::Complete(Frame::BulkString(value)) => {
                    format!("served {}", String::from_utf8_lossy(&value))
                }
                ParsedReply::Complete(Frame::Error(line)) => line.to_string(),
                other => {
                    self.unreadable = Some(format!("a client cannot read {other:?}"));
                    break;
                }
            };
            match self.pending.pop_front() {
                Some(id) => answers.push((id, answer)),
                None => self.unreadable = Some(format!("no command waits for {answer}")),
            }
        }
        self.closed |= !open;
        answers
    }

    pub fn unreadable(&mut self) -> Option<String> {
        self.unreadable.take()
    }

    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Commands that went out whole and have no answer.
    pub fn unanswered(&self) -> impl Iterator<Item = &String> {
        let partial = self.unwritten.as_ref().map(|(id, _)| id);
        self.pending.iter().filter(move |id| Some(*id) != partial)
    }
}

/// An attempt that arrived complete at an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub endpoint: usize,
    connection: u64,
}

struct Connection {
    key: u64,
    stream: TcpStream,
    bytes: BytesMut,
}

/// An endpoint.
pub struct Endpoint {
    place: usize,
    listener: TcpListener,
    connections: Vec<Connection>,
    next: u64,
    pub draining_since: Option<u64>,
}

impl Endpoint {
    pub fn new(place: usize) -> Endpoint {
        Endpoint {
            place,
            listener: listen(),
            connections: Vec::new(),
            next: 0,
            draining_since: None,
        }
    }

    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    fn entry(&self) -> String {
        let status = if self.is_draining() {
            "draining"
        } else {
            "ready"
        };
        let address = self.listener.local_addr().expect("its address");
        format!(
            r#"{{"name":"s-{}","address":"{address}","zone":"a","group":0,"status":"{status}"}}"#,
            self.place
        )
    }

    pub fn arrivals(&mut self) -> Vec<Attempt> {
        while let Some(stream) = accept(&self.listener) {
            self.next += 1;
            self.connections.push(Connection {
                key: self.next,
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
                    endpoint: self.place,
                    connection: connection.key,
                });
            }
        }
        attempts
    }

    fn take_connection(&mut self, attempt: &Attempt) -> Option<Connection> {
        let place = self
            .connections
            .iter()
            .position(|c| c.key == attempt.connection)?;
        Some(self.connections.swap_remove(place))
    }

    fn write(&mut self, attempt: &Attempt, bytes: &[u8]) {
        let connection = self
            .connections
            .iter_mut()
            .find(|c| c.key == attempt.connection);
        connection
            .into_iter()
            .for_each(|c| drop(c.stream.write_all(bytes)));
    }

    fn reply(id: &str) -> Vec<u8> {
        format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len()).into_bytes()
    }

    pub fn serve(&mut self, attempt: &Attempt) {
        self.write(attempt, &Endpoint::reply(&attempt.id));
    }

    /// Answers in any way; whether it says that the attempt never ran.
    pub fn answer(&mut self, attempt: &Attempt, rng: &mut Rng) -> bool {
        let whole = Endpoint::reply(&attempt.id);
        match rng.u8(..10) {
            0..4 => self.write(attempt, &whole),
            4 => {
                self.write(attempt, b"-BUSY\r\n");
                return true;
            }
            5 => self.write(attempt, b"-ERR failed\r\n"),
            6 => self.write(attempt, b"$9\r\nnoise\r\n\x00"),
            // A second answer right behind the first.
            7 => self.write(attempt, &whole.repeat(2)),
            // Half an answer, then a reset.
            8 => {
                self.write(attempt, &whole[..whole.len() / 2]);
                self.take_connection(attempt)
                    .into_iter()
                    .for_each(|c| reset(&c.stream));
            }
            _ => drop(self.take_connection(attempt)),
        }
        false
    }
}

/// The counter: totals do not matter here, only whether calls are answered.
pub struct Counter {
    listener: TcpListener,
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
        self.connections.retain_mut(|(stream, bytes, calls)| {
            let open = read(stream, bytes);
            while let ParsedCommand::Complete(_) = take_command(bytes, &LIMITS) {
                *calls += 1;
            }
            open
        });
    }

    pub fn answer_all(&mut self) {
        for (stream, _, calls) in &mut self.connections {
            (0..std::mem::take(calls)).for_each(|_| drop(stream.write_all(b"$1\r\n1\r\n")));
        }
    }

    pub fn act(&mut self, rng: &mut Rng) {
        let Some(place) =
            (!self.connections.is_empty()).then(|| rng.usize(..self.connections.len()))
        else {
            return;
        };
        match rng.u8(..8) {
            0..5 => self.answer_all(),
            5 => drop(self.connections[place].0.write_all(b"$5\r\nnoise\r\n")),
            6 => drop(self.connections[place].0.write_all(b"$4\r\n1")),
            _ => {
                let (stream, ..) = self.connections.swap_remove(place);
                reset(&stream);
            }
        }
    }
}

/// How discovery writes a response.
#[derive(Clone, Copy)]
enum ResponseForm {
    Length,
    EndsWithConnection,
    BrokenOff,
    Silent,
}

/// The discovery agent, which answers a poll once the list has changed.
pub struct Discovery {
    listener: TcpListener,
    connections: Vec<(TcpStream, BytesMut)>,
    index: u64,
    form: ResponseForm,
    /// The turn of the gateway's loop after which it first asked for what follows the present list, so that it has applied that list.
    acknowledged_in: Option<u64>,
}

impl Discovery {
    pub fn new() -> Discovery {
        let form = ResponseForm::Length;
        Discovery {
            listener: listen(),
            connections: Vec::new(),
            index: 1,
            form,
            acknowledged_in: None,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("its address")
    }

    /// The list is another one from here on; its first response may have any form.
    pub fn change(&mut self, rng: &mut Rng) {
        self.index += 1;
        self.acknowledged_in = None;
        self.form = rng
            .choice([
                ResponseForm::Length,
                ResponseForm::EndsWithConnection,
                ResponseForm::BrokenOff,
                ResponseForm::Silent,
            ])
            .expect("one of four");
    }

    /// The turn of the gateway's loop after which it had certainly applied the present list.
    pub fn acknowledged_in(&self) -> Option<u64> {
        self.acknowledged_in
    }

    pub fn serve(&mut self, endpoints: &[Endpoint], turn: u64) {
        while let Some(stream) = accept(&self.listener) {
            self.connections.push((stream, BytesMut::new()));
        }
        let entries: Vec<String> = endpoints.iter().map(Endpoint::entry).collect();
        let body = format!(
            r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#,
            self.index,
            entries.join(",")
        );
        let (mut open, known) = (Vec::new(), format!("since={}&", self.index));
        for (mut stream, mut bytes) in std::mem::take(&mut self.connections) {
            if !read(&mut stream, &mut bytes) {
                continue;
            }
            let asked = bytes.ends_with(b"\r\n\r\n");
            let pending = bytes
                .windows(known.len())
                .any(|part| part == known.as_bytes());
            if pending {
                self.acknowledged_in.get_or_insert(turn);
            }
            if asked && !pending {
                bytes.clear();
                if !self.respond(&mut stream, &body) {
                    continue;
                }
            }
            open.push((stream, bytes));
        }
        self.connections = open;
    }

    /// Returns whether the connection goes on. Each other form is used once, then responses are complete and have a length.
    fn respond(&mut self, stream: &mut TcpStream, body: &str) -> bool {
        let with_length = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let without_length = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        match std::mem::replace(&mut self.form, ResponseForm::Length) {
            ResponseForm::Length => stream.write_all(with_length.as_bytes()).is_ok(),
            ResponseForm::EndsWithConnection => {
                let _ = stream.write_all(without_length.as_bytes());
                false
            }
            ResponseForm::BrokenOff => {
                let _ = stream.write_all(&with_length.as_bytes()[..with_length.len() / 2]);
                reset(stream);
                false
            }
            ResponseForm::Silent => true,
        }
    }
}
