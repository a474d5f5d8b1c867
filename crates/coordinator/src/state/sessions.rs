//! Gateways' sessions, and what they report.

use super::{done, refuse, wire, Code, Shared};
use chalkdeck_access::{CallKind, RuleVersion};

/// Sessions at once.
pub const MOST_SESSIONS: usize = 1_000;
/// Gateways that are remembered as cut off.
const MOST_DEPARTED: usize = 2_000;
/// Customers with hits or recent calls that are kept.
const MOST_CUSTOMERS: usize = 20_000;
/// Lines of folded hits of one customer.
const MOST_LINES: usize = 20_002;

impl Shared {
    pub(super) fn open(&mut self, open: &wire::Open) -> wire::Answer {
        if open.gateway.is_empty() || open.incarnation == 0 {
            return refuse(Code::Refused, "expected a gateway's name and incarnation");
        }
        // Said again, over another connection or after a lost answer: the same session.
        let same =
            |s: &&wire::Session| s.gateway == open.gateway && s.incarnation == open.incarnation;
        if let Some(session) = self.sessions.values().find(same) {
            let (id, resigns) = (session.id, session.candidate && !open.candidate);
            if resigns {
                self.sessions
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|s| s.candidate = false);
                self.free_duties(id);
            }
            return wire::Answer { id, ..done(0) };
        }
        if let Some(later) = self.later_life(open) {
            // Said long ago and late on its way, or by a gateway whose date was set back: then it may take a larger number.
            return wire::Answer {
                token: later,
                ..refuse(Code::Refused, "a later life of this gateway is known")
            };
        }
        if self.sessions.len() >= MOST_SESSIONS {
            return refuse(Code::Full, format!("there are {MOST_SESSIONS} sessions"));
        }
        self.next_session += 1;
        let id = self.next_session;
        let session = wire::Session {
            id,
            gateway: open.gateway.clone(),
            site: open.site.clone(),
            incarnation: open.incarnation,
            renewed: self.index,
            candidate: open.candidate,
            ..wire::Session::default()
        };
        self.sessions.insert(id, session);
        // An earlier life of it is over: it is this one that holds rules there now.
        if let Some(earlier) = self.departed.remove(&open.gateway) {
            // A later life of it: the earlier one reports no more. The same life goes on with its counts.
            if earlier.incarnation != open.incarnation {
                self.ended.insert(earlier.incarnation);
            }
        }
        self.bump();
        self.place_free();
        wire::Answer { id, ..done(0) }
    }

    /// The largest incarnation that is known under the gateway's name, if it is a later life. Guards what a later life told from being
    /// folded as that of an earlier one.
    fn later_life(&self, open: &wire::Open) -> Option<u64> {
        let own = self
            .sessions
            .values()
            .filter(|s| s.gateway == open.gateway)
            .map(|s| s.incarnation);
        let departed = self.departed.get(&open.gateway).map(|d| d.incarnation);
        own.chain(departed)
            .filter(|known| *known > open.incarnation)
            .max()
    }

    pub(super) fn renew(&mut self, renew: &wire::Renew) -> wire::Answer {
        let index = self.index;
        for renewed in &renew.sessions {
            if let Some(session) = self.sessions.get_mut(&renewed.session) {
                session.renewed = index;
                session.applied = session.applied.max(renewed.applied);
            }
        }
        done(0)
    }

    /// A gateway says that it ends: its duties go on at once.
    pub(super) fn close(&mut self, id: u64) -> wire::Answer {
        let Some(session) = self.sessions.remove(&id) else {
            return refuse(Code::NoSession, "no such session");
        };
        self.ended.insert(session.incarnation);
        self.free_duties(id);
        done(0)
    }

    /// A session was not renewed for longer than its holder counts on.
    pub(super) fn lapse(&mut self, lapse: &wire::Lapse) -> wire::Answer {
        // Renewed meanwhile: it stays.
        if self
            .sessions
            .get(&lapse.session)
            .is_none_or(|s| s.renewed != lapse.renewed)
        {
            return refuse(Code::Changed, "renewed since, or gone");
        }
        let Some(session) = self.sessions.remove(&lapse.session) else {
            return refuse(Code::NoSession, "no such session");
        };
        // One of the same name may be back already, with a session of its own. What lapsed in the same life goes on counting and is
        // folded only once that life is surely over: folded before, all that it told would count again when it is back.
        match self
            .sessions
            .values()
            .find(|s| s.gateway == session.gateway)
        {
            Some(back) if back.incarnation == session.incarnation => {}
            Some(_) => drop(self.ended.insert(session.incarnation)),
            None => self.depart(session),
        }
        self.free_duties(lapse.session);
        done(0)
    }

    fn depart(&mut self, session: wire::Session) {
        let departed = wire::Departed {
            gateway: session.gateway.clone(),
            applied: session.applied,
            ended_ms: self.time_ms,
            incarnation: session.incarnation,
        };
        self.departed.insert(session.gateway, departed);
        while self.departed.len() > MOST_DEPARTED {
            let oldest = self
                .departed
                .values()
                .min_by_key(|d| d.ended_ms)
                .map(|d| d.gateway.clone());
            let gone = oldest.and_then(|o| self.departed.remove(&o));
            self.ended.extend(gone.map(|d| d.incarnation));
        }
    }

    /// Hits by the larger; the rest counts once by the report's number.
    pub(super) fn report(&mut self, report: &wire::Report) -> wire::Answer {
        let Some(session) = self.sessions.get_mut(&report.session) else {
            return refuse(Code::NoSession, "no such session");
        };
        let new = report.number > session.report;
        session.report = session.report.max(report.number);
        let incarnation = session.incarnation;
        for line in &report.hits {
            if self.hits.len() >= MOST_CUSTOMERS && !self.hits.contains_key(&line.customer) {
                continue;
            }
            let totals = self.hits.entry(line.customer.clone()).or_default();
            let rule = RuleVersion {
                version: line.version,
                rule: line.rule.clone(),
            };
            totals.record(incarnation, rule, line.count);
        }
        for spoke in report.spoke.iter().filter(|_| new) {
            self.spoke(spoke);
        }
        for seen in report.seen.iter().filter(|_| new) {
            if self.recents.len() >= MOST_CUSTOMERS && !self.recents.contains_key(&seen.customer) {
                continue;
            }
            let kind = CallKind {
                caller_region: seen.caller_region.clone(),
                gateway_region: seen.gateway_region.clone(),
                path: seen.path.clone(),
                class: seen.class.clone(),
            };
            self.recents
                .entry(seen.customer.clone())
                .or_default()
                .record(kind, seen.count);
        }
        wire::Answer {
            id: report.number,
            ..done(0)
        }
    }

    /// The tally's holder folds what ended sessions left.
    pub(super) fn fold(&mut self, token: u64) -> wire::Answer {
        if let Err(stale) = self.held(super::TALLY, token) {
            return stale;
        }
        for incarnation in std::mem::take(&mut self.ended) {
            for totals in self.hits.values_mut() {
                totals.fold(incarnation);
            }
        }
        self.hits.values_mut().for_each(|t| t.compact(MOST_LINES));
        done(0)
    }

    /// Sessions that stand, by their numbers.
    pub fn sessions(&self) -> impl Iterator<Item = &wire::Session> {
        self.sessions.values()
    }
    /// One session.
    pub fn session(&self, id: u64) -> Option<&wire::Session> {
        self.sessions.get(&id)
    }
}
