//! Duties: who holds which, under which token.

use super::{done, refuse, wire, Code, Shared};
use chalkdeck_leader_election::placement::{choose_leader, rebalance, Candidate, Reassignment};
use chalkdeck_leader_election::SessionId;

/// Duties at once.
pub const MOST_DUTIES: usize = 64;
/// Bytes of a duty's progress.
const MOST_PROGRESS: usize = 64 << 10;
/// Admits contracts and rule sets, one after another.
pub const REGISTRAR: &str = "registrar";
/// Folds hits of gateways that are gone.
pub const TALLY: &str = "tally";
/// Lets operators' words on sites reach all gateways.
pub const SITE_WORDS: &str = "site-words";

impl Shared {
    /// A duty is there from here on.
    pub(super) fn ensure(&mut self, name: &str) -> wire::Answer {
        if name.is_empty() || name.len() > 128 {
            return refuse(Code::Refused, "expected a name of at most 128 bytes");
        }
        if self.duties.contains_key(name) {
            return done(0);
        }
        if self.duties.len() >= MOST_DUTIES {
            return refuse(Code::Full, format!("there are {MOST_DUTIES} duties"));
        }
        let changed = self.bump();
        self.duties.insert(
            name.into(),
            wire::Duty {
                name: name.into(),
                changed,
                ..wire::Duty::default()
            },
        );
        self.place_free();
        done(0)
    }

    /// Whether that token is the duty's present holder's. The sink of each effect of a duty.
    pub(super) fn held(&self, name: &str, token: u64) -> Result<&wire::Duty, wire::Answer> {
        match self.duties.get(name) {
            Some(duty) if duty.holder != 0 && duty.token == token => Ok(duty),
            Some(duty) => {
                let why = format!("token {token} of {name}: the present one is {}", duty.token);
                Err(wire::Answer {
                    token: duty.token,
                    ..refuse(Code::Stale, why)
                })
            }
            None => Err(refuse(Code::Refused, format!("no duty '{name}'"))),
        }
    }

    fn holders(&self) -> Vec<Option<SessionId>> {
        self.duties
            .values()
            .map(|d| Some(SessionId(d.holder)).filter(|h| h.0 != 0))
            .collect()
    }
    fn candidates(&self) -> Vec<Candidate<'_>> {
        let fit = self.sessions.values().filter(|s| s.candidate);
        fit.map(|s| Candidate {
            session: SessionId(s.id),
            site: &s.site,
        })
        .collect()
    }

    /// Duties that nobody holds go to those that hold least.
    pub(super) fn place_free(&mut self) {
        let names: Vec<String> = self.duties.keys().cloned().collect();
        for (place, name) in names.into_iter().enumerate() {
            let holders = self.holders();
            if holders[place].is_some() {
                continue;
            }
            if let Some(to) = choose_leader(&holders, &self.candidates(), None) {
                self.give(&name, to.0);
            }
        }
    }

    fn give(&mut self, name: &str, to: u64) {
        let changed = self.bump();
        if let Some(duty) = self.duties.get_mut(name) {
            (duty.holder, duty.token, duty.move_to, duty.changed) =
                (to, duty.token + 1, 0, changed);
        }
    }

    /// A session is over: what it held is held by others, and nobody moves a duty to it.
    pub(super) fn free_duties(&mut self, session: u64) {
        let changed = self.bump();
        for duty in self
            .duties
            .values_mut()
            .filter(|d| d.holder == session || d.move_to == session)
        {
            duty.holder = if duty.holder == session {
                0
            } else {
                duty.holder
            };
            (duty.move_to, duty.changed) = (0, changed);
        }
        self.place_free();
    }

    /// A holder lets go, with how far it came.
    pub(super) fn release(&mut self, release: &wire::Release) -> wire::Answer {
        if release.progress.len() > MOST_PROGRESS {
            return refuse(
                Code::Full,
                format!("progress: expected at most {MOST_PROGRESS} bytes"),
            );
        }
        if let Err(stale) = self.held(&release.duty, release.token) {
            return stale;
        }
        let (holders, from) = (self.holders(), release.session);
        let standing = |id: u64| self.sessions.get(&id).is_some_and(|s| s.candidate);
        let duty = &self.duties[&release.duty];
        let asked = Some(duty.move_to).filter(|to| *to != 0 && standing(*to));
        let to = asked.or_else(|| {
            choose_leader(&holders, &self.candidates(), Some(SessionId(from))).map(|to| to.0)
        });
        if let Some(duty) = self.duties.get_mut(&release.duty) {
            duty.progress.clone_from(&release.progress);
            duty.holder = 0;
        }
        match to {
            Some(to) => self.give(&release.duty, to),
            None => {
                let changed = self.bump();
                self.duties
                    .get_mut(&release.duty)
                    .into_iter()
                    .for_each(|d| d.changed = changed);
            }
        }
        done(0)
    }

    /// A duty is to go to another, which evens the load out: its holder is asked to let go.
    pub(super) fn move_duty(&mut self, of: &wire::Move) -> wire::Answer {
        if let Err(stale) = self.held(&of.duty, of.token) {
            return stale;
        }
        if !self.sessions.contains_key(&of.to) {
            return refuse(Code::NoSession, "no such session");
        }
        let (changed, now) = (self.bump(), self.time_ms);
        if let Some(duty) = self.duties.get_mut(&of.duty) {
            (duty.move_to, duty.moved_ms, duty.changed) = (of.to, now, changed);
        }
        done(0)
    }

    /// The next gentle move, of a duty that was not moved for so long.
    pub fn wants_move(&self, at_most_every_ms: u64) -> Option<wire::Move> {
        // One at a time: nobody is asked while another still holds on.
        if self.duties.values().any(|d| d.move_to != 0) {
            return None;
        }
        let Reassignment { election, to } = rebalance(&self.holders(), &self.candidates())?;
        let duty = self.duties.values().nth(election)?;
        let rested = duty.moved_ms == 0 || self.time_ms >= duty.moved_ms + at_most_every_ms;
        rested.then(|| wire::Move {
            duty: duty.name.clone(),
            token: duty.token,
            to: to.0,
        })
    }

    /// All duties.
    pub fn duties(&self) -> impl Iterator<Item = &wire::Duty> {
        self.duties.values()
    }
}
