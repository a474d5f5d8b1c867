//! Reports of gateways: rule hits, recent calls and contract versions in use.

use super::{done, rejected, ReplicatedState, HIT_TOTALS_ELECTION};
use crate::protocol::{wire, CommandResponse, ResponseCode};
use chalkdeck_access::{CallKind, RuleVersion};
use chalkdeck_leader_election::SessionId;

/// Maximum number of customers with hits, and of customers with recent calls.
const MAX_CUSTOMERS: usize = 20_000;
/// Maximum number of lines of folded hits of one customer.
const MAX_FOLDED_LINES: usize = 20_002;

impl ReplicatedState {
    /// Applies a report. Hits are cumulative counts, of which the larger one is kept; the other counts are increments, which are
    /// deduplicated by the report's number.
    pub(super) fn apply_report(&mut self, report: &wire::Report) -> CommandResponse {
        let Some(session) = self.sessions.get_mut(&SessionId(report.session)) else {
            return rejected(ResponseCode::NoSession, "no such session");
        };
        let is_new = report.number > session.last_report;
        session.last_report = session.last_report.max(report.number);
        let incarnation = session.incarnation;
        for line in &report.hits {
            self.record_hits(incarnation, line);
        }
        if is_new {
            for calls in &report.version_calls {
                self.record_version_use(calls);
            }
            for calls in &report.call_counts {
                self.record_recent_calls(calls);
            }
        }
        CommandResponse {
            id: report.number,
            ..done()
        }
    }

    fn record_hits(&mut self, incarnation: u64, line: &wire::HitLine) {
        if self.hits.len() >= MAX_CUSTOMERS && !self.hits.contains_key(&line.customer) {
            return;
        }
        let totals = self.hits.entry(line.customer.clone()).or_default();
        totals.record(incarnation, rule_version(line), line.count);
    }

    fn record_recent_calls(&mut self, calls: &wire::CallCount) {
        let is_known = self.recent_calls.contains_key(&calls.customer);
        if self.recent_calls.len() >= MAX_CUSTOMERS && !is_known {
            return;
        }
        let recent = self.recent_calls.entry(calls.customer.clone()).or_default();
        recent.record(call_kind(calls), calls.count);
    }

    /// Folds the hits of ended incarnations into the totals, at the request of the election's leader.
    pub(super) fn fold_hits(&mut self, token: u64) -> CommandResponse {
        if let Err(stale) = self.check_leader(HIT_TOTALS_ELECTION, token) {
            return stale;
        }
        for incarnation in std::mem::take(&mut self.ended_incarnations) {
            for totals in self.hits.values_mut() {
                totals.fold(incarnation);
            }
        }
        for totals in self.hits.values_mut() {
            totals.compact(MAX_FOLDED_LINES);
        }
        done()
    }

    /// The fleet's hits by customer, version and rule, for one customer, or for all if `customer` is empty.
    pub fn hit_lines(&self, customer: &str) -> Vec<wire::HitLine> {
        let mut lines = Vec::new();
        for (name, totals) in &self.hits {
            if !customer.is_empty() && name != customer {
                continue;
            }
            for (rule_version, count) in totals.all() {
                lines.push(wire::HitLine {
                    customer: name.clone(),
                    version: rule_version.version,
                    rule: rule_version.rule,
                    count,
                });
            }
        }
        lines
    }
}

/// The kind of a line of recent calls.
pub(super) fn call_kind(calls: &wire::CallCount) -> CallKind {
    CallKind {
        caller_region: calls.caller_region.clone(),
        gateway_region: calls.gateway_region.clone(),
        path: calls.path.clone(),
        class: calls.class.clone(),
    }
}

/// The rule of a line of hits.
pub(super) fn rule_version(line: &wire::HitLine) -> RuleVersion {
    RuleVersion {
        version: line.version,
        rule: line.rule.clone(),
    }
}
