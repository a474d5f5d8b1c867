//! Test harness of the platform: gateways as processes, and fake backends, a counter and a discovery agent on loopback sockets, with one
//! thread for each connection.
#![allow(
    dead_code,
    reason = "each test program uses only a part of this module"
)]

pub mod clients;
pub mod crowd;

use bytes::{Bytes, BytesMut};
use chalkdeck_net::ReservedPort;
use chalkdeck_resp::{take_command, MessageLimits, ParsedCommand};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Limits of the commands that the fake servers read.
pub const LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_element_bytes: 1 << 20,
    max_line_bytes: 0,
    max_message_bytes: 2 << 20,
    accepts_inline: true,
};

/// The resident parts of the optimized program's file. Those of a program that is not optimized are larger and not what is deployed.
const PROGRAM_BYTES: usize = 7_000_000;

/// Starts a server that handles each connection in a thread, until the test ends. Returns its address.
fn start_server(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || handle(stream));
        }
    });
    address
}

/// Reads RESP commands and responds to each in order, until the connection is closed.
pub fn respond_to_commands(mut stream: TcpStream, mut respond: impl FnMut(Vec<Bytes>) -> String) {
    let (mut buffer, mut chunk) = (BytesMut::new(), [0; 65_536]);
    loop {
        while let ParsedCommand::Complete(command) = take_command(&mut buffer, &LIMITS) {
            if stream.write_all(respond(command).as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

/// Starts a fake backend, which responds with the id of the request after up to 3 ms.
pub fn start_backend() -> SocketAddr {
    start_server(|stream| {
        respond_to_commands(stream, |command| {
            std::thread::sleep(Duration::from_micros(fastrand::u64(0..3_000)));
            let id = String::from_utf8_lossy(&command[2]);
            format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len())
        });
    })
}

/// Starts a fake counter, which adds up the amounts of each name in memory.
pub fn start_counter() -> SocketAddr {
    let totals = Arc::<Mutex<HashMap<Bytes, f64>>>::default();
    start_server(move |stream| {
        respond_to_commands(stream, |command| {
            let amount = String::from_utf8_lossy(&command[2]).parse().unwrap_or(0.0);
            let mut totals = totals.lock().expect("the lock is not poisoned");
            let total = totals.entry(command[1].clone()).or_insert(0.0);
            *total += amount;
            let text = total.to_string();
            format!("${}\r\n{text}\r\n", text.len())
        });
    })
}

/// Starts a fake discovery agent, whose endpoint list never changes.
pub fn start_discovery(backends: &[SocketAddr]) -> SocketAddr {
    let names: Vec<String> = (0..backends.len()).map(|i| format!("s-{i}")).collect();
    let named = names.iter().zip(backends);
    let endpoints: Vec<_> = named
        .map(|(name, address)| (&name[..], *address, 0))
        .collect();
    let list = EndpointList::default();
    list.publish(&endpoints);
    start_changing_discovery(&list)
}

/// The endpoint list of a fake discovery agent, which a test changes.
#[derive(Clone, Default)]
pub struct EndpointList(Arc<Mutex<(u64, String)>>);

impl EndpointList {
    /// Publishes a complete list: the name, the address and the cell of each endpoint.
    pub fn publish(&self, endpoints: &[(&str, SocketAddr, usize)]) {
        let entry = |(name, address, cell): &(&str, SocketAddr, usize)| {
            format!(
                r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":{cell},"status":"ready"}}"#
            )
        };
        let entries: Vec<String> = endpoints.iter().map(entry).collect();
        let mut list = self.0.lock().expect("the lock is not poisoned");
        *list = (list.0 + 1, entries.join(","));
    }

    /// The response to a call: the complete list, or no changes for one that holds the current version.
    fn response(&self, since: Option<u64>) -> (bool, String) {
        let list = self.0.lock().expect("the lock is not poisoned");
        let (version, entries) = &*list;
        let is_new = since != Some(*version);
        let entries = if is_new { &entries[..] } else { "" };
        let body = format!(r#"{{"index":{version},"snapshot":{is_new},"endpoints":[{entries}]}}"#);
        (is_new, body)
    }
}

/// Starts a fake discovery agent, whose endpoint list a test changes.
pub fn start_changing_discovery(list: &EndpointList) -> SocketAddr {
    let list = list.clone();
    start_server(move |mut stream| {
        let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
        while let Ok(n @ 1..) = stream.read(&mut chunk) {
            buffer.extend_from_slice(&chunk[..n]);
            if !buffer.ends_with(b"\r\n\r\n") {
                continue;
            }
            let request = String::from_utf8_lossy(&buffer).into_owned();
            buffer.clear();
            let number_of = |name: &str| -> Option<u64> {
                let (_, rest) = request.split_once(name)?;
                rest.split(['&', ' ']).next()?.parse().ok()
            };
            let (since, poll_ms) = (number_of("since="), number_of("timeout_ms="));
            let until = Instant::now() + Duration::from_millis(poll_ms.unwrap_or(0));
            let mut response = list.response(since);
            while !response.0 && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(1));
                response = list.response(since);
            }
            let body = response.1;
            let headers = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((headers + &body).as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// The resources that the platform grants a gateway, and the deadline of its classes.
#[derive(Clone, Copy, Debug)]
pub struct GatewayOptions {
    pub memory_mb: usize,
    pub descriptors: usize,
    pub deadline_ms: u64,
}

/// The smallest resources that the platform grants.
pub const SMALL_GRANT: GatewayOptions = GatewayOptions {
    memory_mb: 32,
    descriptors: 256,
    deadline_ms: 3_000,
};

/// A gateway of the platform: its address, its configuration file and its current process.
pub struct Gateway {
    pub listen: SocketAddr,
    _port: ReservedPort,
    config_file: PathBuf,
    pub child: Child,
}

impl Gateway {
    /// Starts a gateway with ample resources and waits until it responds.
    pub fn start(number: usize, discovery: SocketAddr, counter: SocketAddr) -> Gateway {
        let options = GatewayOptions {
            memory_mb: 192,
            descriptors: 1024,
            deadline_ms: 3_000,
        };
        Gateway::start_with(number, discovery, counter, options)
    }

    /// Starts a gateway with these options and waits until it responds.
    pub fn start_with(
        number: usize,
        discovery: SocketAddr,
        counter: SocketAddr,
        options: GatewayOptions,
    ) -> Gateway {
        let GatewayOptions {
            memory_mb,
            descriptors,
            deadline_ms,
        } = options;
        // The port is reserved because it has to stay the same over restarts.
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let port = ReservedPort::reserve(any_port).expect("a free port");
        let listen = port.address();
        let config_file = std::env::temp_dir().join(format!(
            "chalkdeck-platform-{}-{}",
            std::process::id(),
            listen.port()
        ));
        let text = format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","counter":"{counter}","seed":"{number:x}",
            "limits":{{"memory_mb":{memory_mb},"sockets":{descriptors}}},
            "settings":{{"balancers":8,"my_number":{number},"tick":2000,"zone":"a","zones":["a"],
            "bounds":{{"max_attempts":4,"dial_timeout":250000,"conn_idle":30000000,"second_copies":true,"may_cancel":true}},
            "classes":[{{"name":"view","deadline":{deadline_ms}000,"on_time":750000,"effect":"pure","credit":2.0}},
            {{"name":"sale","deadline":{deadline_ms}000,"on_time":750000,"effect":"side_effect","credit":2.0}},
            {{"name":"order","deadline":{deadline_ms}000,"on_time":750000,"effect":"token","key_scope":"cell","window":3000000,"credit":2.0}}],
            "plans":[{{"name":"team","per_second":100000.0,"peak_units":200000.0}},
            {{"name":"few","per_second":2.0,"peak_units":20.0}}],
            "rules":{{"cold":18000000,"cold_from":0.2,"fall_multiple":2.0,"tip_after":1000000,"answer_slack":8000,
            "stop_sending_within":2000000}},
            "specifics":{{"counter":true,"count_limit":80000,"units_top":4}}}}}}"#
        );
        std::fs::write(&config_file, text).expect("a temporary file");
        let child = Gateway::spawn(&config_file);
        let gateway = Gateway {
            listen,
            _port: port,
            config_file,
            child,
        };
        gateway.wait_until_ready();
        gateway
    }

    fn spawn(config_file: &PathBuf) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_chalkdeck"));
        command
            .arg("platform")
            .env("ROUTER_CONFIG", config_file)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        command.spawn().expect("the program starts")
    }

    /// The anonymous memory of the process, in bytes; `None` if it has ended.
    pub fn memory_bytes(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kilobytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes << 10)
    }

    /// The resident memory of the process with an optimized program, in bytes; `None` if it has ended.
    pub fn resident_bytes(&self) -> Option<usize> {
        Some(self.memory_bytes()? + PROGRAM_BYTES)
    }

    fn wait_until_ready(&self) {
        let mut pong = [0; 7];
        while TcpStream::connect(self.listen)
            .and_then(|mut s| {
                s.write_all(b"*1\r\n$4\r\nPING\r\n")
                    .and_then(|()| s.read_exact(&mut pong))
            })
            .is_err()
        {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Starts the gateway again with the same configuration and address, and waits until it responds.
    pub fn start_again(&mut self) {
        self.child = Gateway::spawn(&self.config_file);
        self.wait_until_ready();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}
