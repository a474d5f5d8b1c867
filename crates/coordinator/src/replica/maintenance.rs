//! Periodic maintenance: every replica announces its protocol version; the leader advances the agreed time, creates missing
//! elections, expires sessions and rebalances elections.

use super::pending::Requester;
use super::Replica;
use crate::protocol::{wire, CommandKind};
use crate::state::{
    HIT_TOTALS_ELECTION, PROTOCOL_VERSION, REGISTRAR_ELECTION, SITE_OVERRIDES_ELECTION,
};
use chalkdeck_time::TimeDelta;

/// How often the leader does its maintenance and advances the agreed time.
const MAINTENANCE_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// Maximum step of the agreed time.
const MAX_TIME_STEP: TimeDelta = TimeDelta::from_millis(1_000);

impl Replica {
    pub(super) fn run_maintenance(&mut self) {
        if !self.is_configured() {
            return;
        }
        self.announce_version();
        if !self.is_leader() || self.now < self.last_maintenance_at + MAINTENANCE_INTERVAL {
            return;
        }
        let elapsed = self.now - self.last_maintenance_at;
        self.last_maintenance_at = self.now;
        self.advance_agreed_time(elapsed);
        self.create_missing_elections();
        self.expire_sessions();
        self.rebalance_elections();
    }

    /// Announces the protocol version and the epoch of this replica once in each configuration.
    fn announce_version(&mut self) {
        if self.has_announced_version {
            return;
        }
        self.has_announced_version = true;
        let announcement = wire::AnnounceVersion {
            replica: self.own_id().0,
            protocol_version: PROTOCOL_VERSION,
            epoch: self.settings.epoch,
            cluster: self.settings.incarnation,
        };
        self.propose_own(CommandKind::AnnounceVersion(announcement));
    }

    /// Advances the agreed time by the time since this replica's last maintenance. The step is limited, as the last maintenance of a
    /// new leader may be long ago.
    fn advance_agreed_time(&mut self, elapsed: TimeDelta) {
        let step = elapsed.min(MAX_TIME_STEP);
        let time_ms = self.state.time_ms + step.as_millis();
        self.propose_own(CommandKind::AdvanceTime(wire::AdvanceTime { time_ms }));
    }

    fn create_missing_elections(&mut self) {
        let built_in = [
            REGISTRAR_ELECTION,
            HIT_TOTALS_ELECTION,
            SITE_OVERRIDES_ELECTION,
        ]
        .map(String::from);
        let required = built_in
            .into_iter()
            .chain(self.settings.elections.iter().cloned());
        let missing: Vec<String> = required
            .filter(|name| !self.state.elections().any(|e| e.name == *name))
            .collect();
        for election in missing {
            self.propose_own(CommandKind::EnsureElection(wire::EnsureElection {
                election,
            }));
        }
    }

    fn expire_sessions(&mut self) {
        for expired in self.failure_detector.expired(self.now) {
            if self.state.session(expired.session).is_none() {
                self.failure_detector.remove(expired.session);
                continue;
            }
            let expiry = wire::ExpireSession {
                session: expired.session.0,
                renewal_index: expired.log_index,
            };
            self.propose_own(CommandKind::ExpireSession(expiry));
        }
    }

    fn rebalance_elections(&mut self) {
        let min_interval_ms = self.settings.min_move_interval_ms;
        if let Some(next_move) = self.state.next_move(min_interval_ms) {
            self.propose_own(CommandKind::MoveElection(next_move));
        }
    }

    fn propose_own(&mut self, kind: CommandKind) {
        self.propose(kind, Requester::Replica);
    }
}
