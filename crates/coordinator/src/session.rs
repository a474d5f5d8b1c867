//! A gateway's side of its session, free of I/O: what goes up, what came down, what is held, and whether it may act.

use chalkdeck_leader_election::{Lease, LeaseTerms, RenewalNumber};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use wire::up::What;

/// News are said to be applied at once, but no more often than this, in microseconds.
const SOONEST: u64 = 20_000;
/// After the keepers did not know the session, in microseconds.
const REOPEN: u64 = 200_000;

/// What a gateway holds of the shared state; it lasts over lost sessions and, as bytes, over restarts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    /// The state's version; 0: nothing was ever heard.
    pub version: u64,
    /// Which fleet's state it is.
    pub cluster: u64,
    /// Sets by customer.
    pub rules: BTreeMap<String, wire::RuleSet>,
    /// Admitted versions: service and version.
    pub contracts: BTreeSet<(String, String)>,
    /// Operators' words by site.
    pub words: BTreeMap<String, wire::SiteWord>,
}

/// What a piece of news changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Customers whose set is another, or gone.
    pub rules: Vec<String>,
    /// Contracts were admitted or retired.
    pub contracts: bool,
    /// Words that are new.
    pub words: Vec<wire::SiteWord>,
}

impl Held {
    /// Whether something is missing between what is held and what news change.
    fn misses(&self, news: &wire::News) -> bool {
        !news.whole && (news.cluster != self.cluster || news.since > self.version)
    }

    /// Takes news over. Older ones than what is held, of a keeper that is behind, change nothing; nor do those that something is
    /// missing before.
    pub fn apply(&mut self, news: &wire::News) -> Changes {
        let mut changes = Changes::default();
        let other = news.cluster != self.cluster;
        if self.misses(news) || !other && news.version < self.version {
            return changes;
        }
        self.cluster = news.cluster;
        if news.whole {
            let told: BTreeSet<&String> = news.rules.iter().map(|s| &s.customer).collect();
            changes
                .rules
                .extend(self.rules.keys().filter(|c| !told.contains(c)).cloned());
            self.rules.retain(|c, _| told.contains(c));
            self.contracts.clear();
            let named: BTreeSet<&String> = news.words.iter().map(|w| &w.site).collect();
            self.words.retain(|site, _| named.contains(site));
        }
        for set in &news.rules {
            if self.rules.get(&set.customer) != Some(set) {
                self.rules.insert(set.customer.clone(), set.clone());
                changes.rules.push(set.customer.clone());
            }
        }
        for customer in &news.rules_gone {
            if self.rules.remove(customer).is_some() {
                changes.rules.push(customer.clone());
            }
        }
        for contract in &news.contracts {
            changes.contracts |= self
                .contracts
                .insert((contract.service.clone(), contract.version.clone()));
        }
        for gone in news.retired.iter().filter_map(|r| r.split_once(' ')) {
            changes.contracts |= self
                .contracts
                .remove(&(gone.0.to_string(), gone.1.to_string()));
        }
        changes.contracts |= news.whole;
        for word in &news.words {
            if self
                .words
                .get(&word.site)
                .is_none_or(|w| w.changed < word.changed)
            {
                self.words.insert(word.site.clone(), word.clone());
                changes.words.push(word.clone());
            }
        }
        self.version = news.version;
        changes
    }

    /// As one whole piece of news, to be kept on disk.
    pub fn to_news(&self) -> wire::News {
        let contract = |(service, version): &(String, String)| wire::Contract {
            service: service.clone(),
            version: version.clone(),
            ..wire::Contract::default()
        };
        wire::News {
            version: self.version,
            cluster: self.cluster,
            whole: true,
            rules: self.rules.values().cloned().collect(),
            contracts: self.contracts.iter().map(contract).collect(),
            words: self.words.values().cloned().collect(),
            ..wire::News::default()
        }
    }
    /// Whether a server that tells a version of a service may be put in service: it was admitted, or nothing of the service is
    /// known.
    pub fn admits(&self, service: &str, version: &str) -> bool {
        let known = self.contracts.iter().any(|(s, _)| s == service);
        !known
            || self
                .contracts
                .contains(&(service.to_string(), version.to_string()))
    }
}

/// What came of something from below.
#[derive(Debug, Default)]
pub struct Came {
    /// News were applied to what is held.
    pub changes: Option<Changes>,
    /// The news themselves, applied or not.
    pub news: Option<wire::News>,
    /// The answer to one's own command of that number.
    pub answer: Option<(u64, wire::Answer)>,
    /// A look was answered.
    pub looked: Option<wire::LookAnswer>,
    /// A report was taken: the next may go.
    pub reported: bool,
    /// The session is another, or over.
    pub session_changed: bool,
    /// This keeper gives no session: another one is to be asked.
    pub elsewhere: bool,
}

