//! What the state says when it is asked: news for those who watch, looks for people, tools and the holders of duties.

use super::{rules, wire, Shared, TALLY};
use chalkdeck_access::{CallKind, DryRun, RuleVersion};
use wire::look_request::What;

/// What a look needs beside the state.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// A version that was not called for so long is dead, in milliseconds of the agreed time.
    pub dead_after_ms: u64,
}

impl Shared {
    /// What waits for a holder: proposals, hits to be folded, words to be published.
    pub fn hints(&self) -> (bool, bool, bool) {
        let unpublished = self.words.values().any(|w| !w.published);
        (
            !self.proposals.is_empty(),
            !self.ended.is_empty(),
            unpublished,
        )
    }

    /// What changed since a version that the other side holds; whole where changes alone cannot tell it, or nothing is held.
    pub fn news(&self, held: u64) -> wire::News {
        // One that holds more than this keeper has heard misses nothing that is known here.
        let whole = held == 0 || held < self.removed_before;
        let since = if whole { 0 } else { held };
        let rules = self
            .rules
            .values()
            .filter(|c| c.changed > since)
            .filter_map(|c| c.set.clone())
            .collect();
        let gone = self
            .removed
            .iter()
            .filter(|(c, at)| *at > since && !self.rules.contains_key(c));
        let gone = if whole {
            Vec::new()
        } else {
            gone.map(|(c, _)| c.clone()).collect()
        };
        let contracts = self.admitted.values().filter(|a| a.changed > since);
        let name = |a: &wire::Admitted| {
            let c = a.contract.clone().unwrap_or_default();
            wire::Contract {
                descriptors: Vec::new(),
                promises: Vec::new(),
                ..c
            }
        };
        let (retired, standing): (Vec<_>, Vec<_>) = contracts.partition(|a| a.retired);
        let (proposals, unfolded, unpublished) = self.hints();
        wire::News {
            version: self.version,
            whole,
            rules,
            rules_gone: gone,
            duties: self
                .duties
                .values()
                .filter(|d| d.changed > since)
                .cloned()
                .collect(),
            contracts: standing.into_iter().map(name).collect(),
            retired: retired
                .into_iter()
                .map(name)
                .map(|c| format!("{} {}", c.service, c.version))
                .collect(),
            words: self
                .words
                .values()
                .filter(|w| w.published && w.changed > since)
                .cloned()
                .collect(),
            proposals,
            unfolded,
            unpublished,
            cluster: self.cluster,
            since,
        }
    }

    /// Answers a look.
    pub fn look(&self, request: &wire::LookRequest, terms: Terms) -> wire::LookAnswer {
        let mut answer = wire::LookAnswer {
            version: self.version,
            time_ms: self.time_ms,
            configuration: self.configuration,
            members: self.members.values().cloned().collect(),
            dead_after_ms: terms.dead_after_ms,
            speakers: self.speakers,
            ..wire::LookAnswer::default()
        };
        match request.what() {
            What::Status => self.status(&mut answer),
            What::Proposals => self.waiting(&mut answer),
            What::Verdict => {
                answer.verdict = self.verdicts.get(&request.proposal).cloned();
                let customer = answer
                    .verdict
                    .as_ref()
                    .map_or(&request.customer, |v| &v.customer);
                answer.in_force = self.in_force(customer);
                answer.proposals = self
                    .proposals
                    .get(&request.proposal)
                    .cloned()
                    .into_iter()
                    .collect();
            }
            What::Hits => answer.hits = self.hit_lines(&request.customer),
            What::Try => {
                let set = request.set.as_ref().and_then(rules::set_of);
                let recent = request
                    .set
                    .as_ref()
                    .and_then(|s| self.recents.get(&s.customer));
                answer.tried =
                    set.map(|set| tried(&recent.map(|r| r.dry_run(&set)).unwrap_or_default()));
            }
            What::Spoken => self.speak(&mut answer, &request.service),
            What::Rules => {
                let fit = self.rules.values().filter_map(|c| c.set.as_ref());
                let fit =
                    fit.filter(|s| request.customer.is_empty() || s.customer == request.customer);
                answer.rules = fit.cloned().collect();
            }
            What::Members => {}
        }
        answer
    }

