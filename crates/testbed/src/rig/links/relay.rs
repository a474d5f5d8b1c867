//! The relay: listeners for links, connections and datagrams through them, faults by sites.

use crate::rig::links::faults::{Faults, Word};
use crate::rig::links::tcp::{Fate, Pair};
use crate::rig::links::udp::Datagrams;
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::ReservedPort;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use socket2::{Domain, SockRef, Socket, Type};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Connections through one relay; more are closed at once.
const PAIRS: usize = 16_384;
/// How soon one who refused is tried again, in microseconds.
const TRY: u64 = 50_000;
/// Connections that the system completes before they are accepted.
const BACKLOG: i32 = 1_024;
const WAKE: Token = Token(usize::MAX);
/// Tokens: links, then pairs (two each), then the sockets behind datagrams.
const PAIR_BASE: usize = 1 << 20;
const UDP_BASE: usize = 1 << 40;

/// What a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    Tcp,
    Udp,
}

/// A link that is wanted: whoever connects to it stands at `from`, its target at `to`.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    pub from: String,
    pub to: String,
    pub wire: Wire,
    pub target: SocketAddr,
}

enum Socketed {
    /// The port is kept while nobody listens, so that connects are refused and nobody else takes it.
    Tcp {
        kept: ReservedPort,
        listener: Option<TcpListener>,
    },
    Udp(Datagrams),
}

struct Open {
    link: Link,
    address: SocketAddr,
    faults: Faults,
    socket: Socketed,
}

/// A relay under way.
pub struct Relay {
    poll: Poll,
    links: Vec<Open>,
    pairs: Vec<Option<Pair>>,
    free: Vec<usize>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    rng: fastrand::Rng,
}