/// One gateway's session.
#[derive(Debug)]
pub struct Session {
    open: wire::Open,
    lease: Lease,
    id: u64,
    /// There was a session in this life.
    had: bool,
    connected: bool,
    /// What is held.
    pub held: Held,
    duties: BTreeMap<String, wire::Duty>,
    /// What waits for a holder: proposals, hits to be folded, words to be published.
    hints: (bool, bool, bool),
    renew_at: u64,
    /// When something was last heard.
    heard: u64,
    hello_at: Option<u64>,
    /// The version that was said to be applied.
    said: u64,
    /// The version that the disk holds; none: nothing is kept there, so nothing of an earlier life can come back.
    kept: Option<u64>,
    next: u64,
    commands: BTreeMap<u64, wire::Command>,
    report: Option<wire::Report>,
    reports: u64,
    out: Vec<wire::Up>,
}

impl Session {
    /// A gateway of that name and life, with what it held before.
    pub fn new(open: wire::Open, terms: LeaseTerms, held: Held) -> Session {
        Session {
            open,
            lease: Lease::new(terms),
            id: 0,
            had: false,
            connected: false,
            held,
            duties: BTreeMap::new(),
            hints: (false, false, false),
            renew_at: 0,
            heard: 0,
            hello_at: None,
            said: 0,
            kept: None,
            next: 0,
            commands: BTreeMap::new(),
            report: None,
            reports: 0,
            out: Vec::new(),
        }
    }

    /// What was agreed on, or is taken to be until the keepers say.
    pub fn terms(&self) -> &LeaseTerms {
        self.lease.terms()
    }
    /// Its number; 0: none.
    pub fn id(&self) -> u64 {
        self.id
    }
    /// Whether the session stands by its own reckoning. To be asked right before what rests on it.
    pub fn stands(&self, now: u64) -> bool {
        self.id > 0 && self.lease.is_valid(Timestamp::from_micros(now))
    }
    /// Whether a state was ever heard, in this life or an earlier one.
    pub fn knows(&self) -> bool {
        self.held.version > 0
    }
    /// The token of a duty, if this gateway holds it now.
    pub fn holds(&self, duty: &str, now: u64) -> Option<u64> {
        let duty = self.duties.get(duty)?;
        let own = duty.holder == self.id && duty.move_to == 0 && self.stands(now);
        own.then_some(duty.token)
    }
    /// How far an earlier holder came.
    pub fn progress(&self, duty: &str) -> &[u8] {
        self.duties.get(duty).map_or(&[], |d| &d.progress)
    }
    /// Duties as they were last told.
    pub fn duties(&self) -> impl Iterator<Item = &wire::Duty> {
        self.duties.values()
    }
    /// Duties that this gateway is asked to let go.
    pub fn asked_for(&self) -> Vec<(String, u64)> {
        let asked = self
            .duties
            .values()
            .filter(|d| d.holder == self.id && self.id > 0 && d.move_to != 0);
        asked.map(|d| (d.name.clone(), d.token)).collect()
    }
    /// What waits for a holder: proposals, hits to be folded, words to be published.
    pub fn hints(&self) -> (bool, bool, bool) {
        self.hints
    }

    /// A connection to some keeper stands.
    pub fn connected(&mut self) {
        self.connected = true;
        self.out.clear();
        let hello = wire::Hello {
            open: Some(self.open.clone()),
            held: self.held.version,
            session: self.id,
            cluster: self.held.cluster,
        };
        self.say(What::Hello(hello));
    }
    /// The connection is over. The session lasts on by its lease.
    pub fn disconnected(&mut self) {
        self.connected = false;
        self.out.clear();
    }
    fn say(&mut self, what: What) {
        if self.connected {
            self.out.push(wire::Up { what: Some(what) });
        }
    }
    /// What goes up.
    pub fn take_out(&mut self) -> Vec<wire::Up> {
        std::mem::take(&mut self.out)
    }

    /// Time passes.
    pub fn tick(&mut self, now: u64) {
        if !self.connected {
            return;
        }
        if self.hello_at.is_some_and(|at| now >= at) {
            self.hello_at = None;
            self.connected();
        }
        if self.id > 0 && now >= self.renew_at && self.hears(now) {
            self.renew(now);
        }
    }
    /// Whether the keepers' answers come. Guards against a gateway that is heard and hears nothing: it would hold its duties back from
    /// all others while it may not act itself.
    fn hears(&self, now: u64) -> bool {
        now < self.heard + self.lease.terms().lease.as_micros() / 2
    }
    /// When the next tick is due.
    pub fn due(&self) -> Option<u64> {
        let renew = (self.id > 0).then_some(self.renew_at);
        [renew, self.hello_at]
            .into_iter()
            .flatten()
            .min()
            .filter(|_| self.connected)
    }

    /// What is held is kept on disk, too, as far as this version. From here on no newer one is said to be applied: after a restart
    /// this gateway would go by an earlier one.
    pub fn kept(&mut self, now: u64, version: u64) {
        self.kept = Some(version);
        self.say_soon(now);
    }
    /// What this gateway can say that it goes by, in this life and a next one.
    fn applied(&self) -> u64 {
        self.kept
            .map_or(self.held.version, |k| k.min(self.held.version))
    }
    /// What is applied is said soon: others wait for it.
    fn say_soon(&mut self, now: u64) {
        if self.applied() > self.said {
            self.renew_at = self.renew_at.min(now + SOONEST);
        }
    }

