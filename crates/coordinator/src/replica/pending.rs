//! Pending commands: proposed by this replica and not decided yet.

use crate::ids::{CommandNumber, RequesterId};
use crate::protocol::wire;
use chalkdeck_leader_election::{RenewalNumber, SessionId};
use chalkdeck_time::{RecentMaximum, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// A command that is not decided within this time is proposed again, as it may have been lost on its way to the leader.
/// Deduplication ensures that it is applied once.
const MIN_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// If commands take longer to be decided, they are proposed again after this many decision times, so that slow decisions do not fill the
/// log with repeats.
const RETRY_DECISION_TIMES: u64 = 2;
/// The longest time until a command is proposed again. Times without a leader count as slow decisions, and lost commands must not wait
/// for as long after them.
const MAX_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(2);
/// Maximum number of pending commands at one replica; further ones are rejected.
const MAX_PENDING: usize = 8_192;

/// A session renewal that was proposed with others in one command.
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
    /// A gateway that opens a session.
    OpeningSession(RequesterId),
    /// Gateways that renew their sessions.
    Renewals(Vec<BatchedRenewal>),
    /// A gateway that sent the report with this number.
    Report { requester: RequesterId, number: u64 },
    /// Nobody: the command is the replica's own.
    Replica,
}

/// A proposed command.
pub(super) struct PendingCommand {
    pub(super) requester: Requester,
    pub(super) command: wire::Command,
    first_proposed_at: Timestamp,
    proposed_at: Timestamp,
}

/// Pending commands, by the numbers that this replica assigned to them.
#[derive(Default)]
pub(super) struct PendingCommands {
    last_number: u64,
    commands: BTreeMap<u64, PendingCommand>,
    /// The time from the first proposal of a command to its decision.
    decision_time: RecentMaximum,
}

impl PendingCommands {
    pub(super) fn is_full(&self) -> bool {
        self.commands.len() >= MAX_PENDING
    }

    /// Adds a command under the next number, and returns it as it is to be proposed. `origin` is this replica's incarnation.
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
            first_proposed_at: now,
            proposed_at: now,
        };
        let added_command = self.commands.entry(self.last_number).or_insert(pending);
        &added_command.command
    }

    /// Removes a command that was decided.
    pub(super) fn remove(&mut self, number: u64, now: Timestamp) -> Option<PendingCommand> {
        let pending = self.commands.remove(&number)?;
        self.decision_time.observe(now - pending.first_proposed_at);
        Some(pending)
    }

    fn retry_interval(&self) -> TimeDelta {
        let interval = self.decision_time.get() * RETRY_DECISION_TIMES;
        interval.clamp(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL)
    }

    /// Commands that are due to be proposed again at `now`, ordered by number.
    pub(super) fn due_for_retry(&mut self, now: Timestamp) -> impl Iterator<Item = &wire::Command> {
        let retry_interval = self.retry_interval();
        self.commands
            .values_mut()
            .filter(move |pending| now >= pending.proposed_at + retry_interval)
            .map(move |pending| {
                pending.proposed_at = now;
                &pending.command
            })
    }
}

#[cfg(test)]
mod tests;
