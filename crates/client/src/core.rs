//! Every decision of a client, without I/O: events and the time go in, actions come out.
//!
//! Times are microseconds of any clock that does not go back; one that does is taken to stand still.

use crate::budget::Budget;
use crate::gateways::Gateways;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Whether a call may go again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Always.
    Safe,
    /// Only where every server that a repeat can reach drops it, as a client does not choose the cell: under the key of
    /// its first try, for this long after the first try that may have run (microseconds).
    Keyed {
        /// How long the servers remember a key.
        window: u64,
    },
    /// Only when every earlier try is known not to have run.
    Unsafe,
}

/// What a client may spend. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Tries of one call, the first included.
    pub tries: u32,
    /// The first and the longest wait between tries of one call.
    pub backoff_first: u64,
    /// See `backoff_first`.
    pub backoff_most: u64,
    /// Part of a come-back time that is added by chance, so that refused calls do not return as one wave.
    pub spread: f64,
    /// Further tries saved up at most, and earned by each answer.
    pub budget: f64,
    /// See `budget`.
    pub earn: f64,
    /// The window over which lost connections are made again, first and at most.
    pub reconnect_first: u64,
    /// See `reconnect_first`.
    pub reconnect_most: u64,
    /// A connect that takes longer has failed.
    pub connect_timeout: u64,
    /// Connections are pinged this often; one that does not answer by the next ping is lost. 0: never.
    pub keepalive: u64,
    /// A gateway that fails again and again is left alone for this long.
    pub rest: u64,
    /// Calls out at one gateway.
    pub outstanding: usize,
    /// Calls that may wait for a gateway.
    pub queue: usize,
    /// A try with less time than this left is not sent.
    pub least_left: u64,
    /// Seeds all chance.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            tries: 4,
            backoff_first: 20_000,
            backoff_most: 1_000_000,
            spread: 0.5,
            budget: 10.0,
            earn: 0.1,
            reconnect_first: 200_000,
            reconnect_most: 5_000_000,
            connect_timeout: 1_000_000,
            keepalive: 5_000_000,
            rest: 1_000_000,
            outstanding: 1_000,
            queue: 10_000,
            least_left: 2_000,
            seed: 1,
        }
    }
}

/// Settings that make no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(String);

impl Settings {
    /// Whether they make sense. Errors name the field and what was expected.
    pub fn check(&self) -> Result<(), SettingsError> {
        let part = |v: f64| v.is_finite() && v >= 0.0;
        let wrong = [
            (self.tries == 0, "tries: expected at least 1"),
            (
                self.backoff_first == 0 || self.backoff_most < self.backoff_first,
                "backoff_first: expected above 0 and at most backoff_most",
            ),
            (
                !part(self.spread) || self.spread > 10.0,
                "spread: expected 0 to 10",
            ),
            (
                !part(self.budget) || !part(self.earn),
                "budget, earn: expected numbers of 0 or more",
            ),
            (
                self.reconnect_most < self.reconnect_first,
                "reconnect_most: expected at least reconnect_first",
            ),
            (self.outstanding == 0, "outstanding: expected at least 1"),
        ];
        match wrong.iter().find(|w| w.0) {
            Some((_, what)) => Err(SettingsError(what.to_string())),
            None => Ok(()),
        }
    }
}

/// A call of this client; chosen by the caller, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// A server's answer, whatever its status.
    Answered,
    /// Refused: trying again is harmless, after that time if one was given.
    Refused(Option<u64>),
    /// It is known not to have run.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// What a core is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The fleet has so many gateways.
    Gateways(usize),
    /// A call, to be answered by that time.
    Call(CallId, Repeat, u64),
    /// The caller wants it no more.
    Cancel(CallId),
    /// A connection stands.
    Connected(usize),
    /// A connection is over, was not made, or takes nothing new.
    Lost(usize),
    /// A call's answer has begun to reach the caller, or what it sends cannot be sent again: it does not go again.
    Started(CallId),
    /// A try ended.
    Ended(CallId, u32, TryEnd),
    /// Time has passed.
    Tick,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// By the answer of its last try.
    Answered,
    /// Refused; it may be called again after that time, if one was given.
    Refused(Option<u64>),
    /// It never ran, and may be called again.
    NotSent,
    /// It may have run.
    Failed,
    /// Its time is up; it may have run if `sent`.
    Deadline {
        /// A try was sent that is not known to have not run.
        sent: bool,
    },
    /// Too many calls wait.
    Full,
    /// Called off.
    Cancelled,
}

