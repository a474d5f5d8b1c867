//! One keeper, free of I/O: messages, commands and sessions in; messages, answers and news out. What goes out may leave only
//! after the record of the same turn is on the disk.

mod attached;
mod chores;
mod joining;
mod link;

use crate::agree::{AgreeError, Agreement};
use crate::state::{Shared, Terms as LookTerms, SPEAKS};
use crate::store::{encode, Configuration, Kept, Op, Shelf};
use attached::Attached;
use chalkdeck_leader_election::{FailureDetector, LeaseTerms, SessionId, SessionRenewal};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::Timestamp;
pub use joining::Start;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use wire::answer::Code;

/// A command that is not agreed on by then goes in again, in microseconds: it may have been lost on its way to the leader. It
/// counts once.
const AGAIN: u64 = 500_000;
/// How often the end of a configuration is asked for, in microseconds.
const END_AGAIN: u64 = 500_000;
/// Commands of one keeper that are under way.
const MOST_PENDING: usize = 8_192;
/// Commands that are larger than this are refused.
const MOST_COMMAND: usize = 2 << 20;

/// Who waits for something: given by the carrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Asker(pub u64);

/// What a keeper is told by its settings.
#[derive(Clone, Debug)]
pub struct Set {
    /// Its place, from 1.
    pub slot: u32,
    /// How many keepers there are.
    pub keepers: u32,
    /// Sessions' terms.
    pub terms: LeaseTerms,
    /// A duty whose holder stands is moved at most this often, in milliseconds.
    pub move_ms: u64,
    /// See [`LookTerms`].
    pub dead_after_ms: u64,
    /// Entries after which the log is taken into a snapshot.
    pub snapshot_entries: usize,
    /// Duties that are there from the first on.
    pub duties: Vec<String>,
    /// This life's own number.
    pub incarnation: u64,
    /// Starts on its disk so far.
    pub epoch: u64,
}

/// What goes out.
#[derive(Debug)]
pub enum Out {
    /// To the keeper of that slot.
    Peer(u32, Box<wire::Between>),
    /// The answer to a command.
    Answer(Asker, wire::Answer),
    /// The answer to a look.
    Looked(Asker, Box<wire::LookAnswer>),
    /// To a gateway.
    Down(Asker, Box<wire::Down>),
    /// A look for the keeper of that slot: which configuration it is in.
    AskMembers(u32, wire::LookRequest),
}

/// A command under way.
struct Pending {
    for_whom: ForWhom,
    command: wire::Command,
    since: u64,
}

enum ForWhom {
    /// Answered as it comes.
    Asker(Asker),
    /// A gateway's, on its session's stream.
    Gateway(Asker, u64),
    Open(Asker),
    Renewals(Vec<(Asker, u64, u64)>),
    Report(Asker, u64),
    Nobody,
}

/// One keeper.
pub struct Keeper {
    set: Set,
    shelf: Shelf,
    agreement: Option<Agreement>,
    state: Shared,
    failure_detector: FailureDetector,
    now: u64,
    next: u64,
    pending: BTreeMap<u64, Pending>,
    attached: FxHashMap<Asker, Attached>,
    out: Vec<Out>,
    start: Start,
    /// When something was last agreed on, by this clock.
    agreed_at: u64,
    /// When the agreed time was last moved on here.
    ticked_at: u64,
    joined_at: u64,
    /// When the end of the configuration was last asked for.
    ended_at: u64,
    /// Keepers by when they were last heard.
    heard: BTreeMap<u64, u64>,
    /// Links with other keepers, by their numbers.
    links: BTreeMap<u64, link::Link>,
    /// Position of the next record.
    position: u64,
    /// The disk is older than what this keeper took part in.
    pub outdated: bool,
    pub(crate) spoke: bool,
}

