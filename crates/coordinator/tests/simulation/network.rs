//! Messages and the links that carry them.

use super::{Event, Node, Simulation, MILLISECOND};
use chalkdeck_coordinator::ids::RequesterId;
use chalkdeck_coordinator::protocol::{
    wire, ClientMessage, CommandResponse, PeerMessage, ReadRequest, ReadResponse, ServerMessage,
};
use chalkdeck_leader_election::FencingToken;
use std::collections::{BTreeMap, BTreeSet};

/// Range of the delay of a message, in microseconds.
const MIN_DELAY: u64 = 500;
const MAX_DELAY: u64 = 3 * MILLISECOND;
/// Maximum additional delay while messages are lost.
const MAX_EXTRA_DELAY: u64 = 200 * MILLISECOND;
/// Percentage of messages that are duplicated while messages are lost.
const DUPLICATED_PERCENT: u8 = 5;

#[derive(Debug, Clone)]
#[expect(
    clippy::large_enum_variant,
    reason = "few messages are under way at a time"
)]
pub(super) enum Message {
    Peer(PeerMessage),
    /// A request for the configuration by the replica with this index.
    ReadMembers(usize, ReadRequest),
    Members(ReadResponse),
    /// A gateway opens a stream; a replica accepts it.
    OpenStream(u64),
    StreamAccepted(u64),
    /// Messages on the stream of a gateway's session.
    FromGateway(u64, ClientMessage),
    ToGateway(u64, ServerMessage),
    /// Operators' calls and the responses, with the number that the operator assigned to the call.
    Command(u64, wire::Command),
    CommandResponse(u64, CommandResponse),
    Read(u64, ReadRequest),
    ReadResponse(ReadResponse),
    /// A leader's effect.
    Effect {
        gateway: usize,
        token: FencingToken,
    },
}

impl Message {
    /// The stream that carries the message, if any. Messages on a stream are delivered in order or not at all.
    fn stream(&self) -> Option<u64> {
        match self {
            Message::OpenStream(stream)
            | Message::StreamAccepted(stream)
            | Message::FromGateway(stream, _)
            | Message::ToGateway(stream, _) => Some(*stream),
            _ => None,
        }
    }
}

/// The state of all links.
#[derive(Default)]
pub(super) struct Links {
    /// Directed links that drop all messages.
    pub(super) cut: BTreeSet<(Node, Node)>,
    /// Additional delay of all messages between replicas, in microseconds.
    pub(super) delay_between_replicas: u64,
    /// Percentage of messages outside streams that are lost.
    pub(super) loss_percent: u8,
    /// Streams that lost a message; they deliver nothing more.
    broken_streams: BTreeSet<u64>,
    /// The arrival time of the last message on a stream.
    last_arrival: BTreeMap<(Node, Node, u64), u64>,
}

impl Simulation {
    pub(super) fn send(&mut self, from: Node, to: Node, message: Message) {
        match message.stream() {
            Some(stream) => self.send_on_stream(from, to, stream, message),
            None => self.send_unordered(from, to, &message),
        }
    }

    fn send_on_stream(&mut self, from: Node, to: Node, stream: u64, message: Message) {
        let delay = self.rng.u64(MIN_DELAY..MAX_DELAY);
        let last = self
            .links
            .last_arrival
            .entry((from, to, stream))
            .or_default();
        *last = (*last + 1).max(self.now + delay);
        let after = *last - self.now;
        let event = Event::Deliver {
            from,
            to,
            stream,
            message,
        };
        self.schedule(after, event);
    }

    fn send_unordered(&mut self, from: Node, to: Node, message: &Message) {
        for _ in 0..self.random_copies() {
            let extra = if self.links.loss_percent > 0 {
                self.rng.u64(0..MAX_EXTRA_DELAY)
            } else {
                0
            };
            let is_between_replicas = matches!((from, to), (Node::Replica(_), Node::Replica(_)));
            let extra = extra + u64::from(is_between_replicas) * self.links.delay_between_replicas;
            let delay = self.rng.u64(MIN_DELAY..MAX_DELAY) + extra;
            let event = Event::Deliver {
                from,
                to,
                stream: 0,
                message: message.clone(),
            };
            self.schedule(delay, event);
        }
    }

    /// Draws how many copies of a message arrive: none if it is lost, two if it is duplicated.
    fn random_copies(&mut self) -> usize {
        let loss_percent = self.links.loss_percent;
        if loss_percent == 0 {
            return 1;
        }
        match self.rng.u8(0..100) {
            draw if draw < loss_percent => 0,
            draw if draw < loss_percent + DUPLICATED_PERCENT => 2,
            _ => 1,
        }
    }

    pub(super) fn deliver(&mut self, from: Node, to: Node, stream: u64, message: Message) {
        if self.links.cut.contains(&(from, to)) {
            self.links.broken_streams.insert(stream);
            return;
        }
        if stream > 0 && self.links.broken_streams.contains(&stream) {
            return;
        }
        match to {
            Node::Replica(replica) => self.deliver_to_replica(from, replica, message),
            Node::Gateway(gateway) => match message {
                Message::StreamAccepted(stream) => self.on_stream_accepted(gateway, stream),
                Message::ToGateway(stream, message) => {
                    self.receive_at_gateway(gateway, stream, message);
                }
                _ => {}
            },
            Node::Operator(operator) => match message {
                Message::CommandResponse(number, response) => {
                    self.handle_command_response(operator, number, &response);
                }
                Message::ReadResponse(response) => self.handle_read_response(operator, response),
                _ => {}
            },
            Node::Resource => {
                if let Message::Effect { gateway, token } = message {
                    self.receive_effect(gateway, token);
                }
            }
        }
    }

    fn deliver_to_replica(&mut self, from: Node, replica: usize, message: Message) {
        match message {
            Message::Peer(message) => {
                self.replica_turn(replica, |core| core.receive_from_peer(&message));
            }
            Message::ReadMembers(reader, request) => self.read_members(replica, reader, &request),
            Message::Members(response) => {
                self.replica_turn(replica, |core| core.receive_members(&response));
            }
            Message::OpenStream(stream) if self.replicas[replica].running.is_some() => {
                let accepted = Message::StreamAccepted(stream);
                self.send(Node::Replica(replica), from, accepted);
            }
            Message::FromGateway(stream, message) => {
                let requester = RequesterId(stream);
                self.replicas[replica].add_requester(requester, from, stream);
                self.replica_turn(replica, |core| {
                    core.receive_from_gateway(requester, message);
                });
            }
            Message::Command(call, command) => {
                let requester = requester_of_call(from, call);
                self.replicas[replica].add_requester(requester, from, call);
                self.replica_turn(replica, |core| core.submit(requester, command));
            }
            Message::Read(call, request) => {
                let requester = requester_of_call(from, call);
                self.replicas[replica].add_requester(requester, from, call);
                self.replica_turn(replica, |core| core.read(requester, &request));
            }
            _ => {}
        }
    }
}

/// The requester id of a call. Operators number their calls independently, so the id includes the operator.
fn requester_of_call(from: Node, call: u64) -> RequesterId {
    let Node::Operator(operator) = from else {
        return RequesterId(call);
    };
    RequesterId((operator as u64 + 1) << 48 | call)
}
