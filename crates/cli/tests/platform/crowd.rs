//! Crowds: hundreds of clients of a gateway, run by one thread.

use super::clients::{next_id, read_command};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The pause between two turns over all clients.
const TURN_INTERVAL: Duration = Duration::from_millis(1);

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug)]
pub struct CrowdBehavior {
    pub clients: usize,
    /// The number of commands that a client writes at once.
    pub commands_at_once: u64,
    /// How often a client writes on one connection; `None`: at full speed.
    pub writes_per_connection: Option<usize>,
    /// How long a client keeps a connection; `None`: until the gateway ends it.
    pub connection_time: Option<Duration>,
    pub reads_replies: bool,
    /// Whether each command names a customer that none before it named.
    pub has_new_customers: bool,
}

/// A client of a crowd. It connects again once its connection is closed.
#[derive(Default)]
struct CrowdClient {
    stream: Option<TcpStream>,
    connected_at: Option<Instant>,
    /// The part of the last commands that its socket has not taken yet.
    unwritten: Vec<u8>,
    writes: usize,
}

impl CrowdClient {
    /// Does what is possible without waiting; returns the number of bytes that were read.
    fn run(&mut self, address: SocketAddr, behavior: &CrowdBehavior) -> usize {
        let age = self.connected_at.map(|at| at.elapsed());
        if age > behavior.connection_time.or(age) {
            self.disconnect();
        }
        let Some(stream) = &mut self.stream else {
            self.connect(address);
            return 0;
        };
        let mut read = 0;
        if behavior.reads_replies {
            let mut replies = [0; 16_384];
            match stream.read(&mut replies) {
                Ok(0) => return self.disconnect(),
                Ok(length) => read = length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return self.disconnect(),
            }
        } else if !matches!(stream.take_error(), Ok(None)) {
            return self.disconnect();
        }
        let may_write = behavior
            .writes_per_connection
            .is_none_or(|most| self.writes < most);
        if self.unwritten.is_empty() && may_write {
            self.writes += 1;
            self.unwritten = commands(behavior);
        }
        match stream.write(&self.unwritten) {
            Ok(length) => drop(self.unwritten.drain(..length)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return self.disconnect(),
        }
        read
    }

    fn connect(&mut self, address: SocketAddr) {
        self.stream = TcpStream::connect(address).ok();
        self.connected_at = Some(Instant::now());
        if let Some(stream) = &self.stream {
            let _ = stream.set_nonblocking(true);
        }
    }

    fn disconnect(&mut self) -> usize {
        *self = CrowdClient::default();
        0
    }
}

fn commands(behavior: &CrowdBehavior) -> Vec<u8> {
    let command = |_| {
        let id = next_id();
        let customer = if behavior.has_new_customers { id } else { 1 };
        read_command(customer, id, "team")
    };
    let commands: String = (0..behavior.commands_at_once).map(command).collect();
    commands.into_bytes()
}

/// Runs a crowd until the test is over. Returns the number of bytes that its clients have read.
pub fn run_crowd(address: SocketAddr, behavior: &CrowdBehavior, is_over: &AtomicBool) -> usize {
    let mut clients: Vec<CrowdClient> = Vec::new();
    clients.resize_with(behavior.clients, CrowdClient::default);
    let mut read = 0;
    while !is_over.load(Ordering::Relaxed) {
        for client in &mut clients {
            read += client.run(address, behavior);
        }
        std::thread::sleep(TURN_INTERVAL);
    }
    read
}
