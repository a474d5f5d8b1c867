//! One relayed connection.

use crate::rig::links::faults::Faults;
use crate::rig::links::flow::{Flow, Step};
use mio::net::TcpStream;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};

/// A connection from one party and ours to the other.
pub(crate) struct Pair {
    pub(crate) link: usize,
    /// Who connected, and the one it wanted; none while the way there is cut.
    pub(crate) ends: [Option<TcpStream>; 2],
    flows: [Flow; 2],
    may_read: [bool; 2],
    /// The other party has been reached.
    reached: bool,
}

/// What became of a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Lives(Option<u64>),
    /// Both ways have ended and all is through.
    Over,
    /// One end broke off.
    Broken,
    /// Nobody listens there.
    Refused,
}

impl Pair {
    pub(crate) fn new(link: usize, from: TcpStream) -> Pair {
        Pair {
            link,
            ends: [Some(from), None],
            flows: Default::default(),
            may_read: [true, false],
            reached: false,
        }
    }

    /// Dials the other party.
    pub(crate) fn dial(&mut self, target: SocketAddr) -> io::Result<&mut TcpStream> {
        let stream = TcpStream::connect(target)?;
        self.may_read[1] = true;
        Ok(self.ends[1].insert(stream))
    }

    pub(crate) fn readable(&mut self, end: usize) {
        self.may_read[end] = true;
    }

    /// Moves bytes as far as they go now.
    pub(crate) fn pump(&mut self, now: u64, faults: &Faults, rng: &mut fastrand::Rng) -> Fate {
        if !self.reached {
            match self.ends[1].as_ref().map(reached) {
                None | Some(Ok(false)) => return Fate::Lives(None),
                Some(Err(_)) => return Fate::Refused,
                Some(Ok(true)) => self.reached = true,
            }
        }
        let mut again: Option<u64> = None;
        for way in 0..2 {
            match self.pump_way(way, now, faults, rng) {
                Ok(Step::At(at)) => again = Some(again.map_or(at, |a| a.min(at))),
                Ok(_) => {}
                // Of an end behind a cut nobody hears.
                Err(_) if faults.ways[1 - way].cut || faults.ways[way].cut => {}
                Err(_) => return Fate::Broken,
            }
        }
        let over = (0..2).all(|way| self.flows[way].ended && self.flows[way].is_through());
        let told = faults.ways.iter().all(|w| !w.cut);
        if over && told {
            Fate::Over
        } else {
            Fate::Lives(again)
        }
    }

    fn pump_way(
        &mut self,
        way: usize,
        now: u64,
        faults: &Faults,
        rng: &mut fastrand::Rng,
    ) -> io::Result<Step> {
        let [a, b] = &mut self.ends;
        let (Some(a), Some(b)) = (a, b) else {
            return Ok(Step::Idle);
        };
        let (from, to) = if way == 0 { (a, b) } else { (b, a) };
        let flow = &mut self.flows[way];
        let mut chunk = [0; 16 << 10];
        let mut broke = None;
        while self.may_read[way] && flow.has_room() && !flow.ended {
            match from.read(&mut chunk) {
                Ok(0) => flow.ended = true,
                Ok(n) => {
                    let due = faults.ways[way].arrival(now, rng, true).unwrap_or(now);
                    flow.push(&chunk[..n], due);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.may_read[way] = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    flow.ended = true;
                    broke = Some(e);
                }
            }
        }
        let step = flow.write(now, &faults.ways[way], to)?;
        if step == Step::Ended {
            to.shutdown(Shutdown::Write).ok();
        }
        broke.map_or(Ok(step), Err)
    }
}

/// Whether a dialled stream is up.
fn reached(stream: &TcpStream) -> io::Result<bool> {
    if let Some(e) = stream.take_error()? {
        return Err(e);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(e) => Err(e),
    }
}
