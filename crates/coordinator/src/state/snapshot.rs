//! The state as one message and back.

use super::{rules, wire, Callers, Shared};
use chalkdeck_access::{CallHistory, CallKind, HitTotals, RuleVersion};
use chalkdeck_contract::{Spoken, Use};
use prost::Message;
use std::collections::BTreeMap;

/// A state that cannot be read back.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum Broken {
    /// Not the message of a state.
    #[error("expected a state: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::state_form),
        help("the snapshot is of another program or damaged; start this keeper with an empty folder, and it asks for a place anew")
    )]
    Form(#[from] prost::DecodeError),
    /// A set in it cannot be taken.
    #[error("state: the set of {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::state_set),
        help("the snapshot is of a later program: update this keeper")
    )]
    Set(String),
    /// Its answers cannot be read.
    #[error("state: answers of callers")]
    #[diagnostic(
        code(chalkdeck::keeper::state_answers),
        help("the snapshot is of a later program: update this keeper")
    )]
    Answers,
}

impl Shared {
    /// The state as bytes; the same state gives the same bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_wire().encode_to_vec()
    }
    /// Reads it back.
    pub fn from_bytes(bytes: &[u8]) -> Result<Shared, Broken> {
        Shared::from_wire(&wire::Shared::decode(bytes)?)
    }

    /// The state as a message.
    pub fn to_wire(&self) -> wire::Shared {
        wire::Shared {
            index: self.index,
            version: self.version,
            time_ms: self.time_ms,
            next_session: self.next_session,
            next_proposal: self.next_proposal,
            sessions: self.sessions.values().cloned().collect(),
            duties: self.duties.values().cloned().collect(),
            rules: self.rules.values().cloned().collect(),
            departed: self.departed.values().cloned().collect(),
            admitted: self.admitted.values().cloned().collect(),
            spoken: self
                .spoken
                .iter()
                .flat_map(|(s, spoken)| spoken_to(s, spoken))
                .collect(),
            proposals: self.proposals.values().cloned().collect(),
            verdicts: self.verdicts.values().cloned().collect(),
            words: self.words.values().cloned().collect(),
            hits: self.hits_to(),
            recents: self.recents.iter().map(|(c, r)| recent_to(c, r)).collect(),
            answered: self.callers.to_wire(),
            removed: self
                .removed
                .iter()
                .map(|(c, at)| wire::Removed {
                    customer: c.clone(),
                    changed: *at,
                })
                .collect(),
            removed_before: self.removed_before,
            configuration: self.configuration,
            members: self.members.values().cloned().collect(),
            speakers: self.speakers,
            span_ms: self.span_ms,
            forgotten_at: self.callers.forgotten_at,
            cluster: self.cluster,
        }
    }

    /// The state of a message.
    pub fn from_wire(w: &wire::Shared) -> Result<Shared, Broken> {
        for c in &w.rules {
            if c.set.as_ref().is_some_and(|s| rules::set_of(s).is_none()) {
                return Err(Broken::Set(
                    c.set
                        .as_ref()
                        .map_or_else(String::new, |s| s.customer.clone()),
                ));
            }
        }
        let key = |c: &wire::CustomerRules| {
            c.set
                .as_ref()
                .map_or_else(String::new, |s| s.customer.clone())
        };
        let contract = |a: &wire::Admitted| {
            let c = a.contract.clone().unwrap_or_default();
            (c.service, c.version)
        };
        let mut state = Shared {
            index: w.index,
            version: w.version,
            time_ms: w.time_ms,
            next_session: w.next_session,
            next_proposal: w.next_proposal,
            sessions: w.sessions.iter().map(|s| (s.id, s.clone())).collect(),
            duties: w
                .duties
                .iter()
                .map(|d| (d.name.clone(), d.clone()))
                .collect(),
            rules: w.rules.iter().map(|c| (key(c), c.clone())).collect(),
            rule_count: w
                .rules
                .iter()
                .filter_map(|c| c.set.as_ref())
                .map(|s| s.rules.len())
                .sum(),
            departed: w
                .departed
                .iter()
                .map(|d| (d.gateway.clone(), d.clone()))
                .collect(),
            admitted: w
                .admitted
                .iter()
                .map(|a| (contract(a), a.clone()))
                .collect(),
            proposals: w.proposals.iter().map(|p| (p.id, p.clone())).collect(),
            verdicts: w.verdicts.iter().map(|v| (v.proposal, v.clone())).collect(),
            words: w
                .words
                .iter()
                .map(|s| (s.site.clone(), s.clone()))
                .collect(),
            recents: w
                .recents
                .iter()
                .map(|r| (r.customer.clone(), recent_from(r)))
                .collect(),
            callers: Callers::from_wire(&w.answered, w.forgotten_at).ok_or(Broken::Answers)?,
            removed: w
                .removed
                .iter()
                .map(|r| (r.customer.clone(), r.changed))
                .collect(),
            removed_before: w.removed_before,
            configuration: w.configuration,
            members: w.members.iter().map(|m| (m.pid, *m)).collect(),
            speakers: w.speakers,
            span_ms: w.span_ms,
            cluster: w.cluster,
            ..Shared::default()
        };
        for spoken in &w.spoken {
            spoken_from(
                state.spoken.entry(spoken.service.clone()).or_default(),
                spoken,
            );
        }
        state.hits_from(&w.hits);
        Ok(state)
    }

    fn hits_to(&self) -> Vec<wire::HitsOf> {
        let mut of: BTreeMap<u64, Vec<wire::HitLine>> = BTreeMap::new();
        let line = |customer: &String, key: &RuleVersion, count: &u64| wire::HitLine {
            customer: customer.clone(),
            version: key.version,
            rule: key.rule.clone(),
            count: *count,
        };
        for (customer, totals) in &self.hits {
            of.entry(0)
                .or_default()
                .extend(totals.folded.iter().map(|(k, n)| line(customer, k, n)));
            for (incarnation, told) in &totals.by_incarnation {
                of.entry(*incarnation)
                    .or_default()
                    .extend(told.iter().map(|(k, n)| line(customer, k, n)));
            }
        }
        for ended in &self.ended {
            of.entry(*ended).or_default();
        }
        let one = |(incarnation, lines)| wire::HitsOf {
            incarnation,
            lines,
            ended: self.ended.contains(&incarnation),
        };
        of.into_iter().map(one).collect()
    }
    fn hits_from(&mut self, list: &[wire::HitsOf]) {
        for of in list {
            if of.ended {
                self.ended.insert(of.incarnation);
            }
            for line in &of.lines {
                let totals: &mut HitTotals = self.hits.entry(line.customer.clone()).or_default();
                let rule = RuleVersion {
                    version: line.version,
                    rule: line.rule.clone(),
                };
                if of.incarnation == 0 {
                    totals.folded.insert(rule, line.count);
                } else {
                    totals.record(of.incarnation, rule, line.count);
                }
            }
        }
    }
}

