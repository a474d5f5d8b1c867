//! Outputs of a replica.

use crate::ids::{RequesterId, Slot};
use crate::protocol::{CommandResponse, PeerMessage, ReadRequest, ReadResponse, ServerMessage};

/// An output that is sent once the record of the turn is on the disk.
#[derive(Debug)]
pub enum Output {
    /// A message to another replica.
    Peer(Slot, Box<PeerMessage>),
    /// The response to a command.
    CommandResponse(RequesterId, CommandResponse),
    /// The response to a read.
    ReadResponse(RequesterId, Box<ReadResponse>),
    /// A message on a session's stream.
    Session(RequesterId, Box<ServerMessage>),
    /// A request for another replica's configuration.
    ReadMembers(Slot, ReadRequest),
}