impl Keeper {
    /// Begins with what its log replayed to. Errors: a number of keepers that cannot agree.
    pub fn new(
        set: Set,
        kept: Kept,
        position: u64,
        start: Start,
        now: u64,
    ) -> Result<Keeper, AgreeError> {
        let shelf = Shelf::new(kept);
        let mut keeper = Keeper {
            failure_detector: FailureDetector::new(set.terms),
            set,
            shelf,
            agreement: None,
            state: Shared::default(),
            now,
            next: 0,
            pending: BTreeMap::new(),
            attached: FxHashMap::default(),
            out: Vec::new(),
            start,
            agreed_at: now,
            ticked_at: now,
            joined_at: 0,
            ended_at: 0,
            heard: BTreeMap::new(),
            links: BTreeMap::new(),
            position,
            outdated: false,
            spoke: false,
        };
        if !matches!(keeper.set.keepers, 1 | 3 | 5) {
            return Err(AgreeError::Count(keeper.set.keepers as usize));
        }
        keeper.begin()?;
        Ok(keeper)
    }

    /// Takes part in the configuration that it holds, or makes the first one where it is told to.
    fn begin(&mut self) -> Result<(), AgreeError> {
        let held = self.shelf.0.borrow().kept().configuration.clone();
        if held.number == 0 {
            if self.start != Start::First {
                return Ok(());
            }
            let members = (1..=self.set.keepers)
                .map(|slot| (u64::from(slot), slot, 0))
                .collect();
            let own = u64::from(self.set.slot);
            self.enter(Configuration {
                number: 1,
                own,
                members,
                base: Vec::new(),
            })?;
        } else {
            self.agreement = Some(Agreement::begin(self.shelf.clone())?);
            self.state = base_of(&held);
        }
        self.apply_decided();
        let renewals = self.state.sessions().map(last_renewal);
        self.failure_detector
            .restart(renewals, Timestamp::from_micros(self.now));
        Ok(())
    }

    /// Begins a configuration with an empty log; its first entry is what the one before left.
    fn enter(&mut self, configuration: Configuration) -> Result<(), AgreeError> {
        self.shelf.0.borrow_mut().begin(configuration.clone());
        self.links.clear();
        self.agreement = Some(Agreement::begin(self.shelf.clone())?);
        self.state = base_of(&configuration);
        let now = Timestamp::from_micros(self.now);
        for session in self.state.sessions() {
            self.failure_detector
                .renewal_applied(last_renewal(session), now);
        }
        self.spoke = false;
        Ok(())
    }

    /// The state as far as this keeper has heard.
    pub fn state(&self) -> &Shared {
        &self.state
    }
    /// The configuration that it is in; 0: none yet.
    pub fn configuration(&self) -> u32 {
        self.shelf.0.borrow().kept().configuration.number
    }
    /// Whether it takes part in the agreement.
    pub fn is_configured(&self) -> bool {
        let number = self.configuration();
        number > 0 && !self.outdated
    }
    /// Who leads, by slot.
    pub fn leader(&self) -> Option<u32> {
        let pid = self.agreement.as_ref()?.leader()?;
        self.slot_of(pid)
    }
    /// Whether this keeper leads.
    pub fn leads(&self) -> bool {
        self.agreement.as_ref().and_then(Agreement::leader) == Some(self.own())
    }
    /// Whether things are agreed on: something was within the last seconds.
    pub fn has_majority(&self) -> bool {
        self.configuration() > 0 && self.now.saturating_sub(self.agreed_at) < 3_000_000
    }
    fn own(&self) -> u64 {
        self.shelf.0.borrow().kept().configuration.own
    }
    fn slot_of(&self, pid: u64) -> Option<u32> {
        let store = self.shelf.0.borrow();
        store
            .kept()
            .configuration
            .members
            .iter()
            .find(|m| m.0 == pid)
            .map(|m| m.1)
    }
    /// What is kept, for a snapshot of the log.
    pub fn kept(&self) -> Kept {
        self.shelf.0.borrow().kept().clone()
    }

    // ---- in ----

