//! Application of decided commands to the replicated state.

use super::Replica;
use crate::protocol::{wire, CommandKind, CommandResponse};
use crate::storage::{Configuration, ConfigurationMember};
use chalkdeck_leader_election::{SessionId, SessionRenewal};

impl Replica {
    /// Applies decided commands, and enters each configuration that one of them begins.
    pub(super) fn apply_decided(&mut self) {
        while let Some(consensus) = &mut self.consensus {
            let decided = consensus.take_decided();
            if decided.is_empty() {
                return;
            }
            self.last_decided_at = self.now;
            let next = self.apply_until_next_configuration(&decided);
            self.check_own_epoch();
            if let Some(next) = next {
                self.enter_next_configuration(next);
            }
        }
    }

    /// Applies commands up to the end of the configuration, and returns the next configuration if there is one. Commands after the
    /// end are ignored; those that are still pending are proposed again in the next configuration.
    fn apply_until_next_configuration(
        &mut self,
        commands: &[wire::Command],
    ) -> Option<Configuration> {
        for command in commands {
            let next = self.configuration_after(command);
            if next.is_some() {
                return next;
            }
            self.apply_command(command);
        }
        None
    }

    /// The next configuration, if the command ends the current one.
    fn configuration_after(&self, command: &wire::Command) -> Option<Configuration> {
        let Some(CommandKind::NextConfiguration(next)) = &command.kind else {
            return None;
        };
        if next.configuration != self.configuration() + 1 {
            return None;
        }
        Some(Configuration {
            number: next.configuration,
            members: next.members.iter().map(ConfigurationMember::from).collect(),
            ..Configuration::default()
        })
    }

    fn apply_command(&mut self, command: &wire::Command) {
        let response = self.state.apply(command);
        self.update_failure_detector(command, &response);
        if command.origin != self.settings.incarnation {
            return;
        }
        if let Some(pending) = self.pending.remove(command.origin_number, self.now) {
            self.respond(pending.requester, response);
        }
    }

    /// Updates the failure detector after a command that may have changed sessions.
    fn update_failure_detector(&mut self, command: &wire::Command, response: &CommandResponse) {
        match &command.kind {
            Some(CommandKind::RenewSessions(renew)) => {
                for renewed in &renew.sessions {
                    if let Some(session) = self.state.session(SessionId(renewed.session)) {
                        self.failure_detector
                            .record_renewal(last_renewal(session), self.now);
                    }
                }
            }
            Some(CommandKind::OpenSession(_)) if response.id > 0 => {
                let session = SessionId(response.id);
                let renewal = SessionRenewal {
                    session,
                    log_index: self.state.session(session).map_or(0, |s| s.renewal_index),
                };
                self.failure_detector.record_renewal(renewal, self.now);
            }
            Some(CommandKind::CloseSession(close)) => {
                self.failure_detector.remove(SessionId(close.session));
            }
            Some(CommandKind::ExpireSession(expiry)) => {
                let session = SessionId(expiry.session);
                if self.state.session(session).is_none() {
                    self.failure_detector.remove(session);
                }
            }
            _ => {}
        }
    }

    /// Stops taking part in the consensus if a larger epoch of this replica was decided: the disk is then an older copy, which lacks
    /// the promises that the replica made since.
    fn check_own_epoch(&mut self) {
        let known_epoch = self.state.member(self.own_id()).map_or(0, |m| m.epoch);
        if known_epoch > self.settings.epoch && !self.is_outdated {
            tracing::error!(
                known_epoch,
                disk_epoch = self.settings.epoch,
                "the disk is an older copy of this replica's: empty its folder"
            );
            self.is_outdated = true;
        }
    }
}

/// The last renewal of a session that was applied.
pub(super) fn last_renewal(session: &wire::Session) -> SessionRenewal {
    SessionRenewal {
        session: SessionId(session.id),
        log_index: session.renewal_index,
    }
}