/// What a client does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to a gateway.
    Connect(usize),
    /// Send a try, with so much time left and so many tries before it.
    Send {
        /// The call.
        call: CallId,
        /// Which of its tries, from 0.
        number: u32,
        /// To which gateway.
        gateway: usize,
        /// What is left of its deadline.
        left: u64,
    },
    /// Call off a try.
    CallOff(CallId, u32),
    /// The call's one end.
    Finish(CallId, Outcome),
}

#[derive(Debug)]
struct Call {
    repeat: Repeat,
    deadline: u64,
    tries: u32,
    /// The try that is out, and where.
    out: Option<usize>,
    /// When the first try that may have run was sent.
    ran: Option<u64>,
    sent: u64,
    backoff: u64,
    /// The wait before its next try.
    wakes: Option<u64>,
    last: Outcome,
}

/// One client. Same events, same actions.
pub struct Core {
    set: Settings,
    rng: fastrand::Rng,
    now: u64,
    calls: HashMap<CallId, Call>,
    gateways: Gateways,
    budget: Budget,
    waiting: VecDeque<CallId>,
    /// Deadlines and waits, soonest first.
    wakes: BTreeSet<(u64, CallId)>,
    out: Vec<Action>,
}

impl Core {
    /// A client that knows no gateway. Errors: senseless settings.
    pub fn new(set: Settings) -> Result<Core, SettingsError> {
        set.check()?;
        Ok(Core {
            rng: fastrand::Rng::with_seed(set.seed),
            budget: Budget::new(set.budget, set.earn),
            set,
            now: 0,
            calls: HashMap::new(),
            gateways: Gateways::default(),
            waiting: VecDeque::new(),
            wakes: BTreeSet::new(),
            out: Vec::new(),
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: u64, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Gateways(count) => self.gateways.set(count, self.now),
            Event::Call(id, repeat, deadline) => self.on_call(id, repeat, deadline),
            Event::Cancel(id) => self.finish(id, Outcome::Cancelled),
            Event::Connected(place) => self.gateways.connected(place),
            Event::Lost(place) => self
                .gateways
                .lost(place, self.now, &self.set, &mut self.rng),
            Event::Started(id) => self.on_started(id),
            Event::Ended(id, number, end) => self.on_end(id, number, end),
            Event::Tick => {}
        }
        self.wake();
        self.serve();
        out.extend(self.gateways.due(self.now).into_iter().map(Action::Connect));
        out.append(&mut self.out);
    }

    /// When it wants to hear of the time again.
    pub fn next_wake(&self) -> Option<u64> {
        let first = self.wakes.first().map(|w| w.0);
        first.into_iter().chain(self.gateways.next_due()).min()
    }

    /// Tokens of the retry budget.
    pub fn budget(&self) -> f64 {
        self.budget.tokens()
    }

    fn on_call(&mut self, id: CallId, repeat: Repeat, deadline: u64) {
        if self.calls.contains_key(&id) {
            return;
        }
        if self.waiting.len() >= self.set.queue {
            return self.out.push(Action::Finish(id, Outcome::Full));
        }
        let backoff = self.set.backoff_first;
        let last = Outcome::Deadline { sent: false };
        let call = Call {
            repeat,
            deadline,
            tries: 0,
            out: None,
            ran: None,
            sent: 0,
            backoff,
            wakes: None,
            last,
        };
        self.calls.insert(id, call);
        self.wakes.insert((deadline, id));
        self.waiting.push_back(id);
    }

    /// Deadlines that passed, and calls whose wait is over.
    fn wake(&mut self) {
        while let Some(&(at, id)) = self.wakes.first().filter(|w| w.0 <= self.now) {
            self.wakes.remove(&(at, id));
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            if call.deadline <= self.now {
                let outcome = match call.last {
                    Outcome::Refused(_) if call.out.is_none() && call.ran.is_none() => call.last,
                    _ => Outcome::Deadline {
                        sent: call.out.is_some() || call.ran.is_some(),
                    },
                };
                self.finish(id, outcome);
            } else if call.wakes.take_if(|w| *w <= at).is_some() {
                self.waiting.push_back(id);
            }
        }
    }

    /// Sends what waits, as long as a gateway takes it.
    fn serve(&mut self) {
        while let Some(&id) = self.waiting.front() {
            let Some(call) = self.calls.get(&id) else {
                self.waiting.pop_front();
                continue;
            };
            // Nothing is sent that cannot be answered in time; its deadline ends it.
            if call.deadline < self.now + self.set.least_left || !self.may_go(call) {
                self.waiting.pop_front();
                if call.tries > 0 && !self.may_go(call) {
                    self.finish(id, Outcome::Failed);
                }
                continue;
            }
            let Some(gateway) = self.gateways.choose(self.now, &self.set, &mut self.rng) else {
                return;
            };
            self.waiting.pop_front();
            self.send(id, gateway);
        }
    }

    fn send(&mut self, id: CallId, gateway: usize) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let number = call.tries;
        call.tries += 1;
        (call.out, call.sent) = (Some(gateway), now);
        self.gateways.sent(gateway);
        self.out.push(Action::Send {
            call: id,
            number,
            gateway,
            left: call.deadline - now,
        });
    }

