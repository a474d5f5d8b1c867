//! HTTP/1.1 for health and metrics: one GET a connection, answered and closed.

use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// The longest request head that is read.
const HEAD_BYTES: usize = 8 * 1024;

pub(crate) struct Http1 {
    stream: TcpStream,
    head: Vec<u8>,
    out: Vec<u8>,
    asked: bool,
}

pub(crate) enum Step {
    Wait,
    Get(String),
    Close,
}

impl Http1 {
    pub(crate) fn new(stream: TcpStream) -> Http1 {
        Http1 {
            stream,
            head: Vec::new(),
            out: Vec::new(),
            asked: false,
        }
    }

    pub(crate) fn poll(&mut self) -> Step {
        if self.asked {
            return self.flush();
        }
        let mut chunk = [0; 2048];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Step::Close,
                Ok(n) => self.head.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Step::Wait,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Step::Close,
            }
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut request = httparse::Request::new(&mut headers);
            match request.parse(&self.head) {
                Ok(httparse::Status::Complete(_)) => {
                    self.asked = true;
                    let path = request.path.unwrap_or("/").to_string();
                    if request.method == Some("GET") {
                        return Step::Get(path);
                    }
                    return self.reply(405, "only GET is served here\n");
                }
                Ok(httparse::Status::Partial) if self.head.len() < HEAD_BYTES => {}
                _ => return self.reply(400, "no HTTP/1.1 request of a bearable size\n"),
            }
        }
    }

    pub(crate) fn reply(&mut self, status: u16, body: &str) -> Step {
        self.asked = true;
        let head = format!(
            "HTTP/1.1 {status} {}\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            http::StatusCode::from_u16(status).ok().and_then(|s| s.canonical_reason()).unwrap_or("-"),
            body.len()
        );
        self.out = head.into_bytes();
        self.out.extend_from_slice(body.as_bytes());
        self.flush()
    }

    fn flush(&mut self) -> Step {
        while !self.out.is_empty() {
            match self.stream.write(&self.out) {
                Ok(n) => drop(self.out.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Step::Wait,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Step::Close,
            }
        }
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        Step::Close
    }
}