fn spoken_to(service: &str, spoken: &Spoken) -> Vec<wire::SpokenVersion> {
    let versions = spoken
        .uses
        .keys()
        .chain(spoken.retired.keys())
        .collect::<std::collections::BTreeSet<_>>();
    let one = |(customer, u): (&String, &Use)| wire::Use {
        customer: customer.clone(),
        declared: u.declared,
        calls: u.calls,
        // One more than it is, so that none can be told.
        last_ms: u.last_ms.map_or(0, |at| at + 1),
        repeats_ms: u.repeats_ms.unwrap_or(0),
    };
    let version = |v: &String| wire::SpokenVersion {
        service: service.to_string(),
        version: v.clone(),
        uses: spoken.uses.get(v).into_iter().flatten().map(one).collect(),
        retired_ms: spoken.retired.get(v).map_or(0, |at| at + 1),
    };
    versions.into_iter().map(version).collect()
}

fn spoken_from(spoken: &mut Spoken, w: &wire::SpokenVersion) {
    if w.retired_ms > 0 {
        spoken.retired.insert(w.version.clone(), w.retired_ms - 1);
    }
    if w.uses.is_empty() {
        return;
    }
    let uses = spoken.uses.entry(w.version.clone()).or_default();
    for u in &w.uses {
        let of = Use {
            declared: u.declared,
            calls: u.calls,
            last_ms: u.last_ms.checked_sub(1),
            repeats_ms: Some(u.repeats_ms).filter(|r| *r > 0),
        };
        uses.insert(u.customer.clone(), of);
    }
}

fn recent_to(customer: &str, recent: &CallHistory) -> wire::RecentOf {
    let kind = |(s, count): (&CallKind, &u64)| wire::SeenKind {
        customer: String::new(),
        caller_region: s.caller_region.clone(),
        gateway_region: s.gateway_region.clone(),
        path: s.path.clone(),
        class: s.class.clone(),
        count: *count,
    };
    wire::RecentOf {
        customer: customer.to_string(),
        now: recent.current().iter().map(kind).collect(),
        before: recent.previous().iter().map(kind).collect(),
    }
}

fn recent_from(w: &wire::RecentOf) -> CallHistory {
    let kind = |s: &wire::SeenKind| {
        let seen = CallKind {
            caller_region: s.caller_region.clone(),
            gateway_region: s.gateway_region.clone(),
            path: s.path.clone(),
            class: s.class.clone(),
        };
        (seen, s.count)
    };
    let mut recent = CallHistory::default();
    w.before
        .iter()
        .map(kind)
        .for_each(|(s, n)| recent.record(s, n));
    recent.start_period();
    w.now
        .iter()
        .map(kind)
        .for_each(|(s, n)| recent.record(s, n));
    recent
}
