//! One relayed connection.

use crate::rig::links::faults::LinkFaults;
use crate::rig::links::flow::{Flow, WriteStatus};
use mio::net::TcpStream;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};

/// A client's connection to the relay, and the relay's connection to the target.
pub(crate) struct RelayedConnection {
    pub(crate) link: usize,
    /// The streams to the client and to the target. The latter is `None` until the relay connects to the target, which it doesn't
    /// while the forward direction is cut.
    pub(crate) ends: [Option<TcpStream>; 2],
    /// The bytes from the client, and from the target.
    flows: [Flow; 2],
    /// Whether each stream may have data to read.
    is_readable: [bool; 2],
    /// The connection to the target is established.
    is_connected: bool,
}

/// The state of a connection after its data has been relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// The time at which to relay again, unless a socket event comes first; `None` if only a socket event can change anything.
    Open(Option<u64>),
    /// Both sides have closed, and all bytes have been relayed.
    Closed,
    /// One side failed.
    Broken,
    /// The target refused the connection.
    Refused,
}

impl RelayedConnection {
    pub(crate) fn new(link: usize, client: TcpStream) -> RelayedConnection {
        RelayedConnection {
            link,
            ends: [Some(client), None],
            flows: Default::default(),
            is_readable: [true, false],
            is_connected: false,
        }
    }

    /// Starts to connect to the target.
    pub(crate) fn connect(&mut self, target: SocketAddr) -> io::Result<&mut TcpStream> {
        let stream = TcpStream::connect(target)?;
        self.is_readable[1] = true;
        Ok(self.ends[1].insert(stream))
    }

    /// Records that one of the streams has data to read.
    pub(crate) fn set_readable(&mut self, end: usize) {
        self.is_readable[end] = true;
    }

    /// Relays as many bytes as possible in both directions.
    pub(crate) fn relay(
        &mut self,
        now: u64,
        faults: &LinkFaults,
        rng: &mut fastrand::Rng,
    ) -> ConnectionState {
        if !self.is_connected {
            match self.ends[1].as_ref().map(is_established) {
                None | Some(Ok(false)) => return ConnectionState::Open(None),
                Some(Err(_)) => return ConnectionState::Refused,
                Some(Ok(true)) => self.is_connected = true,
            }
        }
        let mut next_due: Option<u64> = None;
        for direction in 0..2 {
            match self.relay_direction(direction, now, faults, rng) {
                Ok(WriteStatus::WaitUntil(due)) => {
                    next_due = Some(next_due.map_or(due, |next| next.min(due)))
                }
                Ok(_) => {}
                // A cut hides the failure of one side from the other.
                Err(_)
                    if faults.directions[1 - direction].is_cut
                        || faults.directions[direction].is_cut => {}
                Err(_) => return ConnectionState::Broken,
            }
        }
        let has_ended = (0..2)
            .all(|direction| self.flows[direction].has_ended && self.flows[direction].is_empty());
        let is_uncut = faults.directions.iter().all(|d| !d.is_cut);
        if has_ended && is_uncut {
            ConnectionState::Closed
        } else {
            ConnectionState::Open(next_due)
        }
    }

    fn relay_direction(
        &mut self,
        direction: usize,
        now: u64,
        faults: &LinkFaults,
        rng: &mut fastrand::Rng,
    ) -> io::Result<WriteStatus> {
        let [client, target] = &mut self.ends;
        let (Some(client), Some(target)) = (client, target) else {
            return Ok(WriteStatus::Idle);
        };
        let (from, to) = if direction == 0 {
            (client, target)
        } else {
            (target, client)
        };
        let flow = &mut self.flows[direction];
        let mut chunk = [0; 16 << 10];
        let mut read_error = None;
        while self.is_readable[direction] && flow.has_room() && !flow.has_ended {
            match from.read(&mut chunk) {
                Ok(0) => flow.has_ended = true,
                Ok(n) => {
                    let due = faults.directions[direction]
                        .arrival_time(now, rng, true)
                        .unwrap_or(now);
                    flow.push(&chunk[..n], due);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.is_readable[direction] = false
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    flow.has_ended = true;
                    read_error = Some(e);
                }
            }
        }
        let status = flow.write(now, &faults.directions[direction], to)?;
        if status == WriteStatus::Ended {
            to.shutdown(Shutdown::Write).ok();
        }
        read_error.map_or(Ok(status), Err)
    }
}

/// Whether a stream that started to connect is established. Fails if the connection attempt failed.
fn is_established(stream: &TcpStream) -> io::Result<bool> {
    if let Some(e) = stream.take_error()? {
        return Err(e);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(e) => Err(e),
    }
}
