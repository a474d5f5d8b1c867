//! Relays the datagrams of a link.

use crate::rig::links::faults::LinkFaults;
use mio::net::UdpSocket;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

/// Maximum number of senders on one link; datagrams of further senders are dropped.
const MAX_SENDERS: usize = 256;
/// Maximum number of queued datagrams of one link; further datagrams are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 4_096;

/// Due time, serial number, index of the sender, whether it goes forward (to the target), and bytes.
type QueuedDatagram = Reverse<(u64, u64, usize, bool, Vec<u8>)>;

/// Relays both directions of a link.
pub(crate) struct DatagramRelay {
    /// Receives from the senders, and sends the target's datagrams back to them.
    pub(crate) listener: UdpSocket,
    target: SocketAddr,
    /// Each sender's address, and the relay's own socket for it towards the target.
    pub(crate) senders: Vec<(SocketAddr, UdpSocket)>,
    sender_indices: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<QueuedDatagram>,
    /// Serial number of the last queued datagram; those with the same due time are sent in this order.
    serial: u64,
    pub(crate) dropped: u64,
}

impl DatagramRelay {
    pub(crate) fn new(listener: UdpSocket, target: SocketAddr) -> DatagramRelay {
        DatagramRelay {
            listener,
            target,
            senders: Vec::new(),
            sender_indices: HashMap::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            dropped: 0,
        }
    }

    /// Queues a datagram, or drops it if it is lost or the queue is full.
    fn enqueue(
        &mut self,
        now: u64,
        sender: usize,
        is_forward: bool,
        data: &[u8],
        faults: &LinkFaults,
        rng: &mut fastrand::Rng,
    ) {
        let direction = &faults.directions[usize::from(!is_forward)];
        match direction
            .arrival_time(now, rng, false)
            .filter(|_| !direction.is_cut && self.queue.len() < MAX_QUEUED_DATAGRAMS)
        {
            Some(due) => {
                self.serial += 1;
                self.queue.push(Reverse((
                    due,
                    self.serial,
                    sender,
                    is_forward,
                    data.to_vec(),
                )));
            }
            None => self.dropped += 1,
        }
    }

    /// Receives the datagrams that have arrived. Returns the indices of new senders, whose sockets the caller has to register.
    pub(crate) fn receive(
        &mut self,
        now: u64,
        faults: &LinkFaults,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let (mut buffer, mut new_senders) = ([0; 2_048], Vec::new());
        while let Ok((n, from)) = self.listener.recv_from(&mut buffer) {
            let known_sender = self.sender_indices.get(&from).copied();
            let Some(sender) = known_sender.or_else(|| self.add_sender(from)) else {
                self.dropped += 1;
                continue;
            };
            new_senders.extend(known_sender.is_none().then_some(sender));
            self.enqueue(now, sender, true, &buffer[..n], faults, rng);
        }
        for sender in 0..self.senders.len() {
            while let Ok(n) = self.senders[sender].1.recv(&mut buffer) {
                self.enqueue(now, sender, false, &buffer[..n], faults, rng);
            }
        }
        new_senders
    }

    /// Opens a socket towards the target for a new sender; returns its index, or `None` if there are too many senders.
    fn add_sender(&mut self, from: SocketAddr) -> Option<usize> {
        if self.senders.len() >= MAX_SENDERS {
            return None;
        }
        let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).ok()?;
        socket.connect(self.target).ok()?;
        self.senders.push((from, socket));
        self.sender_indices.insert(from, self.senders.len() - 1);
        Some(self.senders.len() - 1)
    }

    /// Sends the datagrams that are due; returns when the next one is due.
    pub(crate) fn send_due(&mut self, now: u64) -> Option<u64> {
        while let Some(Reverse((due, _, sender, is_forward, data))) = self.queue.peek() {
            if *due > now {
                return Some(*due);
            }
            let (sender_address, socket) = &self.senders[*sender];
            // A datagram that can't be sent is lost, as on any network.
            let _ = if *is_forward {
                socket.send(data)
            } else {
                self.listener.send_to(data, *sender_address)
            };
            self.queue.pop();
        }
        None
    }
}
