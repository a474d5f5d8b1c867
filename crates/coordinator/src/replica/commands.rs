//! Submission of commands: validation, proposal and retries.

use super::pending::Requester;
use super::{Output, Replica};
use crate::ids::RequesterId;
use crate::protocol::{wire, CommandKind, CommandResponse, ResponseCode};
use prost::Message;

/// Maximum size of a command.
const MAX_COMMAND_BYTES: usize = 2 << 20;

impl Replica {
    /// Submits a command of an operator or a tool: rejects it at once or proposes it.
    pub fn submit(&mut self, requester: RequesterId, command: wire::Command) {
        match self.rejection(&command) {
            Some(rejection) => self
                .outputs
                .push(Output::CommandResponse(requester, rejection)),
            None => self.propose_command(command, Requester::Call(requester)),
        }
    }

    /// The response to a command that is rejected without being proposed; `None` if it may be proposed.
    pub(super) fn rejection(&self, command: &wire::Command) -> Option<CommandResponse> {
        let (code, reason) = self.rejection_reason(command)?;
        Some(CommandResponse {
            code: code as i32,
            reason: reason.into(),
            ..CommandResponse::default()
        })
    }

    fn rejection_reason(&self, command: &wire::Command) -> Option<(ResponseCode, &'static str)> {
        let Some(kind) = &command.kind else {
            return Some((
                ResponseCode::Unknown,
                "this keeper does not know the command",
            ));
        };
        if required_version(kind) > self.state.supported_protocol_version() && self.is_configured()
        {
            return Some((
                ResponseCode::Unknown,
                "not every keeper knows this command yet",
            ));
        }
        if is_internal(kind) {
            return Some((ResponseCode::Refused, "only keepers say this"));
        }
        if command.caller == 0 || command.number == 0 {
            return Some((
                ResponseCode::Refused,
                "expected the caller's incarnation and a number from 1 on",
            ));
        }
        if command.encoded_len() > MAX_COMMAND_BYTES {
            return Some((ResponseCode::Full, "expected a command of at most 2 MiB"));
        }
        if self.pending.is_full() {
            return Some((
                ResponseCode::Full,
                "too many commands wait here to be agreed on",
            ));
        }
        if !self.is_configured() {
            return Some((
                ResponseCode::Elsewhere,
                "this keeper takes no part in the agreement yet",
            ));
        }
        None
    }

    /// Proposes a command that this replica creates.
    pub(super) fn propose(&mut self, kind: CommandKind, requester: Requester) {
        let command = wire::Command {
            kind: Some(kind),
            ..wire::Command::default()
        };
        self.propose_command(command, requester);
    }

    pub(super) fn propose_command(&mut self, command: wire::Command, requester: Requester) {
        let origin = self.settings.incarnation;
        let command = self.pending.add(command, requester, origin, self.now);
        if let Some(consensus) = &mut self.consensus {
            consensus.propose(command);
        }
    }

    /// Proposes pending commands again that are due for a retry.
    pub(super) fn retry_pending(&mut self) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        for command in self.pending.due_for_retry(self.now) {
            consensus.propose(command);
        }
    }
}

/// The protocol version that introduced a command.
fn required_version(_kind: &CommandKind) -> u32 {
    1
}

/// Whether only replicas may propose a command.
fn is_internal(kind: &CommandKind) -> bool {
    matches!(
        kind,
        CommandKind::RenewSessions(_)
            | CommandKind::ExpireSession(_)
            | CommandKind::MoveElection(_)
            | CommandKind::AdvanceTime(_)
            | CommandKind::NextConfiguration(_)
            | CommandKind::AnnounceVersion(_)
    )
}
