//! One gateway as a member of the fleet, free of I/O: which keeper it speaks to, what its duties make it do, what it reports, and
//! what its customers' rules say of calls.

use crate::registrar;
use crate::seen::Counted;
use crate::session::{Came, Changes, Held, Session};
use crate::state::{set_of, REGISTRAR, SITE_WORDS, TALLY};
use chalkdeck_access as access;
use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use fastrand::Rng;
use wire::command::What;

/// Customers whose counts one report tells.
const REPORTED: usize = 256;
/// The longest pause before another keeper is dialled, in microseconds; drawn by chance, so that gateways that lost one keeper do not
/// come to the next together.
const PAUSE: u64 = 200_000;
/// A keeper that gives no session by then, in microseconds, is left for the next.
const FIRST: u64 = 1_500_000;

/// What a gateway has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Speak to the keeper at that place, over a new connection; an earlier one is closed.
    Dial(usize),
    /// Say this on the connection.
    Up(Box<wire::Up>),
    /// What is held changed by this: keep it for the next start, then [`Member::kept`].
    Keep(Box<wire::News>),
    /// Look at the open streams of these customers again, by [`Member::still_goes`].
    Recheck(Vec<String>),
    /// The session lapsed, or stands again: the same for the streams of all customers.
    RecheckAll,
    /// Other versions of services are admitted now.
    Contracts,
    /// An operator's word on a site.
    Word(wire::SiteWord),
}

/// How a gateway is known.
#[derive(Clone, Debug)]
pub struct Set {
    /// Its name, site, incarnation, and whether it may hold duties.
    pub open: wire::Open,
    /// How many keepers there are to speak to.
    pub keepers: usize,
    /// Between reports, in microseconds.
    pub report_every: u64,
    /// For what is drawn by chance.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    /// Dialled again at that time.
    Down(u64),
    /// Dialled; given up at that time.
    Dialled(u64),
    /// Heard last at that time.
    Up(u64),
}

/// One gateway's side of the shared state.
#[derive(Debug)]
pub struct Member {
    session: Session,
    access: access::RuleStore,
    counted: Counted,
    keepers: usize,
    place: usize,
    link: Link,
    rng: Rng,
    report_every: u64,
    report_at: u64,
    /// A look at proposals is under way.
    judging: bool,
    /// The session stood when that was last looked at.
    stood: bool,
    acts: Vec<Act>,
}

impl Member {
    /// Begins with what an earlier life held, and no connection.
    pub fn new(set: Set, held: Held, now: u64) -> Member {
        let mut rng = Rng::with_seed(set.seed);
        let mut access = access::RuleStore::default();
        for set in held.rules.values().filter_map(set_of) {
            access.insert(set);
        }
        let acts = held.words.values().cloned().map(Act::Word).collect();
        Member {
            place: rng.usize(..set.keepers.max(1)),
            session: Session::new(set.open, LeaseTerms::default(), held),
            access,
            counted: Counted::default(),
            keepers: set.keepers.max(1),
            link: Link::Down(now),
            report_every: set.report_every,
            report_at: now + rng.u64(..set.report_every.max(1)),
            rng,
            judging: false,
            stood: false,
            acts,
        }
    }

    /// Its session.
    pub fn session(&self) -> &Session {
        &self.session
    }
    /// Its sets of rules.
    pub fn access(&self) -> &access::RuleStore {
        &self.access
    }
    /// The keeper that it speaks to, or dials next.
    pub fn place(&self) -> usize {
        self.place
    }
    /// Whether anything of the shared state was ever heard. Without it no call may be admitted: it is not known what is denied.
    pub fn knows(&self) -> bool {
        self.session.knows()
    }
    /// What is to be done now.
    pub fn take(&mut self) -> Vec<Act> {
        let ups = self
            .session
            .take_out()
            .into_iter()
            .map(|up| Act::Up(Box::new(up)));
        let ups: Vec<Act> = ups.collect();
        self.acts.extend(ups);
        std::mem::take(&mut self.acts)
    }

    // ---- calls ----

    /// Decides a call at its arrival, and counts it with the version of the service that its caller speaks.
    pub fn arrives(
        &mut self,
        now: u64,
        customer: &str,
        call: &access::Call,
        version: Option<&str>,
    ) -> access::Verdict {
        let stands = self.session.stands(now);
        self.counted.came(customer, call, version);
        self.access
            .decide(customer, call, access::SessionState::new(stands))
    }
    /// Whether what goes on already may go on.
    pub fn still_goes(&self, now: u64, customer: &str, call: &access::Call) -> access::Verdict {
        let session = access::SessionState::new(self.session.stands(now));
        self.access.recheck(customer, call, session)
    }

    // ---- the connection ----

    /// The connection that was asked for stands.
    pub fn connected(&mut self, now: u64) {
        self.link = Link::Up(now);
        self.judging = false;
        self.session.connected();
    }
    /// The connection was not made, or is over.
    pub fn lost(&mut self, now: u64) {
        self.session.disconnected();
        self.judging = false;
        self.place = (self.place + 1) % self.keepers;
        self.link = Link::Down(now + self.rng.u64(..PAUSE));
    }

