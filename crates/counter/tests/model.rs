//! A model of one gateway, a link that loses, repeats and reorders, and the shipped state machine with crashes: what was
//! acknowledged is durable, each increment counts once, totals never fall.

use chalkdeck_counter::state::{CallerId, CounterState, Increment, Limits, NameId};
use chalkdeck_time::{TimeDelta, Timestamp};
use stateright::{Checker, Model, Property};

const INCREMENTS: u64 = 3;
const MAX_SENDS: u8 = 5;
const MAX_CRASHES: u8 = 2;
const NAME: NameId = NameId(1);
const NOW: Timestamp = Timestamp::from_micros(1);

/// An answer to an increment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Answer {
    number: u64,
    total: u64,
}

/// Increments stand for themselves by their numbers; the state is what the shipped code makes of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SystemState {
    /// On the way to the counter, in any order; a repeated one is listed twice.
    requests: Vec<u64>,
    /// On the way back.
    answers: Vec<Answer>,
    /// Durable records of the log.
    synced: Vec<u64>,
    /// Records that were written and not yet synced.
    unsynced: Vec<u64>,
    /// What the gateway has received.
    acknowledged: Vec<Answer>,
    sends: u8,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// The gateway sends an increment, perhaps again.
    Send {
        number: u64,
    },
    LoseRequest {
        index: usize,
    },
    Write {
        index: usize,
    },
    Sync,
    /// Of what was not synced a first part may survive.
    Crash {
        surviving: usize,
    },
    Receive {
        index: usize,
    },
    LoseAnswer {
        index: usize,
    },
}

/// When the modelled counter answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerTime {
    AfterSync,
    /// As a broken counter would: the model must find it.
    BeforeSync,
}

struct CounterModel {
    answer_time: AnswerTime,
}

fn increment(number: u64) -> Increment {
    Increment {
        name: NAME,
        amount: 1.0,
        lifetime: TimeDelta::from_micros(u64::MAX / 2),
        caller: CallerId(9),
        number,
    }
}

fn replay(log: &[u64]) -> CounterState {
    let mut state = CounterState::new(Limits::default());
    for number in log {
        assert!(state.apply(NOW, &increment(*number)) > 0.0);
    }
    state
}

impl Model for CounterModel {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        vec![SystemState::default()]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Action>) {
        if state.sends < MAX_SENDS {
            actions.extend((1..=INCREMENTS).map(|number| Action::Send { number }));
        }
        for index in 0..state.requests.len() {
            actions.push(Action::LoseRequest { index });
            actions.push(Action::Write { index });
        }
        if !state.unsynced.is_empty() {
            actions.push(Action::Sync);
        }
        if state.crashes < MAX_CRASHES {
            let survivors = 0..=state.unsynced.len();
            actions.extend(survivors.map(|surviving| Action::Crash { surviving }));
        }
        for index in 0..state.answers.len() {
            actions.push(Action::Receive { index });
            actions.push(Action::LoseAnswer { index });
        }
    }

    fn next_state(&self, state: &SystemState, action: Action) -> Option<SystemState> {
        let mut next = state.clone();
        match action {
            Action::Send { number } => next.send(number),
            Action::LoseRequest { index } => {
                next.requests.remove(index);
            }
            Action::Write { index } => {
                let number = next.requests.remove(index);
                next.unsynced.push(number);
                if self.answer_time == AnswerTime::BeforeSync {
                    next.answer_unsynced();
                }
            }
            Action::Sync => {
                next.answer_unsynced();
                next.synced.append(&mut next.unsynced);
            }
            Action::Crash { surviving } => next.crash(surviving),
            Action::Receive { index } => next.receive(index),
            Action::LoseAnswer { index } => {
                next.answers.remove(index);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("acknowledged implies durable", |_, state: &SystemState| {
                let acknowledged = &state.acknowledged;
                acknowledged
                    .iter()
                    .all(|answer| state.synced.contains(&answer.number))
            }),
            Property::always("each increment counts once", |_, state: &SystemState| {
                let mut distinct = state.synced.clone();
                distinct.sort_unstable();
                distinct.dedup();
                replay(&state.synced).total(NAME).unwrap_or(0.0) == distinct.len() as f64
            }),
            Property::always("an increment gets one total", |_, state: &SystemState| {
                let pairs = state.acknowledged.windows(2);
                pairs
                    .into_iter()
                    .all(|pair| pair[0].number != pair[1].number)
            }),
            Property::always("totals never fall", |_, state: &SystemState| {
                let totals = state.acknowledged.iter().map(|answer| answer.total);
                let highest = totals.max().unwrap_or(0);
                replay(&state.synced).total(NAME).unwrap_or(0.0) >= highest as f64
            }),
            Property::sometimes(
                "all is acknowledged after crashes",
                |_, state: &SystemState| {
                    state.has_acknowledged_all() && state.crashes == MAX_CRASHES
                },
            ),
            Property::sometimes(
                "a repeated increment is acknowledged",
                |_, state: &SystemState| {
                    state.synced.len() > INCREMENTS as usize && state.has_acknowledged_all()
                },
            ),
        ]
    }
}

impl SystemState {
    fn has_acknowledged_all(&self) -> bool {
        self.acknowledged.len() == INCREMENTS as usize
    }

    fn send(&mut self, number: u64) {
        self.requests.push(number);
        self.requests.sort_unstable();
        self.sends += 1;
    }

    /// Answers what is written and not yet synced, by the shipped code.
    fn answer_unsynced(&mut self) {
        let mut state = replay(&self.synced);
        for number in self.unsynced.clone() {
            let total = state.apply(NOW, &increment(number)) as u64;
            let answer = Answer { number, total };
            if !self.answers.contains(&answer) {
                self.answers.push(answer);
            }
        }
        self.answers.sort_unstable();
    }

    fn crash(&mut self, surviving: usize) {
        self.synced.extend(&self.unsynced[..surviving]);
        self.unsynced.clear();
        self.requests.clear();
        self.answers.clear();
        self.crashes += 1;
    }

    fn receive(&mut self, index: usize) {
        let answer = self.answers.remove(index);
        self.acknowledged.push(answer);
        self.acknowledged.sort_unstable();
        self.acknowledged.dedup();
    }
}

#[test]
fn counter_answers_after_the_sync_then_all_properties_hold() {
    let model = CounterModel {
        answer_time: AnswerTime::AfterSync,
    };
    let checked = model.checker().threads(4).spawn_bfs().join();
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 50_000,
        "{} states",
        checked.unique_state_count()
    );
}

#[test]
fn counter_answers_before_the_sync_then_the_model_finds_it() {
    let model = CounterModel {
        answer_time: AnswerTime::BeforeSync,
    };
    let checked = model.checker().threads(4).spawn_bfs().join();
    assert!(checked.discovery("acknowledged implies durable").is_some());
}
