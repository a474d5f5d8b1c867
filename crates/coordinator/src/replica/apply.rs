//! Application of decided commands to the replicated state.

use super::Replica;
use crate::protocol::{wire, CommandKind, CommandResponse};
use crate::storage::{Configuration, ConfigurationMember};
use chalkdeck_leader_election::{SessionId, SessionRenewal};

impl Replica {
    /// Applies what was decided, and enters the configurations that begin with that.
    pub(super) fn apply_decided(&mut self) {
        while let Some(consensus) = &mut self.consensus {
            let decided = consensus.take_decided();
            if decided.is_empty() {
                return;
            }
            self.last_decided_at = self.now;
            let next = self.apply_until_end(&decided);
            self.check_own_epoch();
            if let Some(next) = next {
                self.enter_next_configuration(next);
            }
        }
    }

    /// Applies commands up to the end of the configuration, and returns the next one. Commands behind the end do not count; those
    /// whose requesters wait are proposed in the next configuration.
    fn apply_until_end(&mut self, commands: &[wire::Command]) -> Option<Configuration> {
        for command in commands {
            let next = self.configuration_after(command);
            if next.is_some() {
                return next;
            }
            self.apply_command(command);
        }
        None
    }

    /// The configuration that begins with a command, if the command ends the present one.
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
        self.observe_sessions(command, &response);
        if command.origin != self.settings.incarnation {
            return;
        }
        if let Some(pending) = self.pending.remove(command.origin_number) {
            self.respond(pending.requester, response);
        }
    }

    /// Has the failure detector follow the sessions.
    fn observe_sessions(&mut self, command: &wire::Command, response: &CommandResponse) {
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

    /// Stops taking part if a later start of this replica was decided: its disk is an older copy, and what it has promised since
    /// is forgotten.
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

/// When a session was last renewed.
pub(super) fn last_renewal(session: &wire::Session) -> SessionRenewal {
    SessionRenewal {
        session: SessionId(session.id),
        log_index: session.renewal_index,
    }
}
