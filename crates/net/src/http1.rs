//! An HTTP/1.1 server for health checks and metrics: it answers one GET request per connection.

use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::sync::Arc;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum number of bytes per read.
const MAX_READ_BYTES: usize = 2_048;

/// An HTTP/1.1 server connection.
pub(crate) struct Http1 {
    stream: Arc<TcpStream>,
    head: Vec<u8>,
    response: Vec<u8>,
    /// The request head is complete.
    is_request_received: bool,
}

/// The result of polling a connection.
pub(crate) enum Http1Progress {
    Wait,
    Get(String),
    Closed,
}

impl Http1 {
    pub(crate) fn new(stream: Arc<TcpStream>) -> Http1 {
        Http1 {
            stream,
            head: Vec::new(),
            response: Vec::new(),
            is_request_received: false,
        }
    }

    pub(crate) fn poll(&mut self) -> Http1Progress {
        if self.is_request_received {
            return self.flush();
        }
        let mut buffer = [0; MAX_READ_BYTES];
        loop {
            match (&*self.stream).read(&mut buffer) {
                Ok(0) => return Http1Progress::Closed,
                Ok(length) => self.head.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Http1Progress::Wait
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Http1Progress::Closed,
            }
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            match request.parse(&self.head) {
                Ok(httparse::Status::Complete(_)) => {
                    self.is_request_received = true;
                    let path = request.path.unwrap_or("/").to_string();
                    if request.method == Some("GET") {
                        return Http1Progress::Get(path);
                    }
                    return self.reply(405, "only GET is served here\n");
                }
                Ok(httparse::Status::Partial) if self.head.len() < MAX_HEAD_BYTES => {}
                _ => return self.reply(400, "no HTTP/1.1 request of a bearable size\n"),
            }
        }
    }

    pub(crate) fn reply(&mut self, status: u16, body: &str) -> Http1Progress {
        self.is_request_received = true;
        let head = format!(
            "HTTP/1.1 {status} {}\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            http::StatusCode::from_u16(status).ok().and_then(|s| s.canonical_reason()).unwrap_or("-"),
            body.len()
        );
        self.response = head.into_bytes();
        self.response.extend_from_slice(body.as_bytes());
        self.flush()
    }

    fn flush(&mut self) -> Http1Progress {
        while !self.response.is_empty() {
            match (&*self.stream).write(&self.response) {
                Ok(0) => return Http1Progress::Closed,
                Ok(length) => drop(self.response.drain(..length)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Http1Progress::Wait
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Http1Progress::Closed,
            }
        }
        Http1Progress::Closed
    }
}
