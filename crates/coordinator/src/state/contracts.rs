//! Contracts of services: proposals, their judgement by the registrar, and who speaks what.

use super::{done, refuse, wire, Code, Shared, REGISTRAR};
use crate::state::rules;
use wire::propose::What as Proposed;

/// Services with contracts, and versions of each.
pub const MOST_SERVICES: usize = 500;
/// See [`MOST_SERVICES`].
pub const MOST_VERSIONS: usize = 64;
/// Proposals that wait, and verdicts that are remembered.
const MOST_PROPOSALS: usize = 64;
const MOST_VERDICTS: usize = 512;
/// Lines of one verdict.
const MOST_BREAKS: usize = 100;

impl Shared {
    pub(super) fn propose(&mut self, propose: &wire::Propose, caller: u64) -> wire::Answer {
        if self.proposals.len() >= MOST_PROPOSALS {
            return refuse(
                Code::Full,
                format!("{MOST_PROPOSALS} proposals wait for the registrar"),
            );
        }
        let what = match &propose.what {
            Some(Proposed::Contract(contract)) => {
                if let Err(full) = self.has_room_for_version(contract) {
                    return full;
                }
                wire::proposal::What::Contract(contract.clone())
            }
            Some(Proposed::Rules(set)) => {
                if let Some(why) = rules::wrong_in(set) {
                    return refuse(Code::Refused, why);
                }
                if let Err(full) = self.has_room_for(set) {
                    return full;
                }
                wire::proposal::What::Rules(set.clone())
            }
            None => return refuse(Code::Refused, "expected a contract or a set of rules"),
        };
        self.next_proposal += 1;
        let id = self.next_proposal;
        self.proposals.insert(
            id,
            wire::Proposal {
                id,
                what: Some(what),
                force: propose.force,
                caller,
            },
        );
        self.bump();
        wire::Answer { id, ..done(0) }
    }

    fn has_room_for_version(&self, contract: &wire::Contract) -> Result<(), wire::Answer> {
        let key = (contract.service.clone(), contract.version.clone());
        if contract.service.is_empty() || contract.version.is_empty() {
            return Err(refuse(
                Code::Refused,
                "expected the service's name and the version's",
            ));
        }
        if contract.descriptors.len() > chalkdeck_contract::MOST_BYTES {
            return Err(refuse(
                Code::Full,
                format!("descriptors: {} bytes", contract.descriptors.len()),
            ));
        }
        if let Some(known) = self.admitted.get(&key) {
            if known.contract.as_ref() != Some(contract) {
                let why = format!(
                    "{} {} was admitted with another text",
                    contract.service, contract.version
                );
                return Err(refuse(Code::Refused, why));
            }
        }
        let of_service = self
            .admitted
            .keys()
            .filter(|k| k.0 == contract.service)
            .count();
        let mut services: Vec<&String> = self.admitted.keys().map(|k| &k.0).collect();
        services.dedup();
        if of_service >= MOST_VERSIONS || of_service == 0 && services.len() >= MOST_SERVICES {
            let why =
                format!("{MOST_SERVICES} services with {MOST_VERSIONS} versions each: retire one");
            return Err(refuse(Code::Full, why));
        }
        Ok(())
    }

    /// The registrar judged a proposal. It must hold the duty, and what it rests on must not have changed meanwhile: of two
    /// proposals that are sound alone and not together the second is looked at again.
    pub(super) fn judge(&mut self, judge: &wire::Judge) -> wire::Answer {
        if let Err(stale) = self.held(REGISTRAR, judge.token) {
            return stale;
        }
        if judge.admit && judge.speakers != self.speakers {
            return refuse(
                Code::Changed,
                "who speaks what, or what was admitted, has changed since it was looked at",
            );
        }
        let Some(proposal) = self.proposals.remove(&judge.proposal) else {
            return refuse(Code::Refused, format!("no proposal {}", judge.proposal));
        };
        let mut verdict = wire::Verdict {
            proposal: proposal.id,
            admitted: judge.admit,
            breaks: judge.breaks.iter().take(MOST_BREAKS).cloned().collect(),
            judged_ms: self.time_ms,
            ..wire::Verdict::default()
        };
        if judge.admit {
            if let Err(full) = self.put(&proposal, &mut verdict) {
                (verdict.admitted, verdict.breaks) = (false, vec![full.why]);
            }
        }
        verdict.changed = if verdict.changed == 0 {
            self.bump()
        } else {
            verdict.changed
        };
        self.verdicts.insert(proposal.id, verdict);
        if self.verdicts.len() > MOST_VERDICTS {
            self.verdicts.pop_first();
        }
        done(0)
    }