    fn status(&self, answer: &mut wire::LookAnswer) {
        answer.sessions = self.sessions.values().cloned().collect();
        answer.duties = self.duties.values().cloned().collect();
        answer.departed = self.departed.values().cloned().collect();
        let back = |(service, spoken): (&String, &chalkdeck_contract::Spoken)| {
            let back = spoken.back();
            back.into_iter()
                .map(|version| format!("{service} {version}"))
                .collect::<Vec<_>>()
        };
        answer.back = self.spoken.iter().flat_map(back).collect();
    }

    /// What waits for the registrar, the next one first, with what its check rests on.
    fn waiting(&self, answer: &mut wire::LookAnswer) {
        let Some(next) = self.proposals.values().next() else {
            return;
        };
        answer.proposals = vec![next.clone()];
        match &next.what {
            Some(wire::proposal::What::Contract(contract)) => {
                let of_service = |k: &(String, String)| k.0 == contract.service;
                answer.admitted = self
                    .admitted
                    .iter()
                    .filter(|(k, _)| of_service(k))
                    .map(|(_, a)| a.clone())
                    .collect();
                self.speak(answer, &contract.service);
            }
            Some(wire::proposal::What::Rules(set)) => {
                answer.tried = rules::set_of(set).map(|rules| {
                    tried(
                        &self
                            .recents
                            .get(&set.customer)
                            .map(|r| r.dry_run(&rules))
                            .unwrap_or_default(),
                    )
                });
            }
            None => {}
        }
    }

    fn speak(&self, answer: &mut wire::LookAnswer, service: &str) {
        let fit = self
            .spoken
            .iter()
            .filter(|(s, _)| service.is_empty() || *s == service);
        for (service, spoken) in fit {
            for (version, uses) in &spoken.uses {
                let one = |(customer, u): (&String, &chalkdeck_contract::Use)| wire::Use {
                    customer: customer.clone(),
                    declared: u.declared,
                    calls: u.calls,
                    last_ms: u.last_ms.unwrap_or(0),
                    repeats_ms: u.repeats_ms.unwrap_or(0),
                };
                answer.spoken.push(wire::SpokenVersion {
                    service: service.clone(),
                    version: version.clone(),
                    uses: uses.iter().map(one).collect(),
                    retired_ms: spoken.retired.get(version).copied().unwrap_or(0),
                });
            }
        }
    }

    /// Hits of the fleet by customer, version and rule; empty: of all customers.
    pub fn hit_lines(&self, customer: &str) -> Vec<wire::HitLine> {
        let fit = self
            .hits
            .iter()
            .filter(|(c, _)| customer.is_empty() || *c == customer);
        let lines = fit.flat_map(|(c, totals)| {
            let line = |(key, count): (RuleVersion, u64)| wire::HitLine {
                customer: c.clone(),
                version: key.version,
                rule: key.rule,
                count,
            };
            totals.all().into_iter().map(line).collect::<Vec<_>>()
        });
        lines.collect()
    }

    /// The tally has something to fold, and nobody does it: for the status.
    pub fn unfolded(&self) -> bool {
        !self.ended.is_empty() && self.duties.get(TALLY).is_some_and(|d| d.holder == 0)
    }
    /// What came of late from a customer, by kind.
    pub fn seen_of(&self, customer: &str) -> Vec<(CallKind, u64)> {
        self.recents
            .get(customer)
            .map(|r| r.calls_by_kind().into_iter().collect())
            .unwrap_or_default()
    }
}

fn tried(would: &DryRun) -> wire::Tried {
    let line = |(rule, count): (&String, &u64)| wire::HitLine {
        rule: rule.clone(),
        count: *count,
        ..wire::HitLine::default()
    };
    wire::Tried {
        calls: would.calls,
        denied: would.denied,
        locks_out: would.locks_out(),
        by_rule: would.by_rule.iter().map(line).collect(),
    }
}
