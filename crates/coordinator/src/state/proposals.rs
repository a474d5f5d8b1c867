//! Proposals of contracts and rule sets, and the registrar's judgements on them.

use super::{done, rejected, rules, ReplicatedState, REGISTRAR_ELECTION};
use crate::protocol::{wire, CommandResponse, ResponseCode};
use wire::propose::Proposed as ProposedKind;

/// Maximum number of proposals that wait for the registrar.
const MAX_PROPOSALS: usize = 64;
/// Maximum number of stored verdicts.
const MAX_VERDICTS: usize = 512;
/// Maximum number of reasons in one verdict.
const MAX_REASONS: usize = 100;

impl ReplicatedState {
    pub(super) fn add_proposal(&mut self, propose: &wire::Propose, caller: u64) -> CommandResponse {
        if self.proposals.len() >= MAX_PROPOSALS {
            let reason = format!("{MAX_PROPOSALS} proposals wait for the registrar");
            return rejected(ResponseCode::Full, reason);
        }
        let proposed = match self.check_proposed(propose.proposed.as_ref()) {
            Ok(proposed) => proposed,
            Err(rejection) => return rejection,
        };
        self.last_proposal += 1;
        let proposal = wire::Proposal {
            id: self.last_proposal,
            proposed: Some(proposed),
            force: propose.force,
            caller,
        };
        self.proposals.insert(proposal.id, proposal);
        self.increment_version();
        CommandResponse {
            id: self.last_proposal,
            ..done()
        }
    }

    /// Checks that a proposal is valid by itself and does not exceed the limits.
    fn check_proposed(
        &self,
        proposed: Option<&ProposedKind>,
    ) -> Result<wire::proposal::Proposed, CommandResponse> {
        match proposed {
            Some(ProposedKind::Contract(contract)) => {
                self.check_contract(contract)?;
                Ok(wire::proposal::Proposed::Contract(contract.clone()))
            }
            Some(ProposedKind::Rules(set)) => {
                if let Some(error) = rules::rule_set_error(set) {
                    return Err(rejected(ResponseCode::Refused, error));
                }
                self.check_rule_capacity(set)?;
                Ok(wire::proposal::Proposed::Rules(set.clone()))
            }
            None => Err(rejected(
                ResponseCode::Refused,
                "expected a contract or a set of rules",
            )),
        }
    }

    /// Applies the registrar's judgement. The registrar must still lead its election, and the data that an admission is based on must
    /// not have changed since: of two proposals that are compatible with the admitted contracts but not with each other, the second
    /// is judged again.
    pub(super) fn judge_proposal(&mut self, judgement: &wire::JudgeProposal) -> CommandResponse {
        if let Err(stale) = self.check_leader(REGISTRAR_ELECTION, judgement.token) {
            return stale;
        }
        if judgement.admit && judgement.contract_revision != self.contract_revision {
            return rejected(
                ResponseCode::Changed,
                "who speaks what, or what was admitted, has changed since it was looked at",
            );
        }
        let Some(proposal) = self.proposals.remove(&judgement.proposal) else {
            let reason = format!("no proposal {}", judgement.proposal);
            return rejected(ResponseCode::Refused, reason);
        };
        let verdict = self.apply_judgement(&proposal, judgement);
        self.verdicts.insert(proposal.id, verdict);
        if self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.pop_first();
        }
        done()
    }

    /// Carries out a judgement, and returns the verdict to store.
    fn apply_judgement(
        &mut self,
        proposal: &wire::Proposal,
        judgement: &wire::JudgeProposal,
    ) -> wire::Verdict {
        let reasons = judgement.reasons.iter().take(MAX_REASONS);
        let mut verdict = wire::Verdict {
            proposal: proposal.id,
            admitted: judgement.admit,
            reasons: reasons.cloned().collect(),
            judged_ms: self.time_ms,
            ..wire::Verdict::default()
        };
        if judgement.admit {
            if let Err(rejection) = self.admit(proposal, &mut verdict) {
                verdict.admitted = false;
                verdict.reasons = vec![rejection.reason];
            }
        }
        if verdict.changed == 0 {
            verdict.changed = self.increment_version();
        }
        verdict
    }

    fn admit(
        &mut self,
        proposal: &wire::Proposal,
        verdict: &mut wire::Verdict,
    ) -> Result<(), CommandResponse> {
        match &proposal.proposed {
            Some(wire::proposal::Proposed::Contract(contract)) => {
                verdict.changed = self.admit_contract(contract)?;
            }
            Some(wire::proposal::Proposed::Rules(set)) => {
                self.check_rule_capacity(set)?;
                verdict.customer.clone_from(&set.customer);
                let admitted = self.admit_rules(set);
                verdict.set_version = admitted.set_version;
                verdict.changed = admitted.changed;
            }
            None => {}
        }
        Ok(())
    }
}
