//! Relayed datagrams.

use crate::rig::links::faults::Faults;
use mio::net::UdpSocket;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

/// Senders of one link that are told apart; more are dropped.
const SENDERS: usize = 256;
/// Datagrams on their way over one link.
const MOST: usize = 4_096;

/// When it gets there, its number, the sender's place, whether it goes there or back, and its bytes.
type OnTheWay = Reverse<(u64, u64, usize, bool, Vec<u8>)>;

/// Both directions of one link's datagrams.
pub(crate) struct Datagrams {
    pub(crate) front: UdpSocket,
    target: SocketAddr,
    /// The socket that stands for each sender.
    pub(crate) behind: Vec<(SocketAddr, UdpSocket)>,
    place_of: HashMap<SocketAddr, usize>,
    on_the_way: BinaryHeap<OnTheWay>,
    serial: u64,
    pub(crate) dropped: u64,
}

impl Datagrams {
    pub(crate) fn new(front: UdpSocket, target: SocketAddr) -> Datagrams {
        Datagrams {
            front,
            target,
            behind: Vec::new(),
            place_of: HashMap::new(),
            on_the_way: BinaryHeap::new(),
            serial: 0,
            dropped: 0,
        }
    }

    fn take(
        &mut self,
        now: u64,
        place: usize,
        there: bool,
        data: &[u8],
        faults: &Faults,
        rng: &mut fastrand::Rng,
    ) {
        let way = &faults.ways[usize::from(!there)];
        match way
            .arrival(now, rng, false)
            .filter(|_| !way.cut && self.on_the_way.len() < MOST)
        {
            Some(due) => {
                self.serial += 1;
                self.on_the_way
                    .push(Reverse((due, self.serial, place, there, data.to_vec())));
            }
            None => self.dropped += 1,
        }
    }

    /// Reads what came; returns the place of a sender's new socket, which is to be watched.
    pub(crate) fn read(
        &mut self,
        now: u64,
        faults: &Faults,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let (mut buffer, mut new) = ([0; 2_048], Vec::new());
        while let Ok((n, from)) = self.front.recv_from(&mut buffer) {
            let known = self.place_of.get(&from).copied();
            let Some(place) = known.or_else(|| self.sender(from)) else {
                self.dropped += 1;
                continue;
            };
            new.extend(known.is_none().then_some(place));
            self.take(now, place, true, &buffer[..n], faults, rng);
        }
        for place in 0..self.behind.len() {
            while let Ok(n) = self.behind[place].1.recv(&mut buffer) {
                self.take(now, place, false, &buffer[..n], faults, rng);
            }
        }
        new
    }

    fn sender(&mut self, from: SocketAddr) -> Option<usize> {
        if self.behind.len() >= SENDERS {
            return None;
        }
        let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).ok()?;
        socket.connect(self.target).ok()?;
        self.behind.push((from, socket));
        self.place_of.insert(from, self.behind.len() - 1);
        Some(self.behind.len() - 1)
    }

    /// Sends what is due; when the next is.
    pub(crate) fn send(&mut self, now: u64) -> Option<u64> {
        while let Some(Reverse((due, _, place, there, data))) = self.on_the_way.peek() {
            if *due > now {
                return Some(*due);
            }
            let (sender, socket) = &self.behind[*place];
            // A datagram that nobody takes is lost, as on any network.
            let _ = if *there {
                socket.send(data)
            } else {
                self.front.send_to(data, *sender)
            };
            self.on_the_way.pop();
        }
        None
    }
}
