//! The messages of `chalkdeck.keeper.v1`: the coordinator's protocol, and the stored format of its state.

pub use chalkdeck_proto::chalkdeck::keeper::v1 as wire;

pub use wire::client_message::Kind as ClientMessageKind;
pub use wire::command::Kind as CommandKind;
pub use wire::command_response::Code as ResponseCode;
pub use wire::read_request::Kind as ReadKind;
pub use wire::{
    AdmittedContract, ClientMessage, CommandResponse, DepartedGateway, Election, PeerMessage,
    ReadRequest, ReadResponse, ServerMessage, SiteOverride, StateSnapshot, WatchEvent,
};
