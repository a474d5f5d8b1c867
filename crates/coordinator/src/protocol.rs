//! The messages of `chalkdeck.keeper.v1` under the names that this package uses.
//!
//! Names in the schema are older than the glossary in `docs/architecture.md` and stay, as other programs and recorded data use
//! them. Messages that are not listed here have the same name in both.

pub use chalkdeck_proto::chalkdeck::keeper::v1 as wire;

/// What a command changes.
pub use wire::command::What as CommandKind;
/// What a gateway's message carries.
pub use wire::up::What as ClientMessageKind;

/// Message of a gateway on its session's stream.
pub type ClientMessage = wire::Up;
/// Message to a gateway on its session's stream.
pub type ServerMessage = wire::Down;
/// Message between replicas.
pub type PeerMessage = wire::Between;
/// Request to read the state of one replica.
pub type ReadRequest = wire::LookRequest;
/// What is read.
pub type ReadKind = wire::look_request::What;
/// Response to a [`ReadRequest`].
pub type ReadResponse = wire::LookAnswer;
/// Response to a command.
pub type CommandResponse = wire::Answer;
/// Outcome of a command.
pub type ResponseCode = wire::answer::Code;
/// Change of the replicated state that is pushed to sessions.
pub type WatchEvent = wire::News;
/// An election with its leader and its fencing token.
pub type Election = wire::Duty;
/// An operator's override of a site.
pub type SiteOverride = wire::SiteWord;
/// A gateway whose session has expired and that is not back.
pub type DepartedGateway = wire::Departed;
/// A version of a contract that was admitted.
pub type AdmittedContract = wire::Admitted;
/// Snapshot of the replicated state.
pub type StateSnapshot = wire::Shared;