    fn renew(&mut self, now: u64) {
        let number = self.lease.renewal_sent(Timestamp::from_micros(now)).0;
        self.renew_at = now + self.lease.terms().renewal_interval().as_micros();
        self.said = self.applied();
        let renewal = wire::Renewal {
            session: self.id,
            number,
            applied: self.said,
        };
        self.say(What::Renewal(renewal));
    }

    /// Something came down.
    pub fn down(&mut self, now: u64, down: wire::Down) -> Came {
        let mut came = Came::default();
        self.heard = now;
        if down.ended {
            came.elsewhere = self.id == 0;
            self.refused(down.answer.as_ref());
            self.lease.end();
            // Duties stay as they were told: the same session may be found again by a keeper that is less far behind.
            (self.id, self.hello_at) = (0, Some(now + REOPEN));
            came.session_changed = true;
            return came;
        }
        if down.news.as_ref().is_some_and(|n| self.held.misses(n)) {
            // Not later for each further piece: where news come often, it would never be said.
            self.hello_at.get_or_insert(now + REOPEN);
        } else if let Some(news) = &down.news {
            let newer = news.cluster != self.held.cluster || news.version >= self.held.version;
            if newer {
                if news.whole {
                    self.duties.clear();
                }
                self.duties
                    .extend(news.duties.iter().map(|d| (d.name.clone(), d.clone())));
                self.hints = (news.proposals, news.unfolded, news.unpublished);
            }
            let before = self.held.version;
            let changes = self.held.apply(news);
            // Nothing of it has to be kept.
            if changes == Changes::default() && self.kept == Some(before) {
                self.kept = Some(self.held.version);
            }
            came.changes = Some(changes);
        }
        if down.session > 0 {
            came.session_changed = down.session != self.id;
            self.had = true;
            if came.session_changed {
                let terms = LeaseTerms {
                    lease: TimeDelta::from_micros(down.lease_us.max(1_000)),
                    drift_ppm: down.drift,
                };
                self.lease = Lease::new(terms);
            }
            self.id = down.session;
            self.renew_at = now;
            self.again();
        }
        self.say_soon(now);
        if down.granted > 0 {
            self.lease.renewal_granted(RenewalNumber(down.granted));
        }
        if down.reported > 0
            && self
                .report
                .as_ref()
                .is_some_and(|r| r.number == down.reported)
        {
            self.report = None;
            came.reported = true;
        }
        came.answer = down.answer.map(|answer| (down.answered, answer));
        if let Some((number, _)) = &came.answer {
            self.commands.remove(number);
        }
        came.looked = down.looked;
        came.news = down.news;
        came
    }

    /// A later life is known under this name, though this one has said nothing yet: the machine's date was set back in between.
    fn refused(&mut self, answer: Option<&wire::Answer>) {
        let later = answer.map_or(0, |a| a.token);
        if later >= self.open.incarnation && !self.had {
            self.open.incarnation = later + 1;
        }
    }

    /// What may have been lost with an earlier connection goes up again.
    fn again(&mut self) {
        let commands: Vec<wire::Command> = self.commands.values().cloned().collect();
        commands
            .into_iter()
            .for_each(|c| self.say(What::Command(c)));
        if let Some(report) = &mut self.report {
            report.session = self.id;
            let report = report.clone();
            self.say(What::Report(report));
        }
    }

    /// A command of this gateway's; returns its number, under which it is answered once.
    pub fn tell(&mut self, what: wire::command::What) -> u64 {
        self.next += 1;
        let command = wire::Command {
            caller: self.open.incarnation,
            number: self.next,
            begun: self.held.version,
            what: Some(what),
            ..wire::Command::default()
        };
        self.commands.insert(self.next, command.clone());
        self.say(What::Command(command));
        self.next
    }
    /// Commands without their answer.
    pub fn untold(&self) -> usize {
        self.commands.len()
    }
    /// A look at what the keepers hold.
    pub fn look(&mut self, request: wire::LookRequest) {
        self.say(What::Look(request));
    }
    /// Whether a report may go: there is a session, and the last one was taken.
    pub fn may_report(&self) -> bool {
        self.id > 0 && self.connected && self.report.is_none()
    }
    /// Tells what was counted.
    pub fn report(&mut self, report: wire::Report) {
        self.reports += 1;
        let report = wire::Report {
            session: self.id,
            number: self.reports,
            ..report
        };
        self.report = Some(report.clone());
        self.say(What::Report(report));
    }
    /// The gateway is about to end: its duties go on at once, and it gets no others. The session stands on.
    pub fn resign(&mut self) {
        if std::mem::replace(&mut self.open.candidate, false) && self.id > 0 {
            self.tell(wire::command::What::Open(self.open.clone()));
        }
    }
    /// The gateway ends.
    pub fn close(&mut self) {
        if self.id > 0 {
            let session = self.id;
            self.tell(wire::command::What::Close(wire::Close { session }));
        }
    }
}
