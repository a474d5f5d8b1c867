//! Tasks of the built-in elections that a gateway leads. Each command carries the election's fencing token, and the replicated
//! state rejects commands with an outdated one.

use super::GatewayAgent;
use crate::protocol::{wire, CommandKind, ReadKind, ReadRequest, ReadResponse};
use crate::registrar;
use crate::state::{HIT_TOTALS_ELECTION, REGISTRAR_ELECTION, SITE_OVERRIDES_ELECTION};
use chalkdeck_time::Timestamp;

impl GatewayAgent {
    /// Runs pending tasks. At most one command is in flight at a time.
    pub(super) fn run_leader_tasks(&mut self, now: Timestamp) {
        if self.session.has_pending_commands() {
            return;
        }
        if let Some(release) = self.requested_release() {
            self.session.submit(CommandKind::ReleaseElection(release));
            return;
        }
        let pending = self.session.pending_work();
        if pending.has_proposals {
            self.read_proposals(now);
        }
        if pending.has_unfolded_hits {
            self.fold_hits(now);
        }
        if pending.has_unpublished_overrides {
            self.publish_site_overrides(now);
        }
    }

    /// The command that releases the first election whose handover is requested.
    fn requested_release(&self) -> Option<wire::ReleaseElection> {
        let election = self.session.requested_handover()?;
        Some(wire::ReleaseElection {
            election: election.name.clone(),
            token: election.token,
            progress: self.session.progress(&election.name).to_vec(),
            session: self.session.id().0,
        })
    }

    fn read_proposals(&mut self, now: Timestamp) {
        if self.is_reading_proposals || self.session.leader_token(REGISTRAR_ELECTION, now).is_none()
        {
            return;
        }
        self.is_reading_proposals = true;
        self.session.send_read(ReadRequest {
            kind: ReadKind::Proposals as i32,
            ..ReadRequest::default()
        });
    }

    /// Judges the proposal in the response to a read. The verdict carries the current token, even if the read was sent under an
    /// earlier one: the response is valid for both.
    pub(super) fn judge_proposal(&mut self, now: Timestamp, response: &ReadResponse) {
        self.is_reading_proposals = false;
        let Some(token) = self.session.leader_token(REGISTRAR_ELECTION, now) else {
            return;
        };
        if let Some(judgement) = registrar::judge(response, token) {
            self.session.submit(CommandKind::JudgeProposal(judgement));
        }
    }

    fn fold_hits(&mut self, now: Timestamp) {
        if let Some(token) = self.session.leader_token(HIT_TOTALS_ELECTION, now) {
            let fold = wire::FoldHits { token: token.0 };
            self.session.submit(CommandKind::FoldHits(fold));
        }
    }

    fn publish_site_overrides(&mut self, now: Timestamp) {
        if let Some(token) = self.session.leader_token(SITE_OVERRIDES_ELECTION, now) {
            let publish = wire::PublishOverrides {
                token: token.0,
                up_to_version: self.session.state().version,
            };
            self.session.submit(CommandKind::PublishOverrides(publish));
        }
    }
}