    fn put(
        &mut self,
        proposal: &wire::Proposal,
        verdict: &mut wire::Verdict,
    ) -> Result<(), wire::Answer> {
        match &proposal.what {
            Some(wire::proposal::What::Contract(contract)) => {
                self.has_room_for_version(contract)?;
                self.speakers += 1;
                verdict.changed = self.bump();
                let admitted = wire::Admitted {
                    contract: Some(contract.clone()),
                    changed: verdict.changed,
                    admitted_ms: self.time_ms,
                    retired: false,
                };
                self.admitted.insert(
                    (contract.service.clone(), contract.version.clone()),
                    admitted,
                );
            }
            Some(wire::proposal::What::Rules(set)) => {
                self.has_room_for(set)?;
                verdict.customer.clone_from(&set.customer);
                (verdict.set_version, verdict.changed) = self.put_rules(set);
            }
            None => {}
        }
        Ok(())
    }

    /// Gateways saw calls of a version.
    pub(super) fn spoke(&mut self, spoke: &wire::Spoke) {
        if self.spoken.len() >= MOST_SERVICES && !self.spoken.contains_key(&spoke.service) {
            return;
        }
        let now = self.time_ms;
        let spoken = self.spoken.entry(spoke.service.clone()).or_default();
        if spoken.uses.len() >= 2 * MOST_VERSIONS && !spoken.uses.contains_key(&spoke.version) {
            return;
        }
        // A version that nobody spoke, or that was thought dead, is news to whoever checks.
        let known = spoken
            .uses
            .get(&spoke.version)
            .is_some_and(|u| u.contains_key(&spoke.customer));
        let dead = spoken.retired.contains_key(&spoke.version);
        spoken.seen(&spoke.version, &spoke.customer, spoke.calls, now);
        if !known || dead {
            self.speakers += 1;
        }
    }

    pub(super) fn subscribe(&mut self, s: &wire::Subscribe) -> wire::Answer {
        if [&s.customer, &s.service, &s.version]
            .iter()
            .any(|t| t.is_empty() || t.len() > 256)
        {
            return refuse(
                Code::Refused,
                "expected a customer, a service and a version, of 256 bytes at most",
            );
        }
        if self.spoken.len() >= MOST_SERVICES && !self.spoken.contains_key(&s.service) {
            return refuse(Code::Full, format!("{MOST_SERVICES} services are spoken"));
        }
        self.speakers += 1;
        let repeats = Some(s.repeats_ms).filter(|r| *r > 0);
        let spoken = self.spoken.entry(s.service.clone()).or_default();
        spoken.declare(&s.version, &s.customer, !s.gone, repeats);
        done(0)
    }

    /// An explicit word that a version counts as spoken no more.
    pub(super) fn retire(&mut self, retire: &wire::Retire) -> wire::Answer {
        let (now, key) = (
            self.time_ms,
            (retire.service.clone(), retire.version.clone()),
        );
        if !self.admitted.contains_key(&key) && !self.spoken.contains_key(&key.0) {
            return refuse(Code::Refused, format!("{} {} is not known", key.0, key.1));
        }
        self.speakers += 1;
        self.spoken
            .entry(key.0.clone())
            .or_default()
            .retire(&key.1, now);
        let changed = self.bump();
        if let Some(admitted) = self.admitted.get_mut(&key) {
            (admitted.retired, admitted.changed) = (true, changed);
        }
        done(0)
    }
}