    /// Time passes.
    pub fn tick(&mut self, now: u64) {
        // Half of a session is left for another keeper then.
        let half = self.session.terms().lease.as_micros() / 2;
        let patience = if self.session.id() == 0 {
            half.min(FIRST)
        } else {
            half
        };
        match self.link {
            Link::Down(at) if now >= at => {
                self.link = Link::Dialled(now + patience / 2);
                self.acts.push(Act::Dial(self.place));
            }
            Link::Dialled(until) if now >= until => self.lost(now),
            Link::Up(heard) if now >= heard + patience => self.lost(now),
            _ => {}
        }
        self.session.tick(now);
        self.chores(now);
        self.report(now);
        let stands = self.session.stands(now);
        if std::mem::replace(&mut self.stood, stands) != stands {
            self.acts.push(Act::RecheckAll);
        }
    }

    /// Something came down. The answer to an own command comes back in it.
    pub fn down(&mut self, now: u64, down: wire::Down) -> Came {
        if matches!(self.link, Link::Up(_)) {
            self.link = Link::Up(now);
        }
        let mut came = self.session.down(now, down);
        if let Some((changes, news)) = came.changes.as_ref().zip(came.news.take()) {
            self.changed(changes, news);
        }
        if came.reported {
            self.access.hits().confirm_report();
        }
        if came.session_changed {
            self.judging = false;
        }
        if let Some(look) = came.looked.take() {
            self.judging = false;
            // The token is the one held now: a look that was asked for under an earlier one serves as well.
            let judge = self
                .session
                .holds(REGISTRAR, now)
                .and_then(|t| registrar::judge(&look, t));
            if let Some(judge) = judge {
                self.session.tell(What::Judge(judge));
            }
        }
        if came.elsewhere {
            self.lost(now);
        }
        came
    }

    fn changed(&mut self, changes: &Changes, news: wire::News) {
        if *changes == Changes::default() {
            return;
        }
        self.acts.push(Act::Keep(Box::new(news)));
        let held = &self.session.held;
        for customer in &changes.rules {
            let set = held.rules.get(customer).and_then(set_of);
            let known = self.access.get(customer).map_or(0, |s| s.set().version);
            // Versions of another fleet's state begin anew.
            if set.as_ref().is_none_or(|s| s.version < known) {
                self.access.remove(customer);
            }
            if let Some(set) = set {
                self.access.insert(set);
            }
        }
        if !changes.rules.is_empty() {
            self.acts.push(Act::Recheck(changes.rules.clone()));
        }
        if changes.contracts {
            self.acts.push(Act::Contracts);
        }
        self.acts
            .extend(changes.words.iter().cloned().map(Act::Word));
    }

    // ---- duties ----

    /// What the duties that are held ask for. Each command carries its duty's token, and the shared state compares it.
    fn chores(&mut self, now: u64) {
        if self.session.untold() > 0 {
            return;
        }
        if let Some((duty, token)) = self.session.asked_for().into_iter().next() {
            self.release(duty, token);
            return;
        }
        let (proposals, unfolded, unpublished) = self.session.hints();
        if proposals && !self.judging && self.session.holds(REGISTRAR, now).is_some() {
            self.judging = true;
            let what = wire::look_request::What::Proposals as i32;
            self.session.look(wire::LookRequest {
                what,
                ..wire::LookRequest::default()
            });
        }
        if let Some(token) = self.session.holds(TALLY, now).filter(|_| unfolded) {
            self.session.tell(What::Fold(wire::Fold { token }));
        }
        if let Some(token) = self.session.holds(SITE_WORDS, now).filter(|_| unpublished) {
            let upto = self.session.held.version;
            self.session
                .tell(What::Publish(wire::Publish { token, upto }));
        }
    }

    fn release(&mut self, duty: String, token: u64) {
        let (session, progress) = (self.session.id(), self.session.progress(&duty).to_vec());
        self.session.tell(What::Release(wire::Release {
            duty,
            token,
            progress,
            session,
        }));
    }

    fn report(&mut self, now: u64) {
        if now < self.report_at || !self.session.may_report() {
            return;
        }
        self.report_at = now + self.report_every;
        if !self.access.hits().has_changes() && self.counted.is_empty() {
            return;
        }
        let line = |t: access::RuleHits| wire::HitLine {
            customer: t.customer,
            version: t.version,
            rule: t.rule,
            count: t.count,
        };
        let hits = self
            .access
            .report_hits(REPORTED)
            .into_iter()
            .map(line)
            .collect();
        let (spoke, seen) = self.counted.report();
        self.session.report(wire::Report {
            hits,
            spoke,
            seen,
            ..wire::Report::default()
        });
    }

    /// What is held is on the disk as far as this version; to be told at the start, too, where anything is kept there.
    pub fn kept(&mut self, now: u64, version: u64) {
        self.session.kept(now, version);
    }
    /// The gateway is about to end: its duties go on at once.
    pub fn resign(&mut self) {
        self.session.resign();
    }
    /// The gateway ends.
    pub fn close(&mut self) {
        self.session.close();
    }
}