    /// The clock; everything else of a turn happens at it.
    pub fn at(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    /// A message of another keeper.
    pub fn heard(&mut self, between: &wire::Between) {
        let known = self
            .state
            .members()
            .find(|m| m.pid == between.from)
            .map_or(0, |m| m.epoch);
        // From a disk that is older than what was told: its promises are forgotten, so nothing it says counts.
        if between.epoch < known {
            return;
        }
        let configuration = self.configuration();
        if between.configuration != configuration || between.to != self.own() {
            if between.configuration > configuration {
                self.behind(between);
            }
            return;
        }
        self.heard.insert(between.from, self.now);
        let Some(agreement) = &mut self.agreement else {
            return;
        };
        let link = self.links.entry(between.from).or_default();
        if between.reset != 0 {
            if link.reset(between.reset) {
                agreement.reconnected(between.from);
            }
            return;
        }
        let came = link.came(between.clone(), self.now);
        if came.anew {
            agreement.reconnected(between.from);
        }
        came.bodies.iter().for_each(|body| agreement.heard(body));
        came.ask
            .into_iter()
            .for_each(|run| self.ask_reset(between.from, run));
    }

    /// Asks another keeper to begin its run of messages anew.
    fn ask_reset(&mut self, to: u64, reset: u64) {
        let between = wire::Between {
            reset,
            ..self.to_peer(to)
        };
        if let Some(slot) = self.slot_of(to) {
            self.out.push(Out::Peer(slot, Box::new(between)));
        }
    }
    fn to_peer(&self, to: u64) -> wire::Between {
        wire::Between {
            configuration: self.configuration(),
            from: self.own(),
            to,
            slot: self.set.slot,
            incarnation: self.set.incarnation,
            speaks: SPEAKS,
            epoch: self.set.epoch,
            ..wire::Between::default()
        }
    }

    /// A command of an operator or a gateway.
    pub fn tell(&mut self, asker: Asker, command: wire::Command) {
        if let Some(refusal) = self.refusal(&command) {
            self.out.push(Out::Answer(asker, refusal));
            return;
        }
        self.put_for(command, ForWhom::Asker(asker));
    }

    /// Why a command does not even go into the log.
    fn refusal(&self, command: &wire::Command) -> Option<wire::Answer> {
        use prost::Message;
        let refuse = |code: Code, why: &str| {
            Some(wire::Answer {
                code: code as i32,
                why: why.into(),
                ..wire::Answer::default()
            })
        };
        let Some(what) = &command.what else {
            return refuse(Code::Unknown, "this keeper does not know the command");
        };
        if since(what) > self.state.all_speak() && self.is_configured() {
            return refuse(Code::Unknown, "not every keeper knows this command yet");
        }
        if own_alone(what) {
            return refuse(Code::Refused, "only keepers say this");
        }
        if command.caller == 0 || command.number == 0 {
            return refuse(
                Code::Refused,
                "expected the caller's incarnation and a number from 1 on",
            );
        }
        if command.encoded_len() > MOST_COMMAND {
            return refuse(Code::Full, "expected a command of at most 2 MiB");
        }
        if self.pending.len() >= MOST_PENDING {
            return refuse(Code::Full, "too many commands wait here to be agreed on");
        }
        if !self.is_configured() {
            return refuse(
                Code::Elsewhere,
                "this keeper takes no part in the agreement yet",
            );
        }
        None
    }

    /// A look.
    pub fn look(&mut self, asker: Asker, request: &wire::LookRequest) {
        let answer = self.looked(request);
        self.out.push(Out::Looked(asker, Box::new(answer)));
    }

    fn looked(&mut self, request: &wire::LookRequest) -> wire::LookAnswer {
        if request.what() == wire::look_request::What::Members && request.slot > 0 {
            self.asked_for_a_place(request.slot, request.incarnation);
        }
        let mut answer = self.state.look(
            request,
            LookTerms {
                dead_after_ms: self.set.dead_after_ms,
            },
        );
        answer.leader = self
            .leader()
            .map_or_else(String::new, |slot| slot.to_string());
        answer.majority = self.has_majority();
        answer.configuration = self.configuration();
        let store = self.shelf.0.borrow();
        // For one that missed the end of its own configuration, or has none.
        if request.what() == wire::look_request::What::Members
            && request.configuration < answer.configuration
        {
            answer.base = store.kept().configuration.base.clone();
        }
        let member = |m: &(u64, u32, u64)| wire::Member {
            slot: m.1,
            pid: m.0,
            incarnation: m.2,
            ..self
                .state
                .members()
                .find(|s| s.pid == m.0)
                .cloned()
                .unwrap_or_default()
        };
        answer.members = store
            .kept()
            .configuration
            .members
            .iter()
            .map(member)
            .collect();
        answer
    }

    /// Time passes: to be called once a tick.
    pub fn tick(&mut self) {
        if self.outdated {
            return;
        }
        if let Some(agreement) = &mut self.agreement {
            agreement.tick();
        }
        let now = self.now;
        let missing: Vec<(u64, u64)> = self
            .links
            .iter_mut()
            .filter_map(|(pid, link)| Some((*pid, link.missing(now)?)))
            .collect();
        missing
            .into_iter()
            .for_each(|(pid, run)| self.ask_reset(pid, run));
        self.join();
        self.again();
        self.chores();
    }

    /// Commands that were not agreed on for a while go in again.
    fn again(&mut self) {
        let now = self.now;
        let Some(agreement) = &mut self.agreement else {
            return;
        };
        for pending in self.pending.values_mut().filter(|p| now >= p.since + AGAIN) {
            pending.since = now;
            agreement.propose(&pending.command);
        }
    }

    fn put(&mut self, what: wire::command::What, for_whom: ForWhom) {
        self.put_for(
            wire::Command {
                what: Some(what),
                ..wire::Command::default()
            },
            for_whom,
        );
    }
    fn put_for(&mut self, command: wire::Command, for_whom: ForWhom) {
        self.next += 1;
        let command = wire::Command {
            origin: self.set.incarnation,
            origin_number: self.next,
            ..command
        };
        if let Some(agreement) = &mut self.agreement {
            agreement.propose(&command);
        }
        self.pending.insert(
            self.next,
            Pending {
                for_whom,
                command,
                since: self.now,
            },
        );
    }

    // ---- out ----

    /// Ends a turn: applies what was agreed on. Returns the record that has to be on the disk before anything goes out.
    pub fn end_turn(&mut self) -> Option<Vec<u8>> {
        self.flush_renewals();
        self.apply_decided();
        self.news();
        self.shorten();
        let messages = self
            .agreement
            .as_mut()
            .map(Agreement::messages)
            .unwrap_or_default();
        for (to, body) in messages {
            let Some(slot) = self.slot_of(to).filter(|_| !self.outdated) else {
                continue;
            };
            let mut between = wire::Between {
                body,
                ..self.to_peer(to)
            };
            let seed =
                self.set.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.set.epoch << 20;
            self.links.entry(to).or_default().stamp(seed, &mut between);
            self.out.push(Out::Peer(slot, Box::new(between)));
        }
        let ops: Vec<Op> = self.shelf.0.borrow_mut().take();
        if ops.is_empty() {
            return None;
        }
        let record = encode(self.position, &ops);
        self.position += ops.len() as u64;
        Some(record)
    }
    /// What goes out now that the record is safe.
    pub fn take_out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    /// Puts back what was taken and is not to go out yet.
    pub fn put_back(&mut self, out: Vec<Out>) {
        let later = std::mem::replace(&mut self.out, out);
        self.out.extend(later);
    }

    fn apply_decided(&mut self) {
        while let Some(agreement) = &mut self.agreement {
            let decided = agreement.decided();
            if decided.is_empty() {
                return;
            }
            self.agreed_at = self.now;
            let mut next = None;
            for command in decided {
                next = self.next_of(&command);
                if next.is_some() {
                    // What stands behind the end never counts; those who wait for it put it into the next log.
                    break;
                }
                self.applied(&command);
            }
            self.look_at_own_epoch();
            let Some(next) = next else { continue };
            self.next_configuration(next);
        }
    }

    /// The configuration that begins here, if this command ends the present one.
    fn next_of(&self, command: &wire::Command) -> Option<Configuration> {
        let Some(wire::command::What::Next(next)) = &command.what else {
            return None;
        };
        let members = next
            .members
            .iter()
            .map(|m| (m.pid, m.slot, m.incarnation))
            .collect();
        let next = Configuration {
            number: next.configuration,
            members,
            ..Configuration::default()
        };
        (next.number == self.configuration() + 1).then_some(next)
    }

    /// Asks for the end of the configuration and the next one.
    fn ask_for(&mut self, next: &Configuration) {
        if self.now < self.ended_at + END_AGAIN {
            return;
        }
        self.ended_at = self.now;
        let member = |m: &(u64, u32, u64)| wire::Member {
            pid: m.0,
            slot: m.1,
            incarnation: m.2,
            ..Default::default()
        };
        let members = next.members.iter().map(member).collect();
        let what = wire::command::What::Next(wire::Next {
            configuration: next.number,
            members,
        });
        let command = wire::Command {
            what: Some(what),
            ..wire::Command::default()
        };
        self.agreement.iter_mut().for_each(|a| a.propose(&command));
    }

    /// A later start of this keeper was agreed on: its disk is an older one, and what it promised since is forgotten.
    fn look_at_own_epoch(&mut self) {
        let own = self.own();
        let told = self
            .state
            .members()
            .find(|m| m.pid == own)
            .map_or(0, |m| m.epoch);
        if told > self.set.epoch && !self.outdated {
            tracing::error!(
                told,
                found = self.set.epoch,
                "the disk is older than what this keeper took part in: empty its folder"
            );
            self.outdated = true;
        }
    }

    /// A log that has grown ends, and another begins with the state.
    fn shorten(&mut self) {
        let leads = self.leads();
        let configuration = {
            let store = self.shelf.0.borrow();
            if store.kept().len() <= self.set.snapshot_entries {
                return;
            }
            store.kept().configuration.clone()
        };
        let next = Configuration {
            number: configuration.number + 1,
            base: Vec::new(),
            ..configuration
        };
        if next.members.len() == 1 {
            let base = self.state.to_bytes();
            return self.enter_or_say(Configuration { base, ..next });
        }
        if leads {
            self.ask_for(&next);
        }
    }

    fn applied(&mut self, command: &wire::Command) {
        use wire::command::What;
        let answer = self.state.apply(command);
        let now = Timestamp::from_micros(self.now);
        match &command.what {
            Some(What::Renew(renew)) => {
                for r in &renew.sessions {
                    if let Some(session) = self.state.session(r.session) {
                        self.failure_detector
                            .renewal_applied(last_renewal(session), now);
                    }
                }
            }
            Some(What::Open(_)) if answer.id > 0 => {
                let renewal = SessionRenewal {
                    session: SessionId(answer.id),
                    log_index: self.state.session(answer.id).map_or(0, |s| s.renewed),
                };
                self.failure_detector.renewal_applied(renewal, now);
            }
            Some(What::Close(close)) => self.failure_detector.forget(SessionId(close.session)),
            Some(What::Lapse(lapse)) if self.state.session(lapse.session).is_none() => {
                self.failure_detector.forget(SessionId(lapse.session));
            }
            _ => {}
        }
        if command.origin == self.set.incarnation {
            if let Some(pending) = self.pending.remove(&command.origin_number) {
                self.answered(pending, answer);
            }
        }
    }
}

/// The program from which on a command is known.
fn since(_what: &wire::command::What) -> u32 {
    1
}

/// Commands that keepers say alone.
fn own_alone(what: &wire::command::What) -> bool {
    use wire::command::What;
    matches!(
        what,
        What::Renew(_)
            | What::Lapse(_)
            | What::Move(_)
            | What::Tick(_)
            | What::Next(_)
            | What::Speaks(_)
    )
}

/// When a session was last renewed.
fn last_renewal(session: &wire::Session) -> SessionRenewal {
    SessionRenewal {
        session: SessionId(session.id),
        log_index: session.renewed,
    }
}

/// What the configuration before left, with this one's keepers.
fn base_of(configuration: &Configuration) -> Shared {
    let mut base = Shared::from_bytes(&configuration.base).unwrap_or_default();
    let member = |m: &(u64, u32, u64)| {
        let before = base
            .members()
            .find(|b| b.pid == m.0)
            .cloned()
            .unwrap_or_default();
        wire::Member {
            pid: m.0,
            slot: m.1,
            incarnation: m.2,
            ..before
        }
    };
    let members: Vec<wire::Member> = configuration.members.iter().map(member).collect();
    base.configured(configuration.number, members);
    base
}
