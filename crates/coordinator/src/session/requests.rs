//! Commands and reports of a gateway that are not answered yet. They are resent whenever a session is opened or resumed.

use crate::ids::CommandNumber;
use crate::protocol::{wire, CommandKind};
use chalkdeck_leader_election::SessionId;
use std::collections::BTreeMap;

/// Requests that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    last_command_number: CommandNumber,
    commands: BTreeMap<CommandNumber, wire::Command>,
    last_report_number: u64,
    report: Option<wire::Report>,
}

impl PendingRequests {
    /// Adds a command under the next number. `state_version` is the version of the state that the sender has seen.
    pub(super) fn add_command(
        &mut self,
        caller: u64,
        state_version: u64,
        kind: CommandKind,
    ) -> wire::Command {
        self.last_command_number.0 += 1;
        let command = wire::Command {
            caller,
            number: self.last_command_number.0,
            begun_version: state_version,
            kind: Some(kind),
            ..wire::Command::default()
        };
        self.commands
            .insert(self.last_command_number, command.clone());
        command
    }

    pub(super) fn on_command_answered(&mut self, number: CommandNumber) {
        self.commands.remove(&number);
    }

    pub(super) fn commands(&self) -> impl ExactSizeIterator<Item = &wire::Command> {
        self.commands.values()
    }

    /// Adds a report under the next number.
    pub(super) fn add_report(&mut self, session: SessionId, report: wire::Report) -> wire::Report {
        self.last_report_number += 1;
        let report = wire::Report {
            session: session.0,
            number: self.last_report_number,
            ..report
        };
        self.report = Some(report.clone());
        report
    }

    /// The pending report, reassigned to this session.
    pub(super) fn pending_report_for(&mut self, session: SessionId) -> Option<wire::Report> {
        let report = self.report.as_mut()?;
        report.session = session.0;
        Some(report.clone())
    }

    pub(super) fn has_pending_report(&self) -> bool {
        self.report.is_some()
    }

    /// Removes the pending report if it has this number, and returns whether it did.
    pub(super) fn acknowledge_report(&mut self, number: u64) -> bool {
        let is_acknowledged = self
            .report
            .as_ref()
            .is_some_and(|report| report.number == number);
        if is_acknowledged {
            self.report = None;
        }
        is_acknowledged
    }
}
