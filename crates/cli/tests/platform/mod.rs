//! What stands round gateways of the platform: backends, counter and discovery, a thread a connection, on loopback sockets.

use bytes::{Bytes, BytesMut};
use chalkdeck_net::ReservedPort;
use chalkdeck_resp::{take_command, MessageLimits, ParsedCommand};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_element_bytes: 1 << 20,
    max_line_bytes: 0,
    max_message_bytes: 2 << 20,
    accepts_inline: true,
};

/// Serves connections, each in a thread of its own, until the test ends.
fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let each = Arc::new(each);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || each(stream));
        }
    });
    address
}

/// Answers commands one after another.
fn commands(mut stream: TcpStream, mut answer: impl FnMut(Vec<Bytes>) -> String) {
    let (mut held, mut some) = (BytesMut::new(), [0; 4096]);
    loop {
        while let ParsedCommand::Complete(words) = take_command(&mut held, &LIMITS) {
            if stream.write_all(answer(words).as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut some) {
            Ok(n) if n > 0 => held.extend_from_slice(&some[..n]),
            _ => return,
        }
    }
}

/// A backend that answers with the request's id after up to 3 ms.
pub fn backend() -> SocketAddr {
    serve(|stream| {
        commands(stream, |words| {
            std::thread::sleep(Duration::from_micros(fastrand::u64(0..3_000)));
            let id = String::from_utf8_lossy(&words[2]);
            format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len())
        });
    })
}

/// A counter that keeps its totals.
pub fn counter() -> SocketAddr {
    let totals = Arc::<Mutex<HashMap<Bytes, f64>>>::default();
    serve(move |stream| {
        commands(stream, |words| {
            let amount = String::from_utf8_lossy(&words[2]).parse().unwrap_or(0.0);
            let mut totals = totals.lock().expect("it is whole");
            let total = totals.entry(words[1].clone()).or_insert(0.0);
            *total += amount;
            let text = total.to_string();
            format!("${}\r\n{text}\r\n", text.len())
        });
    })
}

/// An agent of discovery with a list that stays.
pub fn discovery(backends: &[SocketAddr]) -> SocketAddr {
    let entry = |(i, a): (usize, &SocketAddr)| {
        format!(
            r#"{{"name":"s-{i}","address":"{a}","zone":"a","type":"m","group":0,"status":"ready"}}"#
        )
    };
    let entries: Vec<String> = backends.iter().enumerate().map(entry).collect();
    let whole = format!(
        r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#,
        entries.join(",")
    );
    serve(move |mut stream| {
        let (mut held, mut some) = (Vec::new(), [0; 4096]);
        while let Ok(n @ 1..) = stream.read(&mut some) {
            held.extend_from_slice(&some[..n]);
            if !held.ends_with(b"\r\n\r\n") {
                continue;
            }
            let asked = String::from_utf8_lossy(&held).into_owned();
            held.clear();
            let wait = asked
                .split_once("timeout_ms=")
                .and_then(|(_, t)| t.split(' ').next()?.parse().ok());
            std::thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
            let none = r#"{"index":1,"snapshot":false,"endpoints":[]}"#;
            let body = if wait.is_some() { none } else { &whole };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + body).as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A gateway of the platform: its configuration, and the process that runs now.
pub struct Gateway {
    pub listen: SocketAddr,
    _port: ReservedPort,
    file: PathBuf,
    pub child: Child,
}

impl Gateway {
    /// Starts one and waits until it answers.
    pub fn start(number: usize, discovery: SocketAddr, counter: SocketAddr) -> Gateway {
        // The port has to be the same after a restart.
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let port = ReservedPort::reserve(any).expect("a free port");
        let listen = port.address();
        let file = std::env::temp_dir().join(format!(
            "chalkdeck-restarts-{}-{number}",
            std::process::id()
        ));
        let text = format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","counter":"{counter}","seed":"{number:x}",
            "limits":{{"memory_mb":192,"sockets":1024}},
            "settings":{{"balancers":8,"my_number":{number},"tick":2000,"zone":"a","zones":["a"],
            "bounds":{{"max_attempts":4,"dial_timeout":250000,"conn_idle":30000000,"second_copies":true,"may_cancel":true}},
            "classes":[{{"name":"view","deadline":3000000,"on_time":750000,"effect":"pure","credit":2.0}}],
            "plans":[{{"name":"team","per_second":100000.0,"peak_units":200000.0}}],
            "rules":{{"cold":18000000,"cold_from":0.2,"fall_multiple":2.0,"tip_after":1000000,"answer_slack":8000,
            "stop_sending_within":2000000}},
            "specifics":{{"counter":true,"count_limit":80000,"units_top":4}}}}}}"#
        );
        std::fs::write(&file, text).expect("a temporary file");
        let child = Gateway::spawn(&file);
        let gateway = Gateway {
            listen,
            _port: port,
            file,
            child,
        };
        gateway.ready();
        gateway
    }

    fn spawn(file: &PathBuf) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chalkdeck"));
        command
            .arg("platform")
            .env("ROUTER_CONFIG", file)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        command.spawn().expect("the program starts")
    }

    fn ready(&self) {
        let mut some = [0; 7];
        while TcpStream::connect(self.listen)
            .and_then(|mut s| {
                s.write_all(b"*1\r\n$4\r\nPING\r\n")
                    .and_then(|()| s.read_exact(&mut some))
            })
            .is_err()
        {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Starts it anew under its name and address.
    pub fn again(&mut self) {
        self.child = Gateway::spawn(&self.file);
        self.ready();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