    /// Whether a further try could do no harm now.
    fn may_go(&self, call: &Call) -> bool {
        match (call.ran, call.repeat) {
            (None, _) | (_, Repeat::Safe) => true,
            (Some(_), Repeat::Unsafe) => false,
            (Some(first), Repeat::Keyed { window }) => self.now < first.saturating_add(window),
        }
    }

    fn on_started(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.repeat = Repeat::Unsafe;
            call.ran.get_or_insert(call.sent);
        }
    }

    fn on_end(&mut self, id: CallId, number: u32, end: TryEnd) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id).filter(|c| c.tries == number + 1) else {
            return;
        };
        let Some(gateway) = call.out.take() else {
            return;
        };
        let well = matches!(end, TryEnd::Answered | TryEnd::Refused(_));
        self.gateways.ended(gateway, well, now, &self.set);
        // What comes after the deadline is never handed over as good.
        if now >= call.deadline {
            let sent = call.ran.is_some() || matches!(end, TryEnd::Answered | TryEnd::MayHaveRun);
            return self.finish(id, Outcome::Deadline { sent });
        }
        match end {
            TryEnd::Answered => {
                self.budget.earn();
                return self.finish(id, Outcome::Answered);
            }
            TryEnd::Refused(back) => call.last = Outcome::Refused(back),
            TryEnd::NeverRan => call.last = Outcome::NotSent,
            TryEnd::MayHaveRun => {
                call.ran.get_or_insert(call.sent);
                call.last = Outcome::Failed;
            }
        }
        self.again(id, end);
    }

    /// Waits for a further try, or ends the call at once where there can be none.
    fn again(&mut self, id: CallId, end: TryEnd) {
        let set = &self.set;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // Decorrelated: the next wait is drawn between the first and three times the last.
        call.backoff = self
            .rng
            .u64(set.backoff_first..=(call.backoff * 3).max(set.backoff_first))
            .min(set.backoff_most);
        let wait = match end {
            TryEnd::Refused(Some(back)) => {
                back.saturating_add((back as f64 * set.spread * self.rng.f64()) as u64)
            }
            _ => call.backoff,
        };
        let at = self.now.saturating_add(wait);
        let in_time = at.saturating_add(set.least_left) < call.deadline;
        let window = match (call.ran, call.repeat) {
            (Some(first), Repeat::Keyed { window }) => at < first.saturating_add(window),
            (Some(_), Repeat::Unsafe) => false,
            _ => true,
        };
        let (last, tried) = (call.last, call.tries >= set.tries);
        if tried || !in_time || !window || !self.budget.take() {
            return self.finish(id, last);
        }
        call.wakes = Some(at);
        self.wakes.insert((at, id));
    }

    fn finish(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.wakes.remove(&(call.deadline, id));
        if let Some(at) = call.wakes {
            self.wakes.remove(&(at, id));
        }
        if let Some(gateway) = call.out {
            self.gateways
                .ended(gateway, outcome == Outcome::Cancelled, self.now, &self.set);
            self.out.push(Action::CallOff(id, call.tries - 1));
        }
        // A caller that reads a refusal may call again; what may have run is never called refused.
        let told = match (outcome, call.ran) {
            (Outcome::Refused(_) | Outcome::NotSent, Some(_)) if call.repeat != Repeat::Safe => {
                Outcome::Failed
            }
            _ => outcome,
        };
        self.out.push(Action::Finish(id, told));
    }
}
