//! What the keepers hold together, free of I/O and clocks: the same commands in the same order give the same state and the
//! same answers. A command that arrives again under its caller and number counts once and hears the same answer.

mod callers;
mod contracts;
mod duties;
mod looks;
mod rules;
mod sessions;
mod snapshot;

pub use callers::MOST_CALLERS;
pub use contracts::{MOST_SERVICES, MOST_VERSIONS};
pub use duties::{MOST_DUTIES, REGISTRAR, SITE_WORDS, TALLY};
pub use looks::Terms;
pub use rules::{set_of, wrong_in};
pub use sessions::MOST_SESSIONS;
pub use snapshot::Broken;

use callers::Callers;
use chalkdeck_access::{CallHistory, HitTotals};
use chalkdeck_contract::Spoken;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::answer::Code;
use wire::command::What;

/// The newest commands that this program knows.
pub const SPEAKS: u32 = 1;
/// Sites with a word.
const MOST_WORDS: usize = 64;
/// How long one span of what came of late is, in milliseconds.
const SPAN_MS: u64 = 120_000;

/// The shared state.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// Commands applied.
    pub index: u64,
    /// Grows with each change that is watched.
    pub version: u64,
    /// The agreed time.
    pub time_ms: u64,
    next_session: u64,
    next_proposal: u64,
    sessions: BTreeMap<u64, wire::Session>,
    duties: BTreeMap<String, wire::Duty>,
    rules: BTreeMap<String, wire::CustomerRules>,
    rule_count: usize,
    departed: BTreeMap<String, wire::Departed>,
    admitted: BTreeMap<(String, String), wire::Admitted>,
    spoken: BTreeMap<String, Spoken>,
    proposals: BTreeMap<u64, wire::Proposal>,
    verdicts: BTreeMap<u64, wire::Verdict>,
    words: BTreeMap<String, wire::SiteWord>,
    hits: BTreeMap<String, HitTotals>,
    /// Incarnations whose sessions are over and whose hits are not folded yet.
    ended: BTreeSet<u64>,
    recents: BTreeMap<String, CallHistory>,
    span_ms: u64,
    callers: Callers,
    removed: VecDeque<(String, u64)>,
    /// Removals up to this version are no longer remembered.
    removed_before: u64,
    /// Grows with everything that a check of a proposal rests on.
    speakers: u64,
    /// Which fleet's state this is.
    pub cluster: u64,
    /// The configuration's number, and its keepers.
    pub configuration: u32,
    members: BTreeMap<u64, wire::Member>,
}

/// An answer without more.
fn done(version: u64) -> wire::Answer {
    wire::Answer {
        version,
        ..wire::Answer::default()
    }
}

fn refuse(code: Code, why: impl Into<String>) -> wire::Answer {
    wire::Answer {
        code: code as i32,
        why: why.into(),
        ..wire::Answer::default()
    }
}

impl Shared {
    /// Applies the next command of the agreed log.
    pub fn apply(&mut self, command: &wire::Command) -> wire::Answer {
        self.index += 1;
        let (caller, number) = (command.caller, command.number);
        if caller != 0 {
            if let Some(answer) = self
                .callers
                .heard(caller, number, command.begun, self.index)
            {
                return answer;
            }
        }
        let mut answer = match &command.what {
            Some(what) => self.change(what, caller),
            None => refuse(Code::Unknown, "this keeper does not know the command"),
        };
        answer.version = self.version;
        if caller != 0 {
            self.callers.answered(caller, number, &answer, self.index);
        }
        answer
    }

    fn change(&mut self, what: &What, caller: u64) -> wire::Answer {
        match what {
            What::Open(open) => self.open(open),
            What::Renew(renew) => self.renew(renew),
            What::Close(close) => self.close(close.session),
            What::Lapse(lapse) => self.lapse(lapse),
            What::Release(release) => self.release(release),
            What::Move(of) => self.move_duty(of),
            What::Tick(tick) => self.tick(tick.time_ms),
            What::Ensure(ensure) => self.ensure(&ensure.duty),
            What::Propose(propose) => self.propose(propose, caller),
            What::Judge(judge) => self.judge(judge),
            What::Retire(retire) => self.retire(retire),
            What::Subscribe(subscribe) => self.subscribe(subscribe),
            What::Report(report) => self.report(report),
            What::Word(word) => self.word(word),
            What::Publish(publish) => self.publish(publish),
            What::Fold(fold) => self.fold(fold.token),
            // The end of a configuration is the keepers' own matter, before it comes here.
            What::Next(_) => done(0),
            What::Speaks(speaks) => {
                if self.cluster == 0 {
                    self.cluster = speaks.cluster;
                }
                if let Some(member) = self.members.get_mut(&speaks.pid) {
                    member.speaks = speaks.speaks;
                    member.epoch = member.epoch.max(speaks.epoch);
                }
                done(0)
            }
        }
    }

    /// The next version, for something that is watched.
    fn bump(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// The agreed time goes on; it never goes back.
    fn tick(&mut self, time_ms: u64) -> wire::Answer {
        self.time_ms = self.time_ms.max(time_ms);
        if self.time_ms >= self.span_ms + SPAN_MS {
            self.span_ms = self.time_ms;
            self.recents
                .values_mut()
                .for_each(CallHistory::start_period);
            self.recents.retain(|_, r| !r.is_empty());
            let customers: Vec<String> = self.rules.keys().cloned().collect();
            customers.iter().for_each(|c| self.drop_if_empty(c));
        }
        done(0)
    }

    fn word(&mut self, word: &wire::Word) -> wire::Answer {
        if !["hold", "drain", "let-back"].contains(&word.word.as_str()) {
            return refuse(
                Code::Refused,
                format!(
                    "word: expected hold, drain or let-back, found '{}'",
                    word.word
                ),
            );
        }
        if word.site.is_empty()
            || self.words.len() >= MOST_WORDS && !self.words.contains_key(&word.site)
        {
            return refuse(
                Code::Full,
                format!("expected a site's name, and at most {MOST_WORDS} sites with a word"),
            );
        }
        let changed = self.bump();
        let new = wire::SiteWord {
            site: word.site.clone(),
            word: word.word.clone(),
            changed,
            published: false,
        };
        self.words.insert(word.site.clone(), new);
        done(0)
    }

    /// The holder of the site words lets what operators said reach the gateways.
    fn publish(&mut self, publish: &wire::Publish) -> wire::Answer {
        if let Err(stale) = self.held(SITE_WORDS, publish.token) {
            return stale;
        }
        let waiting: Vec<String> = self
            .words
            .values()
            .filter(|w| !w.published && w.changed <= publish.upto)
            .map(|w| w.site.clone())
            .collect();
        for site in waiting {
            let changed = self.bump();
            self.words
                .get_mut(&site)
                .into_iter()
                .for_each(|w| (w.published, w.changed) = (true, changed));
        }
        done(0)
    }

    /// The keepers of a new configuration; told by the keeper that begins it, equally at each.
    pub fn configured(&mut self, configuration: u32, members: Vec<wire::Member>) {
        self.configuration = configuration;
        self.members = members.into_iter().map(|m| (m.pid, m)).collect();
    }
    /// The keepers of this configuration.
    pub fn members(&self) -> impl Iterator<Item = &wire::Member> {
        self.members.values()
    }
    /// The newest commands that every keeper knows.
    pub fn all_speak(&self) -> u32 {
        self.members
            .values()
            .map(|m| m.speaks.max(1))
            .min()
            .unwrap_or(1)
    }
}
