//! Commands that this replica has proposed and that are not decided yet.

use crate::ids::{CommandNumber, RequesterId};
use crate::protocol::wire;
use chalkdeck_leader_election::{RenewalNumber, SessionId};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// A command that is not decided by then is proposed again, as it may have been lost on its way to the leader. It is applied
/// once.
const RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// Commands under way at one replica; further ones are rejected.
const MAX_PENDING: usize = 8_192;

/// A renewal that was proposed with others in one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BatchedRenewal {
    pub(super) requester: RequesterId,
    pub(super) session: SessionId,
    pub(super) number: RenewalNumber,
    pub(super) state_version: u64,
}

/// Who waits for a command's response.
pub(super) enum Requester {
    /// A unary call.
    Call(RequesterId),
    /// A gateway that sent the command on its session's stream.
    Session {
        requester: RequesterId,
        number: CommandNumber,
    },
    /// A gateway whose session is to be opened.
    OpeningSession(RequesterId),
    /// Gateways whose sessions are to be renewed.
    Renewals(Vec<BatchedRenewal>),
    /// A gateway that sent a report of that number.
    Report { requester: RequesterId, number: u64 },
    /// Nobody: the command is the replica's own.
    Replica,
}

/// A command that was proposed.
pub(super) struct PendingCommand {
    pub(super) requester: Requester,
    pub(super) command: wire::Command,
    proposed_at: Timestamp,
}

/// Commands under way, by the numbers that this replica gave them.
#[derive(Default)]
pub(super) struct PendingCommands {
    last_number: u64,
    commands: BTreeMap<u64, PendingCommand>,
}

impl PendingCommands {
    pub(super) fn is_full(&self) -> bool {
        self.commands.len() >= MAX_PENDING
    }

    /// Adds a command under the next number, and returns it as it is to be proposed. `origin`: this replica's incarnation.
    pub(super) fn add(
        &mut self,
        command: wire::Command,
        requester: Requester,
        origin: u64,
        now: Timestamp,
    ) -> &wire::Command {
        self.last_number += 1;
        let pending = PendingCommand {
            requester,
            command: wire::Command {
                origin,
                origin_number: self.last_number,
                ..command
            },
            proposed_at: now,
        };
        let added = self.commands.entry(self.last_number).or_insert(pending);
        &added.command
    }

    pub(super) fn remove(&mut self, number: u64) -> Option<PendingCommand> {
        self.commands.remove(&number)
    }

    /// Commands that are to be proposed again at `now`, in the order of their numbers.
    pub(super) fn due_for_retry(&mut self, now: Timestamp) -> impl Iterator<Item = &wire::Command> {
        self.commands
            .values_mut()
            .filter(move |pending| now >= pending.proposed_at + RETRY_INTERVAL)
            .map(move |pending| {
                pending.proposed_at = now;
                &pending.command
            })
    }
}