fn listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Relay {
    /// Listens for all links.
    pub fn start(links: Vec<Link>, seed: u64) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let mut open = Vec::new();
        for (i, link) in links.into_iter().enumerate() {
            let (address, socket) = match link.wire {
                Wire::Tcp => {
                    let kept = ReservedPort::reserve(any())?;
                    let address = kept.address();
                    let mut listener = listener(address)?;
                    poll.registry()
                        .register(&mut listener, Token(i), Interest::READABLE)?;
                    (
                        address,
                        Socketed::Tcp {
                            kept,
                            listener: Some(listener),
                        },
                    )
                }
                Wire::Udp => {
                    let mut socket = UdpSocket::bind(any())?;
                    poll.registry()
                        .register(&mut socket, Token(i), Interest::READABLE)?;
                    (
                        socket.local_addr()?,
                        Socketed::Udp(Datagrams::new(socket, link.target)),
                    )
                }
            };
            open.push(Open {
                link,
                address,
                faults: Faults::default(),
                socket,
            });
        }
        let rng = fastrand::Rng::with_seed(seed);
        Ok(Relay {
            poll,
            links: open,
            pairs: Vec::new(),
            free: Vec::new(),
            due: BinaryHeap::new(),
            rng,
        })
    }

    /// Where each link is reached, in the order in which they were wanted.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.links.iter().map(|l| l.address).collect()
    }
    /// Wakes the relay from another thread.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKE)?))
    }

    /// Sets faults of the links that the word means; how many those are.
    pub fn set(&mut self, word: &Word) -> usize {
        let meant: Vec<bool> = self
            .links
            .iter()
            .map(|l| word.means(&l.link.from, &l.link.to))
            .collect();
        for (link, _) in self
            .links
            .iter_mut()
            .zip(&meant)
            .filter(|(_, meant)| **meant)
        {
            word.on(&link.link.from, &mut link.faults);
        }
        for slot in 0..self.pairs.len() {
            if !self.pairs[slot].as_ref().is_some_and(|p| meant[p.link]) {
                continue;
            }
            if word.reset {
                self.drop_pair(slot, true);
            } else {
                self.pump(slot);
            }
        }
        meant.into_iter().filter(|meant| *meant).count()
    }

    /// Waits for what happens, at most so long, and deals with it.
    pub fn turn(&mut self, events: &mut Events, most: Duration) -> io::Result<()> {
        let now = monotonic_micros();
        let next = self
            .due
            .peek()
            .map_or(most, |d| Duration::from_micros(d.0 .0.saturating_sub(now)));
        match self.poll.poll(events, Some(next.min(most))) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        for event in events.iter() {
            match event.token() {
                WAKE => {}
                Token(t) if t >= UDP_BASE => self.datagrams(t - UDP_BASE),
                Token(t) if t >= PAIR_BASE => {
                    let (slot, end) = ((t - PAIR_BASE) / 2, (t - PAIR_BASE) % 2);
                    if let Some(Some(pair)) = self.pairs.get_mut(slot) {
                        pair.readable(end);
                        self.pump(slot);
                    }
                }
                Token(link) => match self.links[link].link.wire {
                    Wire::Tcp => self.accept(link)?,
                    Wire::Udp => self.datagrams(link),
                },
            }
        }
        let now = monotonic_micros();
        while let Some(Reverse((_, what))) = self.due.peek().filter(|d| d.0 .0 <= now).copied() {
            self.due.pop();
            match what {
                t if t >= PAIR_BASE => self.pump(t - PAIR_BASE),
                link if self.links[link].link.wire == Wire::Udp => self.datagrams(link),
                link => self.try_again(link)?,
            }
        }
        Ok(())
    }

    fn accept(&mut self, link: usize) -> io::Result<()> {
        loop {
            let Socketed::Tcp {
                listener: Some(listener),
                ..
            } = &self.links[link].socket
            else {
                return Ok(());
            };
            let mut from = match listener.accept() {
                Ok((from, _)) => from,
                Err(_) => return Ok(()),
            };
            let slot = self.free.pop().unwrap_or(self.pairs.len());
            if slot >= PAIRS {
                continue;
            }
            from.set_nodelay(true)?;
            let token = Token(PAIR_BASE + 2 * slot);
            self.poll.registry().register(
                &mut from,
                token,
                Interest::READABLE | Interest::WRITABLE,
            )?;
            if slot == self.pairs.len() {
                self.pairs.push(None);
            }
            self.pairs[slot] = Some(Pair::new(link, from));
            self.pump(slot);
        }
    }

    /// Moves a pair's bytes on; dials for it once the way there is open.
    fn pump(&mut self, slot: usize) {
        let Some(Some(pair)) = self.pairs.get_mut(slot) else {
            return;
        };
        let link = &self.links[pair.link];
        if pair.ends[1].is_none() && !link.faults.ways[0].cut {
            let Ok(stream) = pair.dial(link.link.target) else {
                return self.drop_pair(slot, true);
            };
            stream.set_nodelay(true).ok();
            let token = Token(PAIR_BASE + 2 * slot + 1);
            let both = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(stream, token, both).is_err() {
                return self.drop_pair(slot, true);
            }
        }
        match pair.pump(monotonic_micros(), &link.faults, &mut self.rng) {
            Fate::Lives(again) => self
                .due
                .extend(again.map(|at| Reverse((at, PAIR_BASE + slot)))),
            Fate::Over => self.drop_pair(slot, false),
            Fate::Broken => self.drop_pair(slot, true),
            Fate::Refused => {
                let link = pair.link;
                self.drop_pair(slot, true);
                self.refuse(link);
            }
        }
    }

    fn drop_pair(&mut self, slot: usize, reset: bool) {
        let Some(pair) = self.pairs[slot].take() else {
            return;
        };
        for mut stream in pair.ends.into_iter().flatten() {
            let _ = self.poll.registry().deregister(&mut stream);
            if reset {
                // Whatever was not read is thrown away on both sides, as when a machine is gone.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
        self.free.push(slot);
    }

    /// Nobody listens behind: nobody listens here either until somebody does there.
    fn refuse(&mut self, link: usize) {
        let Socketed::Tcp { listener, .. } = &mut self.links[link].socket else {
            return;
        };
        if let Some(mut listener) = listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
            self.due.push(Reverse((monotonic_micros() + TRY, link)));
        }
    }

    fn try_again(&mut self, link: usize) -> io::Result<()> {
        let target = self.links[link].link.target;
        let Socketed::Tcp {
            kept,
            listener: gone,
        } = &mut self.links[link].socket
        else {
            return Ok(());
        };
        // A connect on loopback is answered at once, either way.
        if std::net::TcpStream::connect_timeout(&target, Duration::from_millis(20)).is_err() {
            self.due.push(Reverse((monotonic_micros() + TRY, link)));
            return Ok(());
        }
        let mut new = listener(kept.address())?;
        self.poll
            .registry()
            .register(&mut new, Token(link), Interest::READABLE)?;
        *gone = Some(new);
        self.accept(link)
    }

    fn datagrams(&mut self, link: usize) {
        let Open {
            socket: Socketed::Udp(datagrams),
            faults,
            ..
        } = &mut self.links[link]
        else {
            return;
        };
        let now = monotonic_micros();
        for place in datagrams.read(now, faults, &mut self.rng) {
            let _ = self.poll.registry().register(
                &mut datagrams.behind[place].1,
                Token(UDP_BASE + link),
                Interest::READABLE,
            );
        }
        self.due
            .extend(datagrams.send(now).map(|at| Reverse((at, link))));
    }
}
